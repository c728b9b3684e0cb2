#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** What became of one request. */
struct RequestRecord
{
  std::uint64_t mNumber = 0;
  ClassName mClass;
  TeamName mTeam;
  std::optional<std::size_t> mSession;
  std::size_t mInstance = 0;
  std::uint32_t mTokens = 0; /**< Prompt and completion of one answer. */
  std::chrono::microseconds mArrival{ 0 };
  std::chrono::microseconds mFirstToken{ 0 }; /**< Since the arrival; zero when none was seen. */
  std::chrono::microseconds mEnd{ 0 };        /**< Since the arrival. */
  bool mEnded = false;
  bool mAnswered = false;
  bool mInTime = false; /**< Answered before its deadline. */
  std::optional<VersionId> mServedVersion;
  bool mGood = false;
  Verdict mVerdict = Verdict::NotRun;
  std::string mRefusalReason;
  double mCost = 0;
  std::uint32_t mAttempts = 0;
  std::uint32_t mHedges = 0;
  std::uint32_t mStartedAttempts = 0; /**< Attempts that an endpoint started. */
  bool mCheapWouldBeGood = false;
  bool mExpensiveWouldBeGood = false;
};

/** What a run says of the rolling version. */
struct ExposureRecord
{
  std::uint64_t mRequests = 0; /**< Attempts that met the fault. */
  std::uint64_t mTokens = 0;
  std::optional<std::chrono::microseconds> mFirstError;
  std::optional<std::chrono::microseconds> mFirstStop;
  std::optional<std::chrono::microseconds> mLastDispatch;
  std::vector<std::chrono::microseconds> mLocalStops; /**< From first error to last dispatch. */
  std::uint64_t mStops = 0;                           /**< Alerts that name the rolling version. */
};

/** Everything that a run leaves behind. */
struct RunRecord
{
  std::chrono::microseconds mLength{ 0 };
  std::vector<RequestRecord> mRequests;
  ExposureRecord mExposure;
  std::vector<std::string> mBrokenPromises;
  std::uint64_t mSlots = 0;
  std::chrono::microseconds mUsefulSlotTime{ 0 }; /**< Of answers in time. */
  std::uint64_t mEndpointCrashes = 0;
};

} // namespace skylarkchute
