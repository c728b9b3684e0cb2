#pragma once

#include "../PeerTypes.h"

#include <boost/random/mersenne_twister.hpp>

#include <deque>
#include <optional>
#include <set>

namespace skylarkchute {

/** Peer message `alert.spread`. */
struct AlertMessage
{
  InstanceId mOrigin;
  RoutingAlert mAlert;
};

/** Returns JSON object text. */
std::string EncodeAlertMessage(const AlertMessage& aMessage);

/** Returns the message in the text, or nothing when it cannot be read. */
std::optional<AlertMessage> DecodeAlertMessage(const std::string& aText);

/** What the spreader wants done after an event. */
struct AlertOutput
{
  std::vector<PeerCall> mCalls;
  std::vector<RoutingAlert> mAlerts; /**< New here: to be given to the router. */
  std::vector<LogEvent> mEvents;
};

/** Spreads alerts by gossip: each instance passes a new alert to a few random peers, in several
    rounds. An alert that says the same as one seen lately is not spread again, whoever raised it.
    */
class AlertSpreader
{
public:
  struct Options
  {
    InstanceId mSelf;
    std::uint32_t mSeed = 0;
    std::size_t mFanout = 3;
    std::uint32_t mRounds = 6;
    std::chrono::milliseconds mRoundTime{ 200 };
    std::chrono::seconds mRemember{ 60 };
    std::size_t mMostRemembered = 4096;
    std::chrono::milliseconds mCallTimeout{ 500 };
  };

  explicit AlertSpreader(Options aOptions);

  /** Takes in the live peers, without this instance. */
  void SetPeers(std::vector<InstanceId> aPeers) { mPeers = std::move(aPeers); }

  /** Spreads an alert of this instance. */
  AlertOutput Raise(const RoutingAlert& aAlert, TimePoint aNow);

  /** Takes in the message `alert.spread`. */
  AlertOutput OnSpread(const std::string& aParams, TimePoint aNow);

  /** Drives the further rounds. */
  AlertOutput Tick(TimePoint aNow);

private:
  struct Rumour
  {
    AlertMessage mMessage;
    std::uint32_t mRoundsLeft = 0;
    TimePoint mNextRound;
  };

  struct Seen
  {
    std::string mContent;
    TimePoint mUntil;
  };

  bool IsNew(const RoutingAlert& aAlert, TimePoint aNow);
  void Spread(Rumour& aRumour, TimePoint aNow, AlertOutput& aOutput);
  void Start(AlertMessage aMessage, TimePoint aNow, AlertOutput& aOutput);

  Options mOptions;
  boost::random::mt19937 mRandom;
  std::vector<InstanceId> mPeers;
  std::vector<Rumour> mRumours;
  std::set<std::string> mSeen;
  std::deque<Seen> mSeenInOrder;
  std::uint64_t mNextCall = 1;
};

} // namespace skylarkchute
