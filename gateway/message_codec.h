// message_codec.h: messages between instances as bytes, by cereal.

#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>

namespace Winchlink
{

template <class T> std::string EncodeMessage(const T& value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return stream.str();
}

// False for bytes that are no such message; `value` is then of no use.
template <class T> bool DecodeMessage(const std::string& bytes, T* value)
{
    try
    {
        std::istringstream stream(bytes);
        cereal::PortableBinaryInputArchive archive(stream);
        archive(*value);
    }
    catch (const std::exception&) // cereal's way to say that the bytes end too soon, or ask for too much memory.
    {
        return false;
    }
    return true;
}

} // namespace Winchlink
