#include "Kit.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <random>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace kit {

namespace {

const auto gStart = Clock::now();
std::ofstream gRecord;
std::mutex gRecordMutex;
std::vector<int> gPids;
std::mutex gPidMutex;

constexpr int kStoreAnswerMs = 4;

sockaddr_in Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  return address;
}

int Listen(int& aPort)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto address = Loopback(0);
  ::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  ::listen(listener, 256);
  socklen_t size = sizeof(address);
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  aPort = ntohs(address.sin_port);
  return listener;
}

std::string Text(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value Parsed(const std::string& aText)
{
  Json::Value value;
  std::istringstream in(aText);
  Json::CharReaderBuilder builder;
  std::string errors;
  return Json::parseFromStream(builder, in, &value, &errors) ? value : Json::Value();
}

std::string Query(const std::string& aTarget, const std::string& aName)
{
  const auto start = aTarget.find('?');
  std::istringstream in(start == std::string::npos ? "" : aTarget.substr(start + 1));
  std::string item;
  while (std::getline(in, item, '&')) {
    if (item.rfind(aName + "=", 0) == 0) {
      return item.substr(aName.size() + 1);
    }
  }
  return {};
}

} // namespace

double Seconds()
{
  return std::chrono::duration<double>(Clock::now() - gStart).count();
}

void SleepMs(int aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

void OpenRecord(const std::string& aFolder)
{
  gRecord.open(aFolder + "/record.txt", std::ios::trunc);
  std::signal(SIGPIPE, SIG_IGN);
}

void Record(const std::string& aLine)
{
  const std::lock_guard lock(gRecordMutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
  gRecord << time << aLine << std::endl;
}

bool HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/** Below the ports of outgoing connections, so that none of these takes it while a relay is down.
 */
int FreePort()
{
  static std::mt19937 random{ std::random_device{}() };
  static std::set<int> taken;
  while (true) {
    const int port = std::uniform_int_distribution<int>(10000, 29999)(random);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = Loopback(port);
    const bool isFree = ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(socket);
    if (isFree && taken.insert(port).second) {
      return port;
    }
  }
}

std::string Message::Header(const std::string& aName) const
{
  const auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? std::string() : found->second;
}

bool SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count = ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

int Connect(int aPort, const std::string& aIp)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Loopback(aPort);
  ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(socket);
    return -1;
  }
  const int one = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return socket;
}

namespace {

bool ReadMore(int aSocket, std::string& aRest)
{
  char buffer[16384];
  const auto count = ::recv(aSocket, buffer, sizeof(buffer), 0);
  if (count <= 0) {
    return false;
  }
  aRest.append(buffer, static_cast<std::size_t>(count));
  return true;
}

bool ReadLine(int aSocket, std::string& aRest, std::string& aLine)
{
  while (true) {
    const auto end = aRest.find("\r\n");
    if (end != std::string::npos) {
      aLine = aRest.substr(0, end);
      aRest.erase(0, end + 2);
      return true;
    }
    if (!ReadMore(aSocket, aRest)) {
      return false;
    }
  }
}

bool ReadCount(int aSocket, std::string& aRest, std::size_t aCount, std::string& aOut)
{
  while (aRest.size() < aCount) {
    if (!ReadMore(aSocket, aRest)) {
      aOut += aRest;
      return false;
    }
  }
  aOut += aRest.substr(0, aCount);
  aRest.erase(0, aCount);
  return true;
}

} // namespace

