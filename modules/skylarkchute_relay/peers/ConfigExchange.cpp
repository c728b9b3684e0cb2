#include "ConfigExchange.h"

namespace skylarkchute {

namespace {

std::uint64_t VersionInForce(const KnownKinds& aKinds)
{
  const auto found = aKinds.find(ObjectKind::Config);
  return found == aKinds.end() ? 0 : found->second.mInForce;
}

} // namespace

ConfigExchange::ConfigExchange(FleetSync& aSync, const StoreMirror& aMirror)
  : mSync(aSync)
  , mMirror(aMirror)
{
}

void ConfigExchange::Fill(PeerExchange& aExchange, const KnownKinds* aKnown, std::size_t aMaxBytes)
{
  const auto& inForce = mSync.ConfigInForce();
  const auto own = aExchange.mKinds.find(ObjectKind::Config);
  if (!inForce || own == aExchange.mKinds.end()) {
    return;
  }
  const auto version = mSync.ConfigVersion();
  own->second.mInForce = version;
  if (aKnown == nullptr || VersionInForce(*aKnown) >= version) {
    return;
  }
  const auto* object = mMirror.Find(ObjectKind::Config, inForce->mName);
  const bool isInStore = object != nullptr && object->mRevision == inForce->mRevision;
  if (isInStore && aExchange.mChanges.count(ObjectKind::Config) > 0) {
    return;
  }
  if (!mPacked || mPackedVersion != version) {
    mPackedVersion = version;
    mPacked =
      std::make_shared<const PackedChanges>(PackSnapshot({ inForce->mRevision, { *inForce } }));
  }
  if (mPacked->mText.size() <= aMaxBytes) {
    aExchange.mConfigInForce = mPacked;
  }
}

void ConfigExchange::Apply(const PeerExchange& aExchange)
{
  if (!aExchange.mConfigInForce || !IsBehind(aExchange.mKinds)) {
    return;
  }
  if (const auto objects = UnpackObjects(*aExchange.mConfigInForce)) {
    for (const auto& it : *objects) {
      mSync.OnObject(ObjectKind::Config, it);
    }
  }
}

bool ConfigExchange::IsBehind(const KnownKinds& aKinds) const
{
  return VersionInForce(aKinds) > mSync.ConfigVersion();
}

} // namespace skylarkchute
