#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace skylarkchute {

/** Where and within which bounds the entry serves callers. */
struct EntryOptions
{
  std::string mAddress = "0.0.0.0"; /**< IP number to listen on. */
  std::uint16_t mPort = 0;          /**< Zero takes any free port. */
  int mMaxConnections = 512;        /**< More are refused with `not-run`. */
  std::size_t mMaxBodyBytes = 1024UL * 1024;
  std::size_t mMaxBodyBytesTotal = 64UL * 1024 * 1024;   /**< Of all requests being read or run. */
  std::chrono::milliseconds mReceiveTimeout{ 10'000 };   /**< For one whole request to arrive. */
  std::chrono::milliseconds mSendTimeout{ 10'000 };      /**< For a caller to take some bytes. */
  std::chrono::milliseconds mKeepAliveTimeout{ 30'000 }; /**< Between requests. */
  std::chrono::milliseconds mDefaultTimeout{ 60'000 };   /**< Without `Skylark-Timeout-Ms`. */
  std::chrono::milliseconds mMaxTimeout{ 600'000 };
  /** How long after its deadline a request may be undecided before its caller is told so. */
  std::chrono::milliseconds mDecisionGrace{ 5'000 };
  std::string mCertificateFile; /**< PEM chain; empty for plain HTTP. */
  std::string mPrivateKeyFile;  /**< PEM. */
};

} // namespace skylarkchute
