#pragma once

#include "FleetTable.h"
#include "LatencyBaseline.h"
#include "ModelChoice.h"
#include "ModelSizePolicy.h"
#include "RelayRequest.h"

namespace skylarkchute {

/** State of the router that decides on the model of a request. */
struct ModelState
{
  const LatencyBaseline& mLatencies;
  const FleetTable& mEndpoints;
  bool mUsesFleetLoad = false; /**< @see FleetRouter::UsesFleetLoad */
};

/** Chooses the models of requests and decides whether their answers are good enough: by ModelChoice
    for services whose load is known fleet-wide, by ModelSizePolicy for all others. */
class RequestModels
{
public:
  /** Returns the model for the next attempt of a request whose model the router chooses. */
  ModelChoice::First ChooseModel(const ModelState& aState,
                                 const RequestPlan& aPlan,
                                 TimePoint aNow);

  /** @see FleetRouter::NeedsLargerModel */
  bool NeedsLargerModel(const ModelState& aState,
                        const RequestPlan& aPlan,
                        const AttemptPlan& aAttempt,
                        double aConfidence,
                        TimePoint aNow) const;

  /** @see FleetRouter::JudgeConfidence */
  bool JudgeConfidence(const ModelState& aState,
                       RequestPlan& aPlan,
                       AttemptPlan& aAttempt,
                       double aConfidence,
                       TimePoint aNow);

  /** @see FleetRouter::OnAnswerKept */
  static void OnAnswerKept(RequestPlan& aPlan, AttemptPlan& aAttempt);

private:
  static SizeInputs SizeInputsOf(const ModelState& aState,
                                 const RequestPlan& aPlan,
                                 std::uint32_t aRuns,
                                 TimePoint aNow);
  static ModelInputs ModelInputsOf(const ModelState& aState,
                                   const RequestPlan& aPlan,
                                   std::uint32_t aRuns,
                                   TimePoint aNow);

  ModelChoice mModelChoice;
};

} // namespace skylarkchute
