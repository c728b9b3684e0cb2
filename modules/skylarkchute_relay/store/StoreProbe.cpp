#include "StoreProbe.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 1200 };

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

} // namespace

StoreProbe::StoreProbe(boost::asio::io_context& aContext, const std::string& aAddress)
  : mCall(std::make_shared<HttpCall>(aContext, aAddress))
{
}

void StoreProbe::Tick()
{
  if (mCall->IsBusy()) {
    return;
  }
  mCall->Start("GET", StaleStateTarget(), {}, kCallTimeout, [this](const CallResult& aResult) {
    // A store without objects of the kind may not know it.
    if (!aResult.mHasResponse || (aResult.mStatus != kOk && aResult.mStatus != kNotFound)) {
      return;
    }
    mEra = aResult.mStoreEra.value_or(mEra);
    if (const auto page = DecodeList(aResult.mBody)) {
      mState = MakeStoreVersion(mEra, page->mAsOf);
    }
    OnAnswer(std::chrono::steady_clock::now());
  });
}

void StoreProbe::OnAnswer(TimePoint aNow)
{
  mAnsweredAt = std::max(mAnsweredAt, aNow);
}

void StoreProbe::Stop()
{
  mCall->Cancel();
}

} // namespace skylarkchute
