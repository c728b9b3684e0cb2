#pragma once

#include "../identifiers/BundleIdentifiers.h"
#include "BundleParts.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

/** Number of accepted bundles so far; 0 means that none was ever accepted. */
using Generation = std::uint64_t;

/** How a bundle came to be in force. */
enum class AcceptanceKind
{
  Roll,
  Revert,
};

/** The generation since which a roll plan stands unchanged; names its roll object. */
struct RollOrigin
{
  RollName mName;
  Generation mSince = 0;
  friend bool operator==(const RollOrigin&, const RollOrigin&) = default;
};

/** The object `bundles/head`: which bundle is in force, and who put it there. */
struct BundleHead
{
  Generation mGeneration = 0;
  BundleId mBundle; /**< IdentifyBundle(mParts). */
  std::vector<PartReference> mParts;
  std::vector<RollOrigin> mRolls; /**< One for each roll of the bundle. */
  AcceptanceKind mKind = AcceptanceKind::Roll;
  ProposalId mProposal; /**< The proposal that holds the bundle, after a revert too. */
  OperatorName mOperator;
  std::vector<OperatorName> mApprovers; /**< Empty after a revert. */
  Generation mRevertedTo = 0;           /**< The generation whose bundle a revert put in force. */
  WallTime mAcceptedAt;

  /** Returns since when the plan of a roll stands, 0 when the bundle has no such roll. */
  Generation SinceOf(const RollName& aRoll) const;

  friend bool operator==(const BundleHead&, const BundleHead&) = default;
};

/** Returns the JSON text of a head. */
std::string WriteHead(const BundleHead& aHead);

/** Reads the JSON text of a head. Text that is no head, or whose bundle identifier does not match
    its parts, is an error of type Faults. */
boost::leaf::result<BundleHead> ReadHead(const std::string& aJson);

} // namespace skylarkchute
