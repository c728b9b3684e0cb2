#include "BundleChecks.h"

#include <algorithm>
#include <map>
#include <set>

namespace skylarkchute {

namespace {

constexpr double kMaxPercent = 100;

/** Checks the entries of one bundle and collects faults. */
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
  void ReportFault(const std::string& aSection,
                   const std::string& aKey,
                   const std::string& aReason);

  const Bundle& mBundle;
  std::vector<Fault> mFaults;
  std::map<std::string, std::string> mSectionOfDigest;
  std::map<std::string, std::string> mSectionOfLabel;
  std::map<VersionId, std::string> mSectionOfRolledVersion;
};

void BundleChecker::ReportFault(const std::string& aSection,
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
    ReportFault("", "", "no team is given");
  }
  if (mBundle.mClasses.empty() && !mBundle.mModels.empty()) {
    ReportFault("", "", "no class is given");
  }
}

void BundleChecker::CheckTeam(const Team& aTeam)
{
  const auto section = "team " + aTeam.mName.Value();
  for (const auto& it : aTeam.mModels) {
    if (!mBundle.FindModel(it)) {
      ReportFault(section, "models", "no model is named '" + it.Value() + "'");
    }
  }
  for (const auto& it : aTeam.mVersions) {
    if (!mBundle.FindVersion(it)) {
      ReportFault(section, "versions", "no version is named '" + it.Value() + "'");
    }
  }
  for (const auto& it : aTeam.mServices) {
    if (!mBundle.FindService(it)) {
      ReportFault(section, "services", "no service is named '" + it.Value() + "'");
    }
  }
  if (aTeam.mModels.empty() && aTeam.mVersions.empty() && aTeam.mServices.empty()) {
    ReportFault(section, "", "may use no model, version or service");
  }
  for (const auto& it : aTeam.mKeyHashes) {
    const auto [other, added] = mSectionOfDigest.emplace(it.mSalt + ":" + it.mSha256Hex, section);
    if (!added && other->second != section) {
      ReportFault(section, "keys", "shares a key with [" + other->second + "]");
    }
  }
}

void BundleChecker::CheckVersion(const ModelVersion& aVersion)
{
  const auto section = "version " + aVersion.mId.Value();
  if (!mBundle.FindModel(aVersion.mModel)) {
    ReportFault(section, "", "no model is named '" + aVersion.mModel.Value() + "'");
  }
  if (aVersion.mLabel.empty()) {
    ReportFault(section, "label", "is empty");
  }
  const auto [other, added] = mSectionOfLabel.emplace(aVersion.mLabel, section);
  if (!added) {
    ReportFault(section, "label", "is also the label of [" + other->second + "]");
  }
  if (aVersion.mState == VersionState::Rolling && !mSectionOfRolledVersion.contains(aVersion.mId)) {
    ReportFault(section, "state", "is rolling, but no roll names it under 'to'");
  }
}

void BundleChecker::CheckClass(const RequestClass& aClass)
{
  const auto section = "class " + aClass.mName.Value();
  if (aClass.mHedged && !aClass.mIdempotent) {
    ReportFault(section, "hedged", "needs an idempotent class");
  }
  if (!aClass.mCascade) {
    return;
  }
  const auto* cascade = mBundle.FindCascade(*aClass.mCascade);
  if (!cascade) {
    ReportFault(section, "cascade", "no cascade is named '" + aClass.mCascade->Value() + "'");
    return;
  }
  double best = 0;
  for (const auto& it : cascade->mModels) {
    const auto* model = mBundle.FindModel(it);
    best = std::max(best, model ? model->mQuality : 1);
  }
  if (aClass.mQualityTarget > best) {
    ReportFault(section, "quality-target", "is above the quality of every model of its cascade");
  }
}

void BundleChecker::CheckCascade(const Cascade& aCascade)
{
  const auto section = "cascade " + aCascade.mName.Value();
  if (aCascade.mModels.empty()) {
    ReportFault(section, "models", "names no model");
  }
  double price = 0;
  for (const auto& it : aCascade.mModels) {
    const auto* model = mBundle.FindModel(it);
    if (!model) {
      ReportFault(section, "models", "no model is named '" + it.Value() + "'");
      continue;
    }
    if (model->mPricePerThousandTokens < price) {
      ReportFault(section, "models", "'" + it.Value() + "' is cheaper than the model before it");
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
    ReportFault(aSection, "from", "no version is named '" + aRoll.mFrom.Value() + "'");
  } else if (from->mState != VersionState::Active) {
    ReportFault(aSection, "from", "'" + aRoll.mFrom.Value() + "' is not active");
  }
  if (!to) {
    ReportFault(aSection, "to", "no version is named '" + aRoll.mTo.Value() + "'");
    return;
  }
  if (to->mState != VersionState::Rolling) {
    ReportFault(aSection, "to", "'" + aRoll.mTo.Value() + "' is not rolling");
  }
  if (from && from->mModel != to->mModel) {
    ReportFault(aSection, "to", "belongs to another model than 'from'");
  }
  const auto [other, added] = mSectionOfRolledVersion.emplace(aRoll.mTo, aSection);
  if (!added) {
    ReportFault(aSection, "to", "is also rolled by [" + other->second + "]");
  }
}

void BundleChecker::CheckStages(const RollPlan& aRoll, const std::string& aSection)
{
  double previous = 0;
  for (const auto percent : aRoll.mStagePercents) {
    if (percent <= previous || percent > kMaxPercent) {
      ReportFault(aSection, "stages", "must rise from above 0 to 100");
      return;
    }
    previous = percent;
  }
  if (previous != kMaxPercent) {
    ReportFault(aSection, "stages", "must end with 100");
  }
}

} // namespace

std::vector<Fault> CheckBundle(const Bundle& aBundle)
{
  return BundleChecker(aBundle).Run();
}

} // namespace skylarkchute
