#pragma once

#include "../model/Bundle.h"

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** Reference to one part of a bundle by the hash of its content. */
struct PartReference
{
  std::string mName; /**< For example `team/NAME`; unique in a bundle. */
  std::string mHash; /**< SHA-256 of the part's text in hexadecimal. */
  friend bool operator==(const PartReference&, const PartReference&) = default;
};

/** One part of a bundle: one or more INI sections that change together, and are therefore hashed
    and fetched as a unit. */
struct BundlePart
{
  std::string mName;
  std::string mHash;
  std::string mText;

  /** Returns whether mHash is the hash of mText. */
  bool IsIntact() const;
};

/** Splits a bundle into parts: `bundle`, then one for each team, model with its versions, class,
    cascade, roll, service and endpoint rule. The entries of each kind are sorted by name, so that
    equal bundles yield equal parts. */
std::vector<BundlePart> SplitBundle(const Bundle& aBundle);

/** Parses the bundle that consists of the parts. A part that does not match its hash, or an invalid
    bundle, is an error of type Faults. */
boost::leaf::result<Bundle> AssembleBundle(const std::vector<BundlePart>& aParts);

/** Returns references to the parts, in the same order. */
std::vector<PartReference> ReferencesOf(const std::vector<BundlePart>& aParts);

/** Returns the identifier of the bundle with these parts: the SHA-256 of their names and hashes. */
BundleId ComputeBundleId(const std::vector<PartReference>& aParts);

} // namespace skylarkchute
