#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace skylarkchute {

/** What a call to a peer is for; decides who gets its reply. */
enum class PeerPurpose
{
  RegisterForward,
  ClaimQuestion,
  BundleParts,
  UsageBackup,
  Evidence,
  Alert,
  TicketForward,
  Notice, /**< Needs no reply. */
};

/** Gives each call to a peer an id of its own and finds its purpose again. */
class PeerCallTable
{
public:
  struct Origin
  {
    PeerPurpose mPurpose = PeerPurpose::Alert;
    std::uint64_t mLocalId = 0; /**< Chosen by the component that asked. */
    RequestId mRequest;         /**< Of a TicketForward. */
  };

  /** Returns a new id for the call. */
  std::uint64_t Register(Origin aOrigin)
  {
    const auto id = mNextId++;
    mOrigins.emplace(id, std::move(aOrigin));
    return id;
  }

  /** Returns what the call was for and forgets it; nothing when the id is unknown. */
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
