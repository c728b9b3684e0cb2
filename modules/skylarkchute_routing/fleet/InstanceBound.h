#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace skylarkchute {

/** Determines which instances may be alive, in contact with this one or not. Performs no I/O.

    An instance counts from when it was first heard of until kRetention after it was last live,
   since one that is lost may be cut off only. While the store lists an instance that is not in
   contact, none is forgotten: a group that is cut off may have few entries there. The names are
   known to be all of them once this instance has been in contact with others for some time, has
   heard of no further ones meanwhile, and knows every one that the store lists. In a group that was
   cut off from its start, this never holds: each group has entries in the store that the other one
   has not heard of. */
class InstanceBound
{
public:
  /** As long as lost members are tried again. @see GossipMembership::kReconnectPeriod */
  static constexpr std::chrono::minutes kRetention{ 10 };

  /** Time after the start, and after the last new name, until the names count as all. Gossip
     reaches all instances within 2 s. */
  static constexpr std::chrono::milliseconds kStartTime{ 5000 };
  static constexpr std::chrono::milliseconds kSettleTime{ 3000 };

  /** What is known of the instances at a moment. */
  struct View
  {
    InstanceId mSelf;
    std::vector<InstanceId> mLive;                    /**< Without this one. */
    std::optional<std::vector<InstanceId>> mListed{}; /**< Entries in the store, once known. */
    bool mHasContacts = false; /**< The settings name other instances to contact. */
  };

  /** Records the present view. To be called several times in kSettleTime. */
  void Update(const View& aView, TimePoint aNow);

  /** Returns the instances that may be alive, this one included, in a fixed order, or nothing while
      it is unknown whether these are all. */
  std::optional<std::vector<InstanceId>> Possible() const;

private:
  std::map<InstanceId, TimePoint> mSeen; /**< When each was last live. */
  std::optional<TimePoint> mStart;
  TimePoint mLastNew{};
  bool mIsComplete = false;
};

} // namespace skylarkchute
