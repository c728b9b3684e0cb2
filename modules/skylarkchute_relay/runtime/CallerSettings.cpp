#include "CallerSettings.h"

#include <algorithm>
#include <sys/resource.h>

namespace skylarkchute {

namespace {

constexpr std::size_t kBytesPerMb = 1024 * 1024;

/** Part of the machine's memory for what callers hold. The program itself takes about 20 MB, and
    answers that are not complete yet up to 24 MB; together that fits a machine of 88 MB. */
constexpr std::size_t kMemoryDivisor = 4;

/** The largest body that configurations allow has to fit beside some connections. */
constexpr std::size_t kMinBytes = 8 * kBytesPerMb;

/** Part of the descriptors for callers, in per cent. A request takes a second one for its
    endpoint, and the rest is for store, instances and control. */
constexpr std::size_t kCallerPerCent = 40;
constexpr std::size_t kPerCent = 100;

/** Part of the descriptors for each of the three control addresses. */
constexpr std::size_t kControlDivisor = 20;
constexpr std::size_t kMinControlConnections = 8;

/** The largest deployments have 295 instances, which may all call at once. */
constexpr std::size_t kMaxControlConnections = 320;

} // namespace

std::size_t CallerSettings::Descriptors() const
{
  rlimit limit{};
  if (mDescriptors > 0) {
    return mDescriptors;
  }
  return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur
                                                 : 2 * CallerGuardLimits::kDefaultConnections;
}

CallerGuardLimits CallerSettings::Limits() const
{
  CallerGuardLimits limits;
  if (mMemoryMb > 0) {
    limits.mBounds.mBytes = std::max(mMemoryMb * kBytesPerMb / kMemoryDivisor, kMinBytes);
  }
  const auto derived = std::max<std::size_t>(Descriptors() * kCallerPerCent / kPerCent, 1);
  limits.mBounds.mConnections =
    mDescriptors > 0 ? derived : std::min(derived, CallerGuardLimits::kDefaultConnections);
  if (mConnections > 0) {
    limits.mBounds.mConnections = mConnections;
  }
  limits.mHeaderLines = mHeaderLines;
  limits.mBodyRate = mBodyRate;
  return limits;
}

std::size_t CallerSettings::ControlConnections() const
{
  return std::clamp(
    Descriptors() / kControlDivisor, kMinControlConnections, kMaxControlConnections);
}

} // namespace skylarkchute
