#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

/** One attempt to run a caller's request at one endpoint. */
struct AttemptRequest
{
  AttemptId mAttempt;   /**< Sent as `X-Request-Id`; the endpoint must return it. */
  std::string mAddress; /**< IP address. */
  std::uint16_t mPort = 0;
  std::chrono::milliseconds mTimeout{ 0 }; /**< From connect to the last byte of the response. */
  std::string mMethod = "POST";
  std::string mPath;
  std::string mBody;
  std::string mContentType = "application/json";
  bool mStream = false;        /**< The response is an SSE stream of numbered chunks. */
  bool mModelRequest = true;   /**< Chat completion; false for services without a model. */
  std::uint32_t mPriority = 0; /**< Sent as `X-Priority`; larger is served first. */
  RequestKey mRequestKey;      /**< Sent as `Idempotency-Key`. */
};

} // namespace skylarkchute
