#include "PlatformOption.h"

#include <algorithm>
#include <cstdlib>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr const char* kOption = "--platform";
constexpr const char* kVariable = "SKYLARKCHUTE_PLATFORM";

bool IsHelp(const std::vector<std::string>& aArguments)
{
  return std::find(aArguments.begin(), aArguments.end(), "--help") != aArguments.end();
}

} // namespace

leaf::result<OperatorArguments> ExtractPlatformOption(const std::vector<std::string>& aArguments)
{
  OperatorArguments extracted;
  const auto* fromEnvironment = std::getenv(kVariable);
  std::string address = fromEnvironment == nullptr ? "" : fromEnvironment;
  const std::string prefix = std::string(kOption) + "=";
  for (std::size_t n = 0; n < aArguments.size(); ++n) {
    const auto& argument = aArguments[n];
    if (argument == kOption && n + 1 < aArguments.size()) {
      address = aArguments[++n];
    } else if (argument.rfind(prefix, 0) == 0) {
      address = argument.substr(prefix.size());
    } else {
      extracted.mRemaining.push_back(argument);
    }
  }
  if (IsHelp(extracted.mRemaining)) {
    return extracted;
  }
  if (address.empty()) {
    return leaf::new_error(
      Faults{ { { "", kOption, std::string("is missing, and ") + kVariable + " is not set" } } });
  }
  BOOST_LEAF_ASSIGN(extracted.mPlatform, ParseHostPort(kOption, address));
  return extracted;
}

} // namespace skylarkchute
