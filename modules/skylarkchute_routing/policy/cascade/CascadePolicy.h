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

/** A model that may answer, with its price and prior quality from the bundle. */
struct CascadeCandidate
{
  ModelName mModel;
  double mPrice = 0;        /**< Per thousand tokens. */
  double mPriorQuality = 0; /**< Expected share of good answers before any rating. */
};

/** The inputs of a cascade decision. */
struct CascadeContext
{
  ClassName mClass;
  TeamName mTeam;
  double mQualityTarget = 0; /**< Minimum share of answers rated good, 0 to 1. */
  /** Allowed models that are available now, cheapest first; at least one. */
  std::vector<CascadeCandidate> mCandidates;
  /** Whether the answer may be held until it is rated. False for streamed answers and for
      classes with a short target latency, such as status checks. */
  bool mMayHold = false;
};

/** The model to use for the next attempt. */
struct CascadeChoice
{
  ModelName mModel;
  /** Whether to hold the answer until its rating is known, and then to call ChooseEscalation. */
  bool mHoldForRating = false;
};

/** Counts of the ratings of one model. */
struct CascadeEvidence
{
  ModelName mModel;
  ClassName mClass;
  TeamName mTeam;
  std::uint64_t mRated = 0;
  std::uint64_t mRatedGood = 0;
};

/** Chooses between cheaper and more expensive models: minimizes cost subject to a quality target.

    Each (class, team) has a balance: the number of good answers served, less the number that its
    quality target requires. An answer of a cheaper model is served only while the balance stays at
    or above zero. Each answer counts with its own rating if it was held for one, else with a lower
    confidence bound of the model's estimated quality.

    While no ratings arrive (rating service down or slow), decisions use the bounds estimated so
    far. Ratings above the accepted level are ignored until the rise has persisted for two hours,
    which limits the effect of a biased rating service. */
class CascadePolicy
{
public:
  /** @param aSeed  random seed for rating samples, exploration and initial balances */
  explicit CascadePolicy(std::uint64_t aSeed);

  /** Returns the model to try first. Counts its answer as served unless it is held. */
  CascadeChoice ChooseModel(const CascadeContext& aContext, TimePoint aNow);

  /** Decides whether a held answer is served. Counts it as served when nothing is returned.
      @param aAnswered  the model that gave the answer
      @param aRating    0 to 1; empty when none arrived within the wait
      @returns the model to use instead, or nothing when the answer is served */
  std::optional<CascadeChoice> ChooseEscalation(const CascadeContext& aContext,
                                                const ModelName& aAnswered,
                                                std::optional<double> aRating,
                                                TimePoint aNow);

  /** Returns whether an answer that is not held should be rated; a random sample is.
      @param aRolling  whether the answer is from a rolling version; all of those are rated */
  bool ShouldRequestRating(const ClassName& aClass, const ModelName& aModel, bool aRolling);

  /** Records the rating, 0 to 1, of an answer that was not held. */
  void ReportRating(const ClassName& aClass,
                    const TeamName& aTeam,
                    const ModelName& aModel,
                    double aRating,
                    TimePoint aNow);

  /** Adds rating counts from other instances. */
  void MergeFleetEvidence(const std::vector<CascadeEvidence>& aEvidence, TimePoint aNow);

  /** Returns the estimated share of good answers, 0 to 1; the prior if there are no ratings. */
  double LearnedQuality(const ClassName& aClass,
                        const TeamName& aTeam,
                        const CascadeCandidate& aCandidate) const;

  /** Returns whether ratings of the class are suspicious and therefore ignored. */
  bool IsSuspicious(const ClassName& aClass) const;

  /** Returns whether the rating service is considered down. */
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

  /** Number of good answers served beyond the quality target; negative for a deficit. */
  struct QualityBalance
  {
    double mSurplus = 0;

    void Add(double aAnswers);
  };

  /** Returns a lower bound of the model's quality, less a penalty while ratings are missing or
      suspicious. */
  double LowerBound(const CascadeContext& aContext, const CascadeCandidate& aCandidate) const;
  /** Returns the lower confidence bound that follows from the ratings or the prior. */
  double LearnedBound(const CascadeContext& aContext, const CascadeCandidate& aCandidate) const;
  double Mean(const CascadeContext& aContext, const CascadeCandidate& aCandidate) const;
  QualityBalance& GetBalance(const CascadeContext& aContext);
  /** Returns whether the balance stays at or above zero if an answer is served. */
  bool MayServe(const CascadeContext& aContext, double aQuality);
  void RecordServed(const CascadeContext& aContext, double aQuality);
  /** Returns whether trying a model and holding its answer is expected to cost less than using the
      next model directly. */
  bool IsHoldWorthwhile(const CascadeContext& aContext, std::size_t aIndex) const;
  /** Chooses among the candidates from index @p aFirst on. */
  CascadeChoice ChooseFrom(const CascadeContext& aContext, std::size_t aFirst, TimePoint aNow);
  /** Like ChooseFrom, but never holds the answer. */
  CascadeChoice ChooseWithoutRating(const CascadeContext& aContext, std::size_t aFirst);
  void AddEvidence(const CascadeEvidence& aEvidence, TimePoint aNow);
  /** Updates the suspicious state of a class; accepts its rating levels after the timeout. */
  void UpdateSuspicion(const ClassName& aClass, TimePoint aNow);
  bool DrawBernoulli(double aProbability);
  double Draw();

  boost::random::mt19937_64 mRandom;
  RaterHealth mRater;
  std::map<ModelKey, RatingEstimate> mModels;
  std::map<TeamModelKey, RatingEstimate> mTeamModels;
  std::map<TeamKey, QualityBalance> mBalances;
  std::map<ClassName, TimePoint> mSuspiciousSince;
};

} // namespace skylarkchute
