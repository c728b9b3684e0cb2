#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

enum class OrderKind
{
  Load,
  Unload,
};

/** An order to an engine to load or unload the model version of a label. It states the target state
    and is therefore idempotent. */
struct EndpointOrder
{
  std::string mAddress; /**< IP address. */
  std::uint16_t mPort = 0;
  OrderKind mKind = OrderKind::Load;
  std::string mLabel;
  std::uint64_t mFence = 0; /**< Fencing token; engines that check it refuse orders with a lower
                               token than the highest seen. */
};

enum class OrderResult
{
  Accepted,
  Stale,   /**< Refused: the engine has seen a higher fencing token. */
  Refused, /**< Refused for another reason. */
  Unknown, /**< No complete response; the engine may have accepted the order. */
  NotSent,
};

/** Sends one order. Blocks the calling thread for at most @p aTimeout. */
OrderResult SendEndpointOrder(const EndpointOrder& aOrder, std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
