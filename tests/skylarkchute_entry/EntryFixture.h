#pragma once

#include <skylarkchute_entry/skylarkchute_entry.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace skylarkchute::tests {

/** A RequestSink whose handling of submitted requests is set by the test. */
class FakeSink final : public RequestSink
{
public:
  using Behaviour = std::function<void(const std::shared_ptr<CallerSession>&)>;

  explicit FakeSink(Behaviour aBehaviour) : mBehaviour(std::move(aBehaviour)) {}

  void Submit(std::shared_ptr<CallerSession> aSession) override
  {
    {
      const std::lock_guard lock(mMutex);
      mSessions.push_back(aSession);
      mChanged.notify_all();
    }
    mBehaviour(aSession);
  }

  void OnCallerDisconnected(const RequestId& aRequest) override
  {
    const std::lock_guard lock(mMutex);
    mLeftRequests.push_back(aRequest);
    mChanged.notify_all();
  }

  ModelsReply ModelsFor(const std::string& aApiKey) override
  {
    if (aApiKey != "team-key") {
      return ProblemReply{ 401, Verdict::NotRun, "unknown-key", "", std::chrono::milliseconds(0) };
    }
    return std::vector<ModelListing>{ { "small", "team" }, { "small/1", "team" } };
  }

  TicketReply IssueTicket(const std::string& /*aApiKey*/) override
  {
    return IssuedTicket{ "ticket-1", WallTime(std::chrono::seconds(77)) };
  }

  std::string StatusJson() override { return R"({"ok":true})"; }

  std::string MetricsText() override { return "skylark_up 1\n"; }

  bool IsReady() override { return mReady; }

  /** Waits until @p aCount requests were submitted and returns the session of number @p aCount. */
  std::shared_ptr<CallerSession> WaitForSession(std::size_t aCount)
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [&] { return mSessions.size() >= aCount; });
    return mSessions[aCount - 1];
  }

  /** Waits until OnCallerDisconnected was called and returns the request of the first call. */
  RequestId WaitForCallerLeft()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [&] { return !mLeftRequests.empty(); });
    return mLeftRequests.front();
  }

  std::size_t Submitted() const
  {
    const std::lock_guard lock(mMutex);
    return mSessions.size();
  }

  std::atomic<bool> mReady{ true };

private:
  Behaviour mBehaviour;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<std::shared_ptr<CallerSession>> mSessions;
  std::vector<RequestId> mLeftRequests;
};

/** Answers a request with its own body. */
inline void Echo(const std::shared_ptr<CallerSession>& aSession)
{
  AnswerHead head;
  head.mModel = ModelName("small");
  head.mVersion = VersionId("small/1");
  head.mSession = "token-1";
  aSession->BeginAnswer(head);
  aSession->Finish(aSession->Request().mBody);
}

/** Sends no answer; the test sends it. */
inline void Ignore(const std::shared_ptr<CallerSession>& /*aSession*/) {}

/** An HTTP response as received by a caller. */
struct CallerReply
{
  int mStatus = 0;
  Poco::Net::HTTPResponse mHead;
  std::string mBody;

  std::string Header(const std::string& aName) const { return mHead.get(aName, ""); }
};

inline CallerReply Receive(Poco::Net::HTTPClientSession& aSession)
{
  CallerReply reply;
  auto& in = aSession.receiveResponse(reply.mHead);
  Poco::StreamCopier::copyToString(in, reply.mBody);
  reply.mStatus = reply.mHead.getStatus();
  return reply;
}

using Headers = std::map<std::string, std::string>;

inline void Send(Poco::Net::HTTPClientSession& aSession,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 const Headers& aHeaders)
{
  Poco::Net::HTTPRequest request(aMethod, aPath, "HTTP/1.1");
  request.set("Authorization", "Bearer team-key");
  for (const auto& [name, value] : aHeaders) {
    request.set(name, value);
  }
  request.setContentLength64(static_cast<Poco::Int64>(aBody.size()));
  aSession.sendRequest(request) << aBody << std::flush;
}

inline CallerReply Call(std::uint16_t aPort,
                        const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aBody = "",
                        const Headers& aHeaders = {})
{
  Poco::Net::HTTPClientSession session("127.0.0.1", aPort);
  Send(session, aMethod, aPath, aBody, aHeaders);
  return Receive(session);
}

inline const std::string kChatBody = R"({"messages":[{"role":"user","content":"hi"}]})";
inline const std::string kStreamBody =
  R"({"messages":[{"role":"user","content":"hi"}],"stream":true})";

inline EntryOptions LocalOptions()
{
  EntryOptions options;
  options.mAddress = "127.0.0.1";
  return options;
}

/** Returns everything received until the entry closes the connection; ends with `<reset>` if it
    was reset or timed out. */
inline std::string ReadAll(Poco::Net::StreamSocket& aSocket)
{
  std::string text;
  char buf[4096];
  try {
    for (int n = 1; n > 0;) {
      n = aSocket.receiveBytes(buf, sizeof(buf));
      text.append(buf, static_cast<std::size_t>(std::max(n, 0)));
    }
  } catch (const Poco::Exception&) {
    text += "<reset>";
  }
  return text;
}

inline Poco::Net::StreamSocket SendRaw(std::uint16_t aPort, const std::string& aText)
{
  Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", aPort));
  socket.setReceiveTimeout(Poco::Timespan(20, 0));
  socket.sendBytes(aText.data(), static_cast<int>(aText.size()));
  return socket;
}

} // namespace skylarkchute::tests
