#pragma once

#include <string>
#include <string_view>

namespace skylarkchute {

/** Returns the SHA-256 digest of @p aText as 64 lower-case hexadecimal digits. */
std::string Sha256Hex(std::string_view aText);

/** Returns the HMAC-SHA-256 of @p aText under @p aKey as 64 lower-case hexadecimal digits. */
std::string HmacSha256Hex(std::string_view aKey, std::string_view aText);

/** Returns whether two texts are equal. The time taken depends only on their lengths, so that it
    does not reveal secrets. */
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/** Returns @p aByteCount bytes of the secure random number generator as hexadecimal digits.
    @throws std::runtime_error if the generator fails */
std::string SecureRandomHex(std::size_t aByteCount);

} // namespace skylarkchute
