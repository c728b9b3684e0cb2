#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace skylarkchute {

/** Answers connections that cannot be served with one fixed text, on one thread, without waiting
    for what they send. Safe to use from several threads. */
class RefusalLane
{
public:
  /** @param aText  the whole HTTP response; empty to close connections without one */
  explicit RefusalLane(std::string aText);
  ~RefusalLane();

  RefusalLane(const RefusalLane&) = delete;
  RefusalLane& operator=(const RefusalLane&) = delete;

  /** Answers and closes a connection. Beyond a bound of connections it closes at once. */
  void Refuse(const Poco::Net::StreamSocket& aSocket);

private:
  struct Closing
  {
    Poco::Net::StreamSocket mSocket;
    TimePoint mDeadline;
  };

  void Run();
  static bool IsDone(Closing& aClosing, TimePoint aNow);

  std::string mText;
  SystemClock mClock;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Closing> mClosing;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace skylarkchute
