// winchlink_internal.h: helpers shared by the library and the daemon: strict JSON reading, checks on rows, target ranking. Not part of the
// public interface: it may change in any release.
//
// How to use it: LoadJson() parses text, OpenObject() starts reading one object, Read...() reads its keys, ReportUnknownKeys() ends it.
// Faults are collected with their key paths; reading continues after a fault. On a fault the output is left unchanged.
//
// Index of this file:
// [SECTION] Loading
// [SECTION] Reading
// [SECTION] Writing
// [SECTION] Checks
// [SECTION] Hashes
// [SECTION] Policy

#pragma once

#include "winchlink.h"

#include <jansson.h>
#include <set>
#include <string_view>
#include <tuple>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Loading
//-----------------------------------------------------------------------------

using JsonPtr = std::unique_ptr<json_t, decltype(&json_decref)>;

// Codes for the faults of one kind of document.
struct JsonCodes
{
    Code_ NotJson = Code_None;
    Code_ UnknownKey = Code_None;
    Code_ WrongType = Code_None;
    Code_ MissingKey = Code_None;
    Code_ OutOfRange = Code_None;
};

inline constexpr JsonCodes TableCodes = {Code_TableNotJson, Code_TableUnknownKey, Code_TableWrongType, Code_TableMissingKey,
                                         Code_TableOutOfRange};
inline constexpr JsonCodes SettingsCodes = {Code_SettingsNotJson, Code_SettingsUnknownKey, Code_SettingsWrongType, Code_SettingsMissingKey,
                                            Code_SettingsOutOfRange};
inline constexpr JsonCodes PlatformCodes = {Code_PlatformBadAnswer, Code_PlatformBadAnswer, Code_PlatformBadAnswer, Code_PlatformBadAnswer,
                                            Code_PlatformBadAnswer};

// Returns null and adds a fault if the text is not valid JSON or has a duplicate key.
JsonPtr LoadJson(const std::string& text, const JsonCodes& codes, std::vector<Fault>* faults);

// A document whose elements are read one by one.
struct JsonListFormat
{
    std::string List;              // Key of the list, at the root.
    std::vector<std::string> Keep; // Keys that identify an element.
};

// LoadJson() for a list of which some elements may be unparsable. Each of these is added to `unreadable` and replaced by an object with
// those members to keep that can be parsed and occur once; by null if it is no object.
JsonPtr LoadJsonList(const std::string& text, const JsonListFormat& format, const JsonCodes& codes, std::vector<Fault>* unreadable,
                     std::vector<Fault>* faults);

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

// A JSON object being read; records which keys were read.
struct ObjectReader
{
    json_t* Object = nullptr;             // Not owned.
    std::string Where;                    // Key path; empty at the root.
    std::vector<Fault>* Faults = nullptr; // Faults are appended here; not owned.
    JsonCodes Codes;                      // For the faults of this document.
    std::set<std::string> Known;          // Keys read so far.
};

// Returns false and adds a fault if the value is not an object.
bool OpenObject(json_t* value, const std::string& where, const JsonCodes& codes, std::vector<Fault>* faults, ObjectReader* out);

// Key path of a member.
std::string PathOf(const ObjectReader& r, const std::string& key);

// Key path of a list's element.
std::string ElementPath(const std::string& list, size_t index);

void AddFault(const ObjectReader& r, Code_ code, const std::string& key, const std::string& detail);
void ReadText(ObjectReader* r, const char* key, bool required, std::string* out);
void ReadBool(ObjectReader* r, const char* key, bool required, bool* out);
void ReadInt(ObjectReader* r, const char* key, bool required, int* out);

// The same, with a fault if the number is out of range.
void ReadIntBetween(ObjectReader* r, const char* key, bool required, int min, int max, int* out);

// Reads an integer or real number, with a fault if it is out of range.
void ReadRealBetween(ObjectReader* r, const char* key, bool required, double min, double max, double* out);

// Reads a revision: an integer of at least 1.
void ReadRevision(ObjectReader* r, const char* key, bool required, uint64_t* out);

// The array under a key, owned by the object; null if there is none.
json_t* ReadList(ObjectReader* r, const char* key, bool required);

void ReadTexts(ObjectReader* r, const char* key, bool required, std::vector<std::string>* out);

