#pragma once

#include "../actions/NodeAction.h"
#include "../peers/PeerCallTable.h"
#include "../peers/PeerEnvelope.h"
#include "NodeParts.h"
#include "NodeTime.h"

#include <string>

namespace skylarkchute {

/** The context in which the systems of a node process one event: the time of the event and the
    actions collected so far. */
class EventContext
{
public:
  EventContext(NodeParts& aParts, NodeTime aTime) : mParts(aParts), mTime(aTime) {}

  TimePoint Now() const { return mTime.mNow; }

  WallTime Wall() const { return mTime.mWall; }

  /** Adds an action. */
  void Add(NodeAction aAction) { mActions.push_back(std::move(aAction)); }

  /** Adds object API calls and registers them, so that their replies reach the component. */
  void AddCalls(CallingComponent aComponent, const std::vector<ObjectCall>& aCalls);

  /** Adds a call to a peer.
      @param aMessage  JSON object text without envelope; this method adds the envelope */
  void AddPeerCall(PeerCallTable::Origin aOrigin,
                   const InstanceId& aTo,
                   const std::string& aMethod,
                   const std::string& aMessage,
                   std::chrono::milliseconds aTimeout);

  /** Adds the answer to a peer's request.
      @param aToken    token of the peer's request
      @param aMessage  JSON object text without envelope; this method adds the envelope */
  void AddPeerAnswer(std::uint64_t aToken, const std::string& aMessage);

  /** Adds log events. */
  void AddEvents(const std::vector<LogEvent>& aEvents);

  /** Returns the collected actions and leaves none behind. */
  NodeActions TakeActions() { return std::move(mActions); }

private:
  NodeParts& mParts;
  NodeTime mTime;
  NodeActions mActions;
};

} // namespace skylarkchute
