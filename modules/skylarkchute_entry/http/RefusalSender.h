#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace skylarkchute {

/** Sends one fixed response to connections that cannot be served, then closes them on a background
    thread. Does not wait for their requests. Thread-safe. */
class RefusalSender
{
public:
  /** @param aText  the complete HTTP response; empty to close connections without a response */
  explicit RefusalSender(std::string aText);
  ~RefusalSender();

  RefusalSender(const RefusalSender&) = delete;
  RefusalSender& operator=(const RefusalSender&) = delete;

  /** Sends the response and closes the connection. Closes it at once, without a response, when too
      many others are still being closed. */
  void Refuse(const Poco::Net::StreamSocket& aSocket);

private:
  struct PendingClose
  {
    Poco::Net::StreamSocket mSocket;
    TimePoint mDeadline;
  };

  void Run();
  static bool IsDone(PendingClose& aPending, TimePoint aNow);

  std::string mText;
  SystemClock mClock;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<PendingClose> mPendingCloses;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace skylarkchute