// Adds a fault for each key that was not read. Call it last.
void ReportUnknownKeys(const ObjectReader& r);

// The first fault as an error. Asserts that there is one.
Error FirstFault(const std::vector<Fault>& faults);

//-----------------------------------------------------------------------------
// [SECTION] Splitting
//-----------------------------------------------------------------------------

// A member of an object or an element of an array, as text.
struct JsonPart
{
    std::string_view Key;   // As written between its quotes; empty for an element.
    std::string_view Value; // Not parsed.
};

// Calls `visit` with each part of the text of an object or array. The values are not parsed, so that one that the parser refuses, for its
// numbers or its depth, can be left out alone. Returns false if the text is not such a list, or is cut short; the parts before have then
// been visited.
bool SplitJson(std::string_view text, const std::function<void(const JsonPart&)>& visit);

//-----------------------------------------------------------------------------
// [SECTION] Writing
//-----------------------------------------------------------------------------

json_t* JsonText(const std::string& text);
json_t* JsonNumber(uint64_t number);

// Serializes the value and releases it.
std::string DumpJson(json_t* value, size_t flags);

//-----------------------------------------------------------------------------
// [SECTION] Checks
//-----------------------------------------------------------------------------

// Parses the document of a table; rows that can't be parsed are added to `unreadable`.
JsonPtr LoadTable(const std::string& json, std::vector<Fault>* unreadable, std::vector<Fault>* faults);

// Checks on a single row; appends faults with the given key path.
void CheckRow(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults);

// Checks across rows, such as duplicates.
void CheckRows(const Table& table, std::vector<Fault>* faults);

// A valid form of a row.
struct RowForm
{
    ServiceRow Row;
    uint64_t Revision = 0; // Revision of its change.
};

// A row that can't be used.
struct InvalidRow
{
    Error Why;
    uint64_t Revision = 0;     // Revision of its change.
    uint64_t KeptRevision = 0; // Revision of its form that stays in force; 0: none, the row is left out.
};

struct RowSelection
{
    std::map<std::string, RowForm> InForce;    // By name.
    std::map<std::string, InvalidRow> Invalid; // By name.
};

// Selects the rows that come in force: of `valid` those that contradict no other, and for each invalid row its form in `last`, the forms in
// force so far. If rows contradict, the one changed first is selected. That depends only on the rows as they are, so that instances agree
// whatever they have seen before. Rows as they are take precedence over forms in `last`.
RowSelection SelectRows(const std::map<std::string, RowForm>& valid, const std::map<std::string, InvalidRow>& invalid,
                        const std::map<std::string, RowForm>& last);

// Evacuated data centres must be those of some target: a misspelt name would have no effect.
void CheckEvacuated(const Table& table, std::vector<Fault>* faults);

//-----------------------------------------------------------------------------
// [SECTION] Hashes
//-----------------------------------------------------------------------------

// 64-bit hash of a text. `purpose` is a prefix that separates the ids of different kinds of text.
uint64_t HashId(const char* purpose, const std::string& text);

//-----------------------------------------------------------------------------
// [SECTION] Policy
//-----------------------------------------------------------------------------

// A random order value. A target's chance to have the lowest value among several targets is in proportion to its weight.
int64_t PoolDrawOrder(const PoolTarget& target, Random* random);

// The cost by which a target ranks: PoolCost(), or where reports are shared also by those of other instances and by UnknownCost.
double PoolRankCost(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Whether the target has no state that distinguishes it from others of its group, and no request of this instance in flight.
bool PoolAtRest(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Whether a target's warm-up limits the requests that this instance may send to it.
enum PoolCold_ : int
{
    PoolCold_None,     // It is warm, or its service has no limit for cold targets.
    PoolCold_MaySend,  // It is cold, and this instance may send one request now.
    PoolCold_MustWait, // It is cold, and this instance may not send one yet.
    PoolCold_COUNT,
};

PoolCold_ PoolColdState(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Sort key of a target among those that may be probed, lowest first: reliability, combined locality and cost class, cost, new targets first
// unless `had_new`, and PoolTarget::Order.
using PoolRank = std::tuple<int, int, double, int, int64_t>;

PoolRank PoolRankOf(const TargetPool& pool, const PoolTarget& target, bool had_new, bool unsafe, TimeUs now);

} // namespace Winchlink
