#pragma once

#include "../policy/cascade/CascadePolicy.h"
#include "../tables/RouterTables.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** Connects requests with the cascade policy: passes it candidate models and ratings, and returns
    its choices of models. */
class CascadeSystem
{
public:
  explicit CascadeSystem(RouterTables& aTables)
    : mTables(aTables)
    , mPolicy(aTables.mOptions.mSeed + 1)
  {
  }

  /** Returns the cascade of the request's class, or null when the class has none. */
  const Cascade* CascadeOf(const RequestRow& aRow) const;

  /** Returns the model to try first.
      @param aModels  models that can serve the request now, in the order of the cascade */
  CascadeChoice ChooseModel(const RequestRow& aRow,
                            const std::vector<ModelName>& aModels,
                            TimePoint aNow);

  /** Returns the model to escalate to, or nothing when the held response should be served.
      @param aModels  models that can serve the request now, in the order of the cascade
      @param aRating  rating of the held response, 0 to 1; empty when none arrived in time */
  std::optional<CascadeChoice> ChooseEscalation(const RequestRow& aRow,
                                                const std::vector<ModelName>& aModels,
                                                std::optional<double> aRating,
                                                TimePoint aNow);

  /** Returns whether a served response of the version should be rated. */
  bool ShouldRequestRating(const RequestRow& aRow, const VersionId& aVersion);

  /** Passes the rating of a served response, 0 to 1, to the policy. */
  void OnRating(const VersionId& aVersion,
                const ClassName& aClass,
                const TeamName& aTeam,
                double aRating,
                TimePoint aNow);

  /** Passes rating counts of other instances to the policy. */
  void OnFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow);

private:
  CascadeContext Context(const RequestRow& aRow, const std::vector<ModelName>& aModels) const;
  ModelName ModelOf(const VersionId& aVersion) const;

  RouterTables& mTables;
  CascadePolicy mPolicy;
};

} // namespace skylarkchute
