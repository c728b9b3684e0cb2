#pragma once

#include "../policy/cascade/CascadePolicy.h"
#include "../tables/RouterTables.h"

#include <optional>
#include <vector>

namespace skylarkchute {

/** Asks the cascade policy for models, and tells it of ratings. */
class CascadeSystem
{
public:
  explicit CascadeSystem(RouterTables& aTables)
    : mTables(aTables)
    , mPolicy(aTables.mOptions.mSeed + 1)
  {
  }

  /** Returns the cascade of the request's class, or null. */
  const Cascade* CascadeOf(const RequestRow& aRow) const;

  /** Returns the model to try first.
      @param aModels  models that can answer at this moment, in the order of the cascade */
  CascadeChoice ChooseModel(const RequestRow& aRow,
                            const std::vector<ModelName>& aModels,
                            TimePoint aNow);

  /** Returns the model to ask instead of serving a held answer, or nothing.
      @param aRating  empty when no rating came in time */
  std::optional<CascadeChoice> AfterAnswer(const RequestRow& aRow,
                                           const std::vector<ModelName>& aModels,
                                           std::optional<double> aRating,
                                           TimePoint aNow);

  /** Returns whether a served answer of the version should be rated. */
  bool WantsRating(const RequestRow& aRow, const VersionId& aVersion);

  /** Takes in the rating of an answer that was served. */
  void OnRating(const VersionId& aVersion,
                const ClassName& aClass,
                const TeamName& aTeam,
                double aRating,
                TimePoint aNow);

  /** Takes in the ratings of other instances. */
  void OnFleetEvidence(const std::vector<VersionEvidence>& aEvidence, TimePoint aNow);

private:
  CascadeContext Context(const RequestRow& aRow, const std::vector<ModelName>& aModels) const;
  ModelName ModelOf(const VersionId& aVersion) const;

  RouterTables& mTables;
  CascadePolicy mPolicy;
};

} // namespace skylarkchute
