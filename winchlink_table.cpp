// winchlink_table.cpp: the table itself: digests, lookup, and the deltas by which instances hand it on.
//
// Index of this file:
// [SECTION] Hashing and digests
// [SECTION] Lookup
// [SECTION] Deltas

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <sodium.h>
#include <sstream>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Hashing and digests
//-----------------------------------------------------------------------------

uint64_t HashBytes(const void* data, size_t size)
{
    static const unsigned char key[crypto_shorthash_KEYBYTES] = {'w', 'i', 'n', 'c', 'h', 'l', 'i', 'n',
                                                                 'k', '-', 'h', 'a', 's', 'h', '0', '1'};
    uint64_t hash = 0;
    static_assert(sizeof(hash) == crypto_shorthash_BYTES);
    crypto_shorthash(reinterpret_cast<unsigned char*>(&hash), static_cast<const unsigned char*>(data), size, key);
    return hash;
}

uint64_t HashText(const std::string& text)
{
    return HashBytes(text.data(), text.size());
}

Digest DigestBytes(const std::string& bytes)
{
    Digest digest = {};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), nullptr, 0);
    return digest;
}

std::string FormatDigest(const Digest& digest)
{
    std::array<char, sizeof(Digest)* 2 + 1> hex = {};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    return hex.data();
}

Result<Digest> ParseDigest(const std::string& hex)
{
    Digest digest = {};
    size_t size = 0;
    const bool ok = sodium_hex2bin(digest.data(), digest.size(), hex.data(), hex.size(), nullptr, &size, nullptr) == 0;
    if (!ok || size != digest.size() || hex.size() != 2 * size)
    {
        return Error{Code_PlatformBadAnswer, "a digest must be 32 hexadecimal digits"};
    }
    return digest;
}

std::string EncodeRow(const ServiceRow& row)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    CodeRow(archive, const_cast<ServiceRow&>(row)); // Saving reads only; the codec is shared with loading.
    return stream.str();
}

void SealRow(ServiceRow* row)
{
    row->RowDigest = DigestBytes(EncodeRow(*row));
}

void SealTable(Table* table)
{
    std::sort(table->Rows.begin(), table->Rows.end(), [](const ServiceRow& a, const ServiceRow& b) { return a.Name < b.Name; });
    std::string bytes = std::to_string(table->Version.Revision);
    for (const ServiceRow& row : table->Rows)
    {
        bytes.append(reinterpret_cast<const char*>(row.RowDigest.data()), row.RowDigest.size());
    }
    table->Version.TableDigest = DigestBytes(bytes);
}

TargetKey KeyOfTarget(const std::string& address)
{
    return HashText(address);
}

NumberRange RangeOfRow(const ServiceRow& row)
{
    return {static_cast<uint32_t>(row.FirstNumber), static_cast<uint32_t>(row.Numbers)};
}

bool operator==(const NumberRange& a, const NumberRange& b)
{
    return a.First == b.First && a.Count == b.Count;
}

bool NumberInRange(const NumberRange& range, uint32_t number)
{
    return range.Count == 0 || (number >= range.First && number - range.First < range.Count);
}

RowPlace PlaceInRow(const ServiceRow& row, uint32_t number, uint32_t numbers)
{
    const NumberRange range = RangeOfRow(row);
    if (range.Count == 0)
    {
        return {true, number, numbers};
    }
    return {NumberInRange(range, number), number - range.First, range.Count};
}

bool operator==(const TableVersion& a, const TableVersion& b)
{
    return a.Revision == b.Revision && a.TableDigest == b.TableDigest;
}

bool operator<(const TableVersion& a, const TableVersion& b)
{
    return a.Revision != b.Revision ? a.Revision < b.Revision : a.TableDigest < b.TableDigest;
}

const char* ClassName(Class_ value)
{
    static const char* names[Class_COUNT] = {"critical", "normal", "background"};
    assert(value >= 0 && value < Class_COUNT && "not a class");
    return names[value];
}

//-----------------------------------------------------------------------------
// [SECTION] Lookup
//-----------------------------------------------------------------------------

