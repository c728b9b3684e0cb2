#pragma once

#include "run/RunRecord.h"
#include "workload/Workload.h"

namespace skylarkchute {

/** Costs of the answered model requests of one or more classes, in units of the bundle's prices. */
struct CostTotals
{
  double mAnswered = 0;
  double mActual = 0;
  double mAlwaysExpensive = 0; /**< If the expensive model answered every request. */
  double mOracle = 0;          /**< Least cost that meets the quality target, all ratings known. */

  void Add(const CostTotals& aOther);

  /** Returns the actual savings as a share of the oracle's, both against always using the expensive
      model. It is 1 if there is nothing to save and negative if the actual cost is higher. */
  double SavingsShare() const;
};

/** Computes the costs of one class. The oracle meets the quality target separately in every team of
    the class. It uses the expensive model only for requests whose cheap answer is bad and whose
    expensive answer is good, shortest first, until the target is met. */
CostTotals CostsOfClass(const Workload& aWorkload, const RunRecord& aRun, const ClassName& aClass);

} // namespace skylarkchute
