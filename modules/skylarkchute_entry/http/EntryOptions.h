#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

/** Listening address, limits, timeouts and TLS files of the entry. */
struct EntryOptions
{
  std::string mAddress = "0.0.0.0";          /**< IP address to listen on. */
  std::uint16_t mPort = 0;                   /**< Zero selects any free port. */
  int mMaxConnections = 512;                 /**< Further ones are refused with `not-run`. */
  std::size_t mMaxBodyBytes = 1024UL * 1024; /**< Of one request. */
  std::size_t mMaxBodyBytesTotal = 24UL * 1024 * 1024; /**< Of all requests being read or served; a
                                                     body takes up to twice its length while it
                                                     arrives. */
  std::chrono::milliseconds mReceiveTimeout{ 10'000 }; /**< For one complete request to arrive. */
  std::chrono::milliseconds mSendTimeout{ 10'000 };    /**< For a caller to accept any bytes. */
  std::chrono::milliseconds mKeepAliveTimeout{ 30'000 }; /**< Between two requests. */
  std::chrono::milliseconds mDefaultTimeout{ 60'000 };   /**< Without `Skylark-Timeout-Ms`. */
  std::chrono::milliseconds mMaxTimeout{ 600'000 }; /**< Upper limit of `Skylark-Timeout-Ms`. */
  /** Time after a request's deadline that the entry waits for its session to end, before it answers
      504 with `may-have-run`. */
  std::chrono::milliseconds mDeadlineGrace{ 5'000 };
  std::string mCertificateFile; /**< PEM chain; empty for plain HTTP. */
  std::string mPrivateKeyFile;  /**< PEM. */
};

} // namespace skylarkchute
