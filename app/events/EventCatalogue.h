#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <string>
#include <vector>

namespace skylarkchute {

/** Returns every event that the program can log, sorted by number. */
std::vector<const EventDescription*> AllEvents();

/** Returns all events as a Markdown table, as in docs/EVENTS.md. */
std::string EventCatalogueText();

} // namespace skylarkchute
