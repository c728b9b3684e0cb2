#pragma once

#include "RaterHealth.h"
#include "RatingEstimate.h"

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace skylarkchute {

/** One model that may answer, with what the bundle says of it. */
struct CascadeCandidate
{
  ModelName mModel;
  double mPrice = 0;        /**< Per thousand tokens. */
  double mPriorQuality = 0; /**< Expected share of good answers before any rating. */
};

/** What a cascade decision depends on. */
struct CascadeContext
{
  ClassName mClass;
  TeamName mTeam;
  double mQualityTarget = 0; /**< Least share of answers rated good. */
  /** Allowed models that can answer at this moment, cheapest first, at least one. */
  std::vector<CascadeCandidate> mCandidates;
  /** Whether the answer may be held back for its rating. False for streamed answers and for
      classes with a short target latency, such as status checks. */
  bool mMayHold = false;
};

/** The model for the next attempt. */
struct CascadeChoice
{
  ModelName mModel;
  /** Keep the answer from the caller until its rating is known, then call AfterAnswer. */
  bool mHoldForRating = false;
};

/** Ratings of one model gathered by another instance. */
struct CascadeEvidence
{
  ModelName mModel;
  ClassName mClass;
  TeamName mTeam;
  std::uint64_t mRated = 0;
  std::uint64_t mRatedGood = 0;
};

/** Chooses between cheap and dear models.

    Each (class, team) has a balance of good answers served against its quality target. An answer is
    served from a cheaper model only while the balance stays at or above zero, counted with a lower
    bound of that model's learned quality, or with the answer's own rating where it may be held back
    for it. So the cost is lowered as far as the quality target allows, never further.

    Without ratings (service down or slow), decisions rest on the bounds learned so far. Ratings
    that rise above the level accepted so far are not learned from for a stated time, which bounds
    the harm of a biased rater. */
class CascadePolicy
{
public:
  /** @param aSeed  for the sampling of ratings and of models without recent ratings */
  explicit CascadePolicy(std::uint64_t aSeed);

  /** Returns the first model for a request. Counts the answer as served unless it is held. */
  CascadeChoice ChooseModel(const CascadeContext& aContext, TimePoint aNow);

  /** Decides on a held answer. Counts it as served when nothing is returned.
      @param aAnswered  the model that gave the answer
      @param aRating    0 to 1; empty when it did not come within the wait
      @returns the model to ask instead, or nothing when the answer goes to the caller */
  std::optional<CascadeChoice> AfterAnswer(const CascadeContext& aContext,
                                           const ModelName& aAnswered,
                                           std::optional<double> aRating,
                                           TimePoint aNow);

  /** Returns whether an answer that is not held should be rated, by sampling.
      @param aRolling  the answer comes from a rolling version, whose answers are all rated */
  bool WantsRating(const ClassName& aClass, const ModelName& aModel, bool aRolling);

  /** Reports the rating, 0 to 1, of an answer that was not held. */
  void ReportRating(const ClassName& aClass,
                    const TeamName& aTeam,
                    const ModelName& aModel,
                    double aRating,
                    TimePoint aNow);

  /** Takes in ratings of other instances. */
  void MergeFleetEvidence(const std::vector<CascadeEvidence>& aEvidence, TimePoint aNow);

  /** Returns the learned share of good answers, or the prior. */
  double LearnedQuality(const ClassName& aClass,
                        const TeamName& aTeam,
                        const CascadeCandidate& aCandidate) const;

  /** Returns whether ratings of the class are held back as suspicious. */
  bool IsSuspicious(const ClassName& aClass) const;

  /** Returns whether the rating service counts as down. */
  bool IsRaterDown() const { return mRater.IsDown(); }

private:
  struct ModelKey
  {
    ClassName mClass;
    ModelName mModel;
    auto operator<=>(const ModelKey&) const = default;
  };

  struct TeamKey
  {
    ClassName mClass;
    TeamName mTeam;
    auto operator<=>(const TeamKey&) const = default;
  };

  struct TeamModelKey
  {
    TeamKey mTeam;
    ModelName mModel;
    auto operator<=>(const TeamModelKey&) const = default;
  };

  /** Good answers served beyond the target. */
  struct Balance
  {
    double mSurplus = 0;

    void Add(double aAnswers);
  };

  double LowerBound(const CascadeContext& aContext, const CascadeCandidate& aCandidate) const;
  double LearnedBound(const CascadeContext& aContext, const CascadeCandidate& aCandidate) const;
  double Mean(const CascadeContext& aContext, const CascadeCandidate& aCandidate) const;
  Balance& BalanceOf(const CascadeContext& aContext);
  bool MayServe(const CascadeContext& aContext, double aQuality);
  void Serve(const CascadeContext& aContext, double aQuality);
  bool IsHoldWorthwhile(const CascadeContext& aContext, std::size_t aIndex) const;
  CascadeChoice ChooseFrom(const CascadeContext& aContext, std::size_t aFirst, TimePoint aNow);
  CascadeChoice ChooseBlind(const CascadeContext& aContext, std::size_t aFirst);
  void Learn(const CascadeEvidence& aEvidence, TimePoint aNow);
  void FollowSuspicion(const ClassName& aClass, TimePoint aNow);
  bool Chance(double aProbability);
  double Draw();

  boost::random::mt19937_64 mRandom;
  RaterHealth mRater;
  std::map<ModelKey, RatingEstimate> mModels;
  std::map<TeamModelKey, RatingEstimate> mTeamModels;
  std::map<TeamKey, Balance> mBalances;
  std::map<ClassName, TimePoint> mSuspiciousSince;
};

} // namespace skylarkchute
