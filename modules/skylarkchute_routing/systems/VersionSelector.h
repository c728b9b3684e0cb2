#pragma once

#include "../tables/RouterTables.h"
#include "CascadeSystem.h"
#include "HealthSystem.h"
#include "PoolSystem.h"

#include <variant>
#include <vector>

namespace skylarkchute {

/** The version for a request, or the refusal when there is none. */
using VersionDecision = std::variant<VersionId, RefuseStep>;

/** Selects the version of a request, in this order: the pinned version, the version or model that
    the caller named, the cascade or models of the class. Rolling versions get the traffic share of
    their roll. */
class VersionSelector
{
public:
  VersionSelector(RouterTables& aTables,
                  PoolSystem& aPools,
                  HealthSystem& aHealth,
                  CascadeSystem& aCascades)
    : mTables(aTables)
    , mPools(aPools)
    , mHealth(aHealth)
    , mCascades(aCascades)
  {
  }

  /** Returns a version that the team may use and that is neither withdrawn nor stopped, or a
      refusal. */
  VersionDecision Choose(RequestRow& aRow, TimePoint aNow);

  /** Returns whether the team of the request may use the version. */
  bool IsUsable(const RequestRow& aRow, const VersionId& aVersion) const;

  /** Returns a version of the model that the team may use, or nothing when there is none. Chooses
      at random by the traffic shares of the rolls in progress. */
  std::optional<VersionId> ChooseForModel(const Team& aTeam,
                                          const ModelName& aModel,
                                          TimePoint aNow);

  /** Returns the models of the request's cascade that have an available endpoint, in the order of
      the cascade; when no model has one, those that the team may use. */
  std::vector<ModelName> CascadeModels(const RequestRow& aRow, TimePoint aNow) const;

private:
  std::optional<VersionId> ChooseByCascade(RequestRow& aRow, const Team& aTeam, TimePoint aNow);
  bool IsModelHosted(const Team& aTeam, const ModelName& aModel, TimePoint aNow) const;
  bool IsModelUsable(const Team& aTeam, const ModelName& aModel) const;
  const VersionRow* DrawRolling(const std::vector<const VersionRow*>& aRolling, TimePoint aNow);
  const VersionRow* DrawStable(std::vector<const VersionRow*> aStable,
                               bool aHasRolling,
                               TimePoint aNow);
  VersionDecision ChooseNamed(const RequestRow& aRow, const VersionId& aVersion) const;
  VersionDecision ChooseByClass(RequestRow& aRow, const Team& aTeam, TimePoint aNow);
  std::vector<ModelName> ModelsByPreference(const RequestRow& aRow, const Team& aTeam) const;
  bool IsHosted(const VersionId& aVersion, TimePoint aNow) const;
  bool MayUse(const Team& aTeam, const VersionRow& aVersion) const;

  RouterTables& mTables;
  PoolSystem& mPools;
  HealthSystem& mHealth;
  CascadeSystem& mCascades;
};

} // namespace skylarkchute
