#include "CascadePolicy.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

/** Kept above the quality target against the error of sampled ratings. */
constexpr double kMargin = 0.004;
/** Taken off a learned quality while ratings are missing or not trusted. */
constexpr double kDoubt = 0.02;
constexpr double kLargestSurplus = 5;
constexpr double kLargestDebt = 10;
/** Share of answers rated when they are not held. */
constexpr double kSampleShare = 0.15;
/** Ratings up to which every answer of a model is rated. */
constexpr double kLearnRatings = 300;
/** Share of requests that try a cheaper model which the balance does not allow, to keep its
    ratings fresh. */
constexpr double kExploreShare = 0.01;
/** Team ratings at which a team counts as much as its class. */
constexpr double kTeamRatings = 30;
/** Prior of a model that was rated before the bundle told its quality. */
constexpr double kUnknownQuality = 0.5;
constexpr double kGoodRating = 0.5;
/** A suspicious level is accepted when it has lasted for this long. */
constexpr std::chrono::hours kAcceptAfter{ 2 };

std::size_t IndexOf(const CascadeContext& aContext, const ModelName& aModel)
{
  const auto& candidates = aContext.mCandidates;
  const auto it = std::find_if(candidates.begin(), candidates.end(), [&](const auto& aCandidate) {
    return aCandidate.mModel == aModel;
  });
  return static_cast<std::size_t>(it - candidates.begin());
}

std::uint64_t GoodCount(double aRating)
{
  return aRating >= kGoodRating ? 1 : 0;
}

double Blend(double aClass, double aTeam, double aTeamRatings)
{
  const double share = aTeamRatings / (aTeamRatings + kTeamRatings);
  return share * aTeam + (1 - share) * aClass;
}

} // namespace

void CascadePolicy::Balance::Add(double aAnswers)
{
  mSurplus = std::clamp(mSurplus + aAnswers, -kLargestDebt, kLargestSurplus);
}

CascadePolicy::CascadePolicy(std::uint64_t aSeed) : mRandom(aSeed) {}

CascadeChoice CascadePolicy::ChooseModel(const CascadeContext& aContext, TimePoint aNow)
{
  assert(!aContext.mCandidates.empty());
  const auto& dearest = aContext.mCandidates.back();
  for (const auto& it : aContext.mCandidates) {
    // Too good ratings of the dearest model do no harm, and it often answers only the requests that
    // the others failed, which moves its level.
    const bool isDearest = &it == &dearest;
    const auto rule =
      isDearest ? RatingEstimate::RiseRule::Believe : RatingEstimate::RiseRule::Hold;
    mModels.try_emplace({ aContext.mClass, it.mModel }, it.mPriorQuality, rule);
  }
  return ChooseFrom(aContext, 0, aNow);
}

std::optional<CascadeChoice> CascadePolicy::AfterAnswer(const CascadeContext& aContext,
                                                        const ModelName& aAnswered,
                                                        std::optional<double> aRating,
                                                        TimePoint aNow)
{
  const auto index = IndexOf(aContext, aAnswered);
  const bool known = index < aContext.mCandidates.size();
  if (aRating) {
    mRater.ReportInTime();
    Learn({ aAnswered, aContext.mClass, aContext.mTeam, 1, GoodCount(*aRating) }, aNow);
  } else {
    mRater.ReportMissed(aNow);
  }

  const bool trusted = aRating.has_value() && !IsSuspicious(aContext.mClass);
  double quality = 0;
  if (trusted) {
    quality = *aRating >= kGoodRating ? 1 : 0;
  } else if (known) {
    quality = LowerBound(aContext, aContext.mCandidates[index]);
  }
  const bool isLast = !known || index + 1 >= aContext.mCandidates.size();
  const bool isUnbeaten = isLast || quality >= Mean(aContext, aContext.mCandidates[index + 1]);
  if (isUnbeaten || MayServe(aContext, quality)) {
    Serve(aContext, quality);
    return std::nullopt;
  }
  return ChooseFrom(aContext, index + 1, aNow);
}

