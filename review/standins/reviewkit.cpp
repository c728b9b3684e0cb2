// Stand-ins for the review's scripts: the platform's store, a server, and small tools. Everything
// listens and connects on 127.0.0.1 only. Usage: reviewkit COMMAND ARGUMENTS, see main().

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <json/json.h>

namespace {

using Clock = std::chrono::system_clock;

long long NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch())
    .count();
}

/** Appends lines to the record that all processes of a case share. */
class Record
{
public:
  explicit Record(std::string aFile) : mFile(std::move(aFile)) {}

  void Write(const std::string& aLine)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::ofstream out(mFile, std::ios::app);
    out << std::to_string(NowMs()) + " " + aLine + "\n" << std::flush;
  }

private:
  std::string mFile;
  std::mutex mMutex;
};

int Listen(int aPort)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(listener, 256) != 0) {
    std::cerr << "cannot listen on port " << aPort << "\n";
    std::exit(2);
  }
  return listener;
}

int Connect(int aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

bool SendAll(int aFd, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n = ::send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::string Lower(std::string aText)
{
  for (auto& it : aText) {
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  }
  return aText;
}

struct Message
{
  std::string mStart; /**< Request line or status line. */
  std::map<std::string, std::string> mFields;
  std::string mBody;

  std::string Field(const std::string& aName) const
  {
    const auto found = mFields.find(aName);
    return found == mFields.end() ? std::string() : found->second;
  }
};

enum class Got
{
  Message,
  Closed,
  TimedOut,
  Malformed
};

/** Reads messages of one connection, one after another. */
class Reader
{
public:
  explicit Reader(int aFd) : mFd(aFd) {}

  /** @param aHasNoBody  the message has no body, whatever its head says (answers to HEAD) */
  Got Read(Message& aOut, int aTimeoutMs, bool aHasNoBody = false)
  {
    const auto end = NowMs() + aTimeoutMs;
    std::size_t headEnd = std::string::npos;
    while ((headEnd = mBytes.find("\r\n\r\n")) == std::string::npos) {
      const auto got = More(end);
      if (got != Got::Message) {
        return got;
      }
    }
    std::istringstream head(mBytes.substr(0, headEnd));
    mBytes.erase(0, headEnd + 4);
    aOut = Message{};
    std::getline(head, aOut.mStart);
    Trim(aOut.mStart);
    std::string line;
    while (std::getline(head, line)) {
      Trim(line);
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        return Got::Malformed;
      }
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      aOut.mFields[Lower(line.substr(0, colon))] = value;
    }
    if (aHasNoBody) {
      return Got::Message;
    }
    if (Lower(aOut.Field("transfer-encoding")) == "chunked") {
      return ReadChunks(aOut, end);
    }
    const auto length = std::strtoull(aOut.Field("content-length").c_str(), nullptr, 10);
    return ReadBytes(aOut.mBody, length, end);
  }

  /** Bytes that were read and belong to no message yet. */
  const std::string& Rest() const { return mBytes; }

private:
  static void Trim(std::string& aText)
  {
    while (!aText.empty() && (aText.back() == '\r' || aText.back() == ' ')) {
      aText.pop_back();
    }
  }

  Got More(long long aEnd)
  {
    pollfd query{ mFd, POLLIN, 0 };
    const auto left = aEnd - NowMs();
    if (left <= 0 || ::poll(&query, 1, static_cast<int>(left)) <= 0) {
      return Got::TimedOut;
    }
    char buffer[65536];
    const auto n = ::recv(mFd, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      return Got::Closed;
    }
    mBytes.append(buffer, static_cast<std::size_t>(n));
    return Got::Message;
  }

  Got ReadBytes(std::string& aOut, std::size_t aCount, long long aEnd)
  {
    while (mBytes.size() < aCount) {
      const auto got = More(aEnd);
      if (got != Got::Message) {
        return got;
      }
    }
    aOut.append(mBytes, 0, aCount);
    mBytes.erase(0, aCount);
    return Got::Message;
  }

  Got ReadChunks(Message& aOut, long long aEnd)
  {
    while (true) {
      std::size_t lineEnd = std::string::npos;
      while ((lineEnd = mBytes.find("\r\n")) == std::string::npos) {
        const auto got = More(aEnd);
        if (got != Got::Message) {
          return got;
        }
      }
      const auto size = std::strtoull(mBytes.c_str(), nullptr, 16);
      mBytes.erase(0, lineEnd + 2);
      auto got = ReadBytes(aOut.mBody, size, aEnd);
      std::string ignored;
      got = got == Got::Message ? ReadBytes(ignored, 2, aEnd) : got;
      if (got != Got::Message || size == 0) {
        return got;
      }
    }
  }

  int mFd;
  std::string mBytes;
};

std::string Answer(const std::string& aStatus,
                   const std::string& aFields,
                   const std::string& aBody,
                   bool aOmitsBody = false)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         (aOmitsBody ? std::string() : aBody);
}

