#include "StoreProbe.h"

namespace skylarkchute {

namespace {

constexpr std::chrono::milliseconds kCallTimeout{ 1200 };

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;

} // namespace

StoreProbe::StoreProbe(boost::asio::io_context& aContext,
                       const std::string& aAddress,
                       const std::string& aName)
  : mTarget(StaleObjectTarget(ObjectKind::Instances, aName))
  , mCall(std::make_shared<HttpCall>(aContext, aAddress))
{
}

void StoreProbe::Tick()
{
  if (mCall->IsBusy()) {
    return;
  }
  mCall->Start("GET", mTarget, {}, kCallTimeout, [this](const CallResult& aResult) {
    // The entry may not be written yet.
    if (aResult.mHasResponse && (aResult.mStatus == kOk || aResult.mStatus == kNotFound)) {
      mEra = aResult.mStoreEra.value_or(mEra);
      OnAnswer(std::chrono::steady_clock::now());
    }
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
