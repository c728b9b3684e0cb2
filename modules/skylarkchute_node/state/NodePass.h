#pragma once

#include "../actions/NodeAction.h"
#include "../peers/PeerCallTable.h"
#include "../peers/PeerEnvelope.h"
#include "NodeParts.h"
#include "NodeTime.h"

#include <string>

namespace skylarkchute {

/** One event on its way through the systems of a node: its time and the actions so far. */
class NodePass
{
public:
  NodePass(NodeParts& aParts, NodeTime aTime) : mParts(aParts), mTime(aTime) {}

  TimePoint Now() const { return mTime.mNow; }

  WallTime Wall() const { return mTime.mWall; }

  /** Adds an action. */
  void Add(NodeAction aAction) { mActions.push_back(std::move(aAction)); }

  /** Adds the calls of a component to the object API. */
  void AddCalls(StoreUser aUser, const std::vector<ObjectCall>& aCalls);

  /** Adds a call to a peer.
      @param aMessage  JSON object text; the envelope is put around it here */
  void AddPeerCall(PeerCallTable::Origin aOrigin,
                   const InstanceId& aTo,
                   const std::string& aMethod,
                   const std::string& aMessage,
                   std::chrono::milliseconds aTimeout);

  /** Adds the answer to a peer's request, in its envelope. */
  void AddPeerAnswer(std::uint64_t aToken, const std::string& aMessage);

  /** Adds log events. */
  void AddEvents(const std::vector<LogEvent>& aEvents);

  /** Returns the actions and empties them. */
  NodeActions Take() { return std::move(mActions); }

private:
  NodeParts& mParts;
  NodeTime mTime;
  NodeActions mActions;
};

} // namespace skylarkchute
