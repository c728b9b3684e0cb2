#pragma once

#include <json/json.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

/** Stand-ins for the platform's store, servers and clients, and relays as processes, for the cases
    of the second review. All addresses are loopback addresses. */
namespace review {

using std::chrono::milliseconds;

/** Exit codes of a case. */
enum class Verdict
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

/** Returns the milliseconds since the case began. */
long NowMs();

void Sleep(milliseconds aTime);

/** Writes lines with the time to record.txt. Safe for use by several threads. */
class Record
{
public:
  explicit Record(const std::string& aFile);
  ~Record();

  void Write(const std::string& aLine);

  /** Copies the lines of a log that contain a word. */
  void WriteLines(const std::string& aLog, const std::string& aWord);

private:
  std::mutex mMutex;
  std::FILE* mFile;
};

/** Returns a TCP port that nothing listens on. */
int FreePort();

struct Message
{
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;

  /** Returns the value of a header field, empty if it is missing. */
  std::string Field(std::string_view aName) const;
};

/** A connection with blocking reads and writes. */
class Connection
{
public:
  explicit Connection(int aSocket) : mSocket(aSocket) {}
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Connects to a port of the loopback address.
      @returns null if that fails */
  static std::unique_ptr<Connection> To(int aPort);

  /** Reads a request or a response with its whole body.
      @returns false if the connection ends before */
  bool Read(Message& aMessage, bool aIsResponse);

  /** Reads the head of a request or a response. */
  bool ReadHead(Message& aMessage, bool aIsResponse);

  bool Write(const std::string& aBytes);
  void SetTimeout(milliseconds aTime);

  /** Makes reads and writes of other threads fail. */
  void Shutdown();

  /** Closes with a reset. */
  void Reset();

private:
  bool Fill();
  bool ReadLine(std::string& aLine);
  bool ReadBytes(std::size_t aCount, std::string& aBytes);

  int mSocket;
  std::string mBuffer;
};

/** HTTP server with a thread for each connection. */
class HttpServer
{
public:
  /** @returns whether the connection may be used further */
  using Handler = std::function<bool(const Message&, Connection&)>;

  /** @param aPort  zero for any free one */
  explicit HttpServer(Handler aHandler, int aPort = 0);
  ~HttpServer();

  int Port() const { return mPort; }

  /** Closes all connections and stops listening. */
  void Stop();

private:
  void Accept();

  Handler mHandler;
  int mSocket;
  int mPort = 0;
  std::atomic<bool> mIsStopped{ false };
  std::mutex mMutex;
  std::set<std::shared_ptr<Connection>> mConnections;
  std::vector<std::thread> mThreads;
  std::thread mAcceptThread;
};

/** Returns the text of an HTTP response. */
std::string ResponseText(int aStatus,
                         const std::vector<std::pair<std::string, std::string>>& aFields,
                         const std::string& aBody);

/** The platform's store. Relays reach it through gates, which may differ in how long they take. */
class Store
{
public:
  explicit Store(Record& aRecord) : mRecord(aRecord) {}

  /** The way of one relay to the store. */
  class Gate
  {
  public:
    Gate(Store& aStore, std::string aName);

    int Port() const { return mServer.Port(); }

    /** Sets how long each answer takes. A watch is answered that much later. */
    void SetDelay(milliseconds aDelay) { mDelayMs = aDelay.count(); }

    /** Loses the answers that are due meanwhile. Their connections return nothing further. */
    void SetSilent(bool aIsSilent) { mIsSilent = aIsSilent; }
    void Stop() { mServer.Stop(); }

  private:
    bool Handle(const Message& aRequest, Connection& aConnection);

    Store& mStore;
    std::string mName;
    std::atomic<long> mDelayMs{ 4 };
    std::atomic<bool> mIsSilent{ false };
    HttpServer mServer;
  };

  /** Creates an object or replaces its Spec. */
  void Put(const std::string& aKind, const std::string& aName, const Json::Value& aSpec);
  void Delete(const std::string& aKind, const std::string& aName);

  /** Returns an object, null if it does not exist. */
  Json::Value Find(const std::string& aKind, const std::string& aName);

  /** Ends the waits of watches. */
  void Stop();

  bool IsStopped();

private:
  using Answer = std::pair<int, Json::Value>;

  struct Event
  {
    std::uint64_t mRevision;
    std::string mKind;
    Json::Value mValue;
  };

