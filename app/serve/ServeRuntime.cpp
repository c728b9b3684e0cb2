#include "ServeRuntime.h"

#include "AttemptBuilder.h"
#include "AttemptListener.h"
#include "ServeEvents.h"
#include "ServeOptions.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeerAnswerTimeout{ 2000 };
constexpr milliseconds kInstanceListPollTimeout{ 10'000 };
constexpr milliseconds kInstanceListPause{ 100 };
constexpr milliseconds kEntryEventPause{ 1000 };
constexpr milliseconds kRatingTimeout{ 5000 };
constexpr milliseconds kFlushTimeout{ 10'000 };
constexpr milliseconds kDrainPollPeriod{ 20 };
constexpr int kRatingThreads = 4;
constexpr const char* kLatencyMetric = "skylarkchute_request_seconds";
constexpr const char* kRequestsMetric = "skylarkchute_requests_total";

/** Combines one lambda per action type into a visitor for std::visit. */
template<typename... Handlers>
struct ActionVisitor : Handlers...
{
  using Handlers::operator()...;
};

template<typename... Handlers>
ActionVisitor(Handlers...) -> ActionVisitor<Handlers...>;

ProblemReply ProblemOf(const RefuseStep& aRefusal)
{
  return { aRefusal.mHttpStatus,
           aRefusal.mVerdict,
           aRefusal.mReason,
           aRefusal.mDetail,
           aRefusal.mRetryAfter };
}

ProblemReply BusyProblem()
{
  return {
    503, Verdict::NotRun, "instance-busy", "This instance is too busy.", milliseconds(1000)
  };
}

/** Forwards load reports to the node. */
class LoadListener final : public LoadPoller::Listener
{
public:
  explicit LoadListener(NodeLoop& aLoop) : mLoop(aLoop) {}

  void OnLoad(const LoadReport& aReport) override
  {
    mLoop.Post([aReport](Node& aNode, NodeTime aTime) { return aNode.OnLoad(aReport, aTime); });
  }

  void OnPollFailed(const EndpointId& /*aEndpoint*/) override {}

private:
  NodeLoop& mLoop;
};

/** Requests one rating on a thread of the pool, then deletes itself. */
class RatingTask final : public Poco::Runnable
{
public:
  explicit RatingTask(std::function<void()> aWork) : mWork(std::move(aWork)) {}

  void run() override
  {
    const std::unique_ptr<RatingTask> self(this);
    mWork();
  }

private:
  std::function<void()> mWork;
};

} // namespace

ServeRuntime::ServeRuntime(const Settings& aSettings)
  : mSettings(aSettings)
  , mLog(aSettings.mInstance.mId.Value(), aSettings.mLog.mFormat, aSettings.mLog.mLevel)
  , mObjectApi(aSettings.mPlatform.mAddress, aSettings.mPlatform.mPort)
  , mInstanceList(aSettings.mPlatform.mAddress, aSettings.mPlatform.mPort)
  , mLoop(
      NodeOptionsOf(aSettings),
      mClock,
      [this](const NodeAction& aAction) { ExecuteAction(aAction); },
      [this](const Node& aNode) {
        mReady = aNode.IsReady();
        mDrained = aNode.IsDrained();
        mPlatform->Tick();
      })
  , mRatingPool(1, kRatingThreads)
{
  mPlatform = std::make_unique<PlatformCaller>(
    PlatformCallerOptionsOf(aSettings),
    mObjectApi,
    mClock,
    [this](const ObjectReply& aReply) {
      mLoop.Post(
        [aReply](Node& aNode, NodeTime aTime) { return aNode.OnObjectReply(aReply, aTime); });
    },
    [this](const LogEvent& aEvent) { mLog.Write(aEvent); });
  mPeerClient = std::make_unique<PeerClient>(
    PeerClient::Options{ aSettings.mInstance.mId, aSettings.mPeerSharedKey },
    mClock,
    [this](const PeerReply& aReply) {
      mLoop.Post(
        [aReply](Node& aNode, NodeTime aTime) { return aNode.OnPeerReply(aReply, aTime); });
    });
  PeerServer::Options peers;
  peers.mSelf = aSettings.mInstance.mId;
  peers.mAddress = aSettings.mInstance.mAddress;
  peers.mPort = aSettings.mInstance.mPeerPort;
  peers.mSharedKey = aSettings.mPeerSharedKey;
  peers.mMethods = PeerMethods();
  mPeerServer = std::make_unique<PeerServer>(
    peers,
    mClock,
    [this](const PeerServer::Request& aRequest) { return ServePeer(aRequest); },
    [this](const InstanceId& aFrom) {
      mLog.Write({ &kPeerRefused, { { "from", aFrom.Value() } } });
      mMetrics.Add("skylarkchute_peers_refused_total", "");
    });
  mAttemptRunner = std::make_unique<AttemptRunner>(AttemptRunner::Options{});
  mHttpEntry = std::make_unique<HttpEntry>(EntryOptionsOf(aSettings), *this);
  LoadPoller::Options pollerOptions;
  pollerOptions.mPeriod = aSettings.mRouting.mLoadPollPeriod;
  mLoadPoller = std::make_unique<LoadPoller>(pollerOptions, std::make_shared<LoadListener>(mLoop));
  mLoop.Start();
  mInstanceThread =
    std::make_unique<PeriodicThread>(kInstanceListPause, [this] { ReadInstances(); });
  mEventThread = std::make_unique<PeriodicThread>(kEntryEventPause, [this] { WriteEntryEvents(); });
  mLog.Write({ &kInstanceStarted, { { "zone", aSettings.mInstance.mZone.Value() } } });
}

ServeRuntime::~ServeRuntime()
{
  mInstanceThread.reset();
  mEventThread.reset();
  mLoadPoller.reset();
  mHttpEntry.reset();
  mPeerServer.reset();
  mLoop.Stop();
  mAttemptRunner.reset();
  mRatingPool.joinAll();
  mPeerClient.reset();
  mPlatform.reset();
}

bool ServeRuntime::Stop()
{
  mLog.Write({ &kInstanceLeaving, {} });
  mHttpEntry->BeginLeaving();
  std::this_thread::sleep_for(mSettings.mShutdown.mNotReadyPeriod);
  mHttpEntry->StopAccepting();
  const bool allSessionsEnded = mHttpEntry->WaitForConnections(mSettings.mShutdown.mGrace);
  mDrained = false;
  mLoop.Post([](Node& aNode, NodeTime aTime) {
    auto actions = aNode.BeginLeaving(aTime);
    const auto flush = aNode.Flush(aTime);
    actions.insert(actions.end(), flush.begin(), flush.end());
    return actions;
  });
  const auto flushDeadline = mClock.Now() + kFlushTimeout;
  while (!mDrained && mClock.Now() < flushDeadline) {
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
  mLog.Write({ &kInstanceStopped, { { "drained", mDrained ? "yes" : "no" } } });
  return allSessionsEnded && mDrained;
}

void ServeRuntime::Submit(std::shared_ptr<CallerSession> aSession)
{
  mLoop.Post([this, session = std::move(aSession)](Node& aNode, NodeTime aTime) {
    mSessions.Add(session, aTime.mNow);
    return aNode.OnRequest({ session->Facts(), session->Request().mSession }, aTime);
  });
}

void ServeRuntime::OnCallerDisconnected(const RequestId& aRequest)
{
  mLoop.Post([aRequest](Node& aNode, NodeTime aTime) {
    return aNode.OnCallerDisconnected(aRequest, aTime);
  });
}

ModelsReply ServeRuntime::ModelsFor(const std::string& aApiKey)
{
  const auto versions = mLoop.Query<std::optional<std::vector<VersionId>>>(
    [aApiKey](Node& aNode, NodeTime) { return aNode.VersionsFor(aApiKey); });
  if (!versions) {
    return BusyProblem();
  }
  if (!*versions) {
    return ProblemReply{
      401, Verdict::NotRun, "unknown-key", "The API key belongs to no team.", milliseconds(0)
    };
  }
  std::vector<ModelListing> listings;
  for (const auto& it : **versions) {
    listings.push_back({ it.Value(), "skylarkchute" });
  }
  return listings;
}

TicketReply ServeRuntime::IssueTicket(const std::string& aApiKey)
{
  using Issued = std::variant<std::string, RefuseStep>;
  const auto issued = mLoop.Query<Issued>(
    [aApiKey](Node& aNode, NodeTime aTime) { return aNode.IssueTicket(aApiKey, aTime); });
  if (!issued) {
    return BusyProblem();
  }
  if (const auto* refusal = std::get_if<RefuseStep>(&*issued)) {
    return ProblemOf(*refusal);
  }
  return IssuedTicket{ std::get<std::string>(*issued),
                       mClock.WallNow() + TicketIssuer::Options().mLifetime };
}

std::string ServeRuntime::StatusJson()
{
  auto status =
    mLoop.Query<Json::Value>([](Node& aNode, NodeTime aTime) { return aNode.StatusJson(aTime); })
      .value_or(Json::Value(Json::objectValue));
  status["store"] = mPlatform->IsOutage() ? "down" : "up";
  AddEndpoints(status);
  AddLatencies(status);
  return WriteJson(status);
}

std::string ServeRuntime::MetricsText()
{
  for (const auto& it : mPlatform->Counts()) {
    const auto labels = "purpose=\"" + std::string(CallPurposeName(it.mPurpose)) + "\"";
    mMetrics.Set("skylarkchute_store_calls_total", labels, static_cast<double>(it.mSent));
    mMetrics.Set("skylarkchute_store_refused_total", labels, static_cast<double>(it.mRefused));
  }
  mMetrics.Set("skylarkchute_ready", "", mReady ? 1 : 0);
  return mMetrics.PrometheusText();
}

void ServeRuntime::ExecuteAction(const NodeAction& aAction)
{
  const ActionVisitor visitor{
    [&](const CallStoreAction& aCall) { mPlatform->Submit(aCall.mCall); },
    [&](const CallPeerAction& aCall) { mPeerClient->Submit(aCall.mCall); },
    [&](const AnswerPeerAction& aAnswer) { mPeerAnswers.Answer(aAnswer.mToken, aAnswer.mResult); },
    [&](const DispatchAction& aDispatch) { Dispatch(aDispatch); },
    [&](const CancelAction& aCancel) { mAttemptRunner->Cancel(aCancel.mAttempt); },
    [&](const RefuseAction& aRefuse) {
      RecordAnswer(aRefuse.mRefusal.mRequest, std::string(VerdictName(aRefuse.mRefusal.mVerdict)));
      mSessions.Refuse(aRefuse);
    },
    [&](const FinishAction& aFinish) {
      RecordAnswer(aFinish.mRequest, std::string(VerdictName(Verdict::Ran)));
      mSessions.Finish(aFinish);
    },
    [&](const ReplayAction& aReplay) {
      RecordAnswer(aReplay.mRequest, "replayed");
      mSessions.Replay(aReplay);
    },
    [&](const RateAction& aRate) { StartRating(aRate); },
    [&](const LogAction& aLog) { mLog.Write(aLog.mEvent); },
  };
  std::visit(visitor, aAction);
}

void ServeRuntime::Dispatch(const DispatchAction& aAction)
{
  const auto session = mSessions.Find(aAction.mStep.mRequest);
  if (!session) {
    return;
  }
  mSessions.RecordDispatch(aAction);
  AttemptListener::Callbacks callbacks;
  callbacks.mFirstToken = [this](const RequestId& aRequest, const AttemptId& aAttempt) {
    mLoop.Post([aRequest, aAttempt](Node& aNode, NodeTime aTime) {
      return aNode.OnFirstToken(aRequest, aAttempt, aTime);
    });
  };
  callbacks.mEnd = [this](const RequestId& aRequest, const AttemptResult& aResult) {
    AttemptEnded(aRequest, aResult);
  };
  callbacks.mAnswerUnwanted = [this](const AttemptId& aAttempt) {
    mAttemptRunner->Cancel(aAttempt);
  };
  const auto head = mSessions.HeadOf(aAction.mStep.mRequest, aAction.mStep.mAttempt);
  mAttemptRunner->Submit(BuildAttempt(session->Request(), aAction),
                         std::make_shared<AttemptListener>(session, head, std::move(callbacks)));
}

void ServeRuntime::AttemptEnded(const RequestId& aRequest, const AttemptResult& aResult)
{
  for (const auto& it : EventsOf(aResult)) {
    mLog.Write(it);
  }
  mLoop.Post([this, aRequest, aResult](Node& aNode, NodeTime aTime) {
    mSessions.RecordResult(aRequest, aResult);
    return aNode.OnAttemptEnd(aRequest,
                              aResult.mAttempt,
                              aResult.mOutcome,
                              { aResult.mOutcome.mHttpStatus, aResult.mContentType, aResult.mBody },
                              aTime);
  });
}

void ServeRuntime::RecordAnswer(const RequestId& aRequest, const std::string& aVerdict)
{
  const auto session = mSessions.Find(aRequest);
  if (!session) {
    return;
  }
  const auto& facts = session->Facts();
  const auto name = facts.mService ? "service:" + facts.mService->Value() : facts.mClass.Value();
  const auto labels = "class=\"" + name + "\",verdict=\"" + aVerdict + "\"";
  mMetrics.Add(kRequestsMetric, labels);
  const auto now = mClock.Now();
  const auto latency = now - mSessions.ArrivedAt(aRequest, now);
  mMetrics.Record(kLatencyMetric,
                  "class=\"" + name + "\"",
                  std::chrono::duration_cast<std::chrono::microseconds>(latency));
}

void ServeRuntime::StartRating(const RateAction& aAction)
{
  const auto session = mSessions.Find(aAction.mRatingCandidate.mRequest);
  const auto* result =
    mSessions.Result(aAction.mRatingCandidate.mRequest, aAction.mRatingCandidate.mAttempt);
  std::optional<InstanceRecord> ratingService;
  {
    const std::lock_guard lock(mEndpointsMutex);
    ratingService = mRatingService;
  }
  if (!session || result == nullptr || !ratingService) {
    return;
  }
  const RatingRequest request{ ratingService->mAddress,
                               ratingService->mPort,
                               session->Request().mBody,
                               result->mBody,
                               aAction.mRatingCandidate.mVersion.Value() };
  auto task = std::make_unique<RatingTask>([this, aAction, request] {
    if (const auto rating = RequestRating(request, kRatingTimeout)) {
      mLoop.Post([aAction, rating](Node& aNode, NodeTime aTime) {
        return aNode.OnRating(aAction, *rating, aTime);
      });
    }
  });
  try {
    mRatingPool.start(*task);
    static_cast<void>(task.release());
  } catch (const Poco::NoThreadAvailableException&) {
    mMetrics.Add("skylarkchute_ratings_skipped_total", "");
  }
}

std::optional<std::string> ServeRuntime::ServePeer(const PeerServer::Request& aRequest)
{
  const auto token = mPeerAnswers.Open();
  mLoop.Post([token, aRequest](Node& aNode, NodeTime aTime) {
    return aNode.OnPeerRequest(token, aRequest.mFrom, aRequest.mMethod, aRequest.mParams, aTime);
  });
  return mPeerAnswers.Wait(token, kPeerAnswerTimeout);
}

void ServeRuntime::ReadInstances()
{
  leaf::try_handle_all(
    [this]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(list, mInstanceList.Read(mInstancePosition, kInstanceListPollTimeout));
      if (list.mPosition != mInstancePosition) {
        ApplyInstances(list);
      }
      mInstancePosition = list.mPosition;
      return {};
    },
    [this](const Faults& aFaults) {
      mLog.Write({ &kInstanceListUnreadable, { { "reason", aFaults.Text() } } });
    },
    [] {});
}

void ServeRuntime::ApplyInstances(const InstanceList& aList)
{
  std::vector<EndpointRecord> endpoints;
  std::vector<PeerRecord> peers;
  std::optional<InstanceRecord> ratingService;
  for (const auto& it : aList.mInstances) {
    if (it.mKind == InstanceKind::Entry) {
      peers.push_back({ InstanceId(it.mId), it.mAddress, it.mPeerPort, it.mZone, it.mLeaving });
    } else if (it.mKind == InstanceKind::Rating) {
      ratingService = it;
    } else {
      endpoints.push_back(EndpointOf(it));
    }
  }
  {
    const std::lock_guard lock(mEndpointsMutex);
    mEndpoints = endpoints;
    mRatingService = ratingService;
  }
  mLoadPoller->SetEndpoints(endpoints);
  mPeerClient->SetPeers(peers);
  mPlatform->SetFleetSize(peers.size());
  mLoop.Post([endpoints, peers](Node& aNode, NodeTime aTime) {
    return aNode.OnInstances(endpoints, peers, aTime);
  });
}

void ServeRuntime::WriteEntryEvents()
{
  for (const auto& it : mHttpEntry->TakeEvents()) {
    mLog.Write(it);
  }
}

void ServeRuntime::AddLatencies(Json::Value& aStatus) const
{
  aStatus["latencies"] = Json::Value(Json::arrayValue);
  for (const auto& it : mMetrics.HistogramLabels(kLatencyMetric)) {
    const auto histogram = mMetrics.Histogram(kLatencyMetric, it);
    const auto quantileMs = [&](double aQuantile) {
      return std::chrono::duration<double, std::milli>(histogram.Quantile(aQuantile)).count();
    };
    Json::Value entry(Json::objectValue);
    entry["labels"] = it;
    entry["count"] = Json::UInt64(histogram.Count());
    entry["p50_ms"] = quantileMs(0.5);
    entry["p95_ms"] = quantileMs(0.95);
    entry["p99_ms"] = quantileMs(0.99);
    entry["drawing"] = histogram.RenderText();
    aStatus["latencies"].append(entry);
  }
}

void ServeRuntime::AddEndpoints(Json::Value& aStatus) const
{
  aStatus["endpoints"] = Json::Value(Json::arrayValue);
  const std::lock_guard lock(mEndpointsMutex);
  for (const auto& it : mEndpoints) {
    Json::Value entry(Json::objectValue);
    entry["id"] = it.mId.Value();
    entry["zone"] = it.mZone.Value();
    entry["kind"] = it.mKind == EndpointKind::Engine ? "engine" : "service";
    entry["leaving"] = it.mLeaving;
    aStatus["endpoints"].append(entry);
  }
}

} // namespace skylarkchute