bool ReadMessage(int aSocket, std::string& aRest, Message& aMessage, bool aIsResponse)
{
  aMessage = Message{};
  std::string line;
  if (!ReadLine(aSocket, aRest, line)) {
    return false;
  }
  std::istringstream first(line);
  std::string version;
  if (aIsResponse) {
    first >> version >> aMessage.mStatus;
  } else {
    first >> aMessage.mMethod >> aMessage.mTarget;
  }
  while (true) {
    if (!ReadLine(aSocket, aRest, line)) {
      return false;
    }
    if (line.empty()) {
      break;
    }
    const auto colon = line.find(':');
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const auto value = colon == std::string::npos ? "" : line.substr(colon + 1);
    const auto begin = value.find_first_not_of(' ');
    aMessage.mHeaders[name] = begin == std::string::npos ? "" : value.substr(begin);
  }
  if (aMessage.Header("transfer-encoding") == "chunked") {
    while (true) {
      if (!ReadLine(aSocket, aRest, line)) {
        return false;
      }
      const auto size = std::strtoul(line.c_str(), nullptr, 16);
      if (size > 0 && !ReadCount(aSocket, aRest, size, aMessage.mBody)) {
        return false;
      }
      if (!ReadLine(aSocket, aRest, line)) {
        return false;
      }
      if (size == 0) {
        break;
      }
    }
  } else if (const auto length = aMessage.Header("content-length"); !length.empty()) {
    if (!ReadCount(aSocket, aRest, std::strtoul(length.c_str(), nullptr, 10), aMessage.mBody)) {
      return false;
    }
  }
  aMessage.mIsComplete = true;
  return true;
}

Server::Server(std::function<void(int)> aHandler) : mHandler(std::move(aHandler))
{
  mSocket = Listen(mPort);
  mThread = std::thread([this] {
    while (true) {
      const int socket = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      const int one = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      std::thread([this, socket] {
        mHandler(socket);
        ::close(socket);
      }).detach();
    }
  });
}

Server::~Server()
{
  ::shutdown(mSocket, SHUT_RDWR);
  ::close(mSocket);
  mThread.join();
}

Store::Store()
{
  std::thread([this] { Work(); }).detach();
  mServer = std::make_unique<Server>([this](int aSocket) { Serve(aSocket); });
}

void Store::Change(const std::string& aKind,
                   const std::string& aName,
                   Json::Value aObject,
                   bool aDeleted)
{
  aObject["Metadata"]["Revision"] = Json::UInt64(++mRevision);
  if (aDeleted) {
    mObjects[aKind].erase(aName);
  } else {
    mObjects[aKind][aName] = aObject;
  }
  Json::Value event;
  event["Object"] = aObject;
  event["Deleted"] = aDeleted;
  mEvents.push_back({ mRevision, aKind, event });
  mChanged.notify_all();
}

void Store::Put(const std::string& aKind, const std::string& aName, const Json::Value& aSpec)
{
  const std::lock_guard lock(mMutex);
  auto object = mObjects[aKind][aName];
  if (object.isNull()) {
    object["Metadata"]["Name"] = aName;
    object["Metadata"]["CreatedRev"] = Json::UInt64(mRevision + 1);
    object["Metadata"]["Finalizers"] = Json::Value(Json::arrayValue);
    object["Metadata"]["Deleting"] = false;
    object["Status"] = Json::Value();
  }
  object["Spec"] = aSpec;
  Change(aKind, aName, object, false);
}

void Store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  const auto object = mObjects[aKind][aName];
  Change(aKind, aName, object, true);
}

Json::Value Store::Get(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  const auto& objects = mObjects[aKind];
  const auto found = objects.find(aName);
  return found == objects.end() ? Json::Value() : found->second;
}

void Store::CutWatches()
{
  const std::lock_guard lock(mMutex);
  ++mCuts;
  mChanged.notify_all();
}

