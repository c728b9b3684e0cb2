#include "GossipMembership.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Members through which a failed probe is repeated. */
constexpr std::size_t kIndirectProbes = 3;

/** Changes carried by one message. */
constexpr std::size_t kMaxUpdates = 12;

/** A change is sent this many times the binary logarithm of the fleet's size. */
constexpr std::uint32_t kSendFactor = 3;

/** A dead member is probed once in this many ticks. */
constexpr std::uint64_t kReconnectTicks = 5;

/** All members are requested when the messages of this time all show other live members. It is
    longer than a change usually takes to reach all. */
constexpr milliseconds kMaxDifferenceTime{ 1500 };

/** Members that died within this time are listed to others; older ones are not, since a list would
    keep them known for ever. */
constexpr std::chrono::seconds kRecentDeath{ 30 };

std::uint64_t HashOf(const MemberRecord& aRecord)
{
  return StableHash(aRecord.mIncarnation, StableHash(aRecord.mName));
}

} // namespace

GossipMembership::GossipMembership(MemberRecord aSelf, std::uint64_t aSeed)
  : mSelf{ std::move(aSelf), 1, MemberState::Alive, StoreRole::None }
  , mRandom(static_cast<std::minstd_rand::result_type>(aSeed % 2147483646U + 1))
{
  Enqueue(mSelf.mRecord.mName);
}

void GossipMembership::Introduce(const MemberRecord& aRecord, TimePoint aNow)
{
  const auto* known = Find(aRecord.mName);
  if (aRecord.mName == mSelf.mRecord.mName ||
      (known != nullptr && known->mRecord.mAddress == aRecord.mAddress)) {
    return;
  }
  Apply({ aRecord, known == nullptr ? 0 : known->mVersion, MemberState::Alive, StoreRole::None },
        aNow);
}

void GossipMembership::SetContacts(std::vector<std::string> aAddresses)
{
  mContacts = std::move(aAddresses);
  std::erase(mContacts, mSelf.mRecord.mAddress);
}

std::optional<std::string> GossipMembership::ContactToCall(TimePoint aNow)
{
  const bool isStarting = !mStart || aNow - *mStart < kContactPeriod;
  if (!isStarting && mLiveCount > 0) {
    return std::nullopt;
  }
  const auto live = LiveMembers();
  for (std::size_t n = 0; n < mContacts.size(); ++n) {
    const auto& address = mContacts[mNextContact++ % mContacts.size()];
    const bool isMember = std::any_of(live.begin(), live.end(), [&](const auto* aMember) {
      return aMember->mRecord.mAddress == address;
    });
    if (!isMember) {
      return address;
    }
  }
  return std::nullopt;
}

std::optional<std::string> GossipMembership::Tick(TimePoint aNow)
{
  mStart = mStart.value_or(aNow);
  ++mTickCount;
  ExpireProbes(aNow);
  ExpireSuspicions(aNow);
  auto next = mTickCount % kReconnectTicks == 0 ? DeadToReconnect(aNow) : std::nullopt;
  if (!next) {
    next = NextInRound();
    if (next) {
      mProbes.emplace(*next, aNow);
    }
  }
  return next;
}

void GossipMembership::ExpireProbes(TimePoint aNow)
{
  for (auto it = mProbes.begin(); it != mProbes.end();) {
    const auto found = mMembers.find(it->first);
    if (found == mMembers.end() || found->second.mLastHeard >= it->second) {
      it = mProbes.erase(it);
    } else if (aNow - it->second >= kProbeTimeout) {
      if (found->second.mUpdate.mState == MemberState::Alive) {
        SetState(found->second, MemberState::Suspect, aNow);
      }
      it = mProbes.erase(it);
    } else {
      ++it;
    }
  }
}

void GossipMembership::ExpireSuspicions(TimePoint aNow)
{
  for (auto& [name, member] : mMembers) {
    if (member.mUpdate.mState != MemberState::Suspect ||
        aNow - member.mChangedAt < kSuspicionTimeout) {
      continue;
    }
    const bool wasHeard = member.mLastHeard > member.mChangedAt;
    SetState(member, wasHeard ? MemberState::Alive : MemberState::Dead, aNow);
  }
}

/** Returns the next member of the round. Each member is probed once in a round, in an order of this
    member's own. */
std::optional<std::string> GossipMembership::NextInRound()
{
  for (int pass = 0; pass < 2; ++pass) {
    while (!mRound.empty()) {
      auto name = std::move(mRound.back());
      mRound.pop_back();
      const auto* member = Find(name);
      if (member != nullptr && member->mState != MemberState::Dead && mProbes.count(name) == 0) {
        return name;
      }
    }
    for (const auto& [name, member] : mMembers) {
      if (member.mUpdate.mState != MemberState::Dead) {
        mRound.push_back(name);
      }
    }
    std::shuffle(mRound.begin(), mRound.end(), mRandom);
  }
  return std::nullopt;
}

