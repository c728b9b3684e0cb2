#include "CascadePolicy.h"

#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

/** Safety margin above the quality target, for the sampling error of the ratings. */
constexpr double kQualityMargin = 0.004;
/** Subtracted from the lower bound of the quality while ratings are missing or suspicious. */
constexpr double kUntrustedQualityPenalty = 0.02;
/** Limits of a quality balance, in answers. */
constexpr double kMaxSurplus = 5;
constexpr double kMaxDeficit = 10;
/** Share of the answers not held for a rating that is rated after the warm-up. */
constexpr double kRatingSampleShare = 0.15;
/** Number of ratings of a model before its answers are sampled; until then, all are rated. */
constexpr double kWarmUpRatings = 300;
/** Probability of using a cheaper model although the balance does not allow it, so that its ratings
    stay up to date. */
constexpr double kExplorationProbability = 0.01;
/** Number of team ratings at which the team's estimate and the class's have equal weight. */
constexpr double kTeamShrinkageRatings = 30;
/** Prior quality of a model whose ratings arrive before its first cascade choice. */
constexpr double kDefaultPriorQuality = 0.5;
/** Lowest rating, 0 to 1, that counts as good. */
constexpr double kGoodRatingThreshold = 0.5;
/** Time after which a persistent suspicious rating level is accepted. */
constexpr std::chrono::hours kSuspicionTimeout{ 2 };

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
  return aRating >= kGoodRatingThreshold ? 1 : 0;
}

double Blend(double aClass, double aTeam, double aTeamRatings)
{
  const double share = aTeamRatings / (aTeamRatings + kTeamShrinkageRatings);
  return share * aTeam + (1 - share) * aClass;
}

} // namespace

void CascadePolicy::QualityBalance::Add(double aAnswers)
{
  mSurplus = std::clamp(mSurplus + aAnswers, -kMaxDeficit, kMaxSurplus);
}

CascadePolicy::CascadePolicy(std::uint64_t aSeed) : mRandom(aSeed) {}

CascadeChoice CascadePolicy::ChooseModel(const CascadeContext& aContext, TimePoint aNow)
{
  assert(!aContext.mCandidates.empty());
  const auto& mostExpensive = aContext.mCandidates.back();
  for (const auto& it : aContext.mCandidates) {
    // Inflated ratings of the most expensive model do no harm. Its rating level may also change
    // legitimately, since it often answers only the requests that the other models failed.
    const bool isMostExpensive = &it == &mostExpensive;
    const auto risePolicy =
      isMostExpensive ? RatingEstimate::RisePolicy::Accept : RatingEstimate::RisePolicy::Ignore;
    mModels.try_emplace({ aContext.mClass, it.mModel }, it.mPriorQuality, risePolicy);
  }
  return ChooseFrom(aContext, 0, aNow);
}

std::optional<CascadeChoice> CascadePolicy::ChooseEscalation(const CascadeContext& aContext,
                                                             const ModelName& aAnswered,
                                                             std::optional<double> aRating,
                                                             TimePoint aNow)
{
  const auto index = IndexOf(aContext, aAnswered);
  const bool isCandidate = index < aContext.mCandidates.size();
  if (aRating) {
    mRater.OnRating();
    AddEvidence({ aAnswered, aContext.mClass, aContext.mTeam, 1, GoodCount(*aRating) }, aNow);
  } else {
    mRater.OnTimeout(aNow);
  }

  const bool trusted = aRating.has_value() && !IsSuspicious(aContext.mClass);
  double quality = 0;
  if (trusted) {
    quality = *aRating >= kGoodRatingThreshold ? 1 : 0;
  } else if (isCandidate) {
    quality = LowerBound(aContext, aContext.mCandidates[index]);
  }
  const bool isLast = !isCandidate || index + 1 >= aContext.mCandidates.size();
  const bool isBestAvailable = isLast || quality >= Mean(aContext, aContext.mCandidates[index + 1]);
  if (isBestAvailable || MayServe(aContext, quality)) {
    RecordServed(aContext, quality);
    return std::nullopt;
  }
  return ChooseFrom(aContext, index + 1, aNow);
}

bool CascadePolicy::ShouldRequestRating(const ClassName& aClass,
                                        const ModelName& aModel,
                                        bool aRolling)
{
  if (aRolling) {
    return true;
  }
  const auto it = mModels.find({ aClass, aModel });
  const bool isKnown =
    it != mModels.end() && !it->second.IsSuspicious() && it->second.Weight() >= kWarmUpRatings;
  return DrawBernoulli(isKnown ? kRatingSampleShare : 1);
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
    // The answer was counted with a lower bound of the model's quality; corrects the balance by the
    // difference from the actual rating.
    CascadeContext context;
    context.mClass = aClass;
    context.mTeam = aTeam;
    const CascadeCandidate candidate{ aModel, 0, kDefaultPriorQuality };
    balance->second.Add(static_cast<double>(good) - LowerBound(context, candidate));
  }
  AddEvidence({ aModel, aClass, aTeam, 1, good }, aNow);
}

