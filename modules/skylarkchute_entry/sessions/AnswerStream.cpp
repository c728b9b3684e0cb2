#include "AnswerStream.h"

#include <skylarkchute_endpoints/json/JsonObject.h>

#include <algorithm>

namespace skylarkchute {

namespace {

std::string Rewrite(const StreamChunk& aChunk, const RequestId& aRequest, const std::string& aText)
{
  Json::Value value;
  if (!ParseJsonObject(aChunk.mData, value)) {
    return aChunk.mData;
  }
  value["id"] = "chatcmpl-" + aRequest.Value();
  if (aText != aChunk.mText) {
    value["choices"][0]["delta"]["content"] = aText;
  }
  return WriteJsonText(value);
}

} // namespace

AnswerStream::AnswerStream(RequestId aRequest) : mRequest(std::move(aRequest)) {}

ChunkAction AnswerStream::ProcessChunk(const AttemptId& aAttempt, const StreamChunk& aChunk)
{
  if (mSuperseded.contains(aAttempt)) {
    return SkipChunk{};
  }
  if (mAborted) {
    return AbortStream{};
  }
  if (aAttempt != mAttempt) {
    mRestarted = mSentEvents > 0;
    if (!mAttempt.IsEmpty()) {
      mSuperseded.insert(mAttempt);
    }
    mAttempt = aAttempt;
    mPosition = 0;
  }
  auto action = mRestarted ? CompareOverlap(aChunk) : AppendChunk(aChunk);
  mAborted = std::holds_alternative<AbortStream>(action);
  return action;
}

ChunkAction AnswerStream::AppendChunk(const StreamChunk& aChunk)
{
  mPosition += aChunk.mText.size();
  return Emit(aChunk, aChunk.mText);
}

ChunkAction AnswerStream::CompareOverlap(const StreamChunk& aChunk)
{
  if (mSentOpaque) {
    return AbortStream{};
  }
  const auto& text = aChunk.mText;
  const auto overlap = std::min(text.size(), mSentText.size() - mPosition);
  if (mSentText.compare(mPosition, overlap, text, 0, overlap) != 0) {
    return AbortStream{};
  }
  const bool isBehind = mPosition + text.size() < mSentText.size();
  mPosition += text.size();
  if (aChunk.mOpaque || aChunk.mFinish) {
    if (isBehind) {
      return AbortStream{};
    }
  }
  const bool hasNoNewText = overlap == text.size() && !aChunk.mOpaque;
  const bool repeatsFirstChunk = text.empty() && aChunk.mNumber == 1;
  if (hasNoNewText && (!text.empty() || isBehind || repeatsFirstChunk) && !aChunk.mFinish) {
    return SkipChunk{};
  }
  if (mSentFinish) {
    return hasNoNewText ? ChunkAction(SkipChunk{}) : ChunkAction(AbortStream{});
  }
  return Emit(aChunk, text.substr(overlap));
}

ChunkAction AnswerStream::Emit(const StreamChunk& aChunk, const std::string& aText)
{
  mSentText += aText;
  mSentOpaque = mSentOpaque || aChunk.mOpaque;
  mSentFinish = mSentFinish || aChunk.mFinish;
  return EmitEvent{ ++mSentEvents, Rewrite(aChunk, mRequest, aText) };
}

bool AnswerStream::IsComplete(const AttemptId& aAttempt) const
{
  return !mAborted && aAttempt == mAttempt && mPosition == mSentText.size();
}

} // namespace skylarkchute
