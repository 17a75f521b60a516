// message_codec.h: messages between instances as bytes, by cereal, and what keeps bytes that are none from being read.

#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>
#include <zlib.h>

namespace Winchlink
{

inline constexpr size_t NumberBytes = 4; // Of a size or checksum in a message, the lowest first.

inline void AppendNumber(std::string* out, size_t number)
{
    for (int shift = 0; shift < 32; shift += 8)
    {
        *out += static_cast<char>(number >> shift);
    }
}

inline size_t NumberAt(const std::string& bytes, size_t from)
{
    size_t number = 0;
    for (size_t n = 0; n < NumberBytes; n++)
    {
        number |= static_cast<size_t>(static_cast<uint8_t>(bytes[from + n])) << (8 * n);
    }
    return number;
}

// Without it, changed bytes could name a size that takes all memory before anything else is found wrong.
inline uint32_t Checksum(const std::string& bytes)
{
    return static_cast<uint32_t>(crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

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