std::optional<std::string> GossipMembership::DeadToReconnect(TimePoint aNow)
{
  std::vector<std::string> dead;
  std::erase_if(mMembers, [&](const auto& aEntry) {
    const auto& [name, member] = aEntry;
    if (member.mUpdate.mState != MemberState::Dead) {
      return false;
    }
    const bool isOver = aNow - member.mChangedAt >= kReconnectPeriod;
    if (!isOver) {
      dead.push_back(name);
    }
    return isOver;
  });
  if (dead.empty()) {
    return std::nullopt;
  }
  return dead[mRandom() % dead.size()];
}

std::vector<std::string> GossipMembership::OnProbeFailed(const std::string& aName)
{
  std::vector<std::string> helpers;
  if (mProbes.count(aName) == 0) {
    return helpers;
  }
  for (const auto& [name, member] : mMembers) {
    if (name != aName && member.mUpdate.mState == MemberState::Alive) {
      helpers.push_back(name);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), mRandom);
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  return helpers;
}

void GossipMembership::OnReached(const std::string& aName, TimePoint aNow)
{
  const auto found = mMembers.find(aName);
  if (found != mMembers.end() && mProbes.erase(aName) > 0) {
    found->second.mLastHeard = aNow;
  }
}

void GossipMembership::OnMessage(const MembershipMessage& aMessage, TimePoint aNow)
{
  const auto& from = aMessage.mFrom;
  if (from.mRecord.mName.empty() || from.mRecord.mName == mSelf.mRecord.mName) {
    return;
  }
  Apply(from, aNow);
  auto& sender = mMembers[from.mRecord.mName];
  const auto& known = sender.mUpdate;
  sender.mLastHeard = aNow;
  sender.mMustRefute =
    from.mVersion < known.mVersion || known.mState != MemberState::Alive ||
    (from.mVersion == known.mVersion && from.mRecord.mIncarnation != known.mRecord.mIncarnation);
  mProbes.erase(from.mRecord.mName);
  for (const auto& it : aMessage.mUpdates) {
    Apply(it, aNow);
  }
  if (aMessage.mDigest == Digest()) {
    mDiffersSince.reset();
  } else {
    mDiffersSince = mDiffersSince.value_or(aNow);
    mWantsSync = mWantsSync || aNow - *mDiffersSince >= kMaxDifferenceTime;
  }
  sender.mWantsAll = aMessage.mWantsAll;
}

MembershipMessage GossipMembership::RequestFor(const std::string& aReceiver, TimePoint aNow)
{
  const bool wantsAll = std::exchange(mWantsSync, false);
  auto message = MessageFor(aReceiver, wantsAll, aNow);
  message.mWantsAll = wantsAll;
  return message;
}

MembershipMessage GossipMembership::ResponseFor(const std::string& aReceiver, TimePoint aNow)
{
  return MessageFor(aReceiver, false, aNow);
}

MembershipMessage GossipMembership::MessageFor(const std::string& aReceiver,
                                               bool aListsAll,
                                               TimePoint aNow)
{
  MembershipMessage message{ mSelf, {}, Digest(), false };
  const auto found = mMembers.find(aReceiver);
  Member* receiver = found == mMembers.end() ? nullptr : &found->second;
  if (aListsAll || (receiver != nullptr && receiver->mWantsAll)) {
    message.mUpdates = AllUpdates(aNow);
    mDiffersSince.reset();
  } else {
    message.mUpdates = QueuedUpdates();
  }
  if (receiver != nullptr && receiver->mMustRefute) {
    message.mUpdates.push_back(receiver->mUpdate);
  }
  if (receiver != nullptr) {
    receiver->mMustRefute = false;
    receiver->mWantsAll = false;
  }
  return message;
}

/** Returns all members but those that have been dead for a while. */
std::vector<MemberUpdate> GossipMembership::AllUpdates(TimePoint aNow) const
{
  std::vector<MemberUpdate> updates;
  for (const auto& [name, member] : mMembers) {
    if (member.mUpdate.mState != MemberState::Dead || aNow - member.mChangedAt < kRecentDeath) {
      updates.push_back(member.mUpdate);
    }
  }
  return updates;
}

