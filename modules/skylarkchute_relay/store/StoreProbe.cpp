#include "StoreProbe.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

} // namespace

StoreProbe::StoreProbe(boost::asio::io_context& aContext,
                       const std::string& aAddress,
                       std::function<void()> aOnAnswer)
  : mOnAnswer(std::move(aOnAnswer))
{
  for (auto& it : mCalls) {
    it = std::make_shared<HttpCall>(aContext, aAddress);
  }
}

void StoreProbe::Tick()
{
  const auto idle =
    std::find_if(mCalls.begin(), mCalls.end(), [](const auto& aCall) { return !aCall->IsBusy(); });
  if (idle == mCalls.end()) {
    return;
  }
  (*idle)->Start("GET", StaleStateTarget(), {}, kCallTimeout, [this](const CallResult& aResult) {
    OnResult(aResult);
  });
}

void StoreProbe::OnResult(const CallResult& aResult)
{
  // A store without objects of the kind may not know it.
  if (!aResult.mHasResponse || (aResult.mStatus != kOk && aResult.mStatus != kNotFound)) {
    return;
  }
  const auto era = aResult.mStoreEra.value_or(mEra);
  mEra = std::max(mEra, era);
  if (const auto page = DecodeList(aResult.mBody)) {
    mState = std::max(mState, MakeStoreVersion(era, page->mAsOf));
  }
  OnAnswer(std::chrono::steady_clock::now());
  mOnAnswer();
}

void StoreProbe::OnAnswer(TimePoint aNow)
{
  mAnsweredAt = std::max(mAnsweredAt, aNow);
}

void StoreProbe::Stop()
{
  for (const auto& it : mCalls) {
    it->Cancel();
  }
}

} // namespace skylarkchute
