#include "Admission.h"

#include "Authenticator.h"
#include "Refusals.h"

#include <algorithm>

namespace skylarkchute {

namespace {

bool MayCall(const Team& aTeam, const ServiceName& aService)
{
  return std::find(aTeam.mServices.begin(), aTeam.mServices.end(), aService) !=
         aTeam.mServices.end();
}

} // namespace

bool Admission::IsNonIdempotent(const RequestFacts& aFacts) const
{
  if (aFacts.mDeclaredNonIdempotent) {
    return true;
  }
  const auto* requestClass = mTables.mBundle->FindClass(aFacts.mClass);
  if (requestClass != nullptr && !requestClass->mIdempotent) {
    return true;
  }
  if (!aFacts.mService) {
    return false;
  }
  const auto* service = mTables.mBundle->FindService(*aFacts.mService);
  return service != nullptr && !service->mIdempotent;
}

std::optional<RefuseStep> Admission::Admit(const RequestFacts& aFacts,
                                           TimePoint aNow,
                                           RequestRow& aRow) const
{
  const auto& bundle = *mTables.mBundle;
  const auto* team = Authenticator::FindTeam(bundle, aFacts.mApiKey);
  if (team == nullptr) {
    return NotRunRefusal(aFacts.mId, 401, refusal::kInvalidKey, "The key belongs to no team.");
  }
  const auto* requestClass = bundle.FindClass(aFacts.mClass);
  if (requestClass == nullptr && !aFacts.mClass.IsEmpty()) {
    return NotRunRefusal(
      aFacts.mId, 400, refusal::kUnknownClass, "The bundle has no class with this name.");
  }
  if (aFacts.mService &&
      (bundle.FindService(*aFacts.mService) == nullptr || !MayCall(*team, *aFacts.mService))) {
    return NotRunRefusal(
      aFacts.mId, 403, refusal::kServiceNotAllowed, "The team may not call this service.");
  }
  aRow.mFacts = aFacts;
  aRow.mFacts.mApiKey.clear();
  aRow.mTeam = team->mName;
  aRow.mNonIdempotent = IsNonIdempotent(aFacts);
  aRow.mSession = aFacts.mPinnedVersion.has_value();
  aRow.mAdmitted = aNow;
  if (requestClass != nullptr) {
    aRow.mPriority = requestClass->mPriority;
    aRow.mHedged = requestClass->mHedged && !aRow.mNonIdempotent && !aFacts.mStream;
  }
  if (aRow.mFacts.mDeadline == TimePoint{}) {
    aRow.mFacts.mDeadline = aNow + mTables.mOptions.mDefaultTimeout;
  }
  if (aRow.mFacts.mDeadline <= aNow) {
    return NotRunRefusal(
      aFacts.mId, 504, refusal::kDeadlineTooShort, "The deadline has already passed.");
  }
  return std::nullopt;
}

} // namespace skylarkchute
