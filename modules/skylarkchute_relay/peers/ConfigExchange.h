#pragma once

#include "../runtime/FleetSync.h"
#include "MirrorExchange.h"

namespace skylarkchute {

/** Passes on the configuration in force to instances that have an older one. After the store was
    restored from a copy, the objects in the store may be older than what is in force. Performs no
    I/O. */
class ConfigExchange
{
public:
  ConfigExchange(FleetSync& aSync, const StoreMirror& aMirror);

  /** Adds the version in force, and the configuration if the receiver has an older one in force and
      gets no newer one with the changes of the objects. To be called after MirrorExchange::Fill.
      @param aKnown     what the receiver last reported, or null when it is unknown
      @param aMaxBytes  limit on the configuration; a larger one is left out */
  void Fill(PeerExchange& aExchange, const KnownKinds* aKnown, std::size_t aMaxBytes);

  /** Puts a newer configuration in force. To be called after MirrorExchange::Apply. */
  void Apply(const PeerExchange& aExchange);

  /** Returns whether an instance has a newer configuration in force than this one. */
  bool IsBehind(const KnownKinds& aKinds) const;

private:
  FleetSync& mSync;
  const StoreMirror& mMirror;
  std::uint64_t mPackedVersion = 0;
  std::shared_ptr<const PackedChanges> mPacked; /**< The configuration of mPackedVersion. */
};

} // namespace skylarkchute
