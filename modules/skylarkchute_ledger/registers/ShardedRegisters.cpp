#include "ShardedRegisters.h"

#include <cassert>

namespace skylarkchute {

std::uint32_t ShardOf(const std::string& aKey, std::uint32_t aShards)
{
  assert(aShards > 0);
  const auto slash = aKey.find('/');
  const auto group = slash == std::string::npos ? aKey : aKey.substr(slash + 1);
  return static_cast<std::uint32_t>(StableHash(group) % aShards);
}

ShardedRegisters::ShardedRegisters(RegisterOptions aOptions) : mOptions(aOptions) {}

ShardedRegisters::ChainMap::iterator ShardedRegisters::ChainOf(const std::string& aKey)
{
  const auto shard = ShardOf(aKey, mOptions.mShards);
  return mChains.try_emplace(shard, shard, mOptions).first;
}

RegisterOutput ShardedRegisters::Write(std::uint64_t aOperationId,
                                       const RegisterWrite& aWrite,
                                       TimePoint aNow)
{
  assert(!aWrite.mKey.empty());
  const auto it = ChainOf(aWrite.mKey);
  it->second.AddWrite(aOperationId, aWrite, aNow);
  return Convert(it->first, it->second.Continue(aNow, mWall.At(aNow)));
}

RegisterOutput ShardedRegisters::Read(std::uint64_t aOperationId,
                                      const std::string& aKey,
                                      TimePoint aNow)
{
  const auto it = ChainOf(aKey);
  it->second.AddRead(aOperationId, aKey, aNow);
  return Convert(it->first, it->second.Continue(aNow, mWall.At(aNow)));
}

RegisterOutput ShardedRegisters::OnReply(const ObjectReply& aReply, TimePoint aNow)
{
  const auto call = mCalls.find(aReply.mId);
  if (call == mCalls.end()) {
    return {};
  }
  const auto shard = call->second;
  mCalls.erase(call);
  auto& chain = mChains.at(shard);
  return Convert(shard, chain.OnReply(aReply, aNow, mWall.At(aNow)));
}

RegisterOutput ShardedRegisters::Tick(TimePoint aNow, WallTime aWallNow)
{
  mWall.Update(aNow, aWallNow);
  RegisterOutput output;
  for (auto it = mChains.begin(); it != mChains.end();) {
    auto& chain = it->second;
    if (chain.IsIdle() && aNow - chain.LastUse() > mOptions.mIdleChainLifetime) {
      it = mChains.erase(it);
      continue;
    }
    output.Append(Convert(it->first, chain.Tick(aNow, aWallNow)));
    ++it;
  }
  return output;
}

std::size_t ShardedRegisters::RegisterCount() const
{
  std::size_t count = 0;
  for (const auto& it : mChains) {
    count += it.second.RegisterCount();
  }
  return count;
}

RegisterOutput ShardedRegisters::Convert(std::uint32_t aShard, ShardOutput aOutput)
{
  RegisterOutput output;
  output.mOutcomes = std::move(aOutput.mOutcomes);
  output.mEvents = std::move(aOutput.mEvents);
  if (aOutput.mOperation) {
    const auto id = mNextCall++;
    mCalls.emplace(id, aShard);
    output.mCalls.push_back(
      { id, CallPurpose::Claim, std::move(*aOutput.mOperation), mOptions.mCallTimeout });
  }
  return output;
}

} // namespace skylarkchute
