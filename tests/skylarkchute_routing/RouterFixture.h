#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** A router with a small bundle and a manual clock. The API key of a team is `key-NAME`. */
class RouterFixture
{
public:
  explicit RouterFixture(std::uint64_t aSeed = 1);

  /** Puts the edited bundle in force. */
  RouterSteps ApplyBundle();

  /** Adds an engine endpoint that hosts the labels, and applies it to the router. */
  void AddEngine(const std::string& aId,
                 const std::vector<std::string>& aLabels,
                 std::uint32_t aSlots = 4,
                 const std::string& aZone = "a");

  /** Adds a plain service endpoint, and applies it to the router. */
  void AddService(const std::string& aId, const std::string& aService);

  /** Applies the edited endpoint list to the router. */
  void ApplyEndpoints();

  /** Reports the load of an engine. */
  void Report(const std::string& aId, std::uint32_t aRunning, bool aLeaving = false);

  /** Returns a request of team `small` in class `chat` with a new id.
      @param aDeadline  time from now to its deadline */
  RequestFacts MakeFacts(std::chrono::milliseconds aDeadline = std::chrono::seconds(30));

  /** Advances the clock in steps of 10 ms with a tick after each, and returns the steps. */
  RouterSteps Run(std::chrono::milliseconds aTime);

  /** Returns an outcome with the matching verdict and a latency of 100 ms. */
  static AttemptOutcome Outcome(AttemptEnd aEnd);

  /** Reports the outcome of an attempt and returns the steps. */
  RouterSteps End(const DispatchStep& aStep, AttemptEnd aEnd);

  /** Returns the steps of one type. */
  template<typename Step>
  static std::vector<Step> StepsOf(const RouterSteps& aSteps)
  {
    std::vector<Step> found;
    for (const auto& it : aSteps) {
      if (const auto* step = std::get_if<Step>(&it)) {
        found.push_back(*step);
      }
    }
    return found;
  }

  Bundle mBundle;
  std::vector<EndpointRecord> mRecords;
  std::vector<LoadReport> mReports;
  ManualClock mClock;
  std::uint64_t mNextId = 0;
  Router mRouter;
};

} // namespace skylarkchute
