#pragma once

#include "EventDescription.h"

#include <string>
#include <vector>

namespace skylarkchute {

/** One named value of a log event. */
struct LogField
{
  std::string mName;
  std::string mValue;
};

/** An event to be written to the log. @see EventLog */
struct LogEvent
{
  const EventDescription* mDescription = nullptr;
  std::vector<LogField> mFields;
};

} // namespace skylarkchute
