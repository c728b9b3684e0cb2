#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute::soak {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/** Time from the start of a process in which its main function may not run yet, so that a signal
    has its default effect. */
inline constexpr std::chrono::milliseconds kLoadTime{ 300 };

enum class RequestKind
{
  Order,  /**< May run at most once. */
  Read,   /**< May run more than once. */
  Stream, /**< Response of numbered events; may be resumed. */
  Probe,  /**< Read on a route that only one configuration has. */
};

/** One client attempt, as its client saw it. */
struct Exchange
{
  std::string mId;
  std::string mRelay;
  RequestKind mKind = RequestKind::Read;
  std::string mPath;
  std::string mBody;
  std::string mPart;           /**< Shared prompt part that crashes endpoints, else empty. */
  int mVersion = 0;            /**< Probe: configuration that has the route. */
  bool mHasUnknownKey = false; /**< Sent with a key that no configuration holds. */
  std::chrono::milliseconds mDeadline{ 0 };
  TimePoint mStart;
  std::optional<TimePoint> mSent; /**< When the whole request was written. */
  std::optional<TimePoint> mFirstByte;
  TimePoint mEnd;
  int mStatus = 0;          /**< Zero without a response head. */
  bool mIsComplete = false; /**< The response ended as its framing says. */
  bool mHasSeal = false;
  std::string mAnswerId; /**< Request id that the response echoes. */
  std::string mAnswer;
  bool mHasStrayBytes = false; /**< Bytes arrived while no request was waiting. */
  bool mIsGivenUp = false;     /**< The client closed the connection first. */
};

/** One run of a request, as its endpoint recorded it. */
struct Run
{
  std::string mId;
  std::string mEndpoint;
  std::string mVersion; /**< Of the endpoint's software. */
  std::string mPath;
  std::string mBody;
  std::string mParts; /**< Value of `Skylarkchute-Prompt-Prefix`. */
  TimePoint mAt;
  bool mIsCrash = false;                              /**< The run ended its endpoint. */
  std::optional<std::chrono::milliseconds> mDraining; /**< Time since `draining` was accepted. */
};

enum class Subject
{
  Relay,
  Endpoint,
  Store,
};

/** A span in which something was disturbed. Planned work excuses nothing. */
struct Disturbance
{
  Subject mSubject = Subject::Relay;
  std::string mName;
  TimePoint mBegin;
  TimePoint mEnd;
};

/** A configuration written by the operator. */
struct Configuration
{
  int mVersion = 0;
  TimePoint mSent;
  TimePoint mAcknowledged;
  bool mHasTeams = true;
};

/** One roll-out that the operator ordered, and what the relays made of it. */
struct Rollout
{
  std::string mService;
  std::string mVersion;
  bool mIsBad = false; /**< Every answer of the version is a failure. */
  TimePoint mOrdered;
  TimePoint mDeadline;
  std::string mState; /**< Last state that the relays wrote. */
};

/** One incarnation of a relay. */
struct Life
{
  std::string mRelay;
  TimePoint mBegin;
  std::optional<TimePoint> mStopped; /**< When SIGTERM was sent. */
  std::optional<TimePoint> mKilled;  /**< When SIGKILL was sent. */
  std::optional<TimePoint> mEnd;
  int mWaitStatus = 0; /**< As returned by `waitpid`. */
};

struct ReadinessAnswer
{
  std::string mRelay;
  TimePoint mAsked;
  bool mIsReady = false;
};

struct ResourceSample
{
  std::string mRelay;
  TimePoint mAt;
  std::uint64_t mResidentBytes = 0;
  std::uint64_t mDescriptors = 0;
  bool mIsFinal = false; /**< Taken after all clients have closed. */
};

/** All that clients, endpoints and the operating system showed in one soak. */
struct Evidence
{
  std::vector<Exchange> mExchanges;
  std::vector<Run> mRuns;
  std::vector<std::string> mDrainedEndpoints; /**< Endpoints whose leaving the store accepted. */
  std::vector<Disturbance> mDisturbances;
  std::vector<Configuration> mConfigurations; /**< In order of writing. */
  std::vector<Rollout> mRollouts;
  std::vector<Life> mLives;
  std::vector<TimePoint> mReloads; /**< When SIGHUP was sent to a relay. */
  std::vector<ReadinessAnswer> mReadiness;
  std::vector<ResourceSample> mResources;
  TimePoint mLastFaultEnd;
};

} // namespace skylarkchute::soak
