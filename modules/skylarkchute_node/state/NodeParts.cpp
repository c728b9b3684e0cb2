#include "NodeParts.h"

namespace skylarkchute {

namespace {

/** The longest that the end of an answer is held back until its usage record is stored or backed up
    by a peer. The limit is reached only while neither the store nor any peer answers. */
constexpr std::chrono::milliseconds kMaxUsageWait{ 8000 };

/** A backup peer holds its copies of usage records longer by this than their owner takes to write
    them, so that it writes only records that the owner failed to write. */
constexpr std::chrono::seconds kBackupHoldMargin{ 10 };

RouterOptions RouterOptionsOf(const NodeOptions& aOptions)
{
  RouterOptions options;
  options.mZone = aOptions.mZone;
  options.mInstance = aOptions.mInstance;
  options.mSeed = aOptions.mSeed;
  return options;
}

FollowerOptions FollowerOptionsOf(const NodeOptions& aOptions)
{
  FollowerOptions options;
  options.mSelf = aOptions.mInstance;
  options.mZone = aOptions.mZone;
  options.mSeed = aOptions.mSeed;
  options.mConfirmationMaxAge = aOptions.mConfirmationMaxAge;
  return options;
}

RegisterService MakeRegisters(const NodeOptions& aOptions)
{
  RegisterOptions options;
  options.mShards = aOptions.mShards;
  RegisterService::Options service;
  service.mSelf = aOptions.mInstance;
  service.mShards = aOptions.mShards;
  return RegisterService(service, WriteOnceRegisters(ShardedRegisters(options)));
}

ClaimManager::Options ClaimOptionsOf(const NodeOptions& aOptions)
{
  ClaimManager::Options options;
  options.mSelf = aOptions.mIncarnation;
  return options;
}

TicketIssuer::Options TicketOptionsOf(const NodeOptions& aOptions)
{
  TicketIssuer::Options options;
  options.mSelf = aOptions.mIncarnation;
  return options;
}

UsageLedger::Options UsageOptionsOf(const NodeOptions& aOptions)
{
  UsageLedger::Options options;
  options.mSelf = aOptions.mInstance;
  options.mIncarnation = aOptions.mIncarnation;
  options.mZone = aOptions.mZone;
  options.mMaxBatchAge = aOptions.mUsageMaxAge;
  options.mMaxResponseDelay = kMaxUsageWait;
  options.mMaxHoldTime =
    std::chrono::ceil<std::chrono::seconds>(aOptions.mUsageMaxAge) + kBackupHoldMargin;
  return options;
}

RollDriverOptions RollOptionsOf(const NodeOptions& aOptions)
{
  RollDriverOptions options;
  options.mSelf = aOptions.mInstance;
  options.mSeed = aOptions.mSeed;
  return options;
}

Membership::Options MembershipOptionsOf(const NodeOptions& aOptions)
{
  Membership::Options options;
  options.mSelf.mId = aOptions.mInstance;
  options.mSelf.mZone = aOptions.mZone;
  return options;
}

EvidenceTree::Options EvidenceOptionsOf(const NodeOptions& aOptions)
{
  EvidenceTree::Options options;
  options.mSelf = aOptions.mInstance;
  options.mZone = aOptions.mZone;
  return options;
}

AlertGossip::Options AlertOptionsOf(const NodeOptions& aOptions)
{
  AlertGossip::Options options;
  options.mSelf = aOptions.mInstance;
  options.mSeed = static_cast<std::uint32_t>(aOptions.mSeed);
  return options;
}

} // namespace

NodeParts::NodeParts(NodeOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRouter(RouterOptionsOf(mOptions))
  , mFollower(FollowerOptionsOf(mOptions))
  , mRegisters(MakeRegisters(mOptions))
  , mClaims(ClaimOptionsOf(mOptions))
  , mPins(PinManager::Options{})
  , mTickets(TicketOptionsOf(mOptions), KeyRing())
  , mUsage(UsageOptionsOf(mOptions))
  , mRolls(RollOptionsOf(mOptions))
  , mMembership(MembershipOptionsOf(mOptions))
  , mEvidence(EvidenceOptionsOf(mOptions))
  , mAlerts(AlertOptionsOf(mOptions))
  , mQuota(mOptions.mInstance, QuotaOptions{})
{
}

} // namespace skylarkchute
