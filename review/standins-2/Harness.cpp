#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in AddressOf(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string TextOf(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value JsonOf(const std::string& aText)
{
  Json::Value value;
  std::istringstream in(aText);
  std::string errors;
  Json::parseFromStream(Json::CharReaderBuilder(), in, &value, &errors);
  return value;
}

std::uint64_t QueryNumber(const std::string& aTarget, const std::string& aName)
{
  const auto at = aTarget.find(aName + "=");
  return at == std::string::npos
           ? 0
           : std::strtoull(aTarget.c_str() + at + aName.size() + 1, nullptr, 10);
}

} // namespace

long NowMs()
{
  return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - kStart)
    .count();
}

void Sleep(milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

Record::Record(const std::string& aFile) : mFile(std::fopen(aFile.c_str(), "w")) {}

Record::~Record()
{
  if (mFile != nullptr) {
    std::fclose(mFile);
  }
}

void Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(mMutex);
  if (mFile != nullptr) {
    std::fprintf(mFile, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000, aLine.c_str());
    std::fflush(mFile);
  }
}

void Record::WriteLines(const std::string& aLog, const std::string& aWord)
{
  std::ifstream in(aLog);
  std::string line;
  while (std::getline(in, line)) {
    if (line.find(aWord) != std::string::npos) {
      Write("log: " + line);
    }
  }
}

int FreePort()
{
  // Below the ports that the system gives to outgoing connections.
  constexpr int kFirst = 15000;
  constexpr int kCount = 16000;
  static std::mt19937 random{ std::random_device{}() };
  static std::set<int> given;
  while (true) {
    const int port = kFirst + static_cast<int>(random() % kCount);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = AddressOf(port);
    const bool isFree =
      ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(socket);
    if (isFree && given.insert(port).second) {
      return port;
    }
  }
}

std::string Message::Field(std::string_view aName) const
{
  for (const auto& [name, value] : mFields) {
    if (::strcasecmp(name.c_str(), std::string(aName).c_str()) == 0) {
      return value;
    }
  }
  return {};
}

Connection::~Connection()
{
  ::close(mSocket);
}

