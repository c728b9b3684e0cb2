#include "RefusalLane.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace skylarkchute {

namespace {

constexpr std::size_t kMaxClosing = 256;
constexpr std::size_t kDrainBytes = 16 * 1024;
constexpr std::chrono::milliseconds kDrainTime{ 1000 };
constexpr std::chrono::milliseconds kPollPeriod{ 10 };

} // namespace

RefusalLane::RefusalLane(std::string aText) : mText(std::move(aText)), mThread([this] { Run(); }) {}

RefusalLane::~RefusalLane()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mChanged.notify_all();
  }
  mThread.join();
}

void RefusalLane::Refuse(const Poco::Net::StreamSocket& aSocket)
{
  Closing closing{ aSocket, mClock.Now() + kDrainTime };
  {
    const std::lock_guard lock(mMutex);
    if (mText.empty() || mClosing.size() >= kMaxClosing) {
      return;
    }
  }
  try {
    // A new connection's send buffer holds the whole text, so this does not block.
    closing.mSocket.sendBytes(mText.data(), static_cast<int>(mText.size()));
    closing.mSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mClosing.push_back(std::move(closing));
  mChanged.notify_all();
}

void RefusalLane::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mChanged.wait(lock, [this] { return mStopping || !mClosing.empty(); });
    const auto now = mClock.Now();
    mClosing.erase(std::remove_if(mClosing.begin(),
                                  mClosing.end(),
                                  [&](Closing& aClosing) { return IsDone(aClosing, now); }),
                   mClosing.end());
    mChanged.wait_for(lock, kPollPeriod, [this] { return mStopping; });
  }
}

bool RefusalLane::IsDone(Closing& aClosing, TimePoint aNow)
{
  if (aNow >= aClosing.mDeadline) {
    return true;
  }
  try {
    // Closing with unread bytes would reset the connection and could destroy the answer.
    std::array<char, kDrainBytes> buf{};
    const bool ready = aClosing.mSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    return ready && aClosing.mSocket.receiveBytes(buf.data(), static_cast<int>(buf.size())) <= 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

} // namespace skylarkchute
