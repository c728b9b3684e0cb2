#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkchute {

/** One short request to an endpoint or service. */
struct JsonExchangeRequest
{
  std::string mAddress; /**< IP number. */
  std::uint16_t mPort = 0;
  std::string mMethod;
  std::string mPath;
  std::string mBody; /**< JSON text, possibly empty. */
  std::chrono::milliseconds mTimeout{ 1000 };
};

/** The answer to a short request. */
struct JsonExchangeReply
{
  Verdict mVerdict = Verdict::NotRun; /**< Ran when an answer was read whole. */
  int mHttpStatus = 0;                /**< Zero without an answer. */
  std::string mBody;

  /** Returns whether a whole answer with a success status came. */
  bool IsOk() const;
};

/** Carries out one short request; never throws for a failing peer. */
JsonExchangeReply ExchangeJson(const JsonExchangeRequest& aRequest);

} // namespace skylarkchute
