#include "Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace skylarkchute {

namespace {

std::string ToHex(const unsigned char* aBytes, std::size_t aCount)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aCount * 2);
  for (std::size_t n = 0; n < aCount; ++n) {
    text += kDigits[aBytes[n] >> 4U];
    text += kDigits[aBytes[n] & 0x0fU];
  }
  return text;
}

} // namespace

std::string Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int length = 0;
  EVP_Digest(aText.data(), aText.size(), buf.data(), &length, EVP_sha256(), nullptr);
  return ToHex(buf.data(), length);
}

std::string HmacSha256Hex(std::string_view aKey, std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       buf.data(),
       &length);
  return ToHex(buf.data(), length);
}

bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string SecureRandomHex(std::size_t aByteCount)
{
  std::vector<unsigned char> buf(aByteCount);
  if (RAND_bytes(buf.data(), static_cast<int>(buf.size())) != 1) {
    throw std::runtime_error("the system's secure random number generator failed");
  }
  return ToHex(buf.data(), buf.size());
}

} // namespace skylarkchute
