#pragma once

#include "../identifiers/BundleIdentifiers.h"
#include "BundleParts.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

/** Sequence number of an accepted bundle, counted from 1; 0 means that none was accepted yet. */
using Generation = std::uint64_t;

/** How a bundle was put in force. */
enum class AcceptanceKind
{
  Roll,
  Revert,
};

/** The generation since which a roll's plan is unchanged; part of the key of its roll object. */
struct RollOrigin
{
  RollName mName;
  Generation mSince = 0;
  friend bool operator==(const RollOrigin&, const RollOrigin&) = default;
};

/** The object `bundles/head`: which bundle is in force, and who put it in force. */
struct BundleHead
{
  Generation mGeneration = 0;
  BundleId mBundle; /**< Equals ComputeBundleId(mParts). */
  std::vector<PartReference> mParts;
  std::vector<RollOrigin> mRolls; /**< One for each roll of the bundle. */
  AcceptanceKind mKind = AcceptanceKind::Roll;
  ProposalId mProposal; /**< The proposal of the bundle; after a revert, the original one. */
  OperatorName mOperator;
  std::vector<OperatorName> mApprovers; /**< Empty after a revert. */
  Generation mRevertedTo = 0;           /**< Generation that a revert restored, 0 otherwise. */
  WallTime mAcceptedAt;

  /** Returns the generation since which the plan of a roll is unchanged, or 0 if the bundle has no
      such roll. */
  Generation UnchangedSince(const RollName& aRoll) const;

  friend bool operator==(const BundleHead&, const BundleHead&) = default;
};

/** Returns the JSON text of a head. */
std::string WriteHead(const BundleHead& aHead);

/** Parses the JSON text of a head. Invalid text, or a bundle identifier that does not match the
    parts, is an error of type Faults. */
boost::leaf::result<BundleHead> ReadHead(const std::string& aJson);

} // namespace skylarkchute
