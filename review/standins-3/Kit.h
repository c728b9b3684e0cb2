#pragma once

#include <json/json.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/** Stand-ins of the third review: the platform's store, servers and clients as threads of one
    program, which starts the relays as processes. All addresses are loopback ones. */
namespace kit {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/** Seconds since the program started. */
double Seconds();

void SleepMs(int aMs);

/** Writes one line with the time to the record. */
void Record(const std::string& aLine);
void OpenRecord(const std::string& aFolder);

/** Returns whether the disruption is to take place: TROUBLE is not 0. */
bool HasTrouble();

/** Returns a free TCP port of the loopback address. */
int FreePort();

struct Message
{
  std::string mMethod;
  std::string mTarget;
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders; /**< Names in lower case. */
  std::string mBody;
  bool mIsComplete = false;

  std::string Header(const std::string& aName) const;
};

/** Reads one HTTP message. @returns false if the connection ended before it was complete; what has
    arrived is in aMessage */
bool ReadMessage(int aSocket, std::string& aRest, Message& aMessage, bool aIsResponse);

bool SendAll(int aSocket, const std::string& aBytes);

/** Connects to a loopback port. @returns -1 if refused */
int Connect(int aPort, const std::string& aIp = "127.0.0.1");

/** Accepts connections, each of which has a thread of its own. */
class Server
{
public:
  /** The handler reads and answers on the socket until it returns; then it is closed. */
  explicit Server(std::function<void(int)> aHandler);
  ~Server();
  int Port() const { return mPort; }

private:
  std::function<void(int)> mHandler;
  int mSocket = -1;
  int mPort = 0;
  std::thread mThread;
};

/** The platform's store, with lists, watches, conditional writes and 4 ms an answer. */
class Store
{
public:
  Store();
  int Port() const { return mServer->Port(); }

  /** As a POST or PUT without condition by the operator or a server. */
  void Put(const std::string& aKind, const std::string& aName, const Json::Value& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  Json::Value Get(const std::string& aKind, const std::string& aName);

  /** Cuts the watches off that are waiting. */
  void CutWatches();

private:
  struct Event
  {
    std::uint64_t mRevision;
    std::string mKind;
    Json::Value mEvent;
  };

  struct Call
  {
    int mSocket;
    const Message* mRequest;
    Clock::time_point mDue;
    std::promise<bool>* mIsSent;
  };

  void Serve(int aSocket);
  void Work();
  bool Respond(int aSocket, const Message& aRequest);
  /** @returns false if the call is to be cut off */
  bool Answer(const Message& aRequest, int& aStatus, Json::Value& aBody);
  void Change(const std::string& aKind,
              const std::string& aName,
              Json::Value aObject,
              bool aDeleted);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Json::Value>> mObjects;
  std::vector<Event> mEvents;
  std::uint64_t mRevision = 100;
  std::uint64_t mCuts = 0;
  std::mutex mQueueMutex;
  std::condition_variable mQueued;
  std::deque<Call> mQueue;
  std::unique_ptr<Server> mServer;
};

/** One arrival of a request at a server. */
struct Arrival
{
  double mAt = 0;
  std::string mServer;
  std::string mVersion;
  std::string mId;
  std::string mKey;
  std::string mTenant;
  std::string mVia; /**< Relay that the client sent it to, as its path says. */
};

/** A server of a service. */
class Endpoint
{
public:
  using Behaviour = std::function<bool(int aSocket, const Message& aRequest, Endpoint& aSelf)>;

  /** @param aBehaviour  answers a request; false closes the connection */
  Endpoint(Store& aStore,
           std::string aId,
           std::string aService,
           std::string aZone,
           std::string aVersion,
           Behaviour aBehaviour);

  void Register();
  /** Removes the entry; the server goes on serving. */
  void Unregister();

  std::vector<Arrival> Arrivals();
  const std::string& Id() const { return mId; }

  /** Returns the headers of an answer. */
  std::string Head(int aStatus, const Message& aRequest) const;

private:
  void Serve(int aSocket);

  Store& mStore;
  std::string mId;
  std::string mService;
  std::string mZone;
  std::string mVersion;
  Behaviour mBehaviour;
  std::mutex mMutex;
  std::vector<Arrival> mArrivals;
  std::uint64_t mBorn;
  std::unique_ptr<Server> mServer;
};

/** A relay process. */
class Relay
{
public:
  /** @param aSeeds  peer addresses of a few relays */
  Relay(std::string aName, std::string aZone, int aStorePort, std::string aIp = "127.0.0.1");
  ~Relay();

  int PeerPort() const { return mPeerPort; }
  int CallerPort() const { return mCallerPort; }
  int ReadyPort() const { return mReadyPort; }
  int ForwardPort() const { return mForwardPort; }
  const std::string& Ip() const { return mIp; }
  const std::string& Zone() const { return mZone; }
  int StorePort() const { return mStorePort; }
  const std::string& Name() const { return mName; }
  void Start(const std::vector<int>& aSeeds);

  /** Writes the settings file that the next start, or SIGHUP, reads. */
  void WriteSettings(const std::string& aText) const;
  /** Starts the program with the command of the deploy file. */
  void Launch();
  void Signal(int aSignal) const;
  /** Waits for the end of the process. @returns whether it has ended */
  bool HasEnded(double aSeconds);
  void Kill();
  bool IsReady() const;
  bool WaitReady(double aSeconds) const;

private:
  std::string mName;
  std::string mZone;
  int mStorePort;
  std::string mIp;
  int mCallerPort, mReadyPort, mPeerPort, mForwardPort, mMetricsPort;
  int mPid = 0;
};

/** Fills in the template of the deploy file as the platform does, with the figures of
   boxline-fleet. The machine needs an address of its own, since the template sets the port for
   metrics.
    @param aSeeds    the addresses of a few relays for their peers, joined by commas
    @param aFigures  fields that differ from these */
std::string TemplateSettings(const Relay& aRelay,
                             const std::string& aSeeds,
                             const std::map<std::string, std::string>& aFigures = {});

/** Returns the first three parts of loopback addresses for the machines of a run. */
std::string LoopbackNet();

/** Temporary folder of the run; removed at its end. */
const std::string& Folder();
void RemoveFolder();

/** A client's connection. */
class Client
{
public:
  explicit Client(int aPort, std::string aIp = "127.0.0.1") : mPort(aPort), mIp(std::move(aIp)) {}
  ~Client();

  /** Sends a request on the kept connection, or on a new one, and reads the answer. */
  Message Ask(const std::string& aHead, const std::string& aBody = {});
  bool WasRefused() const { return mWasRefused; }
  void Drop();

private:
  int mPort;
  std::string mIp;
  int mSocket = -1;
  std::string mRest;
  bool mWasRefused = false;
};

/** Returns a new id for a request. */
std::string NewId();

/** Ends the program with the exit code of a case. */
[[noreturn]] void Finish(int aCode);

} // namespace kit
