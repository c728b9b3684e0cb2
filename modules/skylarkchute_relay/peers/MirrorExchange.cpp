#include "MirrorExchange.h"

#include <algorithm>

namespace skylarkchute {

namespace {

/** Returns whether an instance names a kind of which it holds nothing yet. */
bool HoldsNothing(ObjectKind aKind, const KindState& aState)
{
  return aKind == ObjectKind::Evacuations && aState.mAsOf == 0;
}

} // namespace

MirrorExchange::MirrorExchange(StoreMirror& aMirror, std::vector<ObjectKind> aKinds)
  : mMirror(aMirror)
  , mFollowed(std::move(aKinds))
{
}

bool MirrorExchange::Follows(ObjectKind aKind) const
{
  return std::find(mFollowed.begin(), mFollowed.end(), aKind) != mFollowed.end();
}

void MirrorExchange::Fill(PeerExchange& aExchange, const KnownKinds* aKnown, std::size_t aMaxBytes)
{
  for (const auto kind : mFollowed) {
    if (!mMirror.IsKnown(kind)) {
      // Only instances that name the kind get it: others do not follow it, or are of a build that
      // does not know it, and would get it again with each exchange.
      if (kind == ObjectKind::Evacuations) {
        aExchange.mKinds[kind] = {};
      }
      continue;
    }
    aExchange.mKinds[kind] = { mMirror.AsOf(kind), mMirror.Digest(kind) };
    // An instance of which nothing is known may hold everything; it asks for what it lacks.
    if (aKnown == nullptr) {
      continue;
    }
    const auto found = aKnown->find(kind);
    if (found == aKnown->end() && kind == ObjectKind::Evacuations) {
      continue;
    }
    const bool isUnknown = found == aKnown->end() || HoldsNothing(kind, found->second);
    const auto changes = ChangesFor(kind, isUnknown ? nullptr : &found->second);
    if (changes && changes->mText.size() <= aMaxBytes) {
      aExchange.mChanges[kind] = changes;
    }
  }
}

/** Returns what an instance lacks of a kind, or null when it lacks nothing.
    @param aKnown  what it last reported; null when it holds nothing or is unknown */
std::shared_ptr<const PackedChanges> MirrorExchange::ChangesFor(ObjectKind aKind,
                                                                const KindState* aKnown)
{
  const auto asOf = mMirror.AsOf(aKind);
  if (aKnown != nullptr && (aKnown->mDigest == mMirror.Digest(aKind) || aKnown->mAsOf >= asOf)) {
    return nullptr;
  }
  const auto changes =
    aKnown == nullptr ? std::nullopt : mMirror.ChangesSince(aKind, aKnown->mAsOf);
  auto& packed = mPacked[{ aKind, changes.has_value() }];
  const bool isCached =
    packed && packed->mAsOf == asOf && (!changes || packed->mSince == changes->mSince);
  if (!isCached) {
    packed = std::make_shared<const PackedChanges>(changes ? PackChanges(*changes)
                                                           : PackSnapshot(mMirror.Snapshot(aKind)));
  }
  return packed;
}

bool MirrorExchange::IsBehind(const KnownKinds& aKinds) const
{
  return std::any_of(aKinds.begin(), aKinds.end(), [this](const auto& aEntry) {
    const auto& [kind, theirs] = aEntry;
    if (!Follows(kind) || HoldsNothing(kind, theirs)) {
      return false;
    }
    return !mMirror.IsKnown(kind) ||
           (theirs.mDigest != mMirror.Digest(kind) && theirs.mAsOf > mMirror.AsOf(kind));
  });
}

void MirrorExchange::Apply(const PeerExchange& aExchange, ListOrigin aOrigin, TimePoint aNow)
{
  for (const auto& [kind, changes] : aExchange.mChanges) {
    if (Follows(kind)) {
      ApplyKind(kind, *changes, aOrigin, aNow);
    }
  }
  for (const auto& [kind, state] : aExchange.mKinds) {
    mMirror.Confirm(kind, state.mDigest, state.mAsOf);
  }
}

void MirrorExchange::ApplyKind(ObjectKind aKind,
                               const PackedChanges& aChanges,
                               ListOrigin aOrigin,
                               TimePoint aNow)
{
  const bool isUsable =
    aChanges.mAsOf > mMirror.AsOf(aKind) &&
    (aChanges.mIsSnapshot || (mMirror.IsKnown(aKind) && aChanges.mSince <= mMirror.AsOf(aKind)));
  const auto objects = isUsable ? UnpackObjects(aChanges) : std::nullopt;
  if (!objects) {
    return;
  }
  if (aChanges.mIsSnapshot) {
    mMirror.Replace(aKind, { aChanges.mAsOf, *objects }, aNow, aOrigin);
  } else {
    mMirror.Apply(aKind, KindChanges{ aChanges.mSince, aChanges.mAsOf, *objects }, aNow);
  }
}

bool MirrorExchange::TakeChanged()
{
  bool hasChanged = false;
  for (const auto kind : mFollowed) {
    const auto digest = mMirror.Digest(kind);
    hasChanged = std::exchange(mTakenDigests[kind], digest) != digest || hasChanged;
  }
  return hasChanged;
}

} // namespace skylarkchute