bool Store::Answer(const Message& aRequest, int& aStatus, Json::Value& aBody)
{
  const std::string prefix = "/skylarkchute/objects/";
  const auto path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
  if (path.rfind(prefix, 0) != 0) {
    aStatus = 404;
    return true;
  }
  std::istringstream in(path.substr(prefix.size()));
  std::string kind, name, part;
  std::getline(in, kind, '/');
  std::getline(in, name, '/');
  std::getline(in, part, '/');
  std::unique_lock lock(mMutex);
  const auto watch = Query(aRequest.mTarget, "Watch");
  if (aRequest.mMethod == "GET" && name.empty() && !watch.empty()) {
    const auto from = std::strtoull(watch.c_str(), nullptr, 10);
    const auto wait = std::atoi(Query(aRequest.mTarget, "WaitMs").c_str());
    const auto cuts = mCuts;
    const auto hasEvent = [&] {
      return std::any_of(mEvents.begin(), mEvents.end(), [&](const Event& aEvent) {
        return aEvent.mRevision > from && aEvent.mKind == kind;
      });
    };
    mChanged.wait_for(lock, Ms(wait), [&] { return mCuts != cuts || hasEvent(); });
    if (mCuts != cuts && !hasEvent()) {
      return false;
    }
    aBody["events"] = Json::Value(Json::arrayValue);
    for (const auto& it : mEvents) {
      if (it.mRevision > from && it.mKind == kind) {
        aBody["events"].append(it.mEvent);
      }
    }
    aBody["AsOf"] = Json::UInt64(mRevision);
    aStatus = 200;
    return true;
  }
  if (aRequest.mMethod == "GET" && name.empty()) {
    aBody["Items"] = Json::Value(Json::arrayValue);
    const auto after = Query(aRequest.mTarget, "AfterRevision");
    for (const auto& [key, object] : mObjects[kind]) {
      if (key > after) {
        aBody["Items"].append(object);
      }
    }
    aBody["HasMore"] = false;
    aBody["AsOf"] = Json::UInt64(mRevision);
    aStatus = 200;
    return true;
  }
  const auto body = Parsed(aRequest.mBody);
  if (aRequest.mMethod == "POST") {
    name = body["Metadata"]["Name"].asString();
  }
  auto& objects = mObjects[kind];
  const auto found = objects.find(name);
  if (aRequest.mMethod == "POST" && found == objects.end()) {
    Json::Value object;
    object["Metadata"]["Name"] = name;
    object["Metadata"]["CreatedRev"] = Json::UInt64(mRevision + 1);
    object["Metadata"]["Finalizers"] = Json::Value(Json::arrayValue);
    object["Metadata"]["Deleting"] = false;
    object["Spec"] = body["Spec"];
    object["Status"] = Json::Value();
    Change(kind, name, object, false);
    aBody = objects[name];
    aStatus = 201;
    return true;
  }
  if (found == objects.end()) {
    aStatus = 404;
    return true;
  }
  const auto revision = aRequest.mMethod == "DELETE"
                          ? std::strtoull(Query(aRequest.mTarget, "Revision").c_str(), nullptr, 10)
                          : body["Metadata"]["Revision"].asUInt64();
  const bool conflicts =
    revision != 0 && revision != found->second["Metadata"]["Revision"].asUInt64();
  aBody = found->second;
  if (aRequest.mMethod == "GET") {
    aStatus = 200;
  } else if (conflicts || aRequest.mMethod == "POST") {
    aStatus = 409;
  } else if (aRequest.mMethod == "DELETE") {
    Change(kind, name, found->second, true);
    aStatus = 200;
  } else {
    auto object = found->second;
    const char* field = part == "status" ? "Status" : "Spec";
    if (object[field] != body[field]) {
      object[field] = body[field];
      Change(kind, name, object, false);
    }
    aBody = objects[name];
    aStatus = 200;
    if (part == "status") {
      Record("store: status of " + kind + "/" + name + " is " + Text(body["Status"]));
    }
  }
  return true;
}