  Answer Serve(const Message& aRequest);
  Answer List(const std::string& aKind);
  Answer Watch(const std::string& aKind, std::uint64_t aSince, milliseconds aWait);
  Answer Change(const Message& aRequest,
                const std::string& aKind,
                const std::string& aName,
                const std::string& aPart,
                std::uint64_t aRevision);
  void Set(const std::string& aKind, const std::string& aName, Json::Value aObject);
  void Remove(const std::string& aKind, const std::string& aName);

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsStopped = false;
  std::uint64_t mRevision = 1;
  std::map<std::pair<std::string, std::string>, Json::Value> mObjects;
  std::vector<Event> mEvents;
};

/** A server of a service that registers itself in the store. */
class Endpoint
{
public:
  struct Options
  {
    std::string mId;
    std::string mService;
    std::string mZone = "northway";
    std::string mVersion = "v1";
    int mSlots = 64;
    milliseconds mWork{ 15 };
    int mPort = 0;
  };

  Endpoint(Store& aStore, Record& aRecord, Options aOptions);
  ~Endpoint();

  int Port() const { return mServer->Port(); }
  const Options& Settings() const { return mOptions; }

  /** Writes the entry with a state. */
  void Register(const std::string& aState);

  /** Removes the entry. */
  void Deregister();

  /** Ends as a process that is killed: connections are reset, nothing is written to the store. */
  void Kill();

  /** Returns how often each request id was run. */
  std::map<std::string, int> Runs();

private:
  bool Handle(const Message& aRequest, Connection& aConnection);

  Store& mStore;
  Record& mRecord;
  Options mOptions;
  long long mBorn;
  int mSeq = 0;
  std::mutex mMutex;
  std::map<std::string, int> mRuns;
  std::unique_ptr<HttpServer> mServer;
};

/** A relay, started as the deploy file says, with settings as of deploy/relay.ini.template. */
class Relay
{
public:
  struct Ports
  {
    int mCallers = FreePort();
    int mReady = FreePort();
    int mPeers = FreePort();
    int mForwarded = FreePort();
    int mMetrics = FreePort();
  };

  Relay(std::string aFolder, std::string aName, std::string aZone, Ports aPorts, int aStorePort);
  ~Relay();

  void Start(const std::vector<int>& aSeedPorts);
  void Signal(int aSignal) const;

  /** Waits for the end of the process after a signal. */
  void Wait();

  /** @returns whether the relay says that it is ready within the time */
  bool WaitReady(milliseconds aTime) const;

  int Port() const { return mPorts.mCallers; }
  const Ports& AllPorts() const { return mPorts; }

  /** Returns a value of /proc/PID/status in kB, such as VmHWM. */
  long MemoryKb(const std::string& aName) const;

private:
  std::string mFolder;
  std::string mName;
  std::string mZone;
  Ports mPorts;
  int mStorePort;
  pid_t mPid = 0;
};

/** Host and key that the cases use. */
inline constexpr const char* kHost = "boxes.example";
inline constexpr const char* kKey = "key-of-dispatch";

/** What a client saw of one request. */
struct Outcome
{
  int mStatus = 0; /**< Zero if the connection ended or the deadline passed without an answer. */
  bool mHasSeal = false;
  std::string mBody;
};

/** A client's kept connection. */
class Client
{
public:
  explicit Client(int aPort) : mPort(aPort) {}

  /** Sends a request and reads the answer, on the kept connection if there is one. */
  Outcome Send(const std::string& aMethod,
               const std::string& aPath,
               const std::string& aId,
               const std::string& aBody,
               milliseconds aDeadline,
               const std::string& aKey = kKey);

  void Close() { mConnection.reset(); }
  bool IsOpen() const { return mConnection != nullptr; }

private:
  int mPort;
  std::unique_ptr<Connection> mConnection;
};

/** Returns a route of a configuration. */
Json::Value RouteOf(const std::string& aPrefix,
                    const std::string& aService,
                    const std::string& aKind,
                    int aTimeoutMs,
                    int aMaxAttempts);

/** Returns a configuration with a tenant whose only key is kKey. */
Json::Value ConfigOf(int aVersion,
                     const std::vector<Json::Value>& aRoutes,
                     const std::vector<std::string>& aServices,
                     int aMaxBodyBytes);

/** Returns the folder of the case, with a slash at its end, and whether the disruption is wanted,
    from the program's arguments and the environment. */
struct Arguments
{
  std::string mFolder;
  bool mHasTrouble = true;
};
Arguments ArgumentsOf(int aCount, char** aValues);

/** Returns a new folder for settings and logs. */
std::string TemporaryFolder();

/** Removes a folder that TemporaryFolder() made. */
void RemoveFolder(const std::string& aFolder);

} // namespace review