bool CascadePolicy::WantsRating(const ClassName& aClass, const ModelName& aModel, bool aRolling)
{
  if (aRolling) {
    return true;
  }
  const auto it = mModels.find({ aClass, aModel });
  const bool isKnown =
    it != mModels.end() && !it->second.IsSuspicious() && it->second.Weight() >= kLearnRatings;
  return Chance(isKnown ? kSampleShare : 1);
}

void CascadePolicy::ReportRating(const ClassName& aClass,
                                 const TeamName& aTeam,
                                 const ModelName& aModel,
                                 double aRating,
                                 TimePoint aNow)
{
  const auto good = GoodCount(aRating);
  const auto balance = mBalances.find({ aClass, aTeam });
  if (balance != mBalances.end() && !IsSuspicious(aClass)) {
    // The answer was counted with a bound of the model's quality; this is what it was worth.
    CascadeContext context;
    context.mClass = aClass;
    context.mTeam = aTeam;
    const CascadeCandidate candidate{ aModel, 0, kUnknownQuality };
    balance->second.Add(static_cast<double>(good) - LowerBound(context, candidate));
  }
  Learn({ aModel, aClass, aTeam, 1, good }, aNow);
}

void CascadePolicy::MergeFleetEvidence(const std::vector<CascadeEvidence>& aEvidence,
                                       TimePoint aNow)
{
  for (const auto& it : aEvidence) {
    if (it.mRated > 0) {
      Learn(it, aNow);
    }
  }
}

double CascadePolicy::LearnedQuality(const ClassName& aClass,
                                     const TeamName& aTeam,
                                     const CascadeCandidate& aCandidate) const
{
  CascadeContext context;
  context.mClass = aClass;
  context.mTeam = aTeam;
  return Mean(context, aCandidate);
}

bool CascadePolicy::IsSuspicious(const ClassName& aClass) const
{
  return mSuspiciousSince.find(aClass) != mSuspiciousSince.end();
}

double CascadePolicy::LowerBound(const CascadeContext& aContext,
                                 const CascadeCandidate& aCandidate) const
{
  const bool isDoubtful = mRater.IsDown() || IsSuspicious(aContext.mClass);
  return LearnedBound(aContext, aCandidate) - (isDoubtful ? kDoubt : 0);
}

double CascadePolicy::LearnedBound(const CascadeContext& aContext,
                                   const CascadeCandidate& aCandidate) const
{
  const auto model = mModels.find({ aContext.mClass, aCandidate.mModel });
  if (model == mModels.end()) {
    return RatingEstimate(aCandidate.mPriorQuality).LowerBound();
  }
  const double ofClass = model->second.LowerBound();
  const auto team = mTeamModels.find({ { aContext.mClass, aContext.mTeam }, aCandidate.mModel });
  if (team == mTeamModels.end()) {
    return ofClass;
  }
  // The error of the class counts; that of a single team evens out over the teams.
  const double error = model->second.Mean() - ofClass;
  return Mean(aContext, aCandidate) - error;
}

double CascadePolicy::Mean(const CascadeContext& aContext, const CascadeCandidate& aCandidate) const
{
  const auto model = mModels.find({ aContext.mClass, aCandidate.mModel });
  if (model == mModels.end()) {
    return aCandidate.mPriorQuality;
  }
  const auto team = mTeamModels.find({ { aContext.mClass, aContext.mTeam }, aCandidate.mModel });
  if (team == mTeamModels.end()) {
    return model->second.Mean();
  }
  return Blend(model->second.Mean(), team->second.Mean(), team->second.Weight());
}

CascadePolicy::Balance& CascadePolicy::BalanceOf(const CascadeContext& aContext)
{
  const auto [it, isNew] = mBalances.try_emplace({ aContext.mClass, aContext.mTeam });
  if (isNew) {
    // A random start makes the served share of many balances meet the target on average.
    it->second.mSurplus = Draw() * aContext.mQualityTarget;
  }
  return it->second;
}

bool CascadePolicy::MayServe(const CascadeContext& aContext, double aQuality)
{
  return BalanceOf(aContext).mSurplus + aQuality - aContext.mQualityTarget - kMargin >= 0;
}

