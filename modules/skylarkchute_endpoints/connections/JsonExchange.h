#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

/** A request with a small JSON body to an endpoint or service. */
struct JsonExchangeRequest
{
  std::string mAddress; /**< IP address. */
  std::uint16_t mPort = 0;
  std::string mMethod;
  std::string mPath;
  std::string mBody;                          /**< JSON text, possibly empty. */
  std::chrono::milliseconds mTimeout{ 1000 }; /**< For the whole exchange. */
};

/** Response to a JsonExchangeRequest. */
struct JsonExchangeReply
{
  Verdict mVerdict = Verdict::NotRun; /**< Ran if a complete response was read. */
  int mHttpStatus = 0;                /**< Zero without a complete response. */
  std::string mBody;

  /** Returns whether a complete response with a 2xx status was received. */
  bool IsOk() const;
};

/** Sends a request and reads its response. Network errors do not throw; the verdict of the reply
    reports them. */
JsonExchangeReply ExchangeJson(const JsonExchangeRequest& aRequest);

} // namespace skylarkchute
