#include "PercentEncoding.h"

#include <Poco/URI.h>

namespace skylarkchute {

std::string PercentEncoded(const std::string& aText)
{
  constexpr auto kReservedCharacters = ":/?#[]@!$&'()*+,;=";
  std::string encoded;
  Poco::URI::encode(aText, kReservedCharacters, encoded);
  return encoded;
}

} // namespace skylarkchute
