#include "BundleChecks.h"

#include <algorithm>
#include <map>
#include <set>

namespace skylarkchute {

namespace {

constexpr double kWholePercent = 100;

/** Gathers faults while it visits the entries of one bundle. */
class BundleChecker
{
public:
  explicit BundleChecker(const Bundle& aBundle) : mBundle(aBundle) {}

  std::vector<Fault> Run();

private:
  void CheckPresence();
  void CheckTeam(const Team& aTeam);
  void CheckVersion(const ModelVersion& aVersion);
  void CheckClass(const RequestClass& aClass);
  void CheckCascade(const Cascade& aCascade);
  void CheckRoll(const RollPlan& aRoll);
  void CheckRollVersions(const RollPlan& aRoll, const std::string& aSection);
  void CheckStages(const RollPlan& aRoll, const std::string& aSection);
  void Refuse(const std::string& aSection, const std::string& aKey, const std::string& aReason);

  const Bundle& mBundle;
  std::vector<Fault> mFaults;
  std::map<std::string, std::string> mSectionOfDigest;
  std::map<std::string, std::string> mSectionOfLabel;
  std::map<VersionId, std::string> mSectionOfRolledVersion;
};

void BundleChecker::Refuse(const std::string& aSection,
                           const std::string& aKey,
                           const std::string& aReason)
{
  mFaults.push_back({ aSection, aKey, aReason });
}

std::vector<Fault> BundleChecker::Run()
{
  CheckPresence();
  for (const auto& it : mBundle.mTeams) {
    CheckTeam(it);
  }
  for (const auto& it : mBundle.mRolls) {
    CheckRoll(it);
  }
  for (const auto& it : mBundle.mVersions) {
    CheckVersion(it);
  }
  for (const auto& it : mBundle.mCascades) {
    CheckCascade(it);
  }
  for (const auto& it : mBundle.mClasses) {
    CheckClass(it);
  }
  return std::move(mFaults);
}

void BundleChecker::CheckPresence()
{
  if (mBundle.mTeams.empty()) {
    Refuse("", "", "no team is given");
  }
  if (mBundle.mClasses.empty() && !mBundle.mModels.empty()) {
    Refuse("", "", "no class is given");
  }
}

void BundleChecker::CheckTeam(const Team& aTeam)
{
  const auto section = "team " + aTeam.mName.Value();
  for (const auto& it : aTeam.mModels) {
    if (!mBundle.FindModel(it)) {
      Refuse(section, "models", "no model is named '" + it.Value() + "'");
    }
  }
  for (const auto& it : aTeam.mVersions) {
    if (!mBundle.FindVersion(it)) {
      Refuse(section, "versions", "no version is named '" + it.Value() + "'");
    }
  }
  for (const auto& it : aTeam.mServices) {
    if (!mBundle.FindService(it)) {
      Refuse(section, "services", "no service is named '" + it.Value() + "'");
    }
  }
  if (aTeam.mModels.empty() && aTeam.mVersions.empty() && aTeam.mServices.empty()) {
    Refuse(section, "", "may use no model, version or service");
  }
  for (const auto& it : aTeam.mKeyHashes) {
    const auto [other, added] = mSectionOfDigest.emplace(it.mSalt + ":" + it.mSha256Hex, section);
    if (!added && other->second != section) {
      Refuse(section, "keys", "shares a key with [" + other->second + "]");
    }
  }
}

void BundleChecker::CheckVersion(const ModelVersion& aVersion)
{
  const auto section = "version " + aVersion.mId.Value();
  if (!mBundle.FindModel(aVersion.mModel)) {
    Refuse(section, "", "no model is named '" + aVersion.mModel.Value() + "'");
  }
  if (aVersion.mLabel.empty()) {
    Refuse(section, "label", "is empty");
  }
  const auto [other, added] = mSectionOfLabel.emplace(aVersion.mLabel, section);
  if (!added) {
    Refuse(section, "label", "is also the label of [" + other->second + "]");
  }
  if (aVersion.mState == VersionState::Rolling && !mSectionOfRolledVersion.contains(aVersion.mId)) {
    Refuse(section, "state", "is rolling, but no roll names it under 'to'");
  }
}

void BundleChecker::CheckClass(const RequestClass& aClass)
{
  const auto section = "class " + aClass.mName.Value();
  if (aClass.mHedged && !aClass.mIdempotent) {
    Refuse(section, "hedged", "needs an idempotent class");
  }
  if (!aClass.mCascade) {
    return;
  }
  const auto* cascade = mBundle.FindCascade(*aClass.mCascade);
  if (!cascade) {
    Refuse(section, "cascade", "no cascade is named '" + aClass.mCascade->Value() + "'");
    return;
  }
  double best = 0;
  for (const auto& it : cascade->mModels) {
    const auto* model = mBundle.FindModel(it);
    best = std::max(best, model ? model->mQuality : 1);
  }
  if (aClass.mQualityTarget > best) {
    Refuse(section, "quality-target", "is above the quality of every model of its cascade");
  }
}

void BundleChecker::CheckCascade(const Cascade& aCascade)
{
  const auto section = "cascade " + aCascade.mName.Value();
  if (aCascade.mModels.empty()) {
    Refuse(section, "models", "names no model");
  }
  double price = 0;
  for (const auto& it : aCascade.mModels) {
    const auto* model = mBundle.FindModel(it);
    if (!model) {
      Refuse(section, "models", "no model is named '" + it.Value() + "'");
      continue;
    }
    if (model->mPricePerThousandTokens < price) {
      Refuse(section, "models", "'" + it.Value() + "' is cheaper than the model before it");
    }
    price = model->mPricePerThousandTokens;
  }
}

void BundleChecker::CheckRoll(const RollPlan& aRoll)
{
  const auto section = "roll " + aRoll.mName.Value();
  CheckRollVersions(aRoll, section);
  CheckStages(aRoll, section);
}

void BundleChecker::CheckRollVersions(const RollPlan& aRoll, const std::string& aSection)
{
  const auto* from = mBundle.FindVersion(aRoll.mFrom);
  const auto* to = mBundle.FindVersion(aRoll.mTo);
  if (!from) {
    Refuse(aSection, "from", "no version is named '" + aRoll.mFrom.Value() + "'");
  } else if (from->mState != VersionState::Active) {
    Refuse(aSection, "from", "'" + aRoll.mFrom.Value() + "' is not active");
  }
  if (!to) {
    Refuse(aSection, "to", "no version is named '" + aRoll.mTo.Value() + "'");
    return;
  }
  if (to->mState != VersionState::Rolling) {
    Refuse(aSection, "to", "'" + aRoll.mTo.Value() + "' is not rolling");
  }
  if (from && from->mModel != to->mModel) {
    Refuse(aSection, "to", "belongs to another model than 'from'");
  }
  const auto [other, added] = mSectionOfRolledVersion.emplace(aRoll.mTo, aSection);
  if (!added) {
    Refuse(aSection, "to", "is also rolled by [" + other->second + "]");
  }
}

void BundleChecker::CheckStages(const RollPlan& aRoll, const std::string& aSection)
{
  double previous = 0;
  for (const auto percent : aRoll.mStagePercents) {
    if (percent <= previous || percent > kWholePercent) {
      Refuse(aSection, "stages", "must rise from above 0 to 100");
      return;
    }
    previous = percent;
  }
  if (previous != kWholePercent) {
    Refuse(aSection, "stages", "must end with 100");
  }
}

} // namespace

std::vector<Fault> CheckBundle(const Bundle& aBundle)
{
  return BundleChecker(aBundle).Run();
}

} // namespace skylarkchute
