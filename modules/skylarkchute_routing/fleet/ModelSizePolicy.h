#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace skylarkchute {

/** Inputs to the choice of the model for an attempt. */
struct SizeInputs
{
  std::size_t mSizes = 0;                          /**< Models of the route, smallest first. */
  std::uint32_t mAttemptsLeft = 0;                 /**< Further runs that the request may use. */
  std::chrono::milliseconds mTimeToTarget{ 0 };    /**< Time left until the target latency. */
  std::chrono::milliseconds mExpectedLatency{ 0 }; /**< Expected first byte of the largest model. */
  bool mIsContinuation = false; /**< An earlier run generated the first part of the stream. */
  std::size_t mRank = 0;        /**< Number of more urgent priorities among the service's routes. */
  double mPressure = 0;         /**< Utilization of the service. @see FleetTable::Pressure */
};

/** Chooses the model of an attempt and decides whether its answer is good enough.

    Handles load at which large models would need more engine time than is available. The smallest
    model runs first and states its confidence in the head of its answer. If the confidence is too
    low, the answer is dropped before the caller has received any byte of it, and the largest model
    runs instead, provided that time and attempts are left. The required confidence falls as the
    engines fill up, for the least urgent requests first: a small model takes a fraction of the
    engine time, and its answer is worth more than the refusal of another request. */
class ModelSizePolicy
{
public:
  /** Returns the index of the model for the first attempt. */
  static std::size_t FirstModel(const SizeInputs& aInputs);

  /** Returns whether an answer is to be dropped and requested from the largest model instead.
      @param aSize        index of the model that answered
      @param aConfidence  0 to 100, as stated by the endpoint */
  static bool NeedsLargerModel(const SizeInputs& aInputs, std::size_t aSize, double aConfidence);

  /** Returns the lowest confidence, 0 to 100, at which an answer is good enough. */
  static double RequiredConfidence(const SizeInputs& aInputs);
};

} // namespace skylarkchute
