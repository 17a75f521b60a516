// winchlink_json.cpp: strict reading of JSON documents.
//
// Adds key paths, result codes and the collection of all faults to the jansson parser.
//
// Index of this file:
// [SECTION] Loading
// [SECTION] Reading
// [SECTION] Splitting
// [SECTION] Writing

#include "winchlink_internal.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <limits>
#include <utility>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Loading
//-----------------------------------------------------------------------------

JsonPtr LoadJson(const std::string& text, const JsonCodes& codes, std::vector<Fault>* faults)
{
    json_error_t error;
    JsonPtr root(json_loadb(text.data(), text.size(), JSON_REJECT_DUPLICATES, &error), json_decref);
    if (!root)
    {
        faults->push_back({codes.NotJson, "line " + std::to_string(error.line), error.text});
    }
    return root;
}

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

bool OpenObject(json_t* value, const std::string& where, const JsonCodes& codes, std::vector<Fault>* faults, ObjectReader* out)
{
    if (!json_is_object(value))
    {
        faults->push_back({codes.WrongType, where, "expected an object"});
        return false;
    }
    *out = ObjectReader{value, where, faults, codes, {}};
    return true;
}

std::string PathOf(const ObjectReader& r, const std::string& key)
{
    return r.Where.empty() ? key : r.Where + "." + key;
}

