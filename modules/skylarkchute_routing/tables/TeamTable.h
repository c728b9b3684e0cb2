#pragma once

#include "TokenBucket.h"

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <map>

namespace skylarkchute {

/** Demand counted in one window. */
struct DemandWindow
{
  TimePoint mSince{};
  double mRequests = 0;
  double mTokens = 0;
};

/** What one instance knows of one team. */
struct TeamRow
{
  bool mHasShare = false; /**< Whether a share of the limits was given. */
  LimitShare mShare;
  TokenBucket mRequests;
  TokenBucket mTokens;
  std::uint32_t mInFlight = 0; /**< Requests admitted and not ended. */
  DemandWindow mCurrent;
  DemandWindow mLast;
  double mLastSeconds = 0; /**< Length of the last window. */
};

/** The teams, by name. */
class TeamTable
{
public:
  using Rows = std::map<TeamName, TeamRow>;

  /** Returns the row of a team, made when it is new. */
  TeamRow& Get(const TeamName& aName) { return mRows[aName]; }

  /** Returns every row, ordered by name. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

private:
  Rows mRows;
};

} // namespace skylarkchute
