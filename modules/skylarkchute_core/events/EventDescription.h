#pragma once

#include <cstdint>
#include <string_view>

namespace skylarkchute {

enum class EventLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/**
  One entry of the event catalogue, which describes a kind of log event.

  Numbers by module: core 100, bundles 200, routing 300, ledger 400, peers 500, platform 600,
  endpoints 700, entry 800, node 900, commands 1000. Numbers are never reused.
*/
struct EventDescription
{
  std::uint16_t mNumber;
  EventLevel mLevel;
  std::string_view mName;    /**< Kebab case, unique. */
  std::string_view mMeaning; /**< Explanation for operators, one sentence. */
};

} // namespace skylarkchute
