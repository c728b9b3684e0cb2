#include "BenchRouter.h"

#include "SimpleRouter.h"
#include "SkylarkRouter.h"

namespace skylarkchute {

std::unique_ptr<BenchRouter> MakeBenchRouter(const std::string& aName,
                                             const ZoneName& aZone,
                                             const InstanceId& aInstance,
                                             std::uint64_t aSeed)
{
  using VersionRule = SimpleRouter::VersionRule;
  using EndpointOrder = SimpleRouter::EndpointOrder;
  if (aName == "skylarkchute") {
    RouterOptions options;
    options.mZone = aZone;
    options.mInstance = aInstance;
    options.mSeed = aSeed;
    return std::make_unique<SkylarkRouter>(options);
  }
  SimpleRouter::Rules rules;
  if (aName == "random") {
    rules.mVersion = VersionRule::Random;
  } else if (aName == "least-loaded") {
    rules.mEndpoint = EndpointOrder::LeastLoaded;
  } else if (aName != "naive") {
    return nullptr;
  }
  return std::make_unique<SimpleRouter>(rules, aSeed);
}

} // namespace skylarkchute
