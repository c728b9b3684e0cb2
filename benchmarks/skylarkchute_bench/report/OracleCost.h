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
  double mOracle =
    0; /**< Least cost that meets the quality target if every rating were known in advance. */

  void Add(const CostTotals& aOther);

  /** Returns the share of the oracle's savings over always using the expensive model that the
      actual cost reaches: 1 at the oracle's cost
      or if there is nothing to save, negative above the cost of the expensive model. */
  double SavingsShare() const;
};

/** Computes the costs of one class. The oracle meets the quality target separately in every team of
    the class. It uses the expensive model only for requests whose cheap answer is bad and whose
    expensive answer is good, shortest first, until the target is met. */
CostTotals CostsOfClass(const Workload& aWorkload, const RunRecord& aRun, const ClassName& aClass);

} // namespace skylarkchute
