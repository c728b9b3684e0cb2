#pragma once

#include "../tables/RouterTables.h"
#include "CascadeSystem.h"
#include "HealthSystem.h"
#include "PoolSystem.h"

#include <variant>
#include <vector>

namespace skylarkchute {

/** A version for a request, or why there is none. */
using VersionDecision = std::variant<VersionId, RefuseStep>;

/** Chooses the version of a request: pin, wish of the caller, class and cascade, roll share. */
class VersionChoice
{
public:
  VersionChoice(RouterTables& aTables,
                PoolSystem& aPools,
                HealthSystem& aHealth,
                CascadeSystem& aCascades)
    : mTables(aTables)
    , mPools(aPools)
    , mHealth(aHealth)
    , mCascades(aCascades)
  {
  }

  /** Chooses a version that the team may use and that is neither withdrawn nor stopped. */
  VersionDecision Choose(RequestRow& aRow, TimePoint aNow);

  /** Returns whether the row's version is still usable by its team. */
  bool IsUsable(const RequestRow& aRow, const VersionId& aVersion) const;

  /** Returns the usable version of a model that the next request of the team gets, or nothing.
      Draws by the shares of the rolls in progress. */
  std::optional<VersionId> ChooseOfModel(const Team& aTeam,
                                         const ModelName& aModel,
                                         TimePoint aNow);

  /** Returns the models of the request's cascade that can answer now, in its order; those without
      a live endpoint only when no model has one. */
  std::vector<ModelName> CascadeModels(const RequestRow& aRow, TimePoint aNow) const;

private:
  std::optional<VersionId> ChooseByCascade(RequestRow& aRow, const Team& aTeam, TimePoint aNow);
  bool IsModelHosted(const Team& aTeam, const ModelName& aModel, TimePoint aNow) const;
  bool IsModelUsable(const Team& aTeam, const ModelName& aModel) const;
  const VersionRow* DrawRolling(const std::vector<const VersionRow*>& aRolling, TimePoint aNow);
  const VersionRow* DrawSettled(std::vector<const VersionRow*> aSettled,
                                bool aHasRolling,
                                TimePoint aNow);
  VersionDecision ChooseNamed(const RequestRow& aRow, const VersionId& aVersion) const;
  VersionDecision ChooseByClass(RequestRow& aRow, const Team& aTeam, TimePoint aNow);
  std::vector<ModelName> ModelsInOrder(const RequestRow& aRow, const Team& aTeam) const;
  bool IsHosted(const VersionId& aVersion, TimePoint aNow) const;
  bool MayUse(const Team& aTeam, const VersionRow& aVersion) const;

  RouterTables& mTables;
  PoolSystem& mPools;
  HealthSystem& mHealth;
  CascadeSystem& mCascades;
};

} // namespace skylarkchute