bool Store::Respond(int aSocket, const Message& aRequest)
{
  int status = 200;
  Json::Value body(Json::objectValue);
  if (!Answer(aRequest, status, body)) {
    return false;
  }
  const auto text = Text(body);
  return SendAll(aSocket,
                 "HTTP/1.1 " + std::to_string(status) +
                   " -\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(text.size()) + "\r\n\r\n" + text);
}

void Store::Serve(int aSocket)
{
  std::string rest;
  Message request;
  while (ReadMessage(aSocket, rest, request, false)) {
    if (!Query(request.mTarget, "Watch").empty()) {
      if (!Respond(aSocket, request)) {
        return;
      }
      continue;
    }
    std::promise<bool> isSent;
    {
      const std::lock_guard lock(mQueueMutex);
      mQueue.push_back({ aSocket, &request, Clock::now() + Ms(kStoreAnswerMs), &isSent });
    }
    mQueued.notify_all();
    if (!isSent.get_future().get()) {
      return;
    }
  }
}

/** Answers the calls one after the other, each 4 ms after it came. */
void Store::Work()
{
  while (true) {
    std::unique_lock lock(mQueueMutex);
    mQueued.wait(lock, [this] { return !mQueue.empty(); });
    const auto call = mQueue.front();
    mQueue.pop_front();
    lock.unlock();
    std::this_thread::sleep_until(call.mDue);
    call.mIsSent->set_value(Respond(call.mSocket, *call.mRequest));
  }
}

Endpoint::Endpoint(Store& aStore,
                   std::string aId,
                   std::string aService,
                   std::string aZone,
                   std::string aVersion,
                   Behaviour aBehaviour)
  : mStore(aStore)
  , mId(std::move(aId))
  , mService(std::move(aService))
  , mZone(std::move(aZone))
  , mVersion(std::move(aVersion))
  , mBehaviour(std::move(aBehaviour))
  , mBorn(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count()))
{
  mServer = std::make_unique<Server>([this](int aSocket) { Serve(aSocket); });
}

void Endpoint::Register()
{
  Json::Value spec;
  spec["Service"] = mService;
  spec["Address"] = "127.0.0.1:" + std::to_string(mServer->Port());
  spec["Zone"] = mZone;
  spec["Version"] = mVersion;
  spec["Slots"] = 16;
  spec["State"] = "ready";
  spec["ColdRemainingMs"] = 0;
  spec["Seq"] = 1;
  spec["born"] = Json::UInt64(mBorn);
  mStore.Put("servers", mId, spec);
}

void Endpoint::Unregister()
{
  mStore.Remove("servers", mId);
}

std::vector<Arrival> Endpoint::Arrivals()
{
  const std::lock_guard lock(mMutex);
  return mArrivals;
}

std::string Endpoint::Head(int aStatus, const Message& aRequest) const
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " -\r\nSkylarkchute-Request-Id: " + aRequest.Header("skylarkchute-request-id") +
         "\r\nSkylarkchute-Response-Seal: seal." + mId + "\r\n";
}

