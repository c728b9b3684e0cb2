#pragma once

#include <string_view>

namespace skylarkchute {

/** What decided on the model of an attempt, or on whether its answer is good enough. */
enum class ModelReason
{
  None,          /**< The model is not chosen by ModelChoice. */
  SmallestFirst, /**< A larger model can follow if the answer is unsure. */
  MostlyDropped, /**< Straight to the largest: answers of the smallest would not be accepted. */
  OneRun,        /**< There are attempts or time for one run only. */
  Continuation,  /**< The caller has the first part of the stream. */
  AnswerDropped, /**< The largest follows an answer that was dropped. */
  Confident,     /**< The answer states the required confidence. */
  LowConfidence, /**< The answer is dropped. */
  Costly,        /**< The largest would cost too much for the size and rank of the request. */
  NoGain,        /**< Larger models were no surer of such requests. */
  ServiceFull,   /**< The largest would take the engine time of other requests. */
  NoTime,        /**< The largest would not begin within the target latency. */
  NoAttempt,     /**< No larger model or no further attempt. */
};

/** Returns the name of a reason for logs and metrics. */
std::string_view ModelReasonName(ModelReason aReason);

} // namespace skylarkchute
