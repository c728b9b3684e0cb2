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
};

/** Chooses the model that answers, and whether its answer is good enough.

    Answers the load in which large models take more engine time than there is: the smallest model
    is asked first and says at the head of its answer how sure it is. An unsure answer is dropped
    before the caller got a byte of it and the largest model is asked, while time and attempts
    allow. */
class ModelSizePolicy
{
public:
  /** Returns the index of the first model to ask. */
  static std::size_t First(const SizeQuestion& aQuestion);

  /** Returns whether an answer is to be dropped for one of the largest model.
      @param aConfidence  0 to 100, as the endpoint stated it */
  static bool AsksLarger(const SizeQuestion& aQuestion, std::size_t aSize, double aConfidence);
};

} // namespace skylarkchute