std::string ElementPath(const std::string& list, size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

void AddFault(const ObjectReader& r, Code_ code, const std::string& key, const std::string& detail)
{
    r.Faults->push_back({code, PathOf(r, key), detail});
}

static json_t* ReadKey(ObjectReader* r, const char* key, bool required)
{
    r->Known.insert(key);
    json_t* value = json_object_get(r->Object, key);
    if (value == nullptr && required)
    {
        AddFault(*r, r->Codes.MissingKey, key, "required key is missing");
    }
    return value;
}

void ReadText(ObjectReader* r, const char* key, bool required, std::string* out)
{
    json_t* value = ReadKey(r, key, required);
    if (value == nullptr)
    {
        return;
    }
    if (!json_is_string(value))
    {
        AddFault(*r, r->Codes.WrongType, key, "expected a string");
        return;
    }
    out->assign(json_string_value(value), json_string_length(value));
}

void ReadBool(ObjectReader* r, const char* key, bool required, bool* out)
{
    json_t* value = ReadKey(r, key, required);
    if (value == nullptr)
    {
        return;
    }
    if (!json_is_boolean(value))
    {
        AddFault(*r, r->Codes.WrongType, key, "expected true or false");
        return;
    }
    *out = json_is_true(value);
}

void ReadInt(ObjectReader* r, const char* key, bool required, int* out)
{
    json_t* value = ReadKey(r, key, required);
    if (value == nullptr)
    {
        return;
    }
    if (!json_is_integer(value))
    {
        AddFault(*r, r->Codes.WrongType, key, "expected an integer");
        return;
    }
    const json_int_t number = json_integer_value(value);
    if (number < std::numeric_limits<int>::min() || number > std::numeric_limits<int>::max())
    {
        AddFault(*r, r->Codes.OutOfRange, key, "integer out of range");
        return;
    }
    *out = static_cast<int>(number);
}

void ReadIntBetween(ObjectReader* r, const char* key, bool required, int min, int max, int* out)
{
    ReadInt(r, key, required, out);
    if (*out < min || *out > max)
    {
        AddFault(*r, r->Codes.OutOfRange, key,
                 "expected " + std::to_string(min) + " to " + std::to_string(max) + ", found " + std::to_string(*out));
    }
}

void ReadRealBetween(ObjectReader* r, const char* key, bool required, double min, double max, double* out)
{
    json_t* value = ReadKey(r, key, required);
    if (value == nullptr)
    {
        return;
    }
    if (!json_is_number(value))
    {
        AddFault(*r, r->Codes.WrongType, key, "expected a number");
        return;
    }
    const double number = json_number_value(value);
    if (!(number >= min && number <= max))
    {
        AddFault(*r, r->Codes.OutOfRange, key,
                 "expected " + std::to_string(min) + " to " + std::to_string(max) + ", found " + std::to_string(number));
        return;
    }
    *out = number;
}

void ReadRevision(ObjectReader* r, const char* key, bool required, uint64_t* out)
{
    json_t* value = ReadKey(r, key, required);
    if (value == nullptr)
    {
        return;
    }
    if (!json_is_integer(value) || json_integer_value(value) < 1)
    {
        AddFault(*r, r->Codes.WrongType, key, "expected an integer of at least 1");
        return;
    }
    *out = static_cast<uint64_t>(json_integer_value(value));
}

json_t* ReadList(ObjectReader* r, const char* key, bool required)
{
    json_t* value = ReadKey(r, key, required);
    if (value != nullptr && !json_is_array(value))
    {
        AddFault(*r, r->Codes.WrongType, key, "expected an array");
        return nullptr;
    }
    return value;
}

void ReadTexts(ObjectReader* r, const char* key, bool required, std::vector<std::string>* out)
{
    json_t* list = ReadList(r, key, required);
    size_t index = 0;
    json_t* value = nullptr;
    json_array_foreach(list, index, value)
    {
        if (!json_is_string(value))
        {
            AddFault(*r, r->Codes.WrongType, ElementPath(key, index), "expected a string");
            continue;
        }
        out->emplace_back(json_string_value(value), json_string_length(value));
    }
}

void ReportUnknownKeys(const ObjectReader& r)
{
    const char* key = nullptr;
    json_t* value = nullptr;
    json_object_foreach(r.Object, key, value)
    {
        if (r.Known.count(key) == 0)
        {
            AddFault(r, r.Codes.UnknownKey, key, "unknown key");
        }
    }
}

Error FirstFault(const std::vector<Fault>& faults)
{
    assert(!faults.empty() && "the list of faults is empty");
    return Error{faults[0].Code, faults[0].Where + ": " + faults[0].Detail};
}

//-----------------------------------------------------------------------------
// [SECTION] Splitting
//-----------------------------------------------------------------------------

// Position in a text; no recursion and no storage, whatever the text nests.
struct JsonScanner
{
    std::string_view Text;
    size_t At = 0;
};

// 0 at the end of the text.
static char Current(const JsonScanner& scanner)
{
    return scanner.At < scanner.Text.size() ? scanner.Text[scanner.At] : '\0';
}

static bool IsOneOf(char c, const char* set)
{
    return c != '\0' && std::strchr(set, c) != nullptr;
}

static void SkipSpace(JsonScanner* scanner)
{
    while (IsOneOf(Current(*scanner), " \t\r\n"))
    {
        scanner->At++;
    }
}

static bool SkipChar(JsonScanner* scanner, char c)
{
    const bool found = Current(*scanner) == c;
    scanner->At += found ? 1 : 0;
    return found;
}

// False if the string, whose opening quote is the current character, doesn't end.
static bool SkipString(JsonScanner* scanner)
{
    const std::string_view text = scanner->Text;
    for (scanner->At++; scanner->At < text.size(); scanner->At++)
    {
        if (text[scanner->At] == '"')
        {
            scanner->At++;
            return true;
        }
        scanner->At += text[scanner->At] == '\\' ? 1 : 0;
    }
    return false;
}

// Skips an object or array. Only counts brackets: what they enclose may be invalid.
static bool SkipBrackets(JsonScanner* scanner)
{
    size_t depth = 0;
    while (scanner->At < scanner->Text.size())
    {
        const char c = Current(*scanner);
        if (c == '"')
        {
            if (!SkipString(scanner))
            {
                return false;
            }
            continue;
        }
        scanner->At++;
        depth += IsOneOf(c, "{[") ? 1 : 0;
        depth -= IsOneOf(c, "}]") ? 1 : 0;
        if (depth == 0)
        {
            return true;
        }
    }
    return false;
}

static bool SkipValue(JsonScanner* scanner)
{
    if (Current(*scanner) == '"')
    {
        return SkipString(scanner);
    }
    if (IsOneOf(Current(*scanner), "{["))
    {
        return SkipBrackets(scanner);
    }
    const size_t end = scanner->Text.find_first_of("{[]}:,\" \t\r\n", scanner->At);
    const size_t begin = std::exchange(scanner->At, std::min(end, scanner->Text.size()));
    return scanner->At > begin;
}

static std::string_view TextSince(const JsonScanner& scanner, size_t begin)
{
    return scanner.Text.substr(begin, scanner.At - begin);
}

static bool ScanKey(JsonScanner* scanner, JsonPart* part)
{
    const size_t begin = scanner->At;
    if (Current(*scanner) != '"' || !SkipString(scanner))
    {
        return false;
    }
    part->Key = TextSince(*scanner, begin + 1);
    part->Key.remove_suffix(1);
    SkipSpace(scanner);
    const bool colon = SkipChar(scanner, ':');
    SkipSpace(scanner);
    return colon;
}

static bool ScanPart(JsonScanner* scanner, bool with_key, JsonPart* part)
{
    if (with_key && !ScanKey(scanner, part))
    {
        return false;
    }
    const size_t begin = scanner->At;
    const bool whole = SkipValue(scanner);
    part->Value = TextSince(*scanner, begin);
    SkipSpace(scanner);
    return whole;
}

static bool IsAtEnd(JsonScanner* scanner, char closing)
{
    const bool closed = SkipChar(scanner, closing);
    SkipSpace(scanner);
    return closed && scanner->At == scanner->Text.size();
}

bool SplitJson(std::string_view text, const std::function<void(const JsonPart&)>& visit)
{
    JsonScanner scanner{text};
    SkipSpace(&scanner);
    const bool is_object = Current(scanner) == '{';
    if (!is_object && Current(scanner) != '[')
    {
        return false;
    }
    const char closing = is_object ? '}' : ']';
    scanner.At++;
    SkipSpace(&scanner);
    if (Current(scanner) == closing)
    {
        return IsAtEnd(&scanner, closing);
    }
    for (;;)
    {
        JsonPart part;
        if (!ScanPart(&scanner, is_object, &part))
        {
            return false;
        }
        visit(part);
        if (!SkipChar(&scanner, ','))
        {
            return IsAtEnd(&scanner, closing);
        }
        SkipSpace(&scanner);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Writing
//-----------------------------------------------------------------------------

json_t* JsonText(const std::string& text)
{
    json_t* value = json_stringn(text.data(), text.size());
    return value != nullptr ? value : json_string("(not UTF-8)");
}

json_t* JsonNumber(uint64_t number)
{
    return json_integer(static_cast<json_int_t>(number));
}

std::string DumpJson(json_t* value, size_t flags)
{
    const JsonPtr owner(value, json_decref);
    const std::unique_ptr<char, decltype(&free)> text(json_dumps(value, flags), free);
    assert(text && "the JSON value can't be serialised");
    return text.get();
}

} // namespace Winchlink