// ---------------------------------------------------------------------------------------------
// The platform's store: objects by kind and name, conditional writes, watches, no expiry.

struct StoredObject
{
  std::uint64_t mRevision = 0;
  std::string mSpec;   /**< JSON text, as it was written. */
  std::string mStatus; /**< JSON text; empty for none. */
};

class Store
{
public:
  explicit Store(Record& aRecord) : mRecord(aRecord) {}

  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Read(request, 3600000) == Got::Message) {
      if (!SendAll(aFd, Handle(request))) {
        break;
      }
    }
    ::close(aFd);
  }

private:
  struct Event
  {
    std::uint64_t mRevision;
    std::string mKind;
    std::string mText;
  };

  static std::string Text(const std::string& aName, const StoredObject& aObject)
  {
    return "{\"Metadata\":{\"Name\":\"" + aName +
           "\",\"Revision\":" + std::to_string(aObject.mRevision) + "},\"Spec\":" + aObject.mSpec +
           (aObject.mStatus.empty() ? "" : ",\"Status\":" + aObject.mStatus) + "}";
  }

  static std::map<std::string, std::string> Query(const std::string& aText)
  {
    std::map<std::string, std::string> query;
    std::istringstream in(aText);
    std::string pair;
    while (std::getline(in, pair, '&')) {
      const auto equals = pair.find('=');
      query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    return query;
  }

  void Changed(const std::string& aKind, const std::string& aName, bool aIsDeleted)
  {
    auto& object = mKinds[aKind][aName];
    object.mRevision = ++mRevision;
    mEvents.push_back({ mRevision,
                        aKind,
                        "{\"Object\":" + Text(aName, object) +
                          ",\"Deleted\":" + (aIsDeleted ? "true" : "false") + "}" });
    if (aIsDeleted) {
      mKinds[aKind].erase(aName);
    }
    mRecord.Write("store revision " + std::to_string(mRevision) + " " + aKind + "/" + aName +
                  (aIsDeleted ? " removed" : " " + mKinds[aKind][aName].mSpec.substr(0, 160)));
    mChanged.notify_all();
  }

  std::string Handle(const Message& aRequest)
  {
    std::istringstream line(aRequest.mStart);
    std::string method;
    std::string target;
    line >> method >> target;
    const auto mark = target.find('?');
    auto query = Query(mark == std::string::npos ? "" : target.substr(mark + 1));
    const auto path = target.substr(0, mark);
    const std::string prefix = "/skylarkchute/objects/";
    const std::string raw = "/standin/raw/"; // An operator's or another writer's object, as text.
    std::unique_lock<std::mutex> lock(mMutex);
    if (path.rfind(raw, 0) == 0) {
      const auto rest = path.substr(raw.size());
      const auto slash = rest.find('/');
      const auto kind = rest.substr(0, slash);
      const auto name = rest.substr(slash + 1);
      if (method == "DELETE") {
        Changed(kind, name, true);
      } else {
        mKinds[kind][name].mSpec = aRequest.mBody;
        Changed(kind, name, false);
      }
      return Answer("200 OK", "", "{}");
    }
    if (path.rfind(prefix, 0) != 0) {
      return Answer("404 Not Found", "", "{}");
    }
    std::vector<std::string> parts;
    std::istringstream in(path.substr(prefix.size()));
    for (std::string part; std::getline(in, part, '/');) {
      parts.push_back(part);
    }
    const auto kind = parts.empty() ? std::string() : parts[0];
    if (method == "GET" && parts.size() == 1 && query.count("Watch") > 0) {
      return Watch(lock, kind, query);
    }
    if (method == "GET" && parts.size() == 1) {
      std::string items;
      for (const auto& [name, object] : mKinds[kind]) {
        items += (items.empty() ? "" : ",") + Text(name, object);
      }
      return Answer("200 OK",
                    "Content-Type: application/json\r\n",
                    "{\"Items\":[" + items +
                      "],\"HasMore\":false,\"AsOf\":" + std::to_string(mRevision) + "}");
    }
    return HandleObject(method, kind, parts, query, aRequest.mBody);
  }

  std::string HandleObject(const std::string& aMethod,
                           const std::string& aKind,
                           const std::vector<std::string>& aParts,
                           std::map<std::string, std::string>& aQuery,
                           const std::string& aBody)
  {
    Json::Value body;
    Json::CharReaderBuilder builder;
    std::string errors;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    if (!aBody.empty() &&
        (!reader->parse(aBody.data(), aBody.data() + aBody.size(), &body, &errors) ||
         !body.isObject())) {
      return Answer("400 Bad Request", "", "{}");
    }
    const auto stated = body["Metadata"].isObject() && body["Metadata"]["Revision"].isUInt64()
                          ? body["Metadata"]["Revision"].asUInt64()
                          : std::strtoull(aQuery["Revision"].c_str(), nullptr, 10);
    const auto name = aMethod == "POST"   ? body["Metadata"]["Name"].asString()
                      : aParts.size() > 1 ? aParts[1]
                                          : std::string();
    auto& objects = mKinds[aKind];
    const auto found = objects.find(name);
    if (aMethod != "POST" && found == objects.end()) {
      return Answer("404 Not Found", "", "{}");
    }
    if ((aMethod == "POST" && found != objects.end()) ||
        (aMethod != "GET" && stated != 0 && found != objects.end() &&
         found->second.mRevision != stated)) {
      return Answer("409 Conflict", "", Text(name, found->second));
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    if (aMethod == "DELETE") {
      Changed(aKind, name, true);
      return Answer("200 OK", "", "{}");
    }
    if (aMethod == "POST" || (aMethod == "PUT" && aParts.size() == 2)) {
      objects[name].mSpec = Json::writeString(writer, body["Spec"]);
      Changed(aKind, name, false);
    } else if (aMethod == "PUT") {
      objects[name].mStatus = Json::writeString(writer, body["Status"]);
      Changed(aKind, name, false);
    }
    return Answer("200 OK", "Content-Type: application/json\r\n", Text(name, objects[name]));
  }

  std::string Watch(std::unique_lock<std::mutex>& aLock,
                    const std::string& aKind,
                    std::map<std::string, std::string>& aQuery)
  {
    const auto since = std::strtoull(aQuery["Watch"].c_str(), nullptr, 10);
    const auto wait = std::strtoull(aQuery["WaitMs"].c_str(), nullptr, 10);
    const auto end = Clock::now() + std::chrono::milliseconds(wait);
    std::string events;
    const auto collect = [&] {
      events.clear();
      for (const auto& it : mEvents) {
        if (it.mRevision > since && it.mKind == aKind) {
          events += (events.empty() ? "" : ",") + it.mText;
        }
      }
      return !events.empty();
    };
    mChanged.wait_until(aLock, end, collect);
    return Answer("200 OK",
                  "Content-Type: application/json\r\n",
                  "{\"events\":[" + events + "],\"AsOf\":" + std::to_string(mRevision) + "}");
  }

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 10;
  std::map<std::string, std::map<std::string, StoredObject>> mKinds;
  std::vector<Event> mEvents;
};

// ---------------------------------------------------------------------------------------------
// A server: runs each request that is meant for it, after a time, and answers with its seal.

void ServeAsServer(int aFd, const std::string& aId, int aWorkMs, Record& aRecord)
{
  Reader reader(aFd);
  Message request;
  while (reader.Read(request, 3600000) == Got::Message) {
    const auto method = request.mStart.substr(0, request.mStart.find(' '));
    const auto id = request.Field("skylarkchute-request-id");
    const auto instance = "Skylarkchute-Instance-Id: " + aId + "\r\n";
    const auto expected = request.Field("skylarkchute-expect-instance");
    std::string answer;
    if (id.empty()) {
      answer = Answer("400 Bad Request", instance + "Skylarkchute-Not-Executed: 1\r\n", "");
    } else if (!expected.empty() && expected != aId) {
      answer = Answer("421 Misdirected Request", instance, "");
    } else {
      aRecord.Write("run " + id + " at " + aId + " " + request.mStart);
      std::this_thread::sleep_for(std::chrono::milliseconds(aWorkMs));
      answer = Answer("200 OK",
                      "Skylarkchute-Request-Id: " + id + "\r\nSkylarkchute-Response-Seal: seal." +
                        aId + "." + id + "\r\nContent-Type: text/plain\r\n",
                      "answer of " + aId + " to " + id,
                      method == "HEAD");
    }
    if (!SendAll(aFd, answer)) {
      break;
    }
  }
  ::close(aFd);
}

// ---------------------------------------------------------------------------------------------
// Tools.

/** Prints free ports, all different. */
int PrintPorts(int aCount)
{
  std::vector<int> sockets;
  for (int n = 0; n < aCount; ++n) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t length = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    std::cout << ntohs(address.sin_port) << "\n";
    sockets.push_back(fd);
  }
  for (const int it : sockets) {
    ::close(it);
  }
  return 0;
}

