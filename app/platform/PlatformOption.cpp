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

leaf::result<OperatorArguments> TakePlatformOption(const std::vector<std::string>& aArguments)
{
  OperatorArguments taken;
  const auto* fromEnvironment = std::getenv(kVariable);
  std::string place = fromEnvironment == nullptr ? "" : fromEnvironment;
  const std::string prefix = std::string(kOption) + "=";
  for (std::size_t n = 0; n < aArguments.size(); ++n) {
    const auto& argument = aArguments[n];
    if (argument == kOption && n + 1 < aArguments.size()) {
      place = aArguments[++n];
    } else if (argument.rfind(prefix, 0) == 0) {
      place = argument.substr(prefix.size());
    } else {
      taken.mRest.push_back(argument);
    }
  }
  if (IsHelp(taken.mRest)) {
    return taken;
  }
  if (place.empty()) {
    return leaf::new_error(
      Faults{ { { "", kOption, std::string("is missing, and ") + kVariable + " is not set" } } });
  }
  BOOST_LEAF_ASSIGN(taken.mPlatform, ParsePlace(kOption, place));
  return taken;
}

} // namespace skylarkchute