void CascadePolicy::Serve(const CascadeContext& aContext, double aQuality)
{
  BalanceOf(aContext).Add(aQuality - aContext.mQualityTarget - kMargin);
}

bool CascadePolicy::IsHoldWorthwhile(const CascadeContext& aContext, std::size_t aIndex) const
{
  const auto& candidate = aContext.mCandidates[aIndex];
  const auto& next = aContext.mCandidates[aIndex + 1];
  return candidate.mPrice < Mean(aContext, candidate) * next.mPrice;
}

CascadeChoice CascadePolicy::ChooseFrom(const CascadeContext& aContext,
                                        std::size_t aFirst,
                                        TimePoint aNow)
{
  const bool mayHold = aContext.mMayHold && !IsSuspicious(aContext.mClass) && mRater.MayWait(aNow);
  if (!mayHold) {
    return ChooseBlind(aContext, aFirst);
  }
  for (std::size_t n = aFirst; n + 1 < aContext.mCandidates.size(); ++n) {
    const auto& candidate = aContext.mCandidates[n];
    const double bound = LowerBound(aContext, candidate);
    if (bound >= aContext.mQualityTarget + kMargin) {
      Serve(aContext, bound);
      return { candidate.mModel, false };
    }
    if (IsHoldWorthwhile(aContext, n)) {
      return { candidate.mModel, true };
    }
  }
  return ChooseBlind(aContext, aContext.mCandidates.size() - 1);
}

CascadeChoice CascadePolicy::ChooseBlind(const CascadeContext& aContext, std::size_t aFirst)
{
  const auto last = aContext.mCandidates.size() - 1;
  for (std::size_t n = aFirst; n < last; ++n) {
    const auto& candidate = aContext.mCandidates[n];
    const double bound = LowerBound(aContext, candidate);
    if (MayServe(aContext, bound) || Chance(kExploreShare)) {
      Serve(aContext, bound);
      return { candidate.mModel, false };
    }
  }
  const auto& dearest = aContext.mCandidates[last];
  Serve(aContext, LowerBound(aContext, dearest));
  return { dearest.mModel, false };
}

void CascadePolicy::Learn(const CascadeEvidence& aEvidence, TimePoint aNow)
{
  const ModelKey key{ aEvidence.mClass, aEvidence.mModel };
  auto& model = mModels.try_emplace(key, kUnknownQuality).first->second;
  model.Add(aEvidence.mRated, aEvidence.mRatedGood);
  FollowSuspicion(aEvidence.mClass, aNow);
  if (IsSuspicious(aEvidence.mClass)) {
    return;
  }
  const TeamModelKey teamKey{ { aEvidence.mClass, aEvidence.mTeam }, aEvidence.mModel };
  const auto believe = RatingEstimate::RiseRule::Believe;
  auto& team = mTeamModels.try_emplace(teamKey, model.Mean(), believe).first->second;
  team.Add(aEvidence.mRated, aEvidence.mRatedGood);
}

void CascadePolicy::FollowSuspicion(const ClassName& aClass, TimePoint aNow)
{
  std::vector<RatingEstimate*> suspicious;
  const ModelKey first{ aClass, ModelName() };
  for (auto it = mModels.lower_bound(first); it != mModels.end(); ++it) {
    if (it->first.mClass != aClass) {
      break;
    }
    if (it->second.IsSuspicious()) {
      suspicious.push_back(&it->second);
    }
  }
  if (suspicious.empty()) {
    mSuspiciousSince.erase(aClass);
    return;
  }
  const auto since = mSuspiciousSince.try_emplace(aClass, aNow).first->second;
  if (aNow - since < kAcceptAfter) {
    return;
  }
  for (auto* it : suspicious) {
    it->AcceptLevel();
  }
  mSuspiciousSince.erase(aClass);
}

bool CascadePolicy::Chance(double aProbability)
{
  return Draw() < aProbability;
}

double CascadePolicy::Draw()
{
  return boost::random::uniform_01<double>()(mRandom);
}

} // namespace skylarkchute
