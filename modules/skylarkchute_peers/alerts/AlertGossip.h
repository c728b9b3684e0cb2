#pragma once

#include "../PeerTypes.h"

#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <optional>
#include <set>

namespace skylarkchute {

/** Peer message `alert.spread`: an alert and the instance that raised it. */
struct AlertMessage
{
  InstanceId mOrigin;
  RoutingAlert mAlert;
};

/** Encodes a message as JSON object text. */
std::string EncodeAlertMessage(const AlertMessage& aMessage);

/** Decodes a message. Returns nothing when @p aText is invalid. */
std::optional<AlertMessage> DecodeAlertMessage(const std::string& aText);

/** Calls, new alerts and log events that result from one event. */
struct AlertOutput
{
  std::vector<PeerCall> mCalls;
  std::vector<RoutingAlert> mAlerts; /**< Received for the first time; for the router. */
  std::vector<LogEvent> mEvents;
};

/** Spreads alerts by gossip: each instance sends a new alert to a few random peers, in several
    rounds. An alert with the same content as a recent one is not spread again, whichever instance
    raised it. */
class AlertGossip
{
public:
  struct Options
  {
    InstanceId mSelf;
    std::uint32_t mSeed = 0;
    std::size_t mFanout = 3; /**< Peers per round. */
    std::uint32_t mRounds = 6;
    std::chrono::milliseconds mRoundInterval{ 200 }; /**< Between two rounds of an alert. */
    /** An alert with the same content is ignored for this time. */
    std::chrono::seconds mRetentionTime{ 60 };
    /** Beyond this number the oldest alert in memory is dropped early. */
    std::size_t mMaxRemembered = 4096;
    std::chrono::milliseconds mCallTimeout{ 500 };
  };

  explicit AlertGossip(Options aOptions);

  /** Sets the live peers, without this instance. */
  void SetPeers(std::vector<InstanceId> aPeers) { mPeers = std::move(aPeers); }

  /** Starts to spread an alert of this instance. */
  AlertOutput Raise(const RoutingAlert& aAlert, TimePoint aNow);

  /** Handles the message `alert.spread`. Messages that cannot be decoded are ignored. */
  AlertOutput OnAlertMessage(const std::string& aParams, TimePoint aNow);

  /** Sends the rounds that are due. */
  AlertOutput Tick(TimePoint aNow);

private:
  struct ActiveAlert
  {
    AlertMessage mMessage;
    std::uint32_t mRoundsLeft = 0;
    TimePoint mNextRound;
  };

  struct Seen
  {
    std::string mKey;
    TimePoint mExpiresAt;
  };

  bool RecordIfNew(const RoutingAlert& aAlert, TimePoint aNow);
  void SendRound(ActiveAlert& aActive, TimePoint aNow, AlertOutput& aOutput);
  void StartSpreading(AlertMessage aMessage, TimePoint aNow, AlertOutput& aOutput);

  Options mOptions;
  boost::random::mt19937 mRandom;
  std::vector<InstanceId> mPeers;
  std::vector<ActiveAlert> mActiveAlerts;
  std::set<std::string> mSeen;
  std::deque<Seen> mSeenByExpiry;
  std::uint64_t mNextCall = 1;
};

} // namespace skylarkchute
