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

/** An order to an engine. It states what should be hosted, so repeating it does no harm. */
struct EndpointOrder
{
  std::string mAddress; /**< IP number. */
  std::uint16_t mPort = 0;
  OrderKind mKind = OrderKind::Load;
  std::string mLabel;
  std::uint64_t mFence = 0; /**< Fencing number; engines that check it refuse lower ones. */
};

enum class OrderEnd
{
  Accepted,
  Stale,   /**< Refused: the engine has seen a higher fencing number. */
  Refused, /**< Refused for another reason. */
  Unknown, /**< No whole answer; the engine may have taken it. */
  NotSent,
};

/** Gives one order. Blocks its thread for at most @p aTimeout. */
OrderEnd GiveOrder(const EndpointOrder& aOrder, std::chrono::milliseconds aTimeout);

} // namespace skylarkchute
