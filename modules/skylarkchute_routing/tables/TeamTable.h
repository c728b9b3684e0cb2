#pragma once

#include "TokenBucket.h"

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <map>

namespace skylarkchute {

/** Demand within one time window. */
struct DemandWindow
{
  TimePoint mSince{};
  double mRequests = 0;
  double mTokens = 0;
};

/** Tokens of recent complete answers, prompts included, weighted exponentially by their age in
    answers. */
struct AnswerSizes
{
  double mTokens = 0;
  double mSquaredTokens = 0;

  /** Returns the mean size of the answer that a token belongs to; zero before any answer. Exceeds
      the mean over answers where few large ones take most of the tokens. */
  double MeanOverTokens() const { return mTokens > 0 ? mSquaredTokens / mTokens : 0; }
};

/** The state that one instance keeps for a team. */
struct TeamRow
{
  bool mHasShare = false; /**< Whether mShare has been assigned. */
  LimitShare mShare;
  TokenBucket mRequests;
  TokenBucket mTokens;
  AnswerSizes mAnswerSizes;
  std::uint32_t mInFlight = 0; /**< Admitted requests that have not ended. */
  DemandWindow mCurrent;
  DemandWindow mLast;
  double mLastSeconds = 0; /**< Length of mLast. */
};

/** The teams, by name. */
class TeamTable
{
public:
  using Rows = std::map<TeamName, TeamRow>;

  /** Returns the row of a team; creates it if it does not exist. */
  TeamRow& Get(const TeamName& aName) { return mRows[aName]; }

  /** Returns all rows, ordered by name. */
  Rows& All() { return mRows; }
  const Rows& All() const { return mRows; }

private:
  Rows mRows;
};

} // namespace skylarkchute
