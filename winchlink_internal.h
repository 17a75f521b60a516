// winchlink_internal.h: what the library's files and the daemon share: strict reading of JSON documents, the checks on rows, the
// policy. It may change in any release; don't include it from outside.
//
// How to use it: LoadJson() parses text, OpenObject() starts reading one object, Read...() take its keys, ReportUnknownKeys() ends it.
// Faults are collected with their key paths; nothing stops at the first one. On a fault the output keeps its former value.
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
#include <tuple>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Loading
//-----------------------------------------------------------------------------

using JsonPtr = std::unique_ptr<json_t, decltype(&json_decref)>;

// Which codes the faults of one kind of document carry.
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

// Null and a fault if the text is not JSON or names a key twice.
JsonPtr LoadJson(const std::string& text, const JsonCodes& codes, std::vector<Fault>* faults);

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

// A JSON object being read; remembers which keys were asked for.
struct ObjectReader
{
    json_t* Object = nullptr;             // Borrowed.
    std::string Where;                    // Key path; empty at the root.
    std::vector<Fault>* Faults = nullptr; // Collects.
    JsonCodes Codes;                      // Codes of this document.
    std::set<std::string> Known;          // Keys asked for.
};

// False and a fault if the value is no object.
bool OpenObject(json_t* value, const std::string& where, const JsonCodes& codes, std::vector<Fault>* faults, ObjectReader* out);

// Key path of a member.
std::string PathOf(const ObjectReader& r, const std::string& key);

// Key path of a list's element.
std::string ElementPath(const std::string& list, size_t index);

void AddFault(const ObjectReader& r, Code_ code, const std::string& key, const std::string& detail);
void ReadText(ObjectReader* r, const char* key, bool required, std::string* out);
void ReadInt(ObjectReader* r, const char* key, bool required, int* out);

// The same, with a fault where the number is outside its range.
void ReadIntBetween(ObjectReader* r, const char* key, bool required, int least, int most, int* out);

// A number, fractions included, with a fault where it is outside its range.
void ReadRealBetween(ObjectReader* r, const char* key, bool required, double least, double most, double* out);

// A revision: a whole number from 1.
void ReadRevision(ObjectReader* r, const char* key, bool required, uint64_t* out);

// The list under a key, borrowed; null if there is none.
json_t* ReadList(ObjectReader* r, const char* key, bool required);

void ReadTexts(ObjectReader* r, const char* key, bool required, std::vector<std::string>* out);

// A fault for each key that was not asked for. Call it last.
void ReportUnknownKeys(const ObjectReader& r);

// The first fault as an error. Asserts that there is one.
Error FirstFault(const std::vector<Fault>& faults);

//-----------------------------------------------------------------------------
// [SECTION] Writing
//-----------------------------------------------------------------------------

json_t* JsonText(const std::string& text);
json_t* JsonNumber(uint64_t number);

// Writes and releases the value.
std::string DumpJson(json_t* value, size_t flags);

//-----------------------------------------------------------------------------
// [SECTION] Checks
//-----------------------------------------------------------------------------

// All checks on one row that need no other row; appends faults with the given key path.
void CheckRow(const ServiceRow& row, const std::string& where, std::vector<Fault>* faults);

// Checks that need all rows.
void CheckRows(const Table& table, std::vector<Fault>* faults);

// Evacuated data centres must be known by name: a misspelt one would evacuate nothing.
void CheckEvacuated(const Table& table, std::vector<Fault>* faults);

//-----------------------------------------------------------------------------
// [SECTION] Hashes
//-----------------------------------------------------------------------------

// A number that stands for a text; the same text under another purpose has another one.
uint64_t HashId(const char* purpose, const std::string& text);

//-----------------------------------------------------------------------------
// [SECTION] Policy
//-----------------------------------------------------------------------------

// A place among equals. The least of several draws is a target's with a chance that grows with its weight.
int64_t PoolDrawOrder(const PoolTarget& target, Random* random);

// Whether nothing is known of the target that sets it apart from others of its group, and nothing of ours is there.
bool PoolAtRest(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// What a target's cold start means for this instance.
enum PoolCold_ : int
{
    PoolCold_None,    // It is warm, or nothing is said of what it bears.
    PoolCold_OurTurn, // It may have one request of ours now.
    PoolCold_NotOurs, // It is left to other instances for now.
    PoolCold_COUNT,
};

PoolCold_ PoolColdState(const TargetPool& pool, const PoolTarget& target, TimeUs now);

// Where a target stands among those that may be asked, the lowest first: trust, near or far and whether it is good, cost, new ones first
// unless `had_new`, and its place among equals.
using PoolRank = std::tuple<int, int, double, int, int64_t>;

PoolRank PoolRankOf(const TargetPool& pool, const PoolTarget& target, bool had_new, bool careful, TimeUs now);

} // namespace Winchlink
