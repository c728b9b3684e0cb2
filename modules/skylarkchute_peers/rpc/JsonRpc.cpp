#include "JsonRpc.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <stdexcept>

namespace skylarkchute {

namespace {

std::string ToText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

bool FromText(const std::string& aText, Json::Value& aValue)
{
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  try {
    return reader->parse(aText.data(), aText.data() + aText.size(), &aValue, nullptr);
  } catch (const Json::Exception&) {
    // Too many brackets inside each other.
    return false;
  }
}

/** Brackets inside each other that a message may have. The library's parser throws from 1,000 on,
    and its functions end the process when anything but their own exception leaves them. */
constexpr std::size_t kMaxDepth = 200;

/** Returns whether the library can be given a text. Only nesting and comments, which JSON does not
    have, are checked. */
bool IsSafeToParse(const std::string& aText)
{
  std::size_t depth = 0;
  bool isInString = false;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    const char c = aText[n];
    if (isInString) {
      n += c == '\\' ? 1 : 0;
      isInString = c != '"';
      continue;
    }
    isInString = c == '"';
    if (c == '{' || c == '[') {
      ++depth;
    } else if (c == '}' || c == ']') {
      depth -= depth > 0 ? 1 : 0;
    }
    if (c == '/' || depth > kMaxDepth) {
      return false;
    }
  }
  return true;
}

/** Adapts a JsonRpcTransport to the library's connector interface. */
class TransportConnector final : public jsonrpc::IClientConnector
{
public:
  explicit TransportConnector(JsonRpcTransport& aTransport) : mTransport(aTransport) {}

  void SendRPCMessage(const std::string& aMessage,
                      std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    try {
      aResult = mTransport.Exchange(aMessage);
      if (!IsSafeToParse(aResult)) {
        throw std::runtime_error("the response is not JSON");
      }
    } catch (const std::runtime_error& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, error.what());
    }
  }

private:
  JsonRpcTransport& mTransport;
};

} // namespace

JsonRpcResult CallJsonRpc(JsonRpcTransport& aTransport,
                          const std::string& aMethod,
                          const std::string& aParams)
{
  JsonRpcResult outcome;
  Json::Value params;
  if (!FromText(aParams, params)) {
    outcome.mError = "params are not JSON";
    return outcome;
  }
  TransportConnector connector(aTransport);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    outcome.mResult = ToText(client.CallMethod(aMethod, params));
    outcome.mOk = true;
  } catch (const jsonrpc::JsonRpcException& error) {
    outcome.mError = error.GetMessage();
  }
  return outcome;
}

namespace {

/** Captures the request text of the library instead of sending it, and returns a given text as the
    response. Used to encode requests and decode responses, because the library's protocol class
    is not among its installed headers. */
class CapturingConnector final : public jsonrpc::IClientConnector
{
public:
  explicit CapturingConnector(const std::string& aResponse) : mResponse(aResponse) {}

  void SendRPCMessage(const std::string& aMessage,
                      std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    mRequest = aMessage;
    aResult = mResponse;
  }

  const std::string& Request() const { return mRequest; }

private:
  std::string mResponse;
  std::string mRequest;
};

/** A response that the library accepts. */
constexpr const char* kEmptyResponse = R"({"jsonrpc":"2.0","id":1,"result":{}})";

/** Response to a request that cannot be parsed. */
constexpr const char* kUnreadableResponse =
  R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not JSON"}})";

} // namespace

std::string BuildJsonRpcRequest(const std::string& aMethod, const std::string& aParams)
{
  Json::Value params;
  if (!FromText(aParams, params)) {
    params = Json::Value(Json::objectValue);
  }
  CapturingConnector connector(kEmptyResponse);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  client.CallMethod(aMethod, params);
  return connector.Request();
}

JsonRpcResult ReadJsonRpcResponse(const std::string& aText)
{
  JsonRpcResult outcome;
  if (!IsSafeToParse(aText)) {
    outcome.mError = "the response is not JSON";
    return outcome;
  }
  CapturingConnector connector(aText);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  try {
    outcome.mResult = ToText(client.CallMethod("answer", Json::Value(Json::objectValue)));
    outcome.mOk = true;
  } catch (const jsonrpc::JsonRpcException& error) {
    outcome.mError = error.GetMessage();
  }
  return outcome;
}

/** Forwards the requests that the library has decoded to the handler. */
class JsonRpcDispatcher::Invocation final : public jsonrpc::IProcedureInvokationHandler
{
public:
  Invocation(const std::vector<std::string>& aMethods, Handler aHandler)
    : mHandler(std::move(aHandler))
    , mProtocol(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
  {
    for (const auto& it : aMethods) {
      mProtocol->AddProcedure(
        jsonrpc::Procedure(it, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    }
  }

  std::string Serve(const std::string& aRequest)
  {
    if (!IsSafeToParse(aRequest)) {
      return kUnreadableResponse;
    }
    std::string response;
    mProtocol->HandleRequest(aRequest, response);
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    std::string result;
    const bool served = mHandler(aProcedure.GetProcedureName(), ToText(aInput), result);
    if (!served || !FromText(result, aOutput)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, "not served");
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& aProcedure, const Json::Value& aInput) override
  {
    std::string ignored;
    mHandler(aProcedure.GetProcedureName(), ToText(aInput), ignored);
  }

private:
  Handler mHandler;
  std::unique_ptr<jsonrpc::IProtocolHandler> mProtocol;
};

JsonRpcDispatcher::JsonRpcDispatcher(const std::vector<std::string>& aMethods, Handler aHandler)
  : mInvocation(new Invocation(aMethods, std::move(aHandler)))
{
}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

std::string JsonRpcDispatcher::Serve(const std::string& aRequest) const
{
  return mInvocation->Serve(aRequest);
}

} // namespace skylarkchute
