#pragma once

#include "../http/StandInServer.h"
#include "EngineRun.h"
#include "SlotQueue.h"

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace skylarkchute::standins {

/** Simulates a model engine. @see docs/STANDINS.md for its protocol and switches */
class EngineStandIn
{
public:
  struct Options
  {
    std::uint16_t mPort = 0;
    std::vector<std::string> mLabels;           /**< Labels of the versions hosted at start. */
    std::uint32_t mSlots = 8;                   /**< Requests that run concurrently. */
    std::uint32_t mMaxQueued = 64;              /**< Requests that wait for a slot. */
    std::uint32_t mWords = 12;                  /**< Words of a response without `max_tokens`. */
    std::chrono::microseconds mWordTime{ 200 }; /**< Time to generate one word. */
    std::chrono::microseconds mPromptTokenTime{ 10 }; /**< Time per uncached prompt token. */
    std::chrono::milliseconds mLoadTime{ 50 };        /**< From a load order to hosting. */
    double mQuality = 1.0;      /**< Share of prompts that get a good response, 0 to 1. */
    bool mChecksFencing = true; /**< Whether to refuse orders with an outdated fencing token. */
    std::size_t mPrefixCacheSize = 64; /**< Prompt prefixes in the cache. */
  };

  explicit EngineStandIn(Options aOptions);

  /** Turns off the `hang` switch, so that hanging requests end, and stops the server. */
  ~EngineStandIn();

  EngineStandIn(const EngineStandIn&) = delete;
  EngineStandIn& operator=(const EngineStandIn&) = delete;

  std::uint16_t Port() const { return mServer.Port(); }

  /** Sets switches from a JSON object, like `PUT /standin/switches`. */
  void UpdateSwitches(const std::string& aJson);

  /** Returns the state of every attempt that ran, ordered by attempt id. */
  std::vector<EngineRun> Runs() const;

  /** Returns how many times requests with this idempotency key ran. */
  std::uint32_t CountRunsByKey(const std::string& aKey) const;

private:
  using Request = Poco::Net::HTTPServerRequest;
  using Response = Poco::Net::HTTPServerResponse;

  void Handle(Request& aRequest, Response& aResponse);
  void HandleChat(Request& aRequest, Response& aResponse);
  void HandleResume(Request& aRequest, Response& aResponse);
  void HandleLoad(Response& aResponse);
  void HandleOrder(Request& aRequest, Response& aResponse);
  void HandleCancel(Request& aRequest, Response& aResponse);
  void HandleControl(Request& aRequest, Response& aResponse);
  bool RefuseBeforeRun(const std::string& aLabel, Response& aResponse);
  void RunInSlot(const std::string& aAttempt,
                 const Json::Value& aBody,
                 Request& aRequest,
                 Response& aResponse);
  EngineRun BeginRun(const Request& aRequest, const Json::Value& aBody);
  void WriteStream(const EngineRun& aRun,
                   std::uint64_t aFirst,
                   Request& aRequest,
                   Response& aResponse);
  bool WriteStrayChunks(std::ostream& aOut, const EngineRun& aRun, std::uint64_t aNumber);
  bool ConsumeStreamBreak(std::uint64_t aNumber);
  bool ConsumeChunkSkip(std::uint64_t aNumber);
  bool IsStopped(const std::string& aAttempt, std::uint64_t aEngineCrashCount) const;
  void MarkFinished(const std::string& aAttempt);
  void Crash();
  void SleepScaled(std::chrono::microseconds aTime) const;
  Json::Value SwitchValue(const char* aName) const;
  std::set<std::string> Hosted() const;
  std::uint32_t UncachedTokens(const std::string& aPrompt, std::uint32_t aTokens);

  Options mOptions;
  mutable std::mutex mMutex;
  Json::Value mSwitches;
  std::map<std::string, EngineRun> mRuns;
  std::map<std::string, std::chrono::steady_clock::time_point> mHosted; /**< Load end, by label. */
  std::deque<std::string> mCachedPrefixes; /**< Hashes; most recently used first. */
  std::uint64_t mHighestFence = 0;         /**< Highest fencing token of the orders accepted. */
  std::uint64_t mOrders = 0;
  std::uint64_t mEngineCrashCount = 0; /**< Requests that began before a crash are aborted. */
  std::chrono::steady_clock::time_point mDownUntil; /**< End of the simulated restart. */
  SlotQueue mSlots;
  StandInServer mServer;
};

} // namespace skylarkchute::standins
