#include "VersionChoice.h"

#include "Refusals.h"

#include <algorithm>

namespace skylarkchute {

namespace {

const ModelName kAuto{ "auto" };

/** Returns the roll that brings this version in, or null. */
const RollPlan* RollTo(const Bundle& aBundle, const VersionId& aVersion)
{
  const auto it = std::find_if(aBundle.mRolls.begin(),
                               aBundle.mRolls.end(),
                               [&](const RollPlan& aPlan) { return aPlan.mTo == aVersion; });
  return it == aBundle.mRolls.end() ? nullptr : &*it;
}

/** Returns the roll that takes this version out, or null. */
const RollPlan* RollFrom(const Bundle& aBundle, const VersionId& aVersion)
{
  const auto it = std::find_if(aBundle.mRolls.begin(),
                               aBundle.mRolls.end(),
                               [&](const RollPlan& aPlan) { return aPlan.mFrom == aVersion; });
  return it == aBundle.mRolls.end() ? nullptr : &*it;
}

} // namespace

VersionDecision VersionChoice::Choose(RequestRow& aRow, TimePoint aNow)
{
  const auto& facts = aRow.mFacts;
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  if (team == nullptr) {
    return NotRunRefusal(facts.mId, 403, refusal::kModelNotAllowed, "The team is gone.");
  }
  if (facts.mPinnedVersion) {
    return ChooseNamed(aRow, *facts.mPinnedVersion);
  }
  if (facts.mVersion) {
    return ChooseNamed(aRow, *facts.mVersion);
  }
  if (!facts.mModel || facts.mModel->IsEmpty() || *facts.mModel == kAuto) {
    return ChooseByClass(aRow, *team, aNow);
  }
  const auto version = ChooseOfModel(*team, *facts.mModel, aNow);
  if (version) {
    return *version;
  }
  return NotRunRefusal(
    facts.mId, 403, refusal::kModelNotAllowed, "The team may use no version of this model.");
}

bool VersionChoice::IsUsable(const RequestRow& aRow, const VersionId& aVersion) const
{
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  const auto* row = mTables.mVersions.Find(aVersion);
  return team != nullptr && row != nullptr && MayUse(*team, *row);
}

std::optional<VersionId> VersionChoice::ChooseOfModel(const Team& aTeam,
                                                      const ModelName& aModel,
                                                      TimePoint aNow)
{
  std::vector<const VersionRow*> settled;
  std::vector<const VersionRow*> rolling;
  for (const auto& it : mTables.mVersions.All()) {
    const auto& row = it.second;
    if (row.mVersion.mModel != aModel || !MayUse(aTeam, row)) {
      continue;
    }
    const bool isRolling =
      row.mVersion.mState == VersionState::Rolling || RollTo(*mTables.mBundle, it.first) != nullptr;
    (isRolling ? rolling : settled).push_back(&row);
  }
  for (const auto* it : rolling) {
    const bool drawn = mTables.Draw() * 100 < it->mRollPercent;
    if (drawn && IsHosted(it->mVersion.mId, aNow)) {
      return it->mVersion.mId;
    }
  }
  if (settled.empty()) {
    const auto it = std::find_if(rolling.begin(), rolling.end(), [](const VersionRow* aRow) {
      return aRow->mRollPercent > 0;
    });
    return it == rolling.end() ? std::nullopt : std::optional((*it)->mVersion.mId);
  }
  const auto replaced = [&](const VersionRow* aRow) {
    return RollFrom(*mTables.mBundle, aRow->mVersion.mId) == nullptr;
  };
  const auto hosted = [&](const VersionRow* aRow) { return IsHosted(aRow->mVersion.mId, aNow); };
  if (!rolling.empty() && !std::all_of(settled.begin(), settled.end(), replaced)) {
    std::erase_if(settled, replaced);
  }
  if (std::any_of(settled.begin(), settled.end(), hosted)) {
    std::erase_if(settled, [&](const VersionRow* aRow) { return !hosted(aRow); });
  }
  const auto n = static_cast<std::size_t>(mTables.Draw() * static_cast<double>(settled.size()));
  return settled[n]->mVersion.mId;
}

VersionDecision VersionChoice::ChooseNamed(const RequestRow& aRow, const VersionId& aVersion) const
{
  const auto& id = aRow.mFacts.mId;
  if (IsUsable(aRow, aVersion)) {
    return aVersion;
  }
  const bool known = mTables.mBundle->FindVersion(aVersion) != nullptr;
  const bool gone = known && !mTables.mVersions.IsUsable(aVersion);
  if (gone || (aRow.mSession && !known)) {
    return NotRunRefusal(id, 410, refusal::kVersionWithdrawn, "The version has been withdrawn.");
  }
  return NotRunRefusal(id, 403, refusal::kVersionNotAllowed, "The team may not use this version.");
}

VersionDecision VersionChoice::ChooseByClass(RequestRow& aRow, const Team& aTeam, TimePoint aNow)
{
  std::optional<VersionId> fallback;
  for (const auto& it : ModelsInOrder(aRow, aTeam)) {
    const auto version = ChooseOfModel(aTeam, it, aNow);
    if (!version) {
      continue;
    }
    if (IsHosted(*version, aNow)) {
      return *version;
    }
    if (!fallback) {
      fallback = version;
    }
  }
  if (fallback) {
    return *fallback;
  }
  return NotRunRefusal(aRow.mFacts.mId,
                       403,
                       refusal::kModelNotAllowed,
                       "The team may use no model that serves this class.");
}

std::vector<ModelName> VersionChoice::ModelsInOrder(const RequestRow& aRow, const Team& aTeam) const
{
  const auto& bundle = *mTables.mBundle;
  const auto* requestClass = bundle.FindClass(aRow.mFacts.mClass);
  const double target = requestClass == nullptr ? 0 : requestClass->mQualityTarget;
  std::vector<const Model*> good;
  std::vector<const Model*> others;
  const auto* cascade = requestClass != nullptr && requestClass->mCascade
                          ? bundle.FindCascade(*requestClass->mCascade)
                          : nullptr;
  for (const auto& it : bundle.mModels) {
    const bool inCascade =
      cascade == nullptr || std::find(cascade->mModels.begin(), cascade->mModels.end(), it.mName) !=
                              cascade->mModels.end();
    const bool usable =
      std::any_of(bundle.mVersions.begin(), bundle.mVersions.end(), [&](const ModelVersion& aV) {
        return aV.mModel == it.mName && bundle.Allows(aTeam, aV);
      });
    if (inCascade && usable) {
      (it.mQuality >= target ? good : others).push_back(&it);
    }
  }
  std::stable_sort(good.begin(), good.end(), [](const Model* aLeft, const Model* aRight) {
    return aLeft->mPricePerThousandTokens < aRight->mPricePerThousandTokens;
  });
  std::stable_sort(others.begin(), others.end(), [](const Model* aLeft, const Model* aRight) {
    return aLeft->mQuality > aRight->mQuality;
  });
  std::vector<ModelName> order;
  for (const auto* it : good) {
    order.push_back(it->mName);
  }
  for (const auto* it : others) {
    order.push_back(it->mName);
  }
  return order;
}

bool VersionChoice::IsHosted(const VersionId& aVersion, TimePoint aNow) const
{
  const auto* version = mTables.mVersions.Find(aVersion);
  if (version == nullptr) {
    return false;
  }
  for (const auto& it : mTables.mEndpoints.All()) {
    const auto& row = it.second;
    if (!row.IsLeaving() && row.Hosts(version->mVersion.mLabel) && row.mBreaker.Allows(aNow)) {
      return true;
    }
  }
  return false;
}

bool VersionChoice::MayUse(const Team& aTeam, const VersionRow& aVersion) const
{
  return !aVersion.mStopped && mTables.mBundle->Allows(aTeam, aVersion.mVersion);
}

} // namespace skylarkchute
