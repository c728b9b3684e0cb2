#pragma once

#include "Evidence.h"
#include "Fleet.h"
#include "HttpConnection.h"

#include <optional>
#include <random>
#include <thread>

namespace skylarkchute::soak {

/** Sends one request after the other on a thread of its own, on a connection that it keeps until
   the relay closes it, and records what it saw. */
class SoakClient
{
public:
  /** @param aFleet   must outlive the client
      @param aNumber  distinguishes the client's request ids and selects its relay
      @param aSendsCrashes  send the crashing prompt part while there is one, and nothing else */
  SoakClient(const Fleet& aFleet, std::uint64_t aSeed, int aNumber, bool aSendsCrashes);
  ~SoakClient();

  SoakClient(const SoakClient&) = delete;
  SoakClient& operator=(const SoakClient&) = delete;

  /** Ends after the request that is under way. */
  void Stop() { mIsStopping = true; }

  /** Waits for the end of the thread. @returns what the client saw */
  std::vector<Exchange> Join();

  /** Returns how many requests have ended. Any thread. */
  std::size_t Count() const { return mCount; }

private:
  void Run();
  Exchange NextExchange();
  bool Connect(Exchange& aExchange);
  void Send(Exchange& aExchange);
  std::chrono::milliseconds PauseAfter(const Exchange& aExchange);

  const Fleet& mFleet;
  int mNumber;
  bool mSendsCrashes;
  std::mt19937_64 mRandom;
  int mSerial = 0;
  std::optional<HttpConnection> mConnection;
  std::string mRelay;
  std::vector<Exchange> mExchanges;
  std::atomic<std::size_t> mCount{ 0 };
  std::atomic<bool> mIsStopping{ false };
  std::thread mThread;
};

} // namespace skylarkchute::soak