void Endpoint::Serve(int aSocket)
{
  std::string rest;
  Message request;
  while (ReadMessage(aSocket, rest, request, false)) {
    if (request.mTarget == "/healthz") {
      SendAll(aSocket,
              "HTTP/1.1 200 -\r\nSkylarkchute-Instance-Id: " + mId +
                "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const auto expected = request.Header("skylarkchute-expect-instance");
    if (!expected.empty() && expected != mId) {
      SendAll(aSocket,
              "HTTP/1.1 421 -\r\nSkylarkchute-Request-Id: " +
                request.Header("skylarkchute-request-id") + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard lock(mMutex);
      const auto via = request.mTarget.find("via=");
      mArrivals.push_back({ Seconds(),
                            mId,
                            mVersion,
                            request.Header("skylarkchute-request-id"),
                            request.Header("skylarkchute-credential"),
                            request.Header("skylarkchute-tenant"),
                            via == std::string::npos ? "" : request.mTarget.substr(via + 4) });
    }
    if (!mBehaviour(aSocket, request, *this)) {
      return;
    }
  }
}

Relay::Relay(std::string aName, std::string aZone, int aStorePort, std::string aIp)
  : mName(std::move(aName))
  , mZone(std::move(aZone))
  , mStorePort(aStorePort)
  , mIp(std::move(aIp))
  , mCallerPort(FreePort())
  , mReadyPort(FreePort())
  , mPeerPort(FreePort())
  , mForwardPort(FreePort())
  , mMetricsPort(FreePort())
{
}

Relay::~Relay()
{
  Kill();
}

/** The settings are what the template
    gives for a small deployment; every relay has ports of its own, since they share an address. */
void Relay::Start(const std::vector<int>& aSeeds)
{
  const auto address = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
  std::ostringstream out;
  out << "[instance]\nname = " << mName << "\nzone = " << mZone
      << "\n\n[listen]\ncallers = " << address(mCallerPort) << "\nready = " << address(mReadyPort)
      << "\npeers = " << address(mPeerPort) << "\nforwarded = " << address(mForwardPort)
      << "\nmetrics = " << address(mMetricsPort)
      << "\n\n[platform]\nstore = " << address(mStorePort) << "\nseeds = ";
  for (std::size_t n = 0; n < aSeeds.size(); ++n) {
    out << (n > 0 ? "," : "") << address(aSeeds[n]);
  }
  out
    << "\n\n[retries]\nratio = 0.9\nslack = 58\nwindow = 10s\n\n[rollouts]\nexposed_share = 0.15\n"
       "exposed_slack = 30\n\n[callers]\nmemory = 260\ndescriptors = 4100\n\n[zones]\n"
       "tolerated = 0\n\n[regions]\nz1 = r\nz2 = r\nz3 = r\n\n[shutdown]\ngrace = 8s\n\n"
       "[log]\nlevel = info\n";
  WriteSettings(out.str());
  Launch();
}

void Relay::WriteSettings(const std::string& aText) const
{
  std::ofstream(Folder() + "/" + mName + ".ini") << aText;
}

void Relay::Launch()
{
  const auto file = Folder() + "/" + mName + ".ini";
  const auto log = Folder() + "/" + mName + ".log";
  const int pid = ::fork();
  if (pid == 0) {
    // Ends with this program, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::execl(
      "target/skylarkchute", "target/skylarkchute", "relay", "--settings", file.c_str(), nullptr);
    ::_exit(127);
  }
  mPid = pid;
  const std::lock_guard lock(gPidMutex);
  gPids.push_back(pid);
}

void Relay::Signal(int aSignal) const
{
  if (mPid > 0) {
    ::kill(mPid, aSignal);
  }
}

bool Relay::HasEnded(double aSeconds)
{
  const auto end = Seconds() + aSeconds;
  while (mPid > 0 && ::waitpid(mPid, nullptr, WNOHANG) == 0) {
    if (Seconds() >= end) {
      return false;
    }
    SleepMs(10);
  }
  const std::lock_guard lock(gPidMutex);
  gPids.erase(std::remove(gPids.begin(), gPids.end(), mPid), gPids.end());
  mPid = 0;
  return true;
}

void Relay::Kill()
{
  if (mPid > 0) {
    ::kill(mPid, SIGKILL);
    ::waitpid(mPid, nullptr, 0);
    const std::lock_guard lock(gPidMutex);
    gPids.erase(std::remove(gPids.begin(), gPids.end(), mPid), gPids.end());
    mPid = 0;
  }
}

bool Relay::IsReady() const
{
  const int socket = Connect(mReadyPort, mIp);
  if (socket < 0) {
    return false;
  }
  SendAll(socket, "GET /skylarkchute/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
  std::string rest;
  Message answer;
  ReadMessage(socket, rest, answer, true);
  ::close(socket);
  return answer.mStatus == 200;
}

bool Relay::WaitReady(double aSeconds) const
{
  const auto end = Seconds() + aSeconds;
  while (Seconds() < end) {
    if (IsReady()) {
      return true;
    }
    SleepMs(20);
  }
  return false;
}

namespace {

void Replace(std::string& aText, const std::string& aFrom, const std::string& aTo)
{
  for (auto at = aText.find(aFrom); at != std::string::npos; at = aText.find(aFrom, at)) {
    aText.replace(at, aFrom.size(), aTo);
    at += aTo.size();
  }
}

/** Replaces a section of the template with what it gives. */
void ReplaceSection(std::string& aText, const std::string& aName, const std::string& aTo)
{
  const auto end = "{{/" + aName + "}}\n";
  const auto from = aText.find("{{#" + aName + "}}");
  const auto to = aText.find(end);
  if (from != std::string::npos && to != std::string::npos) {
    aText.replace(from, to + end.size() - from, aTo);
  }
}

} // namespace

std::string TemplateSettings(const Relay& aRelay,
                             const std::string& aSeeds,
                             const std::map<std::string, std::string>& aFigures)
{
  std::ifstream in("deploy/relay.ini.template");
  std::stringstream text;
  text << in.rdbuf();
  auto settings = text.str();
  const auto address = [&](int aPort) { return aRelay.Ip() + ":" + std::to_string(aPort); };
  ReplaceSection(settings, "Bounds.EvacMs", "");
  ReplaceSection(settings, "Bounds.ColdOvershoot", "");
  ReplaceSection(settings, "Zones", "z1 = r\nz2 = r\nz3 = r\n");
  std::map<std::string, std::string> values{
    { "Node", aRelay.Name() },
    { "Zone", aRelay.Zone() },
    { "Ip", aRelay.Ip() },
    { "Listen.Front", address(aRelay.CallerPort()) },
    { "Listen.Ready", address(aRelay.ReadyPort()) },
    { "Listen.Control", address(aRelay.PeerPort()) },
    { "InternalPorts.0", std::to_string(aRelay.ForwardPort()) },
    { "Platform.Address", "127.0.0.1:" + std::to_string(aRelay.StorePort()) },
    { "Seeds", aSeeds },
    { "Bounds.RetryBudgetRatio", "0.9" },
    { "Bounds.BudgetSlack", "58" },
    { "Bounds.BudgetWindowS", "10" },
    { "Bounds.ExposeShare", "0.15" },
    { "Bounds.ExposeSlack", "30" },
    { "Bounds.SessionS", "5" },
    { "Bounds.GraceS", "8" },
    { "Limits.MemoryMb", "260" },
    { "Limits.MaxFds", "4100" },
    { "FaultTolerance.Zones", "0" },
  };
  for (const auto& [name, value] : aFigures) {
    values[name] = value;
  }
  for (const auto& [name, value] : values) {
    Replace(settings, "{{" + name + "}}", value);
  }
  return settings;
}

std::string LoopbackNet()
{
  std::mt19937 random{ std::random_device{}() };
  return "127." + std::to_string(16 + random() % 200) + "." + std::to_string(random() % 250) + ".";
}

const std::string& Folder()
{
  static const std::string folder = [] {
    char name[] = "/tmp/skylarkchute-review-XXXXXX";
    return std::string(::mkdtemp(name));
  }();
  return folder;
}

void RemoveFolder()
{
  std::error_code error;
  std::filesystem::remove_all(Folder(), error);
}

Client::~Client()
{
  Drop();
}

void Client::Drop()
{
  if (mSocket >= 0) {
    ::close(mSocket);
  }
  mSocket = -1;
  mRest.clear();
}

Message Client::Ask(const std::string& aHead, const std::string& aBody)
{
  Message answer;
  mWasRefused = false;
  if (mSocket < 0) {
    mSocket = Connect(mPort, mIp);
    mWasRefused = mSocket < 0;
    if (mWasRefused) {
      return answer;
    }
    timeval limit{ 20, 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  const bool isWhole = SendAll(mSocket, aHead + aBody) && ReadMessage(mSocket, mRest, answer, true);
  if (!isWhole || answer.Header("connection") == "close") {
    Drop();
  }
  return answer;
}

std::string NewId()
{
  static std::atomic<std::uint64_t> next{ 1 };
  char id[32];
  std::snprintf(id,
                sizeof(id),
                "%08x%08llx",
                static_cast<unsigned>(::getpid()),
                static_cast<unsigned long long>(next++));
  return id;
}

void Finish(int aCode)
{
  Record("exit code " + std::to_string(aCode));
  {
    const std::lock_guard lock(gPidMutex);
    for (const auto it : gPids) {
      ::kill(it, SIGKILL);
      ::waitpid(it, nullptr, 0);
    }
  }
  if (const char* keep = std::getenv("KEEP_LOGS"); keep == nullptr) {
    RemoveFolder();
  }
  std::fflush(nullptr);
  ::_exit(aCode);
}

} // namespace kit
