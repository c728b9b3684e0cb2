#include "BundleParts.h"

#include "../model/BundleParser.h"
#include "../model/BundleText.h"

#include <algorithm>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** Appends one part for each entry, sorted by part name. */
template<typename Entry, typename NameFunction, typename TextFunction>
void AppendParts(std::vector<BundlePart>& aParts,
                 const std::vector<Entry>& aEntries,
                 NameFunction aName,
                 TextFunction aText)
{
  const auto first = static_cast<std::ptrdiff_t>(aParts.size());
  for (const auto& it : aEntries) {
    auto text = aText(it);
    auto hash = Sha256Hex(text);
    aParts.push_back({ aName(it), std::move(hash), std::move(text) });
  }
  std::sort(
    aParts.begin() + first, aParts.end(), [](const BundlePart& aLeft, const BundlePart& aRight) {
      return aLeft.mName < aRight.mName;
    });
}

std::string RenderModelWithVersions(const Bundle& aBundle, const Model& aModel)
{
  std::vector<const ModelVersion*> versions;
  for (const auto& it : aBundle.mVersions) {
    if (it.mModel == aModel.mName) {
      versions.push_back(&it);
    }
  }
  std::sort(versions.begin(), versions.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mId < aRight->mId;
  });
  auto text = RenderSection(aModel);
  for (const auto* it : versions) {
    text += RenderSection(*it);
  }
  return text;
}

} // namespace

bool BundlePart::IsIntact() const
{
  return Sha256Hex(mText) == mHash;
}

std::vector<BundlePart> SplitBundle(const Bundle& aBundle)
{
  const auto named = [](std::string_view aKind) {
    return [aKind](const auto& aEntry) { return std::string(aKind) + aEntry.mName.Value(); };
  };
  const auto render = [](const auto& aEntry) { return RenderSection(aEntry); };
  std::vector<BundlePart> parts;
  auto header = RenderHeader(aBundle);
  auto hash = Sha256Hex(header);
  parts.push_back({ "bundle", std::move(hash), std::move(header) });
  AppendParts(parts, aBundle.mTeams, named("team/"), render);
  AppendParts(parts, aBundle.mModels, named("model/"), [&](const Model& aModel) {
    return RenderModelWithVersions(aBundle, aModel);
  });
  AppendParts(parts, aBundle.mClasses, named("class/"), render);
  AppendParts(parts, aBundle.mCascades, named("cascade/"), render);
  AppendParts(parts, aBundle.mRolls, named("roll/"), render);
  AppendParts(parts, aBundle.mServices, named("service/"), render);
  AppendParts(
    parts,
    aBundle.mEndpointRules,
    [](const EndpointRule& aRule) { return "endpoint/" + aRule.mZone.Value() + "/" + aRule.mName; },
    render);
  return parts;
}

leaf::result<Bundle> AssembleBundle(const std::vector<BundlePart>& aParts)
{
  std::string text;
  for (const auto& it : aParts) {
    if (!it.IsIntact()) {
      return leaf::new_error(Faults{ { { "", it.mName, "does not match its hash" } } });
    }
    text += it.mText;
  }
  return ParseBundle(text);
}

std::vector<PartReference> ReferencesOf(const std::vector<BundlePart>& aParts)
{
  std::vector<PartReference> references;
  references.reserve(aParts.size());
  for (const auto& it : aParts) {
    references.push_back({ it.mName, it.mHash });
  }
  return references;
}

BundleId ComputeBundleId(const std::vector<PartReference>& aParts)
{
  std::string text;
  for (const auto& it : aParts) {
    text += it.mName + " " + it.mHash + "\n";
  }
  return BundleId(Sha256Hex(text));
}

} // namespace skylarkchute
