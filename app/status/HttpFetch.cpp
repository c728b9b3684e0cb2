#include "HttpFetch.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <exception>

namespace skylarkchute {

std::optional<std::string> HttpFetch(const HostPort& aHostPort,
                                     const std::string& aPath,
                                     std::chrono::milliseconds aTimeout)
{
  try {
    Poco::Net::HTTPClientSession session(aHostPort.mAddress, aHostPort.mPort);
    session.setTimeout(
      Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(aTimeout).count()));
    Poco::Net::HTTPRequest request("GET", aPath, Poco::Net::HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return std::nullopt;
    }
    return body;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<HttpAnswer> HttpPost(const HostPort& aHostPort,
                                   const std::string& aPath,
                                   const std::string& aBody,
                                   std::chrono::milliseconds aTimeout)
{
  try {
    Poco::Net::HTTPClientSession session(aHostPort.mAddress, aHostPort.mPort);
    session.setTimeout(
      Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(aTimeout).count()));
    Poco::Net::HTTPRequest request("POST", aPath, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(aBody.size()));
    session.sendRequest(request) << aBody << std::flush;
    Poco::Net::HTTPResponse response;
    HttpAnswer answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.mBody);
    answer.mStatus = static_cast<unsigned>(response.getStatus());
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace skylarkchute
