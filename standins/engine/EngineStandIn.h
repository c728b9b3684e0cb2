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

/** Stands in for a model engine. docs/STANDINS.md gives its protocol and switches. */
class EngineStandIn
{
public:
  struct Options
  {
    std::uint16_t mPort = 0;
    std::vector<std::string> mLabels; /**< Versions hosted from the start. */
    std::uint32_t mSlots = 8;
    std::uint32_t mMaxQueued = 64;
    std::uint32_t mWords = 12;                        /**< Answer length without a bound asked. */
    std::chrono::microseconds mWordTime{ 200 };       /**< Per word of an answer. */
    std::chrono::microseconds mPromptTokenTime{ 10 }; /**< Per prompt token that is not cached. */
    std::chrono::milliseconds mLoadTime{ 50 };        /**< To load a version by order. */
    double mQuality = 1.0;         /**< Share of prompts that get a good answer, 0 to 1. */
    bool mChecksFencing = true;    /**< Whether orders with an old fencing number are refused. */
    std::size_t mPrefixCache = 64; /**< Prompt prefixes kept. */
  };

  explicit EngineStandIn(Options aOptions);
  ~EngineStandIn();

  EngineStandIn(const EngineStandIn&) = delete;
  EngineStandIn& operator=(const EngineStandIn&) = delete;

  std::uint16_t Port() const { return mServer.Port(); }

  /** Sets switches as `PUT /standin/switches` does. */
  void Switch(const std::string& aJson);

  /** Returns every attempt seen. */
  std::vector<EngineRun> Runs() const;

  /** Returns how often requests with this key ran here. */
  std::uint32_t RunsOfKey(const std::string& aKey) const;

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
  bool RefusesBeforeRun(const std::string& aLabel, Response& aResponse);
  void RunInSlot(const std::string& aAttempt,
                 const Json::Value& aBody,
                 Request& aRequest,
                 Response& aResponse);
  EngineRun BeginRun(const Request& aRequest, const Json::Value& aBody);
  void WriteStream(const EngineRun& aRun,
                   std::uint64_t aFirst,
                   Request& aRequest,
                   Response& aResponse);
  bool WriteMischief(std::ostream& aOut, const EngineRun& aRun, std::uint64_t aNumber);
  bool TakeBreak(std::uint64_t aNumber);
  bool TakeSkip(std::uint64_t aNumber);
  bool IsStopped(const std::string& aAttempt, std::uint64_t aLife) const;
  void MarkFinished(const std::string& aAttempt);
  void Crash();
  void Pause(std::chrono::microseconds aTime) const;
  Json::Value SwitchValue(const char* aName) const;
  std::set<std::string> Hosted() const;
  std::uint32_t UncachedTokens(const std::string& aPrompt, std::uint32_t aTokens);

  Options mOptions;
  mutable std::mutex mMutex;
  Json::Value mSwitches;
  std::map<std::string, EngineRun> mRuns;
  std::map<std::string, std::chrono::steady_clock::time_point> mHosted;
  std::deque<std::string> mPrefixes;
  std::uint64_t mFence = 0;
  std::uint64_t mOrders = 0;
  std::uint64_t mLife = 0; /**< Counts crashes; requests of an earlier life are cut off. */
  std::chrono::steady_clock::time_point mDownUntil;
  SlotQueue mSlots;
  StandInServer mServer;
};

} // namespace skylarkchute::standins