std::unique_ptr<Connection> Connection::To(int aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(socket);
  const auto address = AddressOf(aPort);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

void Connection::SetTimeout(milliseconds aTime)
{
  timeval time{ aTime.count() / 1000, (aTime.count() % 1000) * 1000 };
  ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  ::setsockopt(mSocket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

bool Connection::Fill()
{
  char bytes[16384];
  const auto count = ::recv(mSocket, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  mBuffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Connection::ReadLine(std::string& aLine)
{
  auto end = mBuffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return false;
    }
    end = mBuffer.find("\r\n");
  }
  aLine = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 2);
  return true;
}

bool Connection::ReadBytes(std::size_t aCount, std::string& aBytes)
{
  while (mBuffer.size() < aCount) {
    if (!Fill()) {
      return false;
    }
  }
  aBytes.append(mBuffer, 0, aCount);
  mBuffer.erase(0, aCount);
  return true;
}

bool Connection::ReadHead(Message& aMessage, bool aIsResponse)
{
  std::string line;
  if (!ReadLine(line)) {
    return false;
  }
  std::istringstream words(line);
  std::string version;
  if (aIsResponse) {
    words >> version >> aMessage.mStatus;
  } else {
    words >> aMessage.mMethod >> aMessage.mTarget;
  }
  while (ReadLine(line) && !line.empty()) {
    const auto colon = line.find(':');
    const auto value = line.find_first_not_of(' ', colon + 1);
    aMessage.mFields.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
  }
  return line.empty();
}

bool Connection::Read(Message& aMessage, bool aIsResponse)
{
  if (!ReadHead(aMessage, aIsResponse)) {
    return false;
  }
  if (aMessage.Field("Transfer-Encoding") != "chunked") {
    const auto length = std::strtoull(aMessage.Field("Content-Length").c_str(), nullptr, 10);
    return ReadBytes(length, aMessage.mBody);
  }
  while (true) {
    std::string line;
    if (!ReadLine(line)) {
      return false;
    }
    const auto size = std::strtoull(line.c_str(), nullptr, 16);
    if (!ReadBytes(size, aMessage.mBody) || !ReadLine(line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

bool Connection::Write(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count = ::send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void Connection::Shutdown()
{
  ::shutdown(mSocket, SHUT_RDWR);
}

void Connection::Reset()
{
  linger value{ 1, 0 };
  ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
}

HttpServer::HttpServer(Handler aHandler, int aPort)
  : mHandler(std::move(aHandler))
  , mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  ::setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = AddressOf(aPort);
  socklen_t length = sizeof(address);
  ::bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  ::listen(mSocket, 256);
  ::getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &length);
  mPort = ntohs(address.sin_port);
  mAcceptThread = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer()
{
  Stop();
}

void HttpServer::Accept()
{
  while (!mIsStopped) {
    const int socket = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto connection = std::make_shared<Connection>(socket);
    const std::lock_guard lock(mMutex);
    mConnections.insert(connection);
    mThreads.emplace_back([this, connection] {
      while (!mIsStopped) {
        Message request;
        if (!connection->Read(request, false) || !mHandler(request, *connection)) {
          break;
        }
      }
      connection->Shutdown();
      const std::lock_guard threadLock(mMutex);
      mConnections.erase(connection);
    });
  }
}

void HttpServer::Stop()
{
  if (mIsStopped.exchange(true)) {
    return;
  }
  ::shutdown(mSocket, SHUT_RDWR);
  mAcceptThread.join();
  ::close(mSocket);
  {
    const std::lock_guard lock(mMutex);
    for (const auto& it : mConnections) {
      it->Reset();
      it->Shutdown();
    }
  }
  for (auto& it : mThreads) {
    it.join();
  }
}

std::string ResponseText(int aStatus,
                         const std::vector<std::pair<std::string, std::string>>& aFields,
                         const std::string& aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " -\r\n";
  for (const auto& [name, value] : aFields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

Store::Gate::Gate(Store& aStore, std::string aName)
  : mStore(aStore)
  , mName(std::move(aName))
  , mServer([this](const Message& aRequest, Connection& aConnection) {
    return Handle(aRequest, aConnection);
  })
{
}

bool Store::Gate::Handle(const Message& aRequest, Connection& aConnection)
{
  const auto answer = mStore.Serve(aRequest);
  Sleep(milliseconds(mDelayMs));
  if (mIsSilent) {
    mStore.mRecord.Write("store: the answer to " + mName + " " + aRequest.mMethod + " " +
                         aRequest.mTarget + " is lost");
    while (!mStore.IsStopped()) {
      Sleep(milliseconds(50));
    }
    return false;
  }
  if (aRequest.mMethod != "GET") {
    mStore.mRecord.Write("store: " + mName + " " + aRequest.mMethod + " " + aRequest.mTarget +
                         " -> " + std::to_string(answer.first));
  }
  return aConnection.Write(
    ResponseText(answer.first, { { "Content-Type", "application/json" } }, TextOf(answer.second)));
}

Store::Answer Store::Serve(const Message& aRequest)
{
  constexpr std::string_view kPrefix = "/skylarkchute/objects/";
  auto path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
  if (path.compare(0, kPrefix.size(), kPrefix) != 0) {
    return { 404, Json::Value(Json::objectValue) };
  }
  std::istringstream parts(path.substr(kPrefix.size()));
  std::string kind;
  std::string name;
  std::string part;
  std::getline(parts, kind, '/');
  std::getline(parts, name, '/');
  std::getline(parts, part, '/');
  if (aRequest.mMethod != "GET") {
    return Change(aRequest, kind, name, part, QueryNumber(aRequest.mTarget, "Revision"));
  }
  if (!name.empty()) {
    auto object = Find(kind, name);
    return object.isNull() ? Answer{ 404, Json::Value(Json::objectValue) } : Answer{ 200, object };
  }
  if (const auto since = QueryNumber(aRequest.mTarget, "Watch")) {
    return Watch(kind, since, milliseconds(QueryNumber(aRequest.mTarget, "WaitMs")));
  }
  return List(kind);
}

Store::Answer Store::List(const std::string& aKind)
{
  const std::lock_guard lock(mMutex);
  Json::Value page(Json::objectValue);
  page["Items"] = Json::Value(Json::arrayValue);
  for (const auto& [key, object] : mObjects) {
    if (key.first == aKind) {
      page["Items"].append(object);
    }
  }
  page["HasMore"] = false;
  page["AsOf"] = Json::UInt64(mRevision);
  return { 200, page };
}

Store::Answer Store::Watch(const std::string& aKind, std::uint64_t aSince, milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  Json::Value events(Json::arrayValue);
  const auto collect = [&] {
    for (const auto& it : mEvents) {
      if (it.mKind == aKind && it.mRevision > aSince) {
        events.append(it.mValue);
      }
    }
    return !events.empty();
  };
  mChanged.wait_for(lock, aWait, [&] { return mIsStopped || collect(); });
  Json::Value page(Json::objectValue);
  page["events"] = events;
  page["AsOf"] = Json::UInt64(mRevision);
  return { 200, page };
}

Store::Answer Store::Change(const Message& aRequest,
                            const std::string& aKind,
                            const std::string& aName,
                            const std::string& aPart,
                            std::uint64_t aRevision)
{
  const std::lock_guard lock(mMutex);
  const auto body = JsonOf(aRequest.mBody);
  const auto& metadata = body["Metadata"];
  const auto name = aRequest.mMethod == "POST" ? metadata["Name"].asString() : aName;
  const auto found = mObjects.find({ aKind, name });
  const bool exists = found != mObjects.end();
  if (aRequest.mMethod == "POST") {
    if (exists) {
      return { 409, found->second };
    }
    Json::Value object(Json::objectValue);
    object["Spec"] = body["Spec"];
    Set(aKind, name, object);
    return { 201, mObjects[{ aKind, name }] };
  }
  if (!exists) {
    return { 404, Json::Value(Json::objectValue) };
  }
  const auto expected = metadata.isObject() && metadata["Revision"].isUInt64()
                          ? metadata["Revision"].asUInt64()
                          : aRevision;
  if (expected != 0 && expected != found->second["Metadata"]["Revision"].asUInt64()) {
    return { 409, found->second };
  }
  if (aRequest.mMethod == "DELETE") {
    auto object = found->second;
    Remove(aKind, name);
    return { 200, object };
  }
  auto object = found->second;
  const char* part = aPart == "status" ? "Status" : "Spec";
  if (object[part] != body[part]) {
    object[part] = body[part];
    Set(aKind, name, object);
  }
  return { 200, mObjects[{ aKind, name }] };
}

/** Stores an object under the next revision. The caller holds the lock. */
void Store::Set(const std::string& aKind, const std::string& aName, Json::Value aObject)
{
  aObject["Metadata"]["Name"] = aName;
  aObject["Metadata"]["Revision"] = Json::UInt64(++mRevision);
  mObjects[{ aKind, aName }] = aObject;
  Json::Value event(Json::objectValue);
  event["Object"] = std::move(aObject);
  event["Deleted"] = false;
  mEvents.push_back({ mRevision, aKind, std::move(event) });
  mChanged.notify_all();
}

/** Removes an object. The caller holds the lock. */
void Store::Remove(const std::string& aKind, const std::string& aName)
{
  const auto found = mObjects.find({ aKind, aName });
  if (found == mObjects.end()) {
    return;
  }
  Json::Value event(Json::objectValue);
  event["Object"] = found->second;
  event["Object"]["Metadata"]["Revision"] = Json::UInt64(++mRevision);
  event["Deleted"] = true;
  mObjects.erase(found);
  mEvents.push_back({ mRevision, aKind, std::move(event) });
  mChanged.notify_all();
}

void Store::Put(const std::string& aKind, const std::string& aName, const Json::Value& aSpec)
{
  const std::lock_guard lock(mMutex);
  auto object = mObjects.count({ aKind, aName }) > 0 ? mObjects[{ aKind, aName }]
                                                     : Json::Value(Json::objectValue);
  auto former = object["Spec"];
  auto next = aSpec;
  if (former.isObject()) {
    former.removeMember("Seq");
  }
  next.removeMember("Seq");
  if (former == next) {
    return; // A heartbeat alone makes no new revision.
  }
  object["Spec"] = aSpec;
  Set(aKind, aName, std::move(object));
}

void Store::Delete(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  Remove(aKind, aName);
}

Json::Value Store::Find(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(mMutex);
  const auto found = mObjects.find({ aKind, aName });
  return found == mObjects.end() ? Json::Value() : found->second;
}

void Store::Stop()
{
  const std::lock_guard lock(mMutex);
  mIsStopped = true;
  mChanged.notify_all();
}

bool Store::IsStopped()
{
  const std::lock_guard lock(mMutex);
  return mIsStopped;
}

Endpoint::Endpoint(Store& aStore, Record& aRecord, Options aOptions)
  : mStore(aStore)
  , mRecord(aRecord)
  , mOptions(std::move(aOptions))
  , mBorn(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count())
  , mServer(std::make_unique<HttpServer>(
      [this](const Message& aRequest, Connection& aConnection) {
        return Handle(aRequest, aConnection);
      },
      mOptions.mPort))
{
}

Endpoint::~Endpoint()
{
  Kill();
}

void Endpoint::Register(const std::string& aState)
{
  Json::Value spec(Json::objectValue);
  spec["Service"] = mOptions.mService;
  spec["Address"] = "127.0.0.1:" + std::to_string(Port());
  spec["Zone"] = mOptions.mZone;
  spec["Version"] = mOptions.mVersion;
  spec["Slots"] = mOptions.mSlots;
  spec["State"] = aState;
  spec["ColdRemainingMs"] = 0;
  spec["born"] = Json::Int64(mBorn);
  spec["Seq"] = ++mSeq;
  mStore.Put("servers", mOptions.mId, spec);
  mRecord.Write("server " + mOptions.mId + " is " + aState);
}

void Endpoint::Deregister()
{
  mStore.Delete("servers", mOptions.mId);
  mRecord.Write("server " + mOptions.mId + " has left");
}

void Endpoint::Kill()
{
  mServer->Stop();
}

std::map<std::string, int> Endpoint::Runs()
{
  const std::lock_guard lock(mMutex);
  return mRuns;
}

bool Endpoint::Handle(const Message& aRequest, Connection& aConnection)
{
  const auto id = aRequest.Field("Skylarkchute-Request-Id");
  if (aRequest.mTarget == "/healthz") {
    return aConnection.Write(
      ResponseText(200, { { "Skylarkchute-Instance-Id", mOptions.mId } }, ""));
  }
  const auto expected = aRequest.Field("Skylarkchute-Expect-Instance");
  if (id.empty() || (!expected.empty() && expected != mOptions.mId)) {
    return aConnection.Write(
      ResponseText(id.empty() ? 400 : 421,
                   { { "Skylarkchute-Request-Id", id }, { "Skylarkchute-Not-Executed", "1" } },
                   ""));
  }
  {
    const std::lock_guard lock(mMutex);
    ++mRuns[id];
  }
  mRecord.Write("server " + mOptions.mId + " runs " + id);
  Sleep(mOptions.mWork);
  return aConnection.Write(ResponseText(200,
                                        { { "Skylarkchute-Request-Id", id },
                                          { "Skylarkchute-Response-Seal", "seal." + id },
                                          { "Skylarkchute-Server-Load", "1,0,64" } },
                                        "answer to " + id));
}

Relay::Relay(std::string aFolder,
             std::string aName,
             std::string aZone,
             Ports aPorts,
             int aStorePort)
  : mFolder(std::move(aFolder))
  , mName(std::move(aName))
  , mZone(std::move(aZone))
  , mPorts(aPorts)
  , mStorePort(aStorePort)
{
}

Relay::~Relay()
{
  if (mPid > 0) {
    ::kill(mPid, SIGCONT);
    ::kill(mPid, SIGKILL);
    Wait();
  }
}

void Relay::Start(const std::vector<int>& aSeedPorts)
{
  const auto address = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
  const auto file = mFolder + "/" + mName + ".ini";
  std::string seeds;
  for (const auto it : aSeedPorts) {
    seeds += (seeds.empty() ? "" : ",") + address(it);
  }
  std::ofstream(file) << "[instance]\nname = " << mName << "\nzone = " << mZone
                      << "\n\n[listen]\ncallers = " << address(mPorts.mCallers)
                      << "\nready = " << address(mPorts.mReady)
                      << "\npeers = " << address(mPorts.mPeers)
                      << "\nforwarded = " << address(mPorts.mForwarded)
                      << "\nmetrics = " << address(mPorts.mMetrics)
                      << "\n\n[platform]\nstore = " << address(mStorePort) << "\nseeds = " << seeds
                      << "\n\n[retries]\nratio = 0.9\nslack = 58\nwindow = 10s\n"
                         "\n[rollouts]\nexposed_share = 0.15\nexposed_slack = 30\n"
                         "\n[callers]\nmemory = 260\ndescriptors = 4100\n"
                         "\n[zones]\ntolerated = 0\n"
                         "\n[regions]\nnorthway = yankee-region\ncoastpike = yankee-region\n"
                         "hillroads = yankee-region\n"
                         "\n[shutdown]\ngrace = 8s\n\n[log]\nlevel = info\n";
  mPid = ::fork();
  if (mPid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto log = mFolder + "/" + mName + ".log";
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl("target/skylarkchute",
            "target/skylarkchute",
            "relay",
            "--settings",
            file.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
}

void Relay::Signal(int aSignal) const
{
  ::kill(mPid, aSignal);
}

void Relay::Wait()
{
  ::waitpid(mPid, nullptr, 0);
  mPid = 0;
}

bool Relay::WaitReady(milliseconds aTime) const
{
  const auto end = NowMs() + aTime.count();
  while (NowMs() < end) {
    if (const auto connection = Connection::To(mPorts.mReady)) {
      Message response;
      connection->SetTimeout(milliseconds(500));
      connection->Write("GET /skylarkchute/readyz HTTP/1.1\r\nHost: relay\r\n\r\n");
      if (connection->Read(response, true) && response.mStatus == 200) {
        return true;
      }
    }
    Sleep(milliseconds(50));
  }
  return false;
}

long Relay::MemoryKb(const std::string& aName) const
{
  std::ifstream status("/proc/" + std::to_string(mPid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.compare(0, aName.size() + 1, aName + ":") == 0) {
      return std::strtol(line.c_str() + aName.size() + 1, nullptr, 10);
    }
  }
  return 0;
}

Outcome Client::Send(const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aId,
                     const std::string& aBody,
                     milliseconds aDeadline,
                     const std::string& aKey)
{
  if (!mConnection) {
    mConnection = Connection::To(mPort);
  }
  if (!mConnection) {
    return {};
  }
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nSkylarkchute-Request-Id: " + aId +
                     "\r\nSkylarkchute-Credential: " + aKey +
                     "\r\nSkylarkchute-Deadline-Ms: " + std::to_string(aDeadline.count()) + "\r\n";
  if (!aBody.empty() || aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text.append("\r\n").append(aBody);
  mConnection->SetTimeout(aDeadline);
  Message response;
  mConnection->Write(text);
  if (!mConnection->Read(response, true)) {
    Close();
    return {};
  }
  if (response.Field("Connection") == "close") {
    Close();
  }
  return { response.mStatus,
           !response.Field("Skylarkchute-Response-Seal").empty(),
           response.mBody };
}

Json::Value RouteOf(const std::string& aPrefix,
                    const std::string& aService,
                    const std::string& aKind,
                    int aTimeoutMs,
                    int aMaxAttempts)
{
  Json::Value route(Json::objectValue);
  route["Name"] = "route-" + aPrefix.substr(1, aPrefix.size() - 2);
  route["Host"] = kHost;
  route["PathPrefix"] = aPrefix;
  route["Service"] = aService;
  route["Kind"] = aKind;
  route["TimeoutMs"] = aTimeoutMs;
  route["TargetLatencyMs"] = 100;
  route["Priority"] = 1;
  route["MaxAttempts"] = aMaxAttempts;
  return route;
}

Json::Value ConfigOf(int aVersion,
                     const std::vector<Json::Value>& aRoutes,
                     const std::vector<std::string>& aServices,
                     int aMaxBodyBytes)
{
  Json::Value config(Json::objectValue);
  config["Version"] = aVersion;
  for (const auto& it : aRoutes) {
    config["Routes"].append(it);
  }
  for (const auto& it : aServices) {
    Json::Value service(Json::objectValue);
    service["Name"] = it;
    service["HealthPath"] = "/healthz";
    service["MaxConnections"] = 110;
    config["Services"].append(service);
  }
  config["Limits"]["MaxHeaderBytes"] = 16384;
  config["Limits"]["MaxBodyBytes"] = aMaxBodyBytes;
  config["Limits"]["HeaderTimeoutMs"] = 3000;
  config["Limits"]["IdleTimeoutMs"] = 15000;
  Json::Value team(Json::objectValue);
  team["Name"] = "dispatch";
  team["ApiKeys"].append(kKey);
  config["Tenants"].append(team);
  return config;
}

Arguments ArgumentsOf(int aCount, char** aValues)
{
  const char* trouble = std::getenv("TROUBLE");
  return { aCount > 1 ? std::string(aValues[1]) + "/" : "./",
           trouble == nullptr || std::strcmp(trouble, "0") != 0 };
}

std::string TemporaryFolder()
{
  char name[] = "/tmp/skylarkchute-review-XXXXXX";
  return ::mkdtemp(name) == nullptr ? "." : name;
}

void RemoveFolder(const std::string& aFolder)
{
  std::error_code ec;
  std::filesystem::remove_all(aFolder, ec);
}

} // namespace review
