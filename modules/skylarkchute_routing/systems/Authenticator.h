#pragma once

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <string>

namespace skylarkchute {

/** Finds the team of an API key. */
class Authenticator
{
public:
  /** Returns the team that owns the key, or null. Every key hash of the bundle is compared, each
      in constant time, so that the time taken says nothing of the key. */
  static const Team* FindTeam(const Bundle& aBundle, const std::string& aApiKey);
};

} // namespace skylarkchute
