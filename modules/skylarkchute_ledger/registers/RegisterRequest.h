#pragma once

#include "../LedgerTypes.h"

namespace skylarkchute {

/** A register write or read of a component. @see RegisterService::Submit */
struct RegisterRequest
{
  std::uint64_t mOperationId = 0; /**< Correlation id, returned in the RegisterOutcome. */
  bool mReadOnly = false;         /**< A read: only the key of mWrite is used. */
  RegisterWrite mWrite;
};

/** First operation ids of the components that share one RegisterService; the ranges do not overlap.
 */
inline constexpr std::uint64_t kFirstClaimOperationId = 1;
inline constexpr std::uint64_t kFirstPinOperationId = std::uint64_t{ 1 } << 62U;

} // namespace skylarkchute
