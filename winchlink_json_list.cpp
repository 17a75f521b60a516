// winchlink_json_list.cpp: reading a JSON document whose list has elements that can't be parsed.
//
// SplitJson() tells the elements apart, so that neither depth nor content of an element affects the others.
//
// Index of this file:
// [SECTION] Splitting
// [SECTION] Loading

#include "winchlink_internal.h"

#include <algorithm>

namespace Winchlink
{

//-----------------------------------------------------------------------------
// [SECTION] Splitting
//-----------------------------------------------------------------------------

// The parts of an object or array whose text begins with `open`. False if it is not such a list, or is cut short.
static bool PartsOf(std::string_view text, char open, std::vector<JsonPart>* out)
{
    const size_t begin = text.find_first_not_of(" \t\r\n");
    const bool is_list = begin != std::string_view::npos && text[begin] == open;
    return is_list && SplitJson(text, [out](const JsonPart& part) { out->push_back(part); });
}

//-----------------------------------------------------------------------------
// [SECTION] Loading
//-----------------------------------------------------------------------------

// Parses an element at the depth that it has in the document, so that the parser's limit is the same.
static JsonPtr LoadElement(std::string_view text, const JsonCodes& codes, std::vector<Fault>* faults)
{
    return LoadJson("[[" + std::string(text) + "]]", codes, faults);
}

// The text of the one member with that key; empty if there is none, or more than one.
static std::string_view FindMember(const std::vector<JsonPart>& members, std::string_view key)
{
    std::string_view found;
    int count = 0;
    for (const JsonPart& member : members)
    {
        if (member.Key == key)
        {
            found = member.Value;
            count++;
        }
    }
    return count == 1 ? found : "";
}

// The members `keep` of an element that can't be parsed, as an object; "null" if it is no object.
static std::string ReadableMembers(std::string_view element, const std::vector<std::string>& keep)
{
    std::vector<JsonPart> members;
    if (!PartsOf(element, '{', &members))
    {
        return "null";
    }
    std::string text;
    for (const std::string& key : keep)
    {
        const std::string_view value = FindMember(members, key);
        std::vector<Fault> ignored;
        if (!value.empty() && LoadElement(value, JsonCodes(), &ignored))
        {
            text.append(text.empty() ? "" : ",").append("\"").append(key).append("\":").append(value);
        }
    }
    return "{" + text + "}";
}

// Counts the lines of a text up to parts of it, in their order, so that the text is passed over only once.
struct LineCounter
{
    const char* At = nullptr; // Lines are counted up to here.
    int64_t Line = 1;
};

static int64_t LineOf(LineCounter* counter, std::string_view part)
{
    counter->Line += std::count(counter->At, part.data(), '\n');
    counter->At = part.data();
    return counter->Line;
}

// The document with all unparsable elements of the list replaced; empty if its elements can't be told apart.
static std::string ReplaceUnreadable(const std::string& text, const JsonListFormat& format, const JsonCodes& codes,
                                     std::vector<Fault>* unreadable)
{
    std::vector<JsonPart> members;
    std::vector<JsonPart> elements;
    const bool is_object = PartsOf(text, '{', &members);
    const std::string_view list = FindMember(members, format.List);
    if (!is_object || !PartsOf(list, '[', &elements))
    {
        return "";
    }
    std::string joined;
    LineCounter lines = {text.data()};
    for (size_t n = 0; n < elements.size(); n++)
    {
        const std::string_view element = elements[n].Value;
        std::vector<Fault> faults;
        const bool readable = LoadElement(element, codes, &faults) != nullptr;
        joined += n > 0 ? "," : "";
        joined += readable ? std::string(element) : ReadableMembers(element, format.Keep);
        if (!readable)
        {
            const std::string line = std::to_string(LineOf(&lines, element));
            unreadable->push_back({codes.NotJson, ElementPath(format.List, n), "from line " + line + ": " + faults[0].Detail});
        }
    }
    const auto begin = static_cast<size_t>(list.data() - text.data());
    return text.substr(0, begin) + "[" + joined + "]" + text.substr(begin + list.size());
}

JsonPtr LoadJsonList(const std::string& text, const JsonListFormat& format, const JsonCodes& codes, std::vector<Fault>* unreadable,
                     std::vector<Fault>* faults)
{
    std::vector<Fault> of_text;
    JsonPtr root = LoadJson(text, codes, &of_text);
    if (root)
    {
        return root;
    }
    const std::string readable = ReplaceUnreadable(text, format, codes, unreadable);
    if (!unreadable->empty())
    {
        std::vector<Fault> of_rest;
        root = LoadJson(readable, codes, &of_rest);
    }
    if (!root)
    {
        unreadable->clear();
        faults->insert(faults->end(), of_text.begin(), of_text.end());
    }
    return root;
}

} // namespace Winchlink
