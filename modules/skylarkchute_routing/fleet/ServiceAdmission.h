#pragma once

#include "FleetTable.h"
#include "PromptSizeClass.h"
#include "RelayRequest.h"
#include "UsualRates.h"
#include "WaitingRequests.h"

#include <map>
#include <random>
#include <variant>

namespace skylarkchute {

/** Decision that a request waits until an endpoint has room. @see FleetRouter::BeginWait */
struct AdmissionWait
{
  TimePoint mUntil{}; /**< It is refused when it was not sent before this time. */
};

/** Why admission refused a request. */
enum class AdmissionRefusal
{
  TooLate,   /**< It had no time left to wait, or could not be sent in that time. */
  QueueFull, /**< As many requests wait as may, and its caller loses least. */
  Stopped,   /**< This instance stopped while it waited. */
  Displaced, /**< It gave way to a request whose caller loses more. */
  Expired,   /**< It waited in vain. */
};

/** Returns the name of a reason for logs and metrics. */
std::string_view AdmissionRefusalName(AdmissionRefusal aReason);

/** Keeps requests from endpoints that have no room for them, and lets them wait at this instance.

    In force for the services whose load is known fleet-wide (FleetRouter::UsesFleetLoad), unless
    their endpoints are brittle. An endpoint has no room when its reported load, with what this
    instance sent since, takes its slots and part of its own queue, or when it rejected a request
    and has not reported room since. An endpoint of which nothing is known has room; in the first
    seconds of a service at this instance, only this instance's part of its places.

    Instances see the same report of free room and would fill it several times over. After
    rejections an instance therefore takes only a part of it (mContenders), besides the places that
    its own requests leave. Performs no I/O. */
class ServiceAdmission
{
public:
  /** Maximum number of waiting requests, of all services. */
  static constexpr std::size_t kMaxWaiting = 256;

  explicit ServiceAdmission(std::uint64_t aSeed);

  /** Sets the number of live instances. */
  void SetInstances(std::size_t aInstances) { mInstances = std::max<std::size_t>(aInstances, 1); }

  /** Removes the endpoints that must not get a request now.
      @param aRows  endpoints of the request's service
      @param aIsOptional  without this attempt the request has another answer, so that a refusal is
                          not counted
      @returns the decision to wait or the refusal, if none of them is left because of that; aRows
               then is as before */
  std::optional<std::variant<AdmissionWait, RelayRefusal>> RemoveFull(std::vector<FleetRow*>& aRows,
                                                                      RequestPlan& aPlan,
                                                                      bool aIsOptional,
                                                                      TimePoint aNow);

  /** Returns whether an endpoint has room for a request that nothing is lost without: no request of
      its service waits, and a first attempt might go there. */
  bool HasSpareRoom(const FleetRow& aRow, TimePoint aNow);

  /** Records an attempt that is planned for an endpoint. */
  void OnPlanned(RequestPlan& aPlan, const FleetRow& aRow, TimePoint aNow);

  /** Records a load that an endpoint reported. */
  void OnReport(const FleetRow& aRow);

  /** Records the end of an attempt. */
  void OnEnded(const FleetRow& aRow, RelayOutcome aOutcome, TimePoint aNow);

  /** Puts a request among the waiting ones.
      @returns its ticket */
  std::uint64_t BeginWait(RequestPlan& aPlan, const AdmissionWait& aWait, TimePoint aNow);

  /** Removes a waiting request whose caller has left or whose deadline has passed. */
  void EndWait(const ServiceName& aService, std::uint64_t aTicket);

  /** Returns the number of requests that this instance may send an endpoint now, for reports. May
      draw a random number, so it is to be called on a copy only. */
  double FreePlaces(const FleetRow& aRow, TimePoint aNow)
  {
    return RoomOf(mServices[aRow.mEntry.mService], aRow, aNow);
  }

  /** Returns whether a request of a service waits. */
  bool HasWaiting(const ServiceName& aService) const;

  /** Returns the services of which requests wait. */
  std::vector<ServiceName> WaitingServices() const;

  /** Removes the waiting requests of a service that there is room for and returns their tickets.
      @param aRows  endpoints of the service that may get requests */
  std::vector<std::uint64_t> Release(const ServiceName& aService,
                                     const std::vector<FleetRow*>& aRows,
                                     TimePoint aNow);

  /** Removes all waiting requests of a service, because waiting is of no use to them, and returns
      their tickets. */
  std::vector<std::uint64_t> ReleaseAll(const ServiceName& aService);

  /** A waiting request that is refused. */
  struct Refused
  {
    std::uint64_t mTicket = 0;
    RelayRefusal mRefusal;
  };

  /** Removes the waiting requests that cannot be sent in time or had to give way. */
  std::vector<Refused> TakeRefused(TimePoint aNow);

