#include "PromptPartSuspects.h"

#include <algorithm>
#include <tuple>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Number of crashed endpoint incarnations from which a part is refused. */
constexpr std::size_t kMinCrashes = 3;

/** Shortest time between the first and the last of these crashes. Endpoints that crash all at once
    have another cause. */
constexpr milliseconds kMinCrashSpan{ 700 };

/** A part is not refused for this long after an answer that got far. */
constexpr milliseconds kProofLifetime{ 3000 };

/** A complete answer counts as one that got far if its endpoint is not known to have crashed by
    this time. */
constexpr milliseconds kAnswerProofDelay{ 500 };

/** How long an ended request is kept while the state of its endpoint is unknown. */
constexpr milliseconds kEndedLifetime{ 2000 };

/** How long crashes are reported to the other instances. */
constexpr milliseconds kReportPeriod{ 5000 };

/** How long proofs that clear a suspect are reported and kept. Crashes of refused parts go round
    among the instances until all know of the proof. */
constexpr milliseconds kClearingPeriod{ 30000 };

/** A suspect is forgotten this long after its last crash. */
constexpr std::chrono::minutes kSuspectLifetime{ 10 };

/** Time from the last crash until a refused part is tried again: kUncertainTrialDelay while fewer
    endpoints than kCertainCrashes have crashed, else kTrialDelay, doubled with each further crash.
 */
constexpr std::size_t kCertainCrashes = 5;
constexpr milliseconds kUncertainTrialDelay{ 5000 };
constexpr milliseconds kTrialDelay{ 20000 };
constexpr std::size_t kMaxDoublings = 5;

/** Shortest time between two trials of one instance. */
constexpr milliseconds kTrialInterval{ 5000 };

/** A part with this many times as many requests, plus a slack, as another part of the same crashes
    is the more common one: it was merely present. */
constexpr std::uint64_t kCommonFactor = 2;
constexpr std::uint64_t kCommonSlack = 3;

constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxProofs = 50000;
constexpr std::size_t kMaxEndedPerEndpoint = 256;

/** Limits of a report, which keep messages small while many endpoints crash. */
constexpr std::size_t kMaxReportedCrashes = 64;
constexpr std::size_t kMaxReportedProofs = 32;

milliseconds AgeOf(TimePoint aTime, TimePoint aNow)
{
  return std::chrono::duration_cast<milliseconds>(aNow - aTime);
}

milliseconds TrialDelayOf(std::size_t aCrashes)
{
  if (aCrashes < kCertainCrashes) {
    return kUncertainTrialDelay;
  }
  return kTrialDelay * (1U << std::min(aCrashes - kCertainCrashes, kMaxDoublings));
}

} // namespace

void PromptPartSuspects::OnRequest(const Parts& aParts)
{
  for (const auto it : aParts) {
    if (const auto found = mSuspects.find(it); found != mSuspects.end()) {
      ++found->second.mRequests;
    }
  }
}

void PromptPartSuspects::OnEndedEarly(const Parts& aParts,
                                      const std::string& aEndpoint,
                                      TimePoint aNow)
{
  auto& ended = mEnded[aEndpoint];
  if (!aParts.empty() && ended.size() < kMaxEndedPerEndpoint) {
    ended.push_back({ aParts, aNow, false });
  }
}

void PromptPartSuspects::OnAnswered(const Parts& aParts,
                                    const std::string& aEndpoint,
                                    TimePoint aNow)
{
  auto& ended = mEnded[aEndpoint];
  if (!aParts.empty() && ended.size() < kMaxEndedPerEndpoint) {
    ended.push_back({ aParts, aNow, true });
  }
}

void PromptPartSuspects::OnProof(const Parts& aParts, TimePoint aNow)
{
  for (const auto it : aParts) {
    AddProof(it, aNow);
  }
}

void PromptPartSuspects::OnEndpointDown(const std::string& aEndpoint, TimePoint aNow)
{
  ApplyAnswers(aNow);
  const auto ended = mEnded.extract(aEndpoint);
  if (ended.empty()) {
    return;
  }
  for (const auto& request : ended.mapped()) {
    for (const auto it : request.mParts) {
      AddCrash(it, aEndpoint, aNow);
    }
  }
  Judge(aNow);
}

void PromptPartSuspects::OnEndpointUp(const std::string& aEndpoint)
{
  const auto found = mEnded.find(aEndpoint);
  if (found != mEnded.end()) {
    std::erase_if(found->second, [](const auto& aRequest) { return !aRequest.mIsAnswered; });
  }
}

