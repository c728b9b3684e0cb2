#pragma once

#include "PeerExchange.h"

namespace skylarkchute {

/** Compares this instance's copies of the store's objects with those of others, and prepares and
    applies what one of them lacks. Performs no I/O. */
class MirrorExchange
{
public:
  /** @param aKinds  kinds that this instance follows; what others say of further ones is ignored */
  explicit MirrorExchange(StoreMirror& aMirror,
                          std::vector<ObjectKind> aKinds = FollowedKinds(false));

  /** Adds the state of this instance's copies, and the changes that the receiver lacks.
      @param aKnown     what the receiver last reported, or null when it is unknown
      @param aMaxBytes  limit on the changes of each kind; larger ones are left out */
  void Fill(PeerExchange& aExchange, const KnownKinds* aKnown, std::size_t aMaxBytes);

  /** Applies what another instance sent.
      @param aOrigin  whether entries may be missing from a snapshot because of an outage */
  void Apply(const PeerExchange& aExchange, ListOrigin aOrigin, TimePoint aNow);

  /** Returns whether an instance's copies are newer than those of this one. */
  bool IsBehind(const KnownKinds& aKinds) const;

  /** Returns whether the objects have changed since the last call. */
  bool TakeChanged();

private:
  bool Follows(ObjectKind aKind) const;
  std::shared_ptr<const PackedChanges> ChangesFor(ObjectKind aKind, const KindState* aKnown);
  void ApplyKind(ObjectKind aKind,
                 const PackedChanges& aChanges,
                 ListOrigin aOrigin,
                 TimePoint aNow);

  StoreMirror& mMirror;
  std::vector<ObjectKind> mFollowed;
  std::map<ObjectKind, std::uint64_t> mTakenDigests;
  /** The last snapshot and the last changes that were packed, by kind and whether changes. */
  std::map<std::pair<ObjectKind, bool>, std::shared_ptr<const PackedChanges>> mPacked;
};

} // namespace skylarkchute
