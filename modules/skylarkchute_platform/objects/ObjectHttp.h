#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <string>

namespace skylarkchute {

/** One object call as an HTTP request. */
struct ObjectHttpRequest
{
  Poco::Net::HTTPRequest mRequest;
  std::string mBody;
  std::chrono::milliseconds mWait{ 0 }; /**< Longest delay of the response of a long poll. */
};

/** Returns whether the call changes an object. */
bool IsWrite(const ObjectOperation& aOperation);

/** Translates a call into its HTTP request. */
ObjectHttpRequest ToHttp(const ObjectCall& aCall);

/** Translates an HTTP response into the outcome of the call. */
ObjectReply FromHttp(const ObjectCall& aCall,
                     const Poco::Net::HTTPResponse& aResponse,
                     const std::string& aBody);

} // namespace skylarkchute