const ServiceRow* FindRow(const Table& table, const std::string& name)
{
    auto found = std::lower_bound(table.Rows.begin(), table.Rows.end(), name,
                                  [](const ServiceRow& row, const std::string& n) { return row.Name < n; });
    return found != table.Rows.end() && found->Name == name ? &*found : nullptr;
}

static bool PrefixMatches(const std::string& prefix, const std::string& path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
    {
        return false;
    }
    // "/loans" serves "/loans" and "/loans/7" but not "/loans-archive".
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

const ServiceRow* MatchRow(const Table& table, const std::string& host, const std::string& path)
{
    const ServiceRow* best = nullptr;
    for (const ServiceRow& row : table.Rows)
    {
        const bool host_fits = row.Host.empty() || row.Host == host;
        if (!host_fits || !PrefixMatches(row.PathPrefix, path))
        {
            continue;
        }
        const bool more_host = best != nullptr && best->Host.empty() && !row.Host.empty();
        const bool less_host = best != nullptr && !best->Host.empty() && row.Host.empty();
        const bool longer = best == nullptr || row.PathPrefix.size() > best->PathPrefix.size();
        if (more_host || (longer && !less_host))
        {
            best = &row;
        }
    }
    return best;
}

//-----------------------------------------------------------------------------
// [SECTION] Deltas
//-----------------------------------------------------------------------------

void AssignRowRevisions(const Table& previous, Table* next)
{
    for (ServiceRow& row : next->Rows)
    {
        const ServiceRow* old = FindRow(previous, row.Name);
        row.Revision = old != nullptr ? old->Revision : next->Version.Revision;
        SealRow(&row);
        if (old != nullptr && row.RowDigest != old->RowDigest)
        {
            row.Revision = next->Version.Revision;
            SealRow(&row);
        }
    }
    SealTable(next);
    next->Removed = previous.Removed;
    for (const ServiceRow& row : previous.Rows)
    {
        if (FindRow(*next, row.Name) == nullptr)
        {
            next->Removed.push_back({row.Name, next->Version.Revision});
        }
    }
    if (next->Removed.size() > TableRowsMax)
    {
        next->Removed.erase(next->Removed.begin(), next->Removed.end() - static_cast<std::ptrdiff_t>(TableRowsMax));
    }
}

TableDelta MakeDelta(const Table& current, const TableVersion& have)
{
    TableDelta delta;
    delta.To = current.Version;
    // Two contents under one revision can't be told apart by row revisions: such a receiver needs the whole.
    const bool whole = have.Revision == 0 || have.Revision >= current.Version.Revision;
    delta.From = whole ? TableVersion{} : have;
    for (const ServiceRow& row : current.Rows)
    {
        if (whole || row.Revision > have.Revision)
        {
            delta.Rows.push_back(row);
        }
    }
    for (const RemovedRow& removed : current.Removed)
    {
        if (!whole && removed.Revision > have.Revision)
        {
            delta.Removed.push_back(removed);
        }
    }
    return delta;
}

Result<TablePtr> ApplyDelta(const Table& have, const TableDelta& delta)
{
    const bool whole = delta.From.Revision == 0;
    if (!whole && !(have.Version == delta.From))
    {
        return Error{Code_TableDigestMismatch, "the delta starts from another version"};
    }
    std::map<std::string, ServiceRow> rows;
    if (!whole)
    {
        for (const ServiceRow& row : have.Rows)
        {
            rows[row.Name] = row;
        }
    }
    auto next = std::make_shared<Table>();
    next->Removed = have.Removed;
    for (const RemovedRow& removed : delta.Removed)
    {
        rows.erase(removed.Name);
        next->Removed.push_back(removed);
    }
    for (const ServiceRow& row : delta.Rows)
    {
        rows[row.Name] = row;
        SealRow(&rows[row.Name]);
    }
    for (auto& entry : rows)
    {
        next->Rows.push_back(std::move(entry.second));
    }
    next->Version.Revision = delta.To.Revision;
    SealTable(next.get());
    if (!(next->Version == delta.To))
    {
        return Error{Code_TableDigestMismatch, "the digest does not come out"};
    }
    return TablePtr(std::move(next));
}

} // namespace Winchlink
