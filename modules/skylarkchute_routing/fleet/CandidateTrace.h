#pragma once

#include "FleetTable.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace skylarkchute {

/** Steps of FleetRouter::NextAttempt that remove endpoints, in their order. */
enum class CandidateStep
{
  Open,    /**< Draining, gone, in an evacuated zone, or the evacuations are not yet known. */
  Region,  /**< Outside the regions that route and team allow. */
  Version, /**< Of another version than the one selected for the request. */
  Busy,    /**< Takes no request now: paused, limited, cold, or brittle and full. */
  Zone,    /**< In a zone that is avoided. */
  Room,    /**< Has no room. */
};

/** Records which endpoints each step of a decision leaves. */
class CandidateTrace
{
public:
  /** Records the endpoints that a step has left. */
  void OnStep(CandidateStep aStep, const std::vector<FleetRow*>& aRows)
  {
    std::set<EndpointId> ids;
    for (const auto* it : aRows) {
      ids.insert(it->mEntry.mId);
    }
    mSteps.emplace_back(aStep, std::move(ids));
  }

  /** Returns whether the decision got as far as the endpoints. */
  bool HasSteps() const { return !mSteps.empty(); }

  /** Returns the step that removed an endpoint; nothing if it was left to the end. */
  std::optional<CandidateStep> RemovedBy(const EndpointId& aEndpoint) const
  {
    for (const auto& [step, ids] : mSteps) {
      if (ids.count(aEndpoint) == 0) {
        return step;
      }
    }
    return std::nullopt;
  }

private:
  std::vector<std::pair<CandidateStep, std::set<EndpointId>>> mSteps;
};

} // namespace skylarkchute
