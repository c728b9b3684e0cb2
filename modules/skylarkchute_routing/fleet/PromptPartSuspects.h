#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** Finds parts of prompts that crash every endpoint that begins to answer them, whatever else the
    request holds.

    An endpoint that crashes takes down all its requests, so the parts of all of them become
    suspects. What tells the cause from the bystanders is that no answer to a prompt with it ever
    gets far. A part is refused after crashes of several endpoints, unless an answer to it got far
    recently or another part accounts for these crashes. One instance at a time tries a refused part
    again, at growing intervals. Performs no I/O. */
class PromptPartSuspects
{
public:
  /** Hash of the ID of a prompt part. */
  using Part = std::uint64_t;
  using Parts = std::vector<Part>;

  /** A crash of an endpoint with requests that hold the part, as exchanged between instances. */
  struct Crash
  {
    Part mPart = 0;
    std::string mEndpoint; /**< Id and incarnation of the endpoint. */
    std::chrono::milliseconds mAge{ 0 };
  };

  /** An answer that got far to a prompt with the part, as exchanged between instances. */
  struct Proof
  {
    Part mPart = 0;
    std::chrono::milliseconds mAge{ 0 };
  };

  struct Report
  {
    std::vector<Crash> mCrashes;
    std::vector<Proof> mProofs;
  };

  /** A part that is refused, with what speaks against it. */
  struct Refusal
  {
    Part mPart = 0;
    std::size_t mCrashes = 0;
  };

  /** An answer that has run for this long after its first event has got far. An endpoint crashes
      well within this time after it has begun an answer. */
  static constexpr std::chrono::milliseconds kProofTime{ 500 };

  /** Counts a request, refused or not. */
  void OnRequest(const Parts& aParts);

  /** Records that an attempt ended before its answer got far. */
  void OnEndedEarly(const Parts& aParts, const std::string& aEndpoint, TimePoint aNow);

  /** Records a complete answer. It counts as one that got far if its endpoint stays up. */
  void OnAnswered(const Parts& aParts, const std::string& aEndpoint, TimePoint aNow);

  /** Records that an answer in progress has got far. */
  void OnProof(const Parts& aParts, TimePoint aNow);

  /** Records that an endpoint is down, which makes the parts of the requests that ended there just
      before suspects. */
  void OnEndpointDown(const std::string& aEndpoint, TimePoint aNow);

  /** Records that an endpoint is reachable, so that the requests that ended there early say nothing
      about their parts. */
  void OnEndpointUp(const std::string& aEndpoint);

  /** Merges the crashes and proofs known to another instance. */
  void OnReport(const Report& aReport, TimePoint aNow);

  /** Returns the recent crashes and proofs, and the crashes of refused parts, to be sent to the
      other instances. */
  Report Recent(TimePoint aNow) const;

  /** Returns whether a request must be refused for one of its parts. */
  bool IsRefused(const Parts& aParts, TimePoint aNow) const;

  /** Records that a request is sent to an endpoint. If one of its parts is refused, this is a trial
      of the part, which is then not due again for a while. */
  void TakeTrial(const Parts& aParts, TimePoint aNow);

  /** Returns whether the crash of an endpoint is accounted for by a refused part. */
  bool IsExplained(const std::string& aEndpoint) const { return mExplained.count(aEndpoint) > 0; }

  /** Returns the parts that have been refused since the last call. */
  std::vector<Refusal> TakeNewRefusals();

  /** Sets the live instances, one of which tries a refused part again. */
  void SetInstances(InstanceId aSelf, const std::vector<InstanceId>& aOthers);

  /** Removes expired entries, and refuses or admits parts by the time that has passed. To be called
      several times a second. */
  void Prune(TimePoint aNow);

private:
  struct Suspect
  {
    std::map<std::string, TimePoint> mCrashes; /**< Time of detection by endpoint. */
    std::uint64_t mRequests = 0;               /**< At this instance since the first crash. */
    std::optional<TimePoint> mTrial;           /**< Last trial by this instance. */
    bool mIsRefused = false;
  };

  /** Latest answer that got far to a prompt with a part. */
  struct LatestProof
  {
    TimePoint mTime{};
    /** When the part last was a suspect of this instance; others may still suspect it. */
    std::optional<TimePoint> mClearedAt;
  };

  /** A request that has ended at an endpoint. */
  struct EndedRequest
  {
    Parts mParts;
    TimePoint mEnd{};
    bool mIsAnswered = false;
  };

  using Suspects = std::map<Part, Suspect>;

  void AddCrash(Part aPart, const std::string& aEndpoint, TimePoint aTime);
  void AddProof(Part aPart, TimePoint aTime);
  void ApplyAnswers(TimePoint aNow);
  void Judge(TimePoint aNow);
  bool IsCandidate(Part aPart, const Suspect& aSuspect, TimePoint aNow) const;
  bool IsTrialDue(Part aPart, const Suspect& aSuspect, TimePoint aNow) const;

  Suspects mSuspects;
  std::unordered_map<Part, LatestProof> mProofs;
  std::map<std::string, std::vector<EndedRequest>> mEnded; /**< By endpoint. */
  std::set<std::string> mExplained;
  std::vector<Refusal> mNewRefusals;
  InstanceId mSelf;
  std::vector<InstanceId> mInstances; /**< This one included; empty until SetInstances. */
};

} // namespace skylarkchute
