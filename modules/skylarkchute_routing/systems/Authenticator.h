#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <string>

namespace skylarkchute {

/** Finds the team that an API key belongs to. */
class Authenticator
{
public:
  /** Returns the team that owns the key, or null. Compares every key hash of the bundle, each in
      constant time, so that the duration reveals nothing about the key. */
  static const Team* FindTeam(const Bundle& aBundle, const std::string& aApiKey);
};

} // namespace skylarkchute
