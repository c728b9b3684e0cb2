#pragma once

#include "FakeObjectStore.h"

#include <skylarkchute_bundles/skylarkchute_bundles.h>

#include <string>

namespace skylarkchute {

/** Returns the head of a bundle as a roll would write it. */
inline BundleHead HeadOf(const std::string& aText, Generation aGeneration)
{
  const auto bundle = ParseBundle(aText).value();
  BundleHead head;
  head.mGeneration = aGeneration;
  head.mParts = ReferencesOf(SplitBundle(bundle));
  head.mBundle = ComputeBundleId(head.mParts);
  head.mOperator = OperatorName("test");
  for (const auto& it : bundle.mRolls) {
    head.mRolls.push_back({ it.mName, aGeneration });
  }
  return head;
}

/** Writes a bundle and its head directly to a store, bypassing the lifecycle. Not counted. */
inline void PutInForce(FakeObjectStore& aStore, const std::string& aText, Generation aGeneration)
{
  for (const auto& it : SplitBundle(ParseBundle(aText).value())) {
    aStore.Overwrite(PartKey(it.mHash), it.mText);
  }
  aStore.Overwrite(std::string(kHeadKey), WriteHead(HeadOf(aText, aGeneration)));
}

} // namespace skylarkchute
