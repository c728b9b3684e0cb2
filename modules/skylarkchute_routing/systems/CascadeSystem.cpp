#include "CascadeSystem.h"

namespace skylarkchute {

namespace {

/** Responses of classes with a lower target latency are never held for a rating. */
constexpr std::chrono::milliseconds kMinTargetLatencyToHold{ 1000 };

bool MayHoldResponse(const RequestRow& aRow, const RequestClass& aClass)
{
  if (aRow.mFacts.mStream || aRow.mNonIdempotent || aRow.mSession || aRow.mFacts.mStartsSession) {
    return false;
  }
  return !aClass.mHedged && aClass.mTargetLatency >= kMinTargetLatencyToHold;
}

} // namespace

const Cascade* CascadeSystem::CascadeOf(const RequestRow& aRow) const
{
  const auto* requestClass = mTables.mBundle->FindClass(aRow.mFacts.mClass);
  if (requestClass == nullptr || !requestClass->mCascade) {
    return nullptr;
  }
  return mTables.mBundle->FindCascade(*requestClass->mCascade);
}

CascadeChoice CascadeSystem::ChooseModel(const RequestRow& aRow,
                                         const std::vector<ModelName>& aModels,
                                         TimePoint aNow)
{
  return mPolicy.ChooseModel(Context(aRow, aModels), aNow);
}

std::optional<CascadeChoice> CascadeSystem::ChooseEscalation(const RequestRow& aRow,
                                                             const std::vector<ModelName>& aModels,
                                                             std::optional<double> aRating,
                                                             TimePoint aNow)
{
  return mPolicy.ChooseEscalation(Context(aRow, aModels), ModelOf(*aRow.mVersion), aRating, aNow);
}

bool CascadeSystem::ShouldRequestRating(const RequestRow& aRow, const VersionId& aVersion)
{
  const auto* version = mTables.mVersions.Find(aVersion);
  if (version == nullptr) {
    return false;
  }
  const bool rolling = version->mVersion.mState == VersionState::Rolling;
  return mPolicy.ShouldRequestRating(aRow.mFacts.mClass, version->mVersion.mModel, rolling);
}

void CascadeSystem::OnRating(const VersionId& aVersion,
                             const ClassName& aClass,
                             const TeamName& aTeam,
                             double aRating,
                             TimePoint aNow)
{
  mPolicy.ReportRating(aClass, aTeam, ModelOf(aVersion), aRating, aNow);
}

void CascadeSystem::OnFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow)
{
  std::vector<CascadeEvidence> ratings;
  for (const auto& it : aEvidence) {
    const auto model = ModelOf(it.mVersion);
    if (it.mRated > 0 && !model.IsEmpty()) {
      ratings.push_back({ model, it.mClass, it.mTeam, it.mRated, it.mRatedGood });
    }
  }
  mPolicy.MergeFleetEvidence(ratings, aNow);
}

CascadeContext CascadeSystem::Context(const RequestRow& aRow,
                                      const std::vector<ModelName>& aModels) const
{
  const auto& requestClass = *mTables.mBundle->FindClass(aRow.mFacts.mClass);
  CascadeContext context;
  context.mClass = aRow.mFacts.mClass;
  context.mTeam = aRow.mTeam;
  context.mQualityTarget = requestClass.mQualityTarget;
  context.mMayHold = MayHoldResponse(aRow, requestClass);
  for (const auto& it : aModels) {
    const auto* model = mTables.mBundle->FindModel(it);
    context.mCandidates.push_back({ it, model->mPricePerThousandTokens, model->mQuality });
  }
  return context;
}

ModelName CascadeSystem::ModelOf(const VersionId& aVersion) const
{
  const auto* version = mTables.mVersions.Find(aVersion);
  return version == nullptr ? ModelName() : version->mVersion.mModel;
}

} // namespace skylarkchute
