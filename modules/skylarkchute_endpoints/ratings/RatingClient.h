#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkchute {

/** An answer to be rated. */
struct RatingRequest
{
  std::string mAddress; /**< IP number of the rating service. */
  std::uint16_t mPort = 0;
  std::string mRequestBody; /**< The caller's request. */
  std::string mAnswer;      /**< Content of the answer. */
  std::string mModel;       /**< `MODEL/NAME`. */
};

/** Asks for the rating of one answer. Blocks its thread for at most @p aTimeout.
    @returns a rating from 0 to 1, nothing when the service gave none */
std::optional<double> AskRating(const RatingRequest& aRequest, std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
