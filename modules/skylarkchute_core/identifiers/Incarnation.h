#pragma once

#include "Identifiers.h"

#include <string>

namespace skylarkchute {

/** Separates the instance from the random part of an incarnation. */
inline constexpr char kIncarnationSeparator = '~';

/** Returns the incarnation of an instance. @param aRandom  never used for this instance before */
inline IncarnationId MakeIncarnation(const InstanceId& aInstance, const std::string& aRandom)
{
  return IncarnationId(aInstance.Value() + kIncarnationSeparator + aRandom);
}

/** Returns the instance that an incarnation is a life of. */
inline InstanceId InstanceOf(const IncarnationId& aIncarnation)
{
  return InstanceId(
    aIncarnation.Value().substr(0, aIncarnation.Value().rfind(kIncarnationSeparator)));
}

} // namespace skylarkchute
