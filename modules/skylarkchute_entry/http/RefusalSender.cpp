#include "RefusalSender.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <array>

namespace skylarkchute {

namespace {

constexpr std::size_t kMaxPendingCloses = 256;
constexpr std::size_t kDrainBufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds kDrainTimeout{ 1000 };
constexpr std::chrono::milliseconds kPollPeriod{ 10 };

} // namespace

RefusalSender::RefusalSender(std::string aText)
  : mText(std::move(aText))
  , mThread([this] { Run(); })
{
}

RefusalSender::~RefusalSender()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mChanged.notify_all();
  }
  mThread.join();
}

void RefusalSender::Refuse(const Poco::Net::StreamSocket& aSocket)
{
  PendingClose pending{ aSocket, mClock.Now() + kDrainTimeout };
  {
    const std::lock_guard lock(mMutex);
    if (mText.empty() || mPendingCloses.size() >= kMaxPendingCloses) {
      return;
    }
  }
  try {
    // The send buffer of a new connection can hold the complete response, so this does not block.
    pending.mSocket.sendBytes(mText.data(), static_cast<int>(mText.size()));
    pending.mSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mPendingCloses.push_back(std::move(pending));
  mChanged.notify_all();
}

void RefusalSender::Run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    mChanged.wait(lock, [this] { return mStopping || !mPendingCloses.empty(); });
    const auto now = mClock.Now();
    mPendingCloses.erase(
      std::remove_if(mPendingCloses.begin(),
                     mPendingCloses.end(),
                     [&](PendingClose& aPending) { return IsDone(aPending, now); }),
      mPendingCloses.end());
    mChanged.wait_for(lock, kPollPeriod, [this] { return mStopping; });
  }
}

bool RefusalSender::IsDone(PendingClose& aPending, TimePoint aNow)
{
  if (aNow >= aPending.mDeadline) {
    return true;
  }
  try {
    // Closing a socket with unread bytes resets the connection, and the caller could lose the
    // answer.
    std::array<char, kDrainBufferBytes> buf{};
    const bool ready = aPending.mSocket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    return ready && aPending.mSocket.receiveBytes(buf.data(), static_cast<int>(buf.size())) <= 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

} // namespace skylarkchute
