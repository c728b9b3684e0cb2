#pragma once

#include "JsonRpc.h"
#include "PeerSignature.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkchute {

/** Serves JSON-RPC requests of peers over HTTP. Requests without a valid signature, or with a body
    that is too long, are refused with HTTP status 403. */
class PeerServer
{
public:
  /** One request whose signature is valid. */
  struct Request
  {
    InstanceId mFrom;
    std::string mMethod;
    std::string mParams; /**< JSON object text. */
  };

  /** Returns the result as JSON object text, or nothing when the request cannot be served. Called
      concurrently from several threads. */
  using Handler = std::function<std::optional<std::string>(const Request&)>;

  /** Called with the unverified sender id when a signature is refused. */
  using RefusalHandler = std::function<void(const InstanceId&)>;

  struct Options
  {
    InstanceId mSelf;
    std::string mAddress;    /**< IP address to listen on. */
    std::uint16_t mPort = 0; /**< Zero selects a free port. */
    std::string mSharedKey;
    std::vector<std::string> mMethods; /**< Names of the methods served. */
    int mMaxThreads = 32;
  };

  PeerServer(const Options& aOptions,
             const Clock& aClock,
             Handler aHandler,
             RefusalHandler aOnRefused);
  ~PeerServer();

  /** Returns the port that the server listens on. */
  std::uint16_t Port() const;

  /** Verifies and serves one message. @returns the response, or nothing when refused */
  std::optional<std::string> Serve(const InstanceId& aFrom,
                                   WallTime aAt,
                                   const std::string& aSignature,
                                   const std::string& aBody) const;

private:
  InstanceId mSelf;
  const Clock& mClock;
  PeerSignature mSignature;
  Handler mHandler;
  RefusalHandler mOnRefused;
  std::vector<std::string> mMethods;
  std::unique_ptr<Poco::ThreadPool> mPool;
  std::unique_ptr<Poco::Net::HTTPServer> mServer;
};

} // namespace skylarkchute
