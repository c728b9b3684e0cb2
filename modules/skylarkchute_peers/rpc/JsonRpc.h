#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** Carries one JSON-RPC message and its answer. */
class JsonRpcTransport
{
public:
  virtual ~JsonRpcTransport() = default;

  /** Sends @p aRequest and returns the answer's text. Throws std::runtime_error when no whole
      answer came. */
  virtual std::string Exchange(const std::string& aRequest) = 0;
};

/** The outcome of one JSON-RPC call. */
struct JsonRpcResult
{
  bool mOk = false;
  std::string mResult; /**< JSON object text when mOk. */
  std::string mError;
};

/** Makes one JSON-RPC 2.0 call.
    @param aParams  JSON object text */
JsonRpcResult CallJsonRpc(JsonRpcTransport& aTransport,
                          const std::string& aMethod,
                          const std::string& aParams);

/** Returns the text of one JSON-RPC 2.0 request, for a caller that carries messages itself.
    @param aParams  JSON object text */
std::string BuildJsonRpcRequest(const std::string& aMethod, const std::string& aParams);

/** Reads the text of one JSON-RPC 2.0 answer. */
JsonRpcResult ReadJsonRpcResponse(const std::string& aText);

/** Decodes JSON-RPC 2.0 requests and hands them to one handler. Safe to use from several threads.

    The libjsonrpccpp headers have dynamic exception specifications, which C++17 removed. They are
    included only by JsonRpc.cpp, which is compiled as C++14, as this header can be. */
class JsonRpcDispatcher
{
public:
  /** Gets the method and its params as JSON text; sets the result as JSON text. Returns false when
      the request could not be served. */
  using Handler = std::function<bool(const std::string&, const std::string&, std::string&)>;

  /** @param aMethods  names of the methods served; others get the protocol's error */
  JsonRpcDispatcher(const std::vector<std::string>& aMethods, Handler aHandler);
  ~JsonRpcDispatcher();

  /** Serves one request message and returns the answer message. */
  std::string Serve(const std::string& aRequest) const;

private:
  class Invocation;
  std::unique_ptr<Invocation> mInvocation;
};

} // namespace skylarkchute
