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

AnswerStep AnswerStream::Take(const AttemptId& aAttempt, const StreamChunk& aChunk)
{
  if (mSuperseded.contains(aAttempt)) {
    return SkipChunk{};
  }
  if (mContradicted) {
    return ContradictStream{};
  }
  if (aAttempt != mAttempt) {
    mRestarted = mSentEvents > 0;
    if (!mAttempt.IsEmpty()) {
      mSuperseded.insert(mAttempt);
    }
    mAttempt = aAttempt;
    mPosition = 0;
  }
  auto step = mRestarted ? TakeOverlap(aChunk) : TakeNew(aChunk);
  mContradicted = std::holds_alternative<ContradictStream>(step);
  return step;
}

AnswerStep AnswerStream::TakeNew(const StreamChunk& aChunk)
{
  mPosition += aChunk.mText.size();
  return Emit(aChunk, aChunk.mText);
}

AnswerStep AnswerStream::TakeOverlap(const StreamChunk& aChunk)
{
  if (mSentOpaque) {
    return ContradictStream{};
  }
  const auto& text = aChunk.mText;
  const auto overlap = std::min(text.size(), mSentText.size() - mPosition);
  if (mSentText.compare(mPosition, overlap, text, 0, overlap) != 0) {
    return ContradictStream{};
  }
  const bool missesRest = mPosition + text.size() < mSentText.size();
  mPosition += text.size();
  if (aChunk.mOpaque || aChunk.mFinish) {
    if (missesRest) {
      return ContradictStream{};
    }
  }
  const bool addsNothing = overlap == text.size() && !aChunk.mOpaque;
  const bool repeatsHead = text.empty() && aChunk.mNumber == 1;
  if (addsNothing && (!text.empty() || missesRest || repeatsHead) && !aChunk.mFinish) {
    return SkipChunk{};
  }
  if (mSentFinish) {
    return addsNothing ? AnswerStep(SkipChunk{}) : AnswerStep(ContradictStream{});
  }
  return Emit(aChunk, text.substr(overlap));
}

AnswerStep AnswerStream::Emit(const StreamChunk& aChunk, const std::string& aText)
{
  mSentText += aText;
  mSentOpaque = mSentOpaque || aChunk.mOpaque;
  mSentFinish = mSentFinish || aChunk.mFinish;
  return EmitEvent{ ++mSentEvents, Rewrite(aChunk, mRequest, aText) };
}

bool AnswerStream::IsWhole(const AttemptId& aAttempt) const
{
  return !mContradicted && aAttempt == mAttempt && mPosition == mSentText.size();
}

} // namespace skylarkchute
