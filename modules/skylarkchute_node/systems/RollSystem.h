#pragma once

#include "../state/NodePass.h"

namespace skylarkchute {

/** Connects the roll driver with the router: shares to it, verdicts from it. */
class RollSystem
{
public:
  explicit RollSystem(NodeParts& aParts);

  /** Puts the rolls of the bundle in force. */
  void ApplyBundle(NodePass& aPass);

  /** Takes in the outcome of a call of this system. */
  void StoreReplied(const ObjectReply& aReply, NodePass& aPass);

  /** Passes on verdicts and drives time limits. */
  void Tick(NodePass& aPass);

  /** Returns the rolls for the status document. */
  Json::Value StatusJson() const;

private:
  void Take(const RollDriverOutput& aOutput, NodePass& aPass);

  static constexpr std::chrono::milliseconds kVerdictPeriod{ 1000 };

  NodeParts& mParts;
  TimePoint mNextVerdicts;
};

} // namespace skylarkchute