void PromptPartSuspects::AddCrash(Part aPart, const std::string& aEndpoint, TimePoint aTime)
{
  const auto proof = mProofs.find(aPart);
  if (proof != mProofs.end() && proof->second.mTime >= aTime) {
    return;
  }
  if (mSuspects.size() >= kMaxSuspects && mSuspects.find(aPart) == mSuspects.end()) {
    return;
  }
  const auto [known, isNew] = mSuspects[aPart].mCrashes.try_emplace(aEndpoint, aTime);
  known->second = std::min(known->second, aTime);
}

void PromptPartSuspects::AddProof(Part aPart, TimePoint aTime)
{
  if (mProofs.size() >= kMaxProofs && mProofs.find(aPart) == mProofs.end()) {
    return;
  }
  auto& proof = mProofs[aPart];
  proof.mTime = std::max(proof.mTime, aTime);
  const auto found = mSuspects.find(aPart);
  if (found == mSuspects.end()) {
    return;
  }
  proof.mClearedAt = proof.mTime;
  std::erase_if(found->second.mCrashes,
                [&](const auto& aCrash) { return aCrash.second <= proof.mTime; });
  if (found->second.mCrashes.empty()) {
    mSuspects.erase(found);
  }
}

void PromptPartSuspects::OnReport(const Report& aReport, TimePoint aNow)
{
  for (const auto& it : aReport.mProofs) {
    AddProof(it.mPart, aNow - it.mAge);
  }
  for (const auto& it : aReport.mCrashes) {
    OnEndpointDown(it.mEndpoint, aNow - it.mAge);
    AddCrash(it.mPart, it.mEndpoint, aNow - it.mAge);
  }
  Judge(aNow);
}

PromptPartSuspects::Report PromptPartSuspects::Recent(TimePoint aNow) const
{
  Report report;
  std::vector<const Suspects::value_type*> suspects;
  for (const auto& it : mSuspects) {
    suspects.push_back(&it);
  }
  std::stable_sort(suspects.begin(), suspects.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->second.mCrashes.size() > aRight->second.mCrashes.size();
  });
  for (const auto* it : suspects) {
    const auto& [part, suspect] = *it;
    std::size_t reported = 0;
    for (const auto& [endpoint, time] : suspect.mCrashes) {
      const bool isKept = suspect.mIsRefused && reported < kCertainCrashes;
      if (report.mCrashes.size() < kMaxReportedCrashes && (isKept || aNow - time < kReportPeriod)) {
        report.mCrashes.push_back({ part, endpoint, AgeOf(time, aNow) });
        ++reported;
      }
    }
  }
  for (const auto& [part, proof] : mProofs) {
    if (proof.mClearedAt && aNow - *proof.mClearedAt < kClearingPeriod) {
      report.mProofs.push_back({ part, AgeOf(proof.mTime, aNow) });
    }
  }
  std::sort(
    report.mProofs.begin(), report.mProofs.end(), [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.mAge, aLeft.mPart) < std::tie(aRight.mAge, aRight.mPart);
    });
  report.mProofs.resize(std::min(report.mProofs.size(), kMaxReportedProofs));
  return report;
}

bool PromptPartSuspects::IsRefused(const Parts& aParts, TimePoint aNow) const
{
  return std::any_of(aParts.begin(), aParts.end(), [&](Part aPart) {
    const auto found = mSuspects.find(aPart);
    return found != mSuspects.end() && found->second.mIsRefused &&
           !IsTrialDue(aPart, found->second, aNow);
  });
}

void PromptPartSuspects::TakeTrial(const Parts& aParts, TimePoint aNow)
{
  for (const auto it : aParts) {
    const auto found = mSuspects.find(it);
    if (found != mSuspects.end() && found->second.mIsRefused) {
      found->second.mTrial = aNow;
    }
  }
}

bool PromptPartSuspects::IsTrialDue(Part aPart, const Suspect& aSuspect, TimePoint aNow) const
{
  TimePoint last{};
  for (const auto& [endpoint, time] : aSuspect.mCrashes) {
    last = std::max(last, time);
  }
  if (aNow - last < TrialDelayOf(aSuspect.mCrashes.size()) ||
      (aSuspect.mTrial && aNow - *aSuspect.mTrial < kTrialInterval)) {
    return false;
  }
  return mInstances.empty() ||
         RendezvousOrder("prompt-part-" + std::to_string(aPart), mInstances, 1).front() == mSelf;
}

