#pragma once

#include "../store/StoreMirror.h"

#include <optional>

namespace skylarkchute {

/** Changes or a snapshot of a kind in the form in which they travel between instances. */
struct PackedChanges
{
  StoreVersion mSince = 0;  /**< As in KindChanges. */
  StoreVersion mAsOf = 0;   /**< State of the store; all objects are of its era. */
  bool mIsSnapshot = false; /**< All objects of the kind; mSince has no meaning. */
  bool mIsDeflated = false; /**< mText is compressed (RFC 1950) and encoded in base 64. */
  std::string mText;        /**< JSON array of objects; large ones are compressed. */
};

PackedChanges PackChanges(const KindChanges& aChanges);
PackedChanges PackSnapshot(const KindSnapshot& aSnapshot);

/** Returns the changed and removed objects, or nothing when the text is not valid or larger than
    kMaxUnpackedBytes. */
std::optional<std::vector<StoreObject>> UnpackObjects(const PackedChanges& aPacked);

/** Limit on the size of an uncompressed text. */
inline constexpr std::size_t kMaxUnpackedBytes = 32 * 1024 * 1024;

} // namespace skylarkchute
