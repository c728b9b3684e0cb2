#pragma once

#include <string>
#include <string_view>

namespace skylarkchute {

/** Returns the SHA-256 digest of @p aText as 64 lower-case hexadecimal digits. */
std::string Sha256Hex(std::string_view aText);

/** Returns the HMAC-SHA-256 of @p aText under @p aKey as 64 lower-case hexadecimal digits. */
std::string HmacSha256Hex(std::string_view aKey, std::string_view aText);

/** Compares in time that depends on the lengths only. */
bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight);

/** Returns @p aByteCount bytes from the system's secure generator as hexadecimal digits. */
std::string SecureRandomHex(std::size_t aByteCount);

} // namespace skylarkchute
