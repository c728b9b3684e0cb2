#include "InstanceListClient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <exception>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

constexpr std::chrono::seconds kResponseTimeout{ 3 };

} // namespace

InstanceListClient::InstanceListClient(std::string aAddress, std::uint16_t aPort)
  : mAddress(std::move(aAddress))
  , mPort(aPort)
{
}

leaf::result<InstanceList> InstanceListClient::Read(std::uint64_t aAfter,
                                                    std::chrono::milliseconds aWait)
{
  try {
    Poco::Net::HTTPClientSession session(mAddress, mPort);
    const auto timeout =
      std::chrono::duration_cast<std::chrono::microseconds>(kResponseTimeout + aWait);
    session.setTimeout(Poco::Timespan(timeout.count()));
    const auto path =
      "/v1/instances?after=" + std::to_string(aAfter) + "&wait=" + std::to_string(aWait.count());
    Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      const auto status = std::to_string(response.getStatus());
      return leaf::new_error(Faults{ { { "instance list", "", "HTTP status " + status } } });
    }
    return ParseInstanceList(body);
  } catch (const std::exception& error) {
    return leaf::new_error(Faults{ { { "instance list", "", error.what() } } });
  }
}

} // namespace skylarkchute