/** Makes one call and prints the status. @returns 0 for a 2xx status */
int Call(int aPort, const std::string& aMethod, const std::string& aPath, const std::string& aBody)
{
  const int fd = Connect(aPort);
  if (fd < 0) {
    std::cout << "no connection\n";
    return 1;
  }
  SendAll(fd,
          aMethod + " " + aPath + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
            std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
  Reader reader(fd);
  Message answer;
  const bool isAnswered = reader.Read(answer, 3000, aMethod == "HEAD") == Got::Message;
  ::close(fd);
  std::cout << (isAnswered ? answer.mStart : "no answer") << "\n" << answer.mBody << "\n";
  return isAnswered && answer.mStart.size() > 9 && answer.mStart[9] == '2' ? 0 : 1;
}

std::string RequestHead(const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aId,
                        int aDeadlineMs)
{
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: desk.example\r\nSkylarkchute-Request-Id: " + aId +
         "\r\nSkylarkchute-Deadline-Ms: " + std::to_string(aDeadlineMs) +
         "\r\nSkylarkchute-Credential: key-of-tenant-one\r\n";
}

/** Sends one request each @p aGapMs for @p aSeconds over one kept connection, opened anew when it
    was closed. Records each request and its answer. */
int SendSteadily(int aPort,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aLabel,
                 int aGapMs,
                 int aSeconds,
                 Record& aRecord)
{
  const auto end = NowMs() + aSeconds * 1000LL;
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int n = 0; NowMs() < end; ++n) {
    const auto next = NowMs() + aGapMs;
    if (fd < 0) {
      fd = Connect(aPort);
      reader = std::make_unique<Reader>(fd);
    }
    const auto id = aLabel + "-" + std::to_string(n);
    aRecord.Write("sent " + id + " " + aMethod + " " + aPath);
    Message answer;
    const bool wasSent =
      fd >= 0 && SendAll(fd, RequestHead(aMethod, aPath, id, 2000) + "Content-Length: 0\r\n\r\n");
    const auto got = wasSent ? reader->Read(answer, 2500) : Got::Closed;
    if (got == Got::Message) {
      aRecord.Write("answered " + id + " " + answer.mStart.substr(9, 3) + " " + answer.mBody);
    } else {
      aRecord.Write("unanswered " + id);
    }
    if (got != Got::Message || Lower(answer.Field("connection")) == "close") {
      ::close(fd);
      fd = -1;
    }
    const auto left = next - NowMs();
    if (left > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(left));
    }
  }
  return 0;
}

