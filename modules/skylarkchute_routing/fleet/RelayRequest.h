#pragma once

#include "LatencyBaseline.h"
#include "RelayConfig.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** What decisions need of a caller's request. */
struct RelayRequest
{
  std::string mHost;
  std::string mPath; /**< Without the query. */
  std::string mKey;  /**< Of the caller's team; empty when none was sent. */
  std::string mModel;
  std::vector<std::string> mPromptParts; /**< Ids of the parts of the prompt, in order. */
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0;                    /**< Most that may be generated. */
  std::optional<std::chrono::milliseconds> mDeadline; /**< Time that the caller will wait. */
  std::uint64_t mFingerprint = 0;                     /**< Of path, caller and body. */
  bool mIsContinuation = false; /**< The caller has a part of the stream already. */
};

enum class RefusalReason
{
  NoConfiguration, /**< None is known yet. */
  NoRoute,
  NoKey,
  CrashesEndpoints,
  Leaving, /**< This instance stops before the request could end. */
  NoEndpoint,
  Overloaded,
  BudgetSpent,
  DeadlinePassed,
};

/** Returns the name of a reason in logs and metrics. */
std::string_view RefusalReasonName(RefusalReason aReason);

/** An answer of this instance's own: the request was not run by the decision's attempt. */
struct RelayRefusal
{
  RefusalReason mReason = RefusalReason::NoEndpoint;
  std::chrono::milliseconds mRetryAfter{ 0 }; /**< When the caller is to come back; zero: never. */
};

/** A request that was admitted, and what its attempts have come to. */
struct RequestPlan
{
  std::shared_ptr<const ConfigIndex> mConfig; /**< Keeps route and team valid. */
  const RelayRoute* mRoute = nullptr;
  const RelayTeam* mTeam = nullptr; /**< Null on public routes. */
  ServiceName mService;
  std::string mAffinity; /**< Longest shared part of the prompt. */
  std::string mSession;  /**< Subject whose requests keep their version. */
  std::uint64_t mFingerprint = 0;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0; /**< Most that may be generated. */
  std::uint32_t mPriority = 0;
  std::size_t mRank = 0; /**< Priorities of the service's routes that are more urgent. */
  TimePoint mArrival{};
  TimePoint mEnd{};    /**< Final answer is due: caller's deadline or the route's timeout. */
  TimePoint mTarget{}; /**< Full worth until then. */
  bool mIsContinuation = false;
  bool mChoosesSize = false;        /**< The instance names the model. */
  std::optional<std::size_t> mSize; /**< Model of the stream that the caller has a part of. */
  bool mWantsLargest = false;       /**< A smaller model was unsure. */
  std::uint32_t mRuns = 0;          /**< Attempts that may have run. */
  std::uint32_t mSends = 0;         /**< Attempts that reached an endpoint. */
  std::vector<EndpointId> mTried;   /**< Endpoints that are of no more use to the request. */
};

/** One attempt to be made. */
struct AttemptPlan
{
  EndpointId mEndpoint;
  std::uint64_t mBorn = 0;
  std::string mAddress;
  std::string mVersion;
  std::optional<std::size_t> mSize;
  ModelName mModel; /**< Empty when the caller's is passed on. */
  std::uint32_t mPriority = 0;
  std::uint32_t mConnections = 0; /**< This instance's share of the endpoint's; zero: unknown. */
  LatencyKind mLatencyKind;
};

/** How an attempt ended. */
enum class RelayOutcome
{
  Answered,    /**< A whole success, or one that the caller left or that was dropped. */
  Failed,      /**< The endpoint ran it and answered with a failure. */
  NotRun,      /**< The endpoint states that it did not run it. */
  Misdirected, /**< Another endpoint has the address now. */
  Unreachable, /**< No connection could be made; nothing was sent. */
  Lost,        /**< The connection ended without a whole answer. */
  Damaged,     /**< The answer was not a valid one. */
  TimedOut,    /**< No answer, or no further event, in time. */
  Abandoned,   /**< The caller left. */
};

/** Returns the name of an outcome in logs and metrics. */
std::string_view RelayOutcomeName(RelayOutcome aOutcome);

/** Returns whether the endpoint may have run the request. */
bool MayHaveRun(RelayOutcome aOutcome);

} // namespace skylarkchute
