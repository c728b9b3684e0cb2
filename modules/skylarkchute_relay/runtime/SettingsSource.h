#pragma once

#include "RelaySettings.h"

#include <optional>

namespace skylarkchute {

/** Where a running relay reads its settings again. */
class SettingsSource
{
public:
  virtual ~SettingsSource() = default;

  /** Returns the settings as they stand now, or nothing when they are not valid. */
  virtual std::optional<RelaySettings> Read() = 0;

  /** Returns whether the settings may differ from those read last. Cheap. */
  virtual bool HasChanged() = 0;
};

} // namespace skylarkchute
