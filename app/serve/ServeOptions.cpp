#include "ServeOptions.h"

namespace skylarkchute {

namespace {

constexpr std::size_t kIncarnationBytes = 8;
constexpr std::size_t kSecretBytes = 32;

} // namespace

NodeOptions NodeOptionsOf(const Settings& aSettings)
{
  NodeOptions options;
  options.mInstance = aSettings.mInstance.mId;
  options.mZone = aSettings.mInstance.mZone;
  options.mIncarnation =
    MakeIncarnation(aSettings.mInstance.mId, SecureRandomHex(kIncarnationBytes));
  options.mSeed = StableHash(options.mIncarnation.Value());
  options.mSigningKeySeed = SecureRandomHex(kSecretBytes);
  options.mShards = aSettings.mLedger.mShards;
  options.mUsageMaxAge = aSettings.mLedger.mUsageMaxAge;
  options.mConfirmationMaxAge = aSettings.mRouting.mFreshnessBound;
  return options;
}

EntryOptions EntryOptionsOf(const Settings& aSettings)
{
  EntryOptions options;
  options.mAddress = aSettings.mInstance.mAddress;
  options.mPort = aSettings.mInstance.mCallerPort;
  options.mMaxConnections = static_cast<int>(aSettings.mCallers.mMaxConnections);
  options.mMaxBodyBytes = aSettings.mCallers.mMaxBodyBytes;
  options.mReceiveTimeout = aSettings.mCallers.mReceiveTimeout;
  options.mDefaultTimeout = aSettings.mCallers.mDefaultDeadline;
  options.mCertificateFile = aSettings.mCallers.mCertificateFile;
  options.mPrivateKeyFile = aSettings.mCallers.mKeyFile;
  return options;
}

PlatformCaller::Options PlatformCallerOptionsOf(const Settings& aSettings)
{
  PlatformCaller::Options options;
  options.mBudget.mFleetWritesPerSecond = aSettings.mPlatform.mFleetWritesPerSecond;
  options.mBudget.mFleetReadsPerSecond = aSettings.mPlatform.mFleetReadsPerSecond;
  options.mBudget.mSeed = StableHash(aSettings.mInstance.mId.Value());
  return options;
}

EndpointRecord EndpointOf(const InstanceRecord& aRecord)
{
  EndpointRecord endpoint;
  endpoint.mId = EndpointId(aRecord.mId);
  endpoint.mAddress = aRecord.mAddress;
  endpoint.mPort = aRecord.mPort;
  endpoint.mZone = aRecord.mZone;
  endpoint.mKind =
    aRecord.mKind == InstanceKind::Service ? EndpointKind::Service : EndpointKind::Engine;
  endpoint.mService = aRecord.mService;
  endpoint.mLeaving = aRecord.mLeaving;
  return endpoint;
}

} // namespace skylarkchute
