#pragma once

#include "../state/EventContext.h"

namespace skylarkchute {

/** Connects the roll driver with the router: applies the driver's shares to the router and the
    router's verdicts to the driver. */
class RollSystem
{
public:
  explicit RollSystem(NodeParts& aParts);

  /** Applies the rolls of the bundle in force. */
  void ApplyBundle(EventContext& aContext);

  /** Processes the outcome of a call that this system made. */
  void StoreReplied(const ObjectReply& aReply, EventContext& aContext);

  /** Passes the router's verdicts to the roll driver and processes expired time limits. */
  void Tick(EventContext& aContext);

  /** Returns the JSON array of rolls for the status document. */
  Json::Value StatusJson() const;

private:
  void ApplyOutput(const RollDriverOutput& aOutput, EventContext& aContext);

  static constexpr std::chrono::milliseconds kVerdictPeriod{ 1000 };

  NodeParts& mParts;
  TimePoint mNextVerdictTime;
};

} // namespace skylarkchute
