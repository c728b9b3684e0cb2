#pragma once

#include "../LedgerTypes.h"

namespace skylarkchute {

/** A register write or read that a component asks for. @see RegisterService::Submit */
struct RegisterRequest
{
  std::uint64_t mTicket = 0; /**< Given back with the RegisterOutcome. */
  bool mReadOnly = false;    /**< Only the key counts. */
  RegisterWrite mWrite;
};

/** First tickets of the components that share one RegisterService, so that theirs never meet. */
inline constexpr std::uint64_t kFirstClaimTicket = 1;
inline constexpr std::uint64_t kFirstPinTicket = std::uint64_t{ 1 } << 62U;

} // namespace skylarkchute
