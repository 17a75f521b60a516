// winchlink_internal.h: what the library's own files share. It may change in any release; don't include it from outside.
//
// Index of this file:
// [SECTION] Hashing
// [SECTION] Codec of rows (cereal)
// [SECTION] Messages
// [SECTION] Policy

#pragma once

#include "winchlink.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <stdexcept>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Hashing
//-----------------------------------------------------------------------------

// SipHash-2-4 under a fixed key: the same on every instance and in every run.
uint64_t HashBytes(const void* data, size_t size);
uint64_t HashText(const std::string& text);

// BLAKE2b-128.
Digest DigestBytes(const std::string& bytes);

//-----------------------------------------------------------------------------
// [SECTION] Codec of rows (cereal)
//-----------------------------------------------------------------------------

// cereal's own loader of vectors and strings resizes to the length it reads. A hostile length would then size an allocation, so lists
// and texts go through these: the length is checked against a bound, and lists grow with the elements that are really there.
template <class Archive> void CodeText(Archive& archive, std::string& text, size_t most)
{
    uint32_t size = static_cast<uint32_t>(text.size());
    archive(size);
    if (size > most)
    {
        throw std::length_error("text too long");
    }
    text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

template <class Archive, class T, class CodeItem> void CodeList(Archive& archive, std::vector<T>& list, size_t most, CodeItem code_item)
{
    uint32_t size = static_cast<uint32_t>(list.size());
    archive(size);
    if (size > most)
    {
        throw std::length_error("list too long");
    }
    if (Archive::is_loading::value)
    {
        list.clear();
        for (uint32_t n = 0; n < size; n++)
        {
            T item;
            code_item(item);
            list.push_back(std::move(item));
        }
        return;
    }
    for (T& item : list)
    {
        code_item(item);
    }
}

template <class Archive, class Enum> void CodeEnum(Archive& archive, Enum& value, int count)
{
    uint8_t raw = static_cast<uint8_t>(value);
    archive(raw);
    if (raw >= count)
    {
        throw std::out_of_range("enum value");
    }
    value = static_cast<Enum>(raw);
}

template <class Archive> void CodeTarget(Archive& archive, TargetRow& target)
{
    CodeText(archive, target.Address, TextMax);
    CodeText(archive, target.DataCentre, TextMax);
    archive(target.Weight, target.Slots);
}

template <class Archive> void CodeRow(Archive& archive, ServiceRow& row)
{
    CodeText(archive, row.Name, TextMax);
    archive(row.Revision);
    CodeText(archive, row.PathPrefix, TextMax);
    CodeText(archive, row.Host, TextMax);
    CodeEnum(archive, row.Class, Class_COUNT);
    archive(row.MaxConnections, row.MaxConcurrent, row.MeasuringBudgetMs, row.ProbeCostMs, row.DeadlineMs, row.FirstNumber, row.Numbers);
    CodeList(archive, row.RepeatMethods, RowMethodsMax, [&](std::string& method) { CodeText(archive, method, TextMax); });
    CodeList(archive, row.Targets, RowTargetsMax, [&](TargetRow& target) { CodeTarget(archive, target); });
}

// The row's encoding, as digests and deltas use it.
std::string EncodeRow(const ServiceRow& row);

// All checks on one row that need no other row; appends faults with the given key path.
void CheckRow(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults);

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

inline constexpr uint8_t ProtocolVersion = 2; // First byte of each message.
inline constexpr size_t MarkSize = 16;        // Bytes of a message's mark, at its end.

// Decodes a message without its mark. For DecodeMessage(), and for tests of the decoder.
Result<Message> DecodeUnmarked(const std::string& bytes);

//-----------------------------------------------------------------------------
// [SECTION] Policy
//-----------------------------------------------------------------------------

// A target's weight, less while it is fresh.
double RouterShare(const Router& r, const RouterTarget& target, TimeUs now);

// The policy: one of the targets that may get the request; `from` is never empty. Reserves nothing.
RouterTarget* PickTarget(Router* router, const std::vector<RouterTarget*>& from, TimeUs now, Random* random);

} // namespace Winchlink