void CascadePolicy::MergeFleetEvidence(const std::vector<CascadeEvidence>& aEvidence,
                                       TimePoint aNow)
{
  for (const auto& it : aEvidence) {
    if (it.mRated > 0) {
      AddEvidence(it, aNow);
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
  const bool isUntrusted = mRater.IsDown() || IsSuspicious(aContext.mClass);
  return LearnedBound(aContext, aCandidate) - (isUntrusted ? kUntrustedQualityPenalty : 0);
}

double CascadePolicy::LearnedBound(const CascadeContext& aContext,
                                   const CascadeCandidate& aCandidate) const
{
  const auto model = mModels.find({ aContext.mClass, aCandidate.mModel });
  if (model == mModels.end()) {
    return RatingEstimate(aCandidate.mPriorQuality).LowerBound();
  }
  const double classBound = model->second.LowerBound();
  const auto team = mTeamModels.find({ { aContext.mClass, aContext.mTeam }, aCandidate.mModel });
  if (team == mTeamModels.end()) {
    return classBound;
  }
  // Uses only the class's estimation error; the errors of the teams average out over the teams.
  const double error = model->second.Mean() - classBound;
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

CascadePolicy::QualityBalance& CascadePolicy::GetBalance(const CascadeContext& aContext)
{
  const auto [it, isNew] = mBalances.try_emplace({ aContext.mClass, aContext.mTeam });
  if (isNew) {
    // With a random initial surplus, many new balances together meet the target on average.
    it->second.mSurplus = Draw() * aContext.mQualityTarget;
  }
  return it->second;
}

bool CascadePolicy::MayServe(const CascadeContext& aContext, double aQuality)
{
  return GetBalance(aContext).mSurplus + aQuality - aContext.mQualityTarget - kQualityMargin >= 0;
}

void CascadePolicy::RecordServed(const CascadeContext& aContext, double aQuality)
{
  GetBalance(aContext).Add(aQuality - aContext.mQualityTarget - kQualityMargin);
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
    return ChooseWithoutRating(aContext, aFirst);
  }
  for (std::size_t n = aFirst; n + 1 < aContext.mCandidates.size(); ++n) {
    const auto& candidate = aContext.mCandidates[n];
    const double bound = LowerBound(aContext, candidate);
    if (bound >= aContext.mQualityTarget + kQualityMargin) {
      RecordServed(aContext, bound);
      return { candidate.mModel, false };
    }
    if (IsHoldWorthwhile(aContext, n)) {
      return { candidate.mModel, true };
    }
  }
  return ChooseWithoutRating(aContext, aContext.mCandidates.size() - 1);
}

CascadeChoice CascadePolicy::ChooseWithoutRating(const CascadeContext& aContext, std::size_t aFirst)
{
  const auto last = aContext.mCandidates.size() - 1;
  for (std::size_t n = aFirst; n < last; ++n) {
    const auto& candidate = aContext.mCandidates[n];
    const double bound = LowerBound(aContext, candidate);
    if (MayServe(aContext, bound) || DrawBernoulli(kExplorationProbability)) {
      RecordServed(aContext, bound);
      return { candidate.mModel, false };
    }
  }
  const auto& mostExpensive = aContext.mCandidates[last];
  RecordServed(aContext, LowerBound(aContext, mostExpensive));
  return { mostExpensive.mModel, false };
}

void CascadePolicy::AddEvidence(const CascadeEvidence& aEvidence, TimePoint aNow)
{
  const ModelKey key{ aEvidence.mClass, aEvidence.mModel };
  auto& model = mModels.try_emplace(key, kDefaultPriorQuality).first->second;
  model.Add(aEvidence.mRated, aEvidence.mRatedGood);
  UpdateSuspicion(aEvidence.mClass, aNow);
  if (IsSuspicious(aEvidence.mClass)) {
    return;
  }
  const TeamModelKey teamKey{ { aEvidence.mClass, aEvidence.mTeam }, aEvidence.mModel };
  const auto accept = RatingEstimate::RisePolicy::Accept;
  auto& team = mTeamModels.try_emplace(teamKey, model.Mean(), accept).first->second;
  team.Add(aEvidence.mRated, aEvidence.mRatedGood);
}

void CascadePolicy::UpdateSuspicion(const ClassName& aClass, TimePoint aNow)
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
  if (aNow - since < kSuspicionTimeout) {
    return;
  }
  for (auto* it : suspicious) {
    it->AcceptLevel();
  }
  mSuspiciousSince.erase(aClass);
}

bool CascadePolicy::DrawBernoulli(double aProbability)
{
  return Draw() < aProbability;
}

double CascadePolicy::Draw()
{
  return boost::random::uniform_01<double>()(mRandom);
}

} // namespace skylarkchute
