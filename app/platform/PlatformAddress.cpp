#include "PlatformAddress.h"

#include <charconv>

namespace skylarkchute {

namespace leaf = boost::leaf;

leaf::result<HostPort> ParseHostPort(const std::string& aOption, const std::string& aText)
{
  const auto colon = aText.rfind(':');
  std::uint16_t port = 0;
  if (colon != std::string::npos) {
    const auto* end = aText.data() + aText.size();
    const auto [ptr, ec] = std::from_chars(aText.data() + colon + 1, end, port);
    if (ec != std::errc{} || ptr != end) {
      port = 0;
    }
  }
  if (port == 0) {
    return leaf::new_error(Faults{ { { "", aOption, "'" + aText + "' is not ADDRESS:PORT" } } });
  }
  return HostPort{ aText.substr(0, colon), port };
}

} // namespace skylarkchute
