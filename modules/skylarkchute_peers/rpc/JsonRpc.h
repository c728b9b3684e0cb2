#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** Transport for JSON-RPC messages. */
class JsonRpcTransport
{
public:
  virtual ~JsonRpcTransport() = default;

  /** Sends @p aRequest and returns the text of the response. Throws std::runtime_error when no
      complete response is received. */
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

/** Returns the text of one JSON-RPC 2.0 request, for callers with a transport of their own.
    @param aParams  JSON object text; replaced by an empty object when it is not JSON */
std::string BuildJsonRpcRequest(const std::string& aMethod, const std::string& aParams);

/** Parses the text of one JSON-RPC 2.0 response. */
JsonRpcResult ReadJsonRpcResponse(const std::string& aText);

/** Decodes JSON-RPC 2.0 requests and dispatches them to one handler. Thread-safe.

    The libjsonrpccpp headers use dynamic exception specifications, which C++17 removed. Only
    JsonRpc.cpp includes them and is compiled as C++14, so this header must stay valid C++14. */
class JsonRpcDispatcher
{
public:
  /** Receives the method and its params as JSON text and sets the result as JSON text. Returns
      false when the request could not be served. */
  using Handler = std::function<bool(const std::string&, const std::string&, std::string&)>;

  /** @param aMethods  names of the methods served; others get the JSON-RPC error response */
  JsonRpcDispatcher(const std::vector<std::string>& aMethods, Handler aHandler);
  ~JsonRpcDispatcher();

  /** Serves one request message and returns the response message. */
  std::string Serve(const std::string& aRequest) const;

private:
  class Invocation;
  std::unique_ptr<Invocation> mInvocation;
};

} // namespace skylarkchute