  /** Removes the waiting requests that have not run, because this instance stops, and returns their
      tickets. The others wait on, since they cannot be refused. */
  std::vector<std::uint64_t> TakeRefusable();

  /** Forgets endpoints that are gone. */
  void Prune(const FleetTable& aTable);

  /** State of a service, for status reports and metrics. */
  struct Summary
  {
    ServiceName mService;
    std::size_t mWaiting = 0;
    std::map<std::size_t, std::size_t> mWaitingByRank;
    std::chrono::milliseconds mOldest{ 0 }; /**< How long the first of them has waited. */
    double mRate = 0;                       /**< Requests released per second; zero if unknown. */
    double mContenders = 1;
    std::uint64_t mWaits = 0; /**< Waits begun since the start. */
    std::map<std::pair<std::size_t, AdmissionRefusal>, std::uint64_t> mRefusals; /**< By rank. */
    std::map<std::string, std::uint64_t> mRefusedTeams; /**< Refusals by team. */
  };

  std::vector<Summary> Summaries(TimePoint aNow) const;

  /** A service that began or ceased to let requests wait. */
  struct Change
  {
    ServiceName mService;
    bool mIsWaiting = false;
    std::uint64_t mWaits = 0;    /**< In the time that ends. */
    std::uint64_t mRefusals = 0; /**< In the time that ends. */
    std::string mTopTeam;        /**< With the most refusals since the start. */
  };

  /** Returns the changes since the last call. */
  std::vector<Change> TakeChanges(TimePoint aNow);

private:
  struct Endpoint
  {
    std::uint64_t mIncarnationStart = 0;
    TimePoint mDrawnAt{};
    double mAllowance = 0; /**< Part of the free places that it reported last. */
    double mOwnPlaces = 0; /**< Places that requests of this instance left since mLeftAt. */
    TimePoint mLeftAt{};
    TimePoint mRejectedAt{};
    TimePoint mRejectedUntil{};
    std::uint32_t mRejections = 0; /**< Without room being reported in between. */
    bool mIsProbed = false;        /**< By a request sent after mRejectedUntil. */
    /** Random number that rounds this instance's part of its places while nothing is known of it.
     */
    std::optional<double> mBlindDraw;
  };

  struct Service
  {
    WaitingRequests mQueue;
    UsualRates mTeams;
    PromptSizeClass mPrompts;
    std::optional<double> mPlaces; /**< Requests that wait at an endpoint when it rejects. */
    double mContenders = 1;
    TimePoint mContendersAt{};
    double mTakenShare = 1;    /**< Of the slots of endpoints with a fresh report, 1 if unknown. */
    TimePoint mFirstOffered{}; /**< When the first request was offered to this instance. */
    double mReleased = 0;      /**< Released lately, in mReleaseTime. */
    std::chrono::duration<double> mReleaseTime{ 0 };
    TimePoint mReleasedAt{};
    std::uint64_t mWaits = 0;
    std::map<std::pair<std::size_t, AdmissionRefusal>, std::uint64_t> mRefusals;
    std::map<std::string, std::uint64_t> mRefusedTeams;
    bool mIsReported = false; /**< As one of which requests wait. */
    TimePoint mLastWait{};
    std::uint64_t mReportedWaits = 0;
    std::uint64_t mReportedRefusals = 0;
  };

  static double RateOf(const Service& aService);
  static std::uint64_t RefusalsOf(const Service& aService);

  Endpoint& EndpointOf(const FleetRow& aRow);
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }
  double QueueLimit(const Service& aService, double aSlots) const;
  double BlindRoom(const Service& aService, Endpoint& aEndpoint, double aCapacity, TimePoint aNow);
  double RoomOf(Service& aService, const FleetRow& aRow, TimePoint aNow);
  void FadeContenders(Service& aService, TimePoint aNow) const;
  WaitingRequest WaitingOf(const Service& aService, const RequestPlan& aPlan, TimePoint aNow) const;
  std::optional<std::variant<AdmissionWait, RelayRefusal>> Hold(Service& aService,
                                                                const RequestPlan& aPlan,
                                                                bool aIsCalm,
                                                                bool aIsOptional,
                                                                TimePoint aNow);
  RelayRefusal Refuse(Service& aService,
                      const WaitingRequest& aRequest,
                      TimePoint aEnd,
                      TimePoint aNow);
  static void CountRefusal(Service& aService,
                           const WaitingRequest& aRequest,
                           AdmissionRefusal aReason);
  Service* FullestService();

  std::map<ServiceName, Service> mServices;
  std::map<EndpointId, Endpoint> mEndpoints;
  std::map<std::uint64_t, TimePoint> mEnds; /**< Deadlines of the waiting requests, by ticket. */
  std::vector<Refused> mDisplaced;
  std::size_t mWaiting = 0;
  std::size_t mInstances = 1;
  std::uint64_t mTickets = 0;
  std::minstd_rand mRandom;
};

} // namespace skylarkchute
