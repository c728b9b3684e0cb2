#pragma once

#include "RelaySettings.h"

#include <optional>

namespace skylarkchute {

/** Source from which a running relay reloads its settings. */
class SettingsSource
{
public:
  virtual ~SettingsSource() = default;

  /** Returns the current settings, or nothing when they are not valid. */
  virtual std::optional<RelaySettings> Read() = 0;

  /** Returns whether the settings may have changed since the last Read. Called every second, so it
      has to be cheap. */
  virtual bool HasChanged() = 0;
};

} // namespace skylarkchute
