#include "StartupQueue.h"

namespace skylarkchute {

namespace {

/** Reading the platform's state takes 20 to 100 ms when the platform responds; after 500 ms
    it counts as unavailable. Callers time out after one second. */
constexpr std::chrono::milliseconds kMaxHoldTime{ 1000 };

} // namespace

void StartupQueue::StartHolding()
{
  mIsHolding = true;
  mTimer.expires_after(kMaxHoldTime);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      StopHolding();
    }
  });
}

void StartupQueue::StopHolding()
{
  if (!mIsHolding) {
    return;
  }
  mIsHolding = false;
  mTimer.cancel();
  const auto waiting = std::move(mWaiting);
  mWaiting.clear();
  for (const auto& it : waiting) {
    it();
  }
}

} // namespace skylarkchute
