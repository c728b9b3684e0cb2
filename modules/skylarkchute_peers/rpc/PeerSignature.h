#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <string>

namespace skylarkchute {

/** Authenticates messages between instances by an HMAC-SHA256 with a shared key.

    The signature covers sender, receiver, time and body, so a recorded message can be neither
    altered, nor sent to another instance, nor replayed after the time window. */
class PeerSignature
{
public:
  /** Largest accepted difference between the signed time and the receiver's clock, either way. */
  static constexpr std::chrono::seconds kTimeWindow{ 120 };

  explicit PeerSignature(std::string aSharedKey);

  /** Returns the hexadecimal signature. */
  std::string Sign(const InstanceId& aFrom,
                   const InstanceId& aTo,
                   WallTime aAt,
                   const std::string& aBody) const;

  /** Returns whether the signature is valid and its time lies within the window. */
  bool Verify(const InstanceId& aFrom,
              const InstanceId& aTo,
              WallTime aAt,
              WallTime aNow,
              const std::string& aBody,
              const std::string& aSignature) const;

private:
  std::string mSharedKey;
};

} // namespace skylarkchute
