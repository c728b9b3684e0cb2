#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** A response to be rated. */
struct RatingRequest
{
  std::string mAddress; /**< IP address of the rating service. */
  std::uint16_t mPort = 0;
  std::string mRequestBody; /**< The caller's request. */
  std::string mAnswer;      /**< Text of the response. */
  std::string mModel;       /**< `MODEL/NAME`. */
};

/** Requests the rating of one response. Blocks the calling thread for at most @p aTimeout.
    @returns a rating from 0 to 1, or nothing if no valid rating arrived in time */
std::optional<double> RequestRating(const RatingRequest& aRequest,
                                    std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
