#pragma once

#include "Identifiers.h"

#include <string>

namespace skylarkchute {

/** Separates the instance id from the random part of an incarnation id. */
inline constexpr char kIncarnationSeparator = '~';

/** Returns an incarnation id. @param aRandom  must never have been used for this instance */
inline IncarnationId MakeIncarnation(const InstanceId& aInstance, const std::string& aRandom)
{
  return IncarnationId(aInstance.Value() + kIncarnationSeparator + aRandom);
}

/** Returns the instance of an incarnation. */
inline InstanceId InstanceOf(const IncarnationId& aIncarnation)
{
  return InstanceId(
    aIncarnation.Value().substr(0, aIncarnation.Value().rfind(kIncarnationSeparator)));
}

} // namespace skylarkchute
