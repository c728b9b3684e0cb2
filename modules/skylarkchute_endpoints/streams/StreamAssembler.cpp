#include "StreamAssembler.h"

#include "ChunkParser.h"

#include <cassert>
#include <charconv>

namespace skylarkchute {

namespace {

constexpr std::size_t kMaxEventBytes = 1024 * 1024;
constexpr std::string_view kTerminator = "[DONE]";
constexpr std::string_view kCompletionPrefix = "chatcmpl-";

std::uint64_t ParseNumber(const std::string& aText)
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  return result.ec == std::errc() && result.ptr == end ? number : 0;
}

} // namespace

StreamAssembler::StreamAssembler(AttemptId aAttempt)
  : mAttempt(std::move(aAttempt))
  , mParser(kMaxEventBytes)
{
  assert(!mAttempt.IsEmpty());
}

bool StreamAssembler::MatchesRequestId(std::string_view aRequestId) const
{
  return aRequestId == mAttempt.Value();
}

bool StreamAssembler::MatchesCompletionId(std::string_view aId) const
{
  if (aId.starts_with(kCompletionPrefix)) {
    aId.remove_prefix(kCompletionPrefix.size());
  }
  return aId.empty() || aId == mAttempt.Value();
}

std::vector<StreamChunk> StreamAssembler::Feed(std::string_view aBytes)
{
  std::vector<StreamChunk> chunks;
  for (const auto& it : mParser.Feed(aBytes)) {
    HandleEvent(it, chunks);
  }
  if (mParser.IsMalformed() && mState == StreamState::Open) {
    mState = StreamState::Malformed;
  }
  return chunks;
}

void StreamAssembler::HandleEvent(const SseEvent& aEvent, std::vector<StreamChunk>& aChunks)
{
  if (mState != StreamState::Open) {
    ++mDropped.mLate;
    return;
  }
  if (aEvent.mName == "error") {
    mState = StreamState::Failed;
    return;
  }
  if (aEvent.mData == kTerminator) {
    const auto number = ParseNumber(aEvent.mId);
    const bool hasGap = !aEvent.mId.empty() && number > mLastNumber + 1;
    mState = hasGap || mLastNumber == 0 ? StreamState::Broken : StreamState::Complete;
    return;
  }
  const auto number = ParseNumber(aEvent.mId);
  const auto parsed = ParseChunk(aEvent.mData);
  if (number == 0 || !parsed) {
    mState = StreamState::Malformed;
    return;
  }
  if (!MatchesCompletionId(parsed->mAttempt)) {
    ++mDropped.mForeign;
    return;
  }
  if (number <= mLastNumber) {
    ++mDropped.mDuplicate;
    return;
  }
  if (number > mLastNumber + 1) {
    mState = StreamState::Broken;
    return;
  }
  mLastNumber = number;
  mContentChunks += parsed->mText.empty() ? 0 : 1;
  if (parsed->mHasUsage) {
    mReportedUsage = { parsed->mPromptTokens, parsed->mCompletionTokens };
  }
  aChunks.push_back({ number, aEvent.mData, parsed->mText, parsed->mOpaque, parsed->mFinish });
}

void StreamAssembler::OnConnectionEnd()
{
  if (mState == StreamState::Open) {
    mState = StreamState::Broken;
  }
}

void StreamAssembler::Resume()
{
  assert(mState == StreamState::Broken);
  mState = StreamState::Open;
  mParser = SseParser(kMaxEventBytes);
}

TokenUsage StreamAssembler::Usage() const
{
  if (mReportedUsage.mCompletionTokens > 0) {
    return mReportedUsage;
  }
  return { mReportedUsage.mPromptTokens, mContentChunks };
}

} // namespace skylarkchute
