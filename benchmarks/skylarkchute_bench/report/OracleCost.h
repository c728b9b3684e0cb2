#pragma once

#include "run/RunRecord.h"
#include "workload/Workload.h"

namespace skylarkchute {

/** Costs of the answered model requests of one class, or of several. */
struct CostTotals
{
  double mAnswered = 0;
  double mActual = 0;
  double mAlwaysExpensive = 0; /**< Every answer from the expensive model. */
  double mOracle = 0; /**< Least cost that meets the quality target with every rating known. */

  void Add(const CostTotals& aOther);

  /** Returns how far the actual cost lies on the way from always-expensive to the oracle. */
  double SavingsShare() const;
};

/** Works out the costs of one class. The oracle meets the quality target in every team of the class
    by itself: it asks the expensive model only where the cheap answer would be bad, the expensive
   one good, and the target not met yet, shortest requests first. */
CostTotals CostsOfClass(const Workload& aWorkload, const RunRecord& aRun, const ClassName& aClass);

} // namespace skylarkchute
