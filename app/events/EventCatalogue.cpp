#include "EventCatalogue.h"

#include "../serve/ServeEvents.h"

#include <skylarkchute_endpoints/skylarkchute_endpoints.h>
#include <skylarkchute_entry/skylarkchute_entry.h>
#include <skylarkchute_node/skylarkchute_node.h>
#include <skylarkchute_platform/skylarkchute_platform.h>
#include <skylarkchute_relay/skylarkchute_relay.h>

#include <algorithm>

namespace skylarkchute {

namespace {

using Descriptions = std::vector<const EventDescription*>;

std::string LevelName(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::Debug:
      return "debug";
    case EventLevel::Info:
      return "info";
    case EventLevel::Warning:
      return "warning";
    case EventLevel::Error:
      return "error";
  }
  return "error";
}

} // namespace

Descriptions AllEvents()
{
  Descriptions all;
  for (const auto& it : { BundleEvents(),
                          RoutingEvents(),
                          LedgerEvents(),
                          PeersEvents(),
                          PlatformEvents(),
                          EndpointsEvents(),
                          EntryEvents(),
                          NodeEvents(),
                          ServeEvents(),
                          RelayEvents() }) {
    all.insert(all.end(), it.begin(), it.end());
  }
  std::sort(all.begin(), all.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mNumber < aRight->mNumber;
  });
  return all;
}

std::string EventCatalogueText()
{
  std::string text = "| Number | Level | Name | Meaning |\n| --- | --- | --- | --- |\n";
  for (const auto* it : AllEvents()) {
    text += "| " + std::to_string(it->mNumber) + " | " + LevelName(it->mLevel) + " | `" +
            std::string(it->mName) + "` | " + std::string(it->mMeaning) + " |\n";
  }
  return text;
}

} // namespace skylarkchute
