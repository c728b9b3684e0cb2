#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** The result of one request. */
struct RequestRecord
{
  std::uint64_t mNumber = 0;
  ClassName mClass;
  TeamName mTeam;
  std::optional<std::size_t> mSession;
  std::size_t mInstance = 0;
  std::uint32_t mTokens = 0;                  /**< Prompt and completion tokens of one attempt. */
  std::chrono::microseconds mArrival{ 0 };    /**< Since the start of the run. */
  std::chrono::microseconds mFirstToken{ 0 }; /**< Since the arrival; zero if there was none. */
  std::chrono::microseconds mEnd{ 0 };        /**< Since the arrival. */
  bool mEnded = false;
  bool mAnswered = false;
  bool mInTime = false; /**< Answered before its deadline. */
  std::optional<VersionId> mServedVersion;
  bool mGood = false; /**< Whether the answer is good, whatever its rating. */
  Verdict mVerdict = Verdict::NotRun;
  std::string mRefusalReason;
  double mCost = 0; /**< Of complete and cancelled attempts, in units of the bundle's prices. */
  std::uint32_t mAttempts = 0;
  std::uint32_t mHedges = 0;
  std::uint32_t mStartedAttempts = 0; /**< Attempts that an endpoint started to run. */
  bool mCheapWouldBeGood = false;
  bool mExpensiveWouldBeGood = false;
};

/** Use of the rolling version in a run. Points in time are since the start of the run. */
struct ExposureRecord
{
  std::uint64_t mRequests = 0; /**< Attempts that the fault affected. */
  std::uint64_t mTokens = 0;
  /** First failure caused by the fault; for BadQuality and BadLatency, first affected attempt to
      end. */
  std::optional<std::chrono::microseconds> mFirstError;
  std::optional<std::chrono::microseconds> mFirstStop;
  std::optional<std::chrono::microseconds> mLastDispatch;
  /** Per instance, time from its first error to its last dispatch. */
  std::vector<std::chrono::microseconds> mLocalStops;
  std::uint64_t mStops = 0; /**< Alerts that stop a version. */
};

/** All results of a run. */
struct RunRecord
{
  std::chrono::microseconds mLength{ 0 };
  std::vector<RequestRecord> mRequests;
  ExposureRecord mExposure;
  std::vector<std::string> mBrokenPromises;
  std::uint64_t mSlots = 0;                       /**< Of all engines. */
  std::chrono::microseconds mUsefulSlotTime{ 0 }; /**< Spent on complete model answers in time. */
  std::uint64_t mEndpointCrashes = 0;
};

} // namespace skylarkchute