/** Sends pairs of a HEAD and a GET over kept connections, as a client that reads by RFC 7230: an
    answer to HEAD has no body, whatever its head says.
    @returns 1 if bytes came that are no answer */
int SendHeads(int aPort, const std::string& aLabel, int aGapMs, int aSeconds, Record& aRecord)
{
  const auto end = NowMs() + aSeconds * 1000LL;
  int fd = -1;
  int broken = 0;
  std::unique_ptr<Reader> reader;
  for (int n = 0; NowMs() < end; ++n) {
    for (const std::string method : { "HEAD", "GET" }) {
      if (fd < 0) {
        fd = Connect(aPort);
        reader = std::make_unique<Reader>(fd);
      }
      const auto id = aLabel + "-" + std::to_string(n) + "-" + method;
      aRecord.Write("sent " + id + " " + method + " /checks/1");
      const bool wasSent =
        fd >= 0 && SendAll(fd, RequestHead(method, "/checks/1", id, 1000) + "\r\n");
      Message answer;
      const auto got = wasSent ? reader->Read(answer, 1500, method == "HEAD") : Got::Closed;
      const bool isAnswer = answer.mStart.rfind("HTTP/1.1 ", 0) == 0;
      if (got != Got::Message && !(got == Got::Malformed && !isAnswer)) {
        aRecord.Write("unanswered " + id);
      } else if (!isAnswer) {
        aRecord.Write("NO-ANSWER-IN-THE-PROTOCOL " + id + " begins with: " + answer.mStart);
        ++broken;
      } else {
        aRecord.Write("answered " + id + " " + answer.mStart.substr(9, 3) + " for " +
                      answer.Field("skylarkchute-request-id"));
      }
      if (!isAnswer || Lower(answer.Field("connection")) == "close") {
        ::close(fd);
        fd = -1;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(aGapMs));
  }
  return broken > 0 ? 1 : 0;
}

/** Sends bytes from standard input over one connection and prints what comes back within a time. */
int SendRaw(int aPort, int aWaitMs)
{
  const std::string bytes((std::istreambuf_iterator<char>(std::cin)),
                          std::istreambuf_iterator<char>());
  const int fd = Connect(aPort);
  if (fd < 0 || !SendAll(fd, bytes)) {
    return 1;
  }
  const auto end = NowMs() + aWaitMs;
  while (NowMs() < end) {
    pollfd query{ fd, POLLIN, 0 };
    char buffer[65536];
    if (::poll(&query, 1, static_cast<int>(std::max(1LL, end - NowMs()))) <= 0) {
      break;
    }
    const auto n = ::recv(fd, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      break;
    }
    std::cout.write(buffer, n);
  }
  std::cout << std::flush;
  ::close(fd);
  return 0;
}

template<typename Serve>
void Accept(int aPort, const Serve& aServe)
{
  const int listener = Listen(aPort);
  std::cout << "listening 127.0.0.1:" << aPort << std::endl;
  while (true) {
    const int fd = ::accept(listener, nullptr, nullptr);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([fd, &aServe] { aServe(fd); }).detach();
  }
}

} // namespace

