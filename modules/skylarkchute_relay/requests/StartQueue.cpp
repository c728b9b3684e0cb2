#include "StartQueue.h"

namespace skylarkchute {

namespace {

/** The state of a platform that answers is read in 20 to 100 ms; later it is away. Callers give up
    after a second. */
constexpr std::chrono::milliseconds kMostWait{ 500 };

} // namespace

void StartQueue::Begin()
{
  mHolds = true;
  mTimer.expires_after(kMostWait);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Open();
    }
  });
}

void StartQueue::Open()
{
  if (!mHolds) {
    return;
  }
  mHolds = false;
  mTimer.cancel();
  const auto waiting = std::move(mWaiting);
  mWaiting.clear();
  for (const auto& it : waiting) {
    it();
  }
}

} // namespace skylarkchute
