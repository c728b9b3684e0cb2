#pragma once

#include "../model/Bundle.h"

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace skylarkchute {

/** A reference to one part of a bundle by its content. */
struct PartReference
{
  std::string mName; /**< Such as `team/NAME`, unique in a bundle. */
  std::string mHash; /**< SHA-256 of the part's text in hexadecimal. */
  friend bool operator==(const PartReference&, const PartReference&) = default;
};

/** One part of a bundle: a few INI sections that change together. */
struct BundlePart
{
  std::string mName;
  std::string mHash;
  std::string mText;

  /** Returns whether the hash is that of the text. */
  bool IsIntact() const;
};

/** Splits a bundle into parts: `bundle`, then one for each team, model with its versions, class,
    cascade, roll, service and endpoint rule; sorted, so that equal bundles give equal parts. */
std::vector<BundlePart> SplitBundle(const Bundle& aBundle);

/** Parses the bundle that the parts make up. A damaged part or a fault of the bundle is an error of
    type Faults. */
boost::leaf::result<Bundle> AssembleBundle(const std::vector<BundlePart>& aParts);

/** Returns references to the parts, in their order. */
std::vector<PartReference> ReferencesOf(const std::vector<BundlePart>& aParts);

/** Returns the identifier of the bundle with these parts: a digest of their names and hashes. */
BundleId IdentifyBundle(const std::vector<PartReference>& aParts);

} // namespace skylarkchute
