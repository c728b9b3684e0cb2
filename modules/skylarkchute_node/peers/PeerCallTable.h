#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace skylarkchute {

/** The purpose of a call to a peer, which determines the component that receives the reply. */
enum class PeerPurpose
{
  RegisterForward,
  ClaimStatusQuery,
  BundleParts,
  UsageBackup,
  Evidence,
  Quota,
  TicketForward,
  Notice, /**< One-way; the reply is ignored. */
};

/** Assigns each call to a peer a unique id and maps the id of a reply back to the call's origin. */
class PeerCallTable
{
public:
  struct Origin
  {
    PeerPurpose mPurpose = PeerPurpose::Notice;
    std::uint64_t mLocalId = 0; /**< Id that the calling component chose. */
    RequestId mRequest;         /**< Set for TicketForward only. */
  };

  /** Registers a call and returns its new id. */
  std::uint64_t Register(Origin aOrigin)
  {
    const auto id = mNextId++;
    mOrigins.emplace(id, std::move(aOrigin));
    return id;
  }

  /** Removes a call and returns its origin, or std::nullopt if the id is unknown. */
  std::optional<Origin> Take(std::uint64_t aId)
  {
    const auto it = mOrigins.find(aId);
    if (it == mOrigins.end()) {
      return std::nullopt;
    }
    auto origin = std::move(it->second);
    mOrigins.erase(it);
    return origin;
  }

private:
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, Origin> mOrigins;
};

} // namespace skylarkchute
