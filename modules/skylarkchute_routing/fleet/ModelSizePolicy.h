#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace skylarkchute {

/** What is known when the model of an attempt is chosen. */
struct SizeQuestion
{
  std::size_t mSizes = 0;                   /**< Models of the route, smallest first. */
  std::uint32_t mAttemptsLeft = 0;          /**< Runs that the request may still get. */
  std::chrono::milliseconds mToTarget{ 0 }; /**< Until the target latency has passed. */
  std::chrono::milliseconds mExpected{ 0 }; /**< First answer byte of the largest model. */
  bool mIsContinuation = false;             /**< Earlier pieces were made by another run. */
  std::size_t mRank = 0; /**< Priorities of the service's routes that are more urgent. */
  double mPressure = 0;  /**< How full the service's endpoints are. @see FleetTable::Pressure */
};

/** Chooses the model that answers, and whether its answer is good enough.

    Answers the load in which large models take more engine time than there is. The smallest model
    is asked first and says at the head of its answer how sure it is; an unsure answer is dropped
    before the caller got a byte of it and the largest model is asked, while time and attempts
    allow. The fuller the engines, the less sure an answer has to be, the least urgent requests
    first: a small model takes a fraction of the engine time, and an answer of it is worth more than
    the refusal of another request. */
class ModelSizePolicy
{
public:
  /** Returns the index of the first model to ask. */
  static std::size_t First(const SizeQuestion& aQuestion);

  /** Returns whether an answer is to be dropped for one of the largest model.
      @param aConfidence  0 to 100, as the endpoint stated it */
  static bool AsksLarger(const SizeQuestion& aQuestion, std::size_t aSize, double aConfidence);

  /** Returns the confidence from which an answer is good enough. */
  static double SureConfidence(const SizeQuestion& aQuestion);
};

} // namespace skylarkchute
