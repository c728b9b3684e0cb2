#pragma once

#include "LogEvent.h"

#include <string>

namespace skylarkchute {

enum class LogFormat
{
  Text,
  Json,
};

/** Writes log events to standard error through log4cxx. Thread-safe. */
class EventLog
{
public:
  /** @param aInstance  instance id, added to every line
      @param aFormat    one JSON object per line, or text: `number name key=value ...`
      @param aMinimum   events below this level are dropped */
  EventLog(std::string aInstance, LogFormat aFormat, EventLevel aMinimum);

  /** Returns whether events of this kind are written. Lets callers skip fields that are costly to
      compute. */
  bool Accepts(const EventDescription& aDescription) const
  {
    return aDescription.mLevel >= mMinimum;
  }

  /** Writes one event. */
  void Write(const LogEvent& aEvent) const;

  /** Returns the line written for @p aEvent. */
  std::string Render(const LogEvent& aEvent) const;

private:
  std::string mInstance;
  LogFormat mFormat;
  EventLevel mMinimum;
};

} // namespace skylarkchute