bool PromptPartSuspects::IsCandidate(Part aPart, const Suspect& aSuspect, TimePoint aNow) const
{
  if (aSuspect.mCrashes.size() < kMinCrashes) {
    return false;
  }
  const auto proof = mProofs.find(aPart);
  if (proof != mProofs.end() && aNow - proof->second.mTime < kProofLifetime) {
    return false;
  }
  const auto [first, last] = std::minmax_element(
    aSuspect.mCrashes.begin(), aSuspect.mCrashes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return last->second - first->second >= kMinCrashSpan;
}

/** Refuses the candidates whose crashes no other candidate accounts for. */
void PromptPartSuspects::Judge(TimePoint aNow)
{
  std::vector<Suspects::value_type*> candidates;
  for (auto& it : mSuspects) {
    if (IsCandidate(it.first, it.second, aNow)) {
      candidates.push_back(&it);
    }
  }
  // Whether too few of the second one's crashes to refuse it are left without those of the first.
  const auto accountsFor = [](const Suspect& aFirst, const Suspect& aSecond) {
    const auto left =
      std::count_if(aSecond.mCrashes.begin(), aSecond.mCrashes.end(), [&](const auto& aCrash) {
        return aFirst.mCrashes.count(aCrash.first) == 0;
      });
    return static_cast<std::size_t>(left) < kMinCrashes;
  };
  const auto isBystander = [&](const auto* aCandidate) {
    const auto& suspect = aCandidate->second;
    return std::any_of(candidates.begin(), candidates.end(), [&](const auto* aOther) {
      const auto& other = aOther->second;
      const bool isCommon = suspect.mRequests > kCommonFactor * other.mRequests + kCommonSlack;
      return aOther != aCandidate && accountsFor(other, suspect) &&
             (isCommon || !accountsFor(suspect, other));
    });
  };
  std::set<Part> refused;
  for (const auto* it : candidates) {
    if (!isBystander(it)) {
      refused.insert(it->first);
    }
  }
  mExplained.clear();
  for (auto& [part, suspect] : mSuspects) {
    const bool wasRefused = std::exchange(suspect.mIsRefused, refused.count(part) > 0);
    if (suspect.mIsRefused && !wasRefused) {
      mNewRefusals.push_back({ part, suspect.mCrashes.size() });
    }
    for (const auto& [endpoint, time] : suspect.mCrashes) {
      if (suspect.mIsRefused) {
        mExplained.insert(endpoint);
      }
    }
  }
}

std::vector<PromptPartSuspects::Refusal> PromptPartSuspects::TakeNewRefusals()
{
  return std::exchange(mNewRefusals, {});
}

void PromptPartSuspects::SetInstances(InstanceId aSelf, const std::vector<InstanceId>& aOthers)
{
  mSelf = aSelf;
  mInstances = aOthers;
  mInstances.push_back(std::move(aSelf));
}

/** Turns complete answers into proofs once their endpoints have stayed up for long enough. */
void PromptPartSuspects::ApplyAnswers(TimePoint aNow)
{
  for (auto& [endpoint, requests] : mEnded) {
    for (const auto& request : requests) {
      if (request.mIsAnswered && aNow - request.mEnd >= kAnswerProofDelay) {
        for (const auto it : request.mParts) {
          AddProof(it, request.mEnd);
        }
      }
    }
    std::erase_if(requests, [&](const auto& aRequest) {
      const auto lifetime = aRequest.mIsAnswered ? kAnswerProofDelay : kEndedLifetime;
      return aNow - aRequest.mEnd >= lifetime;
    });
  }
  std::erase_if(mEnded, [](const auto& aEntry) { return aEntry.second.empty(); });
}

void PromptPartSuspects::Prune(TimePoint aNow)
{
  ApplyAnswers(aNow);
  std::erase_if(mProofs, [&](const auto& aProof) {
    return aNow - aProof.second.mTime >
           (aProof.second.mClearedAt ? kClearingPeriod : kProofLifetime);
  });
  for (auto& [part, suspect] : mSuspects) {
    std::erase_if(suspect.mCrashes,
                  [&](const auto& aCrash) { return aNow - aCrash.second > kSuspectLifetime; });
  }
  std::erase_if(mSuspects, [](const auto& aEntry) { return aEntry.second.mCrashes.empty(); });
  Judge(aNow);
}

} // namespace skylarkchute
