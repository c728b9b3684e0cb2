#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <map>
#include <string>

namespace skylarkchute {

/** The usual request rate of each team at this instance. A burst raises it slowly, so that a team
    that sends far more than usual is not entitled to more room for it. Performs no I/O. */
class UsualRates
{
public:
  /** Counts a request of a team. */
  void OnRequest(const std::string& aTeam, TimePoint aNow);

  /** Returns the usual requests per second of a team, above zero. */
  double RateOf(const std::string& aTeam) const;

private:
  struct Team
  {
    double mRate = 0;
    bool mHasRate = false;
    std::size_t mCount = 0; /**< In the window in progress. */
  };

  void EndWindows(TimePoint aNow);

  std::map<std::string, Team> mTeams;
  TimePoint mWindowStart{};
};

} // namespace skylarkchute
