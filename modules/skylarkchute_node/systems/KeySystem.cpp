#include "KeySystem.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::seconds kReadPeriod{ 30 };
constexpr std::chrono::milliseconds kRetryPeriod{ 500 };
constexpr std::chrono::hours kRotationPeriod{ 24 };
constexpr std::size_t kMaxKeys = 4; // At one rotation a day, longer than a session lives.

/** Returns when a key was created. Its id is that time in seconds since the epoch. */
WallTime CreationTime(const SigningKey& aKey)
{
  return WallTime(std::chrono::seconds(std::strtoll(aKey.mId.c_str(), nullptr, 10)));
}

} // namespace

KeySystem::KeySystem(NodeParts& aParts) : mParts(aParts), mMembers({ mParts.mOptions.mInstance }) {}

void KeySystem::StoreReplied(const ObjectReply& aReply, EventContext& aContext)
{
  const auto stage = mStage;
  mStage = Stage::Idle;
  mNextReadTime = aContext.Now() + kRetryPeriod;
  if (stage == Stage::Writing) {
    return;
  }
  if (aReply.mStatus == ObjectStatus::NotFound) {
    Write(KeyRing({ CreateKey(aContext.Wall()) }), std::nullopt, aContext);
    return;
  }
  const auto ring =
    aReply.mStatus == ObjectStatus::Ok ? KeyRing::Decode(aReply.mBody) : std::nullopt;
  if (!ring) {
    return;
  }
  ApplyKeyRing(*ring);
  mNextReadTime = aContext.Now() + kReadPeriod;
  if (IsRotationDue(*ring, aContext.Wall())) {
    Write(ring->Rotated(CreateKey(aContext.Wall()), kMaxKeys), aReply.mVersion, aContext);
  }
}

void KeySystem::Tick(EventContext& aContext)
{
  if (mStage != Stage::Idle || aContext.Now() < mNextReadTime) {
    return;
  }
  mStage = Stage::Reading;
  aContext.AddCalls(
    CallingComponent::Keys,
    { ObjectCall{ mNextId++, CallPurpose::Status, GetObject{ kSessionKeyObject } } });
}

void KeySystem::ApplyKeyRing(const KeyRing& aRing)
{
  mParts.mTokens = SessionTokens(aRing);
  mParts.mTickets.SetKeys(aRing);
}

void KeySystem::Write(const KeyRing& aRing,
                      std::optional<ObjectVersion> aIfMatch,
                      EventContext& aContext)
{
  mStage = Stage::Writing;
  const PutObject put{ kSessionKeyObject, aRing.Encode(), std::move(aIfMatch) };
  aContext.AddCalls(CallingComponent::Keys, { ObjectCall{ mNextId++, CallPurpose::Status, put } });
}

SigningKey KeySystem::CreateKey(WallTime aWall)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aWall.time_since_epoch()).count();
  const auto number = std::to_string(++mKeysCreated);
  return { std::to_string(seconds),
           HmacSha256Hex(mParts.mOptions.mSigningKeySeed, "key" + number) };
}

bool KeySystem::IsRotationDue(const KeyRing& aRing, WallTime aWall) const
{
  const auto owner = RendezvousOrder(kSessionKeyObject, mMembers, 1);
  return owner.front() == mParts.mOptions.mInstance &&
         aWall - CreationTime(aRing.Keys().front()) >= kRotationPeriod;
}

} // namespace skylarkchute
