#include "VersionSelector.h"

#include "Refusals.h"

#include <algorithm>

namespace skylarkchute {

namespace {

const ModelName kAutoModel{ "auto" };

/** Returns the roll that introduces the version, or null. */
const RollPlan* FindRollTo(const Bundle& aBundle, const VersionId& aVersion)
{
  const auto it = std::find_if(aBundle.mRolls.begin(),
                               aBundle.mRolls.end(),
                               [&](const RollPlan& aPlan) { return aPlan.mTo == aVersion; });
  return it == aBundle.mRolls.end() ? nullptr : &*it;
}

/** Returns the roll that replaces the version, or null. */
const RollPlan* FindRollFrom(const Bundle& aBundle, const VersionId& aVersion)
{
  const auto it = std::find_if(aBundle.mRolls.begin(),
                               aBundle.mRolls.end(),
                               [&](const RollPlan& aPlan) { return aPlan.mFrom == aVersion; });
  return it == aBundle.mRolls.end() ? nullptr : &*it;
}

} // namespace

VersionDecision VersionSelector::Choose(RequestRow& aRow, TimePoint aNow)
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
  if (!facts.mModel || facts.mModel->IsEmpty() || *facts.mModel == kAutoModel) {
    return ChooseByClass(aRow, *team, aNow);
  }
  const auto version = ChooseForModel(*team, *facts.mModel, aNow);
  if (version) {
    return *version;
  }
  return NotRunRefusal(
    facts.mId, 403, refusal::kModelNotAllowed, "The team may use no version of this model.");
}

bool VersionSelector::IsUsable(const RequestRow& aRow, const VersionId& aVersion) const
{
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  const auto* row = mTables.mVersions.Find(aVersion);
  return team != nullptr && row != nullptr && MayUse(*team, *row);
}

std::optional<VersionId> VersionSelector::ChooseForModel(const Team& aTeam,
                                                         const ModelName& aModel,
                                                         TimePoint aNow)
{
  std::vector<const VersionRow*> stable;
  std::vector<const VersionRow*> rolling;
  for (const auto& it : mTables.mVersions.All()) {
    const auto& row = it.second;
    if (row.mVersion.mModel != aModel || !MayUse(aTeam, row)) {
      continue;
    }
    const bool isRolling = row.mVersion.mState == VersionState::Rolling ||
                           FindRollTo(*mTables.mBundle, it.first) != nullptr;
    (isRolling ? rolling : stable).push_back(&row);
  }
  const auto* row = DrawRolling(rolling, aNow);
  if (row == nullptr) {
    row = DrawStable(stable, !rolling.empty(), aNow);
  }
  if (row != nullptr) {
    return row->mVersion.mId;
  }
  const auto it = std::find_if(
    rolling.begin(), rolling.end(), [](const VersionRow* aRow) { return aRow->mRollPercent > 0; });
  return it == rolling.end() ? std::nullopt : std::optional((*it)->mVersion.mId);
}

const VersionRow* VersionSelector::DrawRolling(const std::vector<const VersionRow*>& aRolling,
                                               TimePoint aNow)
{
  for (const auto* it : aRolling) {
    const auto& id = it->mVersion.mId;
    const bool selected = mTables.Draw() * 100 < it->mRollPercent;
    if (selected && IsHosted(id, aNow) && mHealth.Allows(id, aNow)) {
      return it;
    }
  }
  return nullptr;
}

const VersionRow* VersionSelector::DrawStable(std::vector<const VersionRow*> aStable,
                                              bool aHasRolling,
                                              TimePoint aNow)
{
  if (aStable.empty()) {
    return nullptr;
  }
  const auto notReplaced = [&](const VersionRow* aRow) {
    return FindRollFrom(*mTables.mBundle, aRow->mVersion.mId) == nullptr;
  };
  const auto hosted = [&](const VersionRow* aRow) { return IsHosted(aRow->mVersion.mId, aNow); };
  if (aHasRolling && !std::all_of(aStable.begin(), aStable.end(), notReplaced)) {
    std::erase_if(aStable, notReplaced);
  }
  if (std::any_of(aStable.begin(), aStable.end(), hosted)) {
    std::erase_if(aStable, [&](const VersionRow* aRow) { return !hosted(aRow); });
  }
  return aStable[static_cast<std::size_t>(mTables.Draw() * static_cast<double>(aStable.size()))];
}

std::vector<ModelName> VersionSelector::CascadeModels(const RequestRow& aRow, TimePoint aNow) const
{
  const auto* cascade = mCascades.CascadeOf(aRow);
  const auto* team = mTables.mBundle->FindTeam(aRow.mTeam);
  std::vector<ModelName> usable;
  std::vector<ModelName> hosted;
  if (cascade == nullptr || team == nullptr) {
    return usable;
  }
  for (const auto& it : cascade->mModels) {
    if (IsModelUsable(*team, it)) {
      usable.push_back(it);
    }
    if (IsModelHosted(*team, it, aNow)) {
      hosted.push_back(it);
    }
  }
  return hosted.empty() ? usable : hosted;
}

