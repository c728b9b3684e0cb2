#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

/** Connects the roll driver with the router: shares to it, verdicts from it. */
class RollSystem
{
public:
  explicit RollSystem(NodeParts& aParts);

  /** Puts the rolls of the bundle in force. */
  void ApplyBundle(EventContext& aContext);

  /** Takes in the outcome of a call of this system. */
  void StoreReplied(const ObjectReply& aReply, EventContext& aContext);

  /** Passes on verdicts and drives time limits. */
  void Tick(EventContext& aContext);

  /** Returns the rolls for the status document. */
  Json::Value StatusJson() const;

private:
  void ApplyOutput(const RollDriverOutput& aOutput, EventContext& aContext);

  static constexpr std::chrono::milliseconds kVerdictPeriod{ 1000 };

  NodeParts& mParts;
  TimePoint mNextVerdictTime;
};

} // namespace skylarkchute
