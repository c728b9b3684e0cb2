#pragma once

#include "ConfidenceCalibration.h"
#include "ModelReason.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace skylarkchute {

/** Inputs to the choice of the model for a request. */
struct ModelInputs
{
  std::size_t mSizes = 0;          /**< Models of the route, smallest first. */
  std::uint32_t mAttemptsLeft = 0; /**< Further runs that the request may use. */
  bool mIsContinuation = false;    /**< An earlier run generated the first part of the stream. */
  std::size_t mRank = 0; /**< Number of more urgent priorities among the service's routes. */
  double mPressure = 0;  /**< Utilization of the service. @see FleetTable::Pressure */
  double mCostRatio = 0; /**< Cost of the smallest model by that of the largest; zero: unknown. */
  std::chrono::milliseconds mTimeToTarget{ 0 };    /**< Time left until the target latency. */
  std::chrono::milliseconds mSmallestLatency{ 0 }; /**< Expected first byte of that model. */
  std::chrono::milliseconds mLargestLatency{ 0 };
  std::chrono::milliseconds mDelay{ 0 }; /**< Time that this request has waited beyond the usual
                                              latency of its answer; the next run will as well. */
  RouteClass mClass{};
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0; /**< Limit of generated tokens. */
};

/** Chooses the model of an attempt and decides whether its answer is good enough, by the expected
    loss of each choice.

    Accepting an answer of the smallest model loses the worth of the request with the probability
    that the answer is wrong. Dropping it costs a run of the largest model, the caller's time, and
    the engine time of other requests if the service is nearly full. The worth of a request is not
    declared; the required confidences by rank stand for the cost of the largest model relative to
    the worth of a typical request. They are lowered only for requests on which the largest model
    costs more than usual for their size, and while the service is nearly full. */
class ModelChoice
{
public:
  struct First
  {
    std::size_t mSize = 0;
    ModelReason mReason = ModelReason::None;
  };

  /** Returns the model for the next attempt of a request, of which no answer was dropped. */
  First ChooseFirst(const ModelInputs& aInputs, TimePoint aNow);

  /** Decides on an answer of a model that is not the largest.
      @param aConfidence  0 to 100, as stated by the endpoint
      @returns LowConfidence if it is to be dropped and requested from the largest model */
  ModelReason JudgeAnswer(const ModelInputs& aInputs, double aConfidence, TimePoint aNow);

  /** Like JudgeAnswer(), but records nothing. */
  ModelReason ReasonFor(const ModelInputs& aInputs, double aConfidence, TimePoint aNow) const;

  /** Records the confidence, 0 to 100, of the largest model's answer after a dropped one. */
  void OnLargerAnswer(RouteClass aClass, double aDropped, double aConfidence, TimePoint aNow);

private:
  /** Returns the required probability, 0 to 1, with free endpoints. */
  double RequiredWithRoom(const ModelInputs& aInputs) const;

  void RecordSize(const ModelInputs& aInputs);

  ConfidenceCalibration mCalibration;
  std::map<RouteClass, double> mMeanCosts; /**< Mean cost relative to the size of requests. */
};

} // namespace skylarkchute
