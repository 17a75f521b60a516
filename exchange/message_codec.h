// message_codec.h: serialisation of messages between instances with cereal, and the checksum that detects corrupted ones.

#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>
#include <zlib.h>

namespace Winchlink
{

inline constexpr size_t NumberBytes = 4; // Size of a number in a message, little-endian.

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

// CRC-32. Checked before decoding, because a corrupted size field could make cereal allocate excessive memory.
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

// Reads one message from a stream. False if the bytes are not a valid message; the content of `value` is then unspecified.
template <class T> bool ReadMessage(std::istream& stream, T* value)
{
    try
    {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(*value);
    }
    catch (const std::exception&) // Truncated input, or an allocation that failed.
    {
        return false;
    }
    return true;
}

// The same, from a string.
template <class T> bool DecodeMessage(const std::string& bytes, T* value)
{
    std::istringstream stream(bytes);
    return ReadMessage(stream, value);
}

} // namespace Winchlink
