#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace skylarkchute {

/** Tells for how long other instances have had a newer configuration in force than this one.
    Performs no I/O. */
class ConfigLag
{
public:
  /** A lag of this time is reported. Changes reach all instances within some ten milliseconds. */
  static constexpr std::chrono::milliseconds kReportTime{ 800 };

  /** What this instance lacks. */
  struct Report
  {
    std::uint64_t mVersion = 0; /**< Newest version that an instance has named. */
    std::string mInstance;      /**< The first one that named it. */
    std::chrono::milliseconds mLag{ 0 };
  };

  /** Records the version that another instance has in force; zero for none. */
  void OnNamed(std::uint64_t aVersion, const std::string& aInstance, TimePoint aNow);

  /** Records the version in force here; zero for none. */
  void OnInForce(std::uint64_t aVersion);

  /** Returns the time since a version newer than the one in force was first named; zero if none
      was. */
  std::chrono::milliseconds Lag(TimePoint aNow) const;

  /** Returns the lag once it has reached kReportTime; once until the instance has caught up. */
  std::optional<Report> TakeReport(TimePoint aNow);

private:
  struct Named
  {
    TimePoint mAt;
    std::string mInstance;
  };

  std::uint64_t mInForce = 0;
  std::map<std::uint64_t, Named> mNewer; /**< Versions after mInForce, by when first named. */
  bool mIsReported = false;
};

} // namespace skylarkchute