int main(int aCount, char** aValues)
{
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> words(aValues + 1, aValues + aCount);
  const auto number = [&](std::size_t aIndex) { return std::atoi(words.at(aIndex).c_str()); };
  const std::string command = words.empty() ? "" : words[0];
  if (command == "ports") {
    return PrintPorts(number(1));
  }
  if (command == "store") { // store PORT RECORD
    Record record(words.at(2));
    Store store(record);
    Accept(number(1), [&](int aFd) { store.Serve(aFd); });
  }
  if (command == "server") { // server PORT ID WORK-MS RECORD
    Record record(words.at(4));
    Accept(number(1), [&](int aFd) { ServeAsServer(aFd, words[2], number(3), record); });
  }
  if (command == "call") { // call PORT METHOD PATH [BODY]
    return Call(number(1), words.at(2), words.at(3), words.size() > 4 ? words[4] : "");
  }
  if (command == "send") { // send PORT METHOD PATH LABEL GAP-MS SECONDS RECORD
    Record record(words.at(7));
    return SendSteadily(number(1), words[2], words[3], words[4], number(5), number(6), record);
  }
  if (command == "heads") { // heads PORT LABEL GAP-MS SECONDS RECORD
    Record record(words.at(5));
    return SendHeads(number(1), words[2], number(3), number(4), record);
  }
  if (command == "raw") { // raw PORT WAIT-MS <BYTES
    return SendRaw(number(1), number(2));
  }
  if (command == "now") {
    std::cout << NowMs() << "\n";
    return 0;
  }
  std::cerr << "reviewkit: unknown command\n";
  return 2;
}