std::optional<VersionId> VersionSelector::ChooseByCascade(RequestRow& aRow,
                                                          const Team& aTeam,
                                                          TimePoint aNow)
{
  const auto models = CascadeModels(aRow, aNow);
  if (models.empty()) {
    return std::nullopt;
  }
  const auto choice = mCascades.ChooseModel(aRow, models, aNow);
  aRow.mChosenByCascade = true;
  aRow.mHold = choice.mHoldForRating;
  if (auto version = ChooseForModel(aTeam, choice.mModel, aNow)) {
    return version;
  }
  for (const auto& it : models) {
    if (auto version = ChooseForModel(aTeam, it, aNow)) {
      return version;
    }
  }
  return std::nullopt;
}

bool VersionSelector::IsModelUsable(const Team& aTeam, const ModelName& aModel) const
{
  const auto& versions = mTables.mVersions.All();
  return std::any_of(versions.begin(), versions.end(), [&](const auto& aItem) {
    return aItem.second.mVersion.mModel == aModel && MayUse(aTeam, aItem.second);
  });
}

bool VersionSelector::IsModelHosted(const Team& aTeam,
                                    const ModelName& aModel,
                                    TimePoint aNow) const
{
  const auto& versions = mTables.mVersions.All();
  return std::any_of(versions.begin(), versions.end(), [&](const auto& aItem) {
    return aItem.second.mVersion.mModel == aModel && MayUse(aTeam, aItem.second) &&
           IsHosted(aItem.first, aNow);
  });
}

VersionDecision VersionSelector::ChooseNamed(const RequestRow& aRow,
                                             const VersionId& aVersion) const
{
  const auto& id = aRow.mFacts.mId;
  if (IsUsable(aRow, aVersion)) {
    return aVersion;
  }
  const bool known = mTables.mBundle->FindVersion(aVersion) != nullptr;
  const bool withdrawn = known && !mTables.mVersions.IsUsable(aVersion);
  if (withdrawn || (aRow.mSession && !known)) {
    return NotRunRefusal(id, 410, refusal::kVersionWithdrawn, "The version has been withdrawn.");
  }
  return NotRunRefusal(id, 403, refusal::kVersionNotAllowed, "The team may not use this version.");
}

VersionDecision VersionSelector::ChooseByClass(RequestRow& aRow, const Team& aTeam, TimePoint aNow)
{
  std::optional<VersionId> fallback;
  if (const auto version = ChooseByCascade(aRow, aTeam, aNow)) {
    return *version;
  }
  for (const auto& it : ModelsByPreference(aRow, aTeam)) {
    const auto version = ChooseForModel(aTeam, it, aNow);
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

std::vector<ModelName> VersionSelector::ModelsByPreference(const RequestRow& aRow,
                                                           const Team& aTeam) const
{
  const auto& bundle = *mTables.mBundle;
  const auto* requestClass = bundle.FindClass(aRow.mFacts.mClass);
  const double target = requestClass == nullptr ? 0 : requestClass->mQualityTarget;
  if (mCascades.CascadeOf(aRow) != nullptr) {
    return {};
  }
  std::vector<const Model*> models;
  for (const auto& it : bundle.mModels) {
    if (IsModelUsable(aTeam, it.mName)) {
      models.push_back(&it);
    }
  }
  std::stable_sort(models.begin(), models.end(), [&](const Model* aLeft, const Model* aRight) {
    const bool leftGood = aLeft->mQuality >= target;
    const bool rightGood = aRight->mQuality >= target;
    if (leftGood != rightGood) {
      return leftGood;
    }
    return leftGood ? aLeft->mPricePerThousandTokens < aRight->mPricePerThousandTokens
                    : aLeft->mQuality > aRight->mQuality;
  });
  std::vector<ModelName> order;
  order.reserve(models.size());
  for (const auto* it : models) {
    order.push_back(it->mName);
  }
  return order;
}

bool VersionSelector::IsHosted(const VersionId& aVersion, TimePoint aNow) const
{
  const auto& members = mPools.RefreshPool(aVersion).mMembers;
  return std::any_of(members.begin(), members.end(), [&](const EndpointId& aId) {
    const auto* endpoint = mTables.mEndpoints.Find(aId);
    return endpoint != nullptr && endpoint->mBreaker.Allows(aNow);
  });
}

bool VersionSelector::MayUse(const Team& aTeam, const VersionRow& aVersion) const
{
  return !aVersion.mStopped && mTables.mBundle->Allows(aTeam, aVersion.mVersion);
}

} // namespace skylarkchute