/** Returns the changes that were sent least often and removes those that were sent often enough. */
std::vector<MemberUpdate> GossipMembership::QueuedUpdates()
{
  std::vector<std::pair<std::uint32_t, std::string>> queued;
  for (const auto& [name, count] : mQueue) {
    queued.emplace_back(count, name);
  }
  const auto taken = std::min(queued.size(), kMaxUpdates);
  std::partial_sort(
    queued.begin(), queued.begin() + static_cast<std::ptrdiff_t>(taken), queued.end());
  const auto limit = kSendFactor * static_cast<std::uint32_t>(std::bit_width(LiveCount()));
  std::vector<MemberUpdate> updates;
  for (std::size_t n = 0; n < taken; ++n) {
    const auto& name = queued[n].second;
    if (name == mSelf.mRecord.mName) {
      updates.push_back(mSelf);
    } else if (const auto* member = Find(name)) {
      updates.push_back(*member);
    }
    if (++mQueue[name] >= limit) {
      mQueue.erase(name);
    }
  }
  return updates;
}

void GossipMembership::Apply(const MemberUpdate& aUpdate, TimePoint aNow)
{
  const auto& name = aUpdate.mRecord.mName;
  if (name.empty()) {
    return;
  }
  if (name == mSelf.mRecord.mName) {
    RefuteIfNeeded(aUpdate);
    return;
  }
  auto& member = mMembers[name];
  const auto& known = member.mUpdate;
  const bool isNew = known.mRecord.mName.empty();
  if (!isNew && (aUpdate.mVersion < known.mVersion ||
                 (aUpdate.mVersion == known.mVersion && aUpdate.mState <= known.mState &&
                  aUpdate.mRecord.mAddress == known.mRecord.mAddress))) {
    return;
  }
  const bool wasLive = !isNew && known.mState != MemberState::Dead;
  const bool isLive = aUpdate.mState != MemberState::Dead;
  if (wasLive) {
    mLiveDigest ^= HashOf(known.mRecord);
    --mLiveCount;
  }
  if (isLive) {
    mLiveDigest ^= HashOf(aUpdate.mRecord);
    ++mLiveCount;
  }
  if (wasLive != isLive && (isLive || !isNew)) {
    mChanges.push_back({ name, isLive });
  }
  member.mUpdate = aUpdate;
  member.mChangedAt = aNow;
  Enqueue(name);
}

/** Announces a higher version of this member when something else is said of it. */
void GossipMembership::RefuteIfNeeded(const MemberUpdate& aUpdate)
{
  const bool isOwn = aUpdate.mState == MemberState::Alive && aUpdate.mVersion <= mSelf.mVersion &&
                     aUpdate.mRecord.mIncarnation == mSelf.mRecord.mIncarnation;
  if (aUpdate.mVersion < mSelf.mVersion || isOwn) {
    return;
  }
  mSelf.mVersion = aUpdate.mVersion + 1;
  Enqueue(mSelf.mRecord.mName);
}

void GossipMembership::SetState(Member& aMember, MemberState aState, TimePoint aNow)
{
  auto& update = aMember.mUpdate;
  const bool wasLive = update.mState != MemberState::Dead;
  const bool isLive = aState != MemberState::Dead;
  if (wasLive != isLive) {
    mLiveDigest ^= HashOf(update.mRecord);
    mLiveCount += isLive ? 1 : static_cast<std::size_t>(-1);
    mChanges.push_back({ update.mRecord.mName, isLive });
  }
  update.mState = aState;
  aMember.mChangedAt = aNow;
  Enqueue(update.mRecord.mName);
}

void GossipMembership::OnPause(TimePoint aNow)
{
  mProbes.clear();
  for (auto& [name, member] : mMembers) {
    if (member.mUpdate.mState == MemberState::Suspect) {
      member.mChangedAt = aNow;
    }
  }
}

void GossipMembership::SetRole(StoreRole aRole)
{
  if (mSelf.mRole == aRole) {
    return;
  }
  mSelf.mRole = aRole;
  ++mSelf.mVersion;
  Enqueue(mSelf.mRecord.mName);
}

std::vector<const MemberUpdate*> GossipMembership::LiveMembers() const
{
  std::vector<const MemberUpdate*> live;
  live.reserve(mLiveCount);
  for (const auto& [name, member] : mMembers) {
    if (member.mUpdate.mState != MemberState::Dead) {
      live.push_back(&member.mUpdate);
    }
  }
  return live;
}

const MemberUpdate* GossipMembership::Find(const std::string& aName) const
{
  const auto found = mMembers.find(aName);
  return found == mMembers.end() ? nullptr : &found->second.mUpdate;
}

bool GossipMembership::IsDeadFor(const std::string& aName, milliseconds aTime, TimePoint aNow) const
{
  const auto found = mMembers.find(aName);
  return found != mMembers.end() && found->second.mUpdate.mState == MemberState::Dead &&
         aNow - found->second.mChangedAt >= aTime;
}

std::vector<MemberChange> GossipMembership::TakeChanges()
{
  return std::exchange(mChanges, {});
}

std::uint64_t GossipMembership::Digest() const
{
  return mLiveDigest ^ HashOf(mSelf.mRecord);
}

} // namespace skylarkchute
