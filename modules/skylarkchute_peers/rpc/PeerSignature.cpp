#include "PeerSignature.h"

namespace skylarkchute {

PeerSignature::PeerSignature(std::string aSharedKey) : mSharedKey(std::move(aSharedKey)) {}

std::string PeerSignature::Sign(const InstanceId& aFrom,
                                const InstanceId& aTo,
                                WallTime aAt,
                                const std::string& aBody) const
{
  const auto at =
    std::chrono::duration_cast<std::chrono::milliseconds>(aAt.time_since_epoch()).count();
  const auto text = aFrom.Value() + "\n" + aTo.Value() + "\n" + std::to_string(at) + "\n" + aBody;
  return HmacSha256Hex(mSharedKey, text);
}

bool PeerSignature::Verify(const InstanceId& aFrom,
                           const InstanceId& aTo,
                           WallTime aAt,
                           WallTime aNow,
                           const std::string& aBody,
                           const std::string& aSignature) const
{
  const auto age = aNow > aAt ? aNow - aAt : aAt - aNow;
  return age <= kTimeWindow && EqualInConstantTime(Sign(aFrom, aTo, aAt, aBody), aSignature);
}

} // namespace skylarkchute
