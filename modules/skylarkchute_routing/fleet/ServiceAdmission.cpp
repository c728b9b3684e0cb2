#include "ServiceAdmission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkchute {

namespace {

using std::chrono::milliseconds;

/** Estimate of the requests that may wait at an endpoint, for each slot, until one rejects. */
constexpr double kDefaultPlacesPerSlot = 0.25;

/** Part of the places to wait at an endpoint that is used. A few waiting requests keep its slots
    busy until this instance hears of a free one; the rest is left to what others send meanwhile. */
constexpr double kUsedPlaces = 0.5;

/** Weight of a rejection in the number of places. */
constexpr double kPlacesWeight = 0.3;

/** Reports of waiting requests that are older than this count only with their estimated load. */
constexpr milliseconds kWaitingLifetime{ 500 };

/** An endpoint that rejected a request gets none for about kMinRejectedTime, doubled with each
    further rejection, unless it reports room. */
constexpr milliseconds kMinRejectedTime{ 250 };
constexpr milliseconds kMaxRejectedTime{ 2000 };
constexpr std::uint32_t kMaxDoublings = 3;

/** Factor of the contenders for each rejection, and for each answer. */
constexpr double kRejectionFactor = 4;
constexpr double kAnswerFactor = 0.98;

/** Factor while less than kScarceShare of the known slots is taken and nothing waits. A division of
    all endpoints would keep requests from those that have their prompts cached. */
constexpr double kLocalRejectionFactor = 1.5;
constexpr double kScarceShare = 0.75;

/** Time in which the contenders are halved. With kRejectionFactor, an instance that keeps taking
    too much is rejected about once in 7 s: 1 in 70 at 11 requests a second. */
constexpr std::chrono::duration<double> kContendersHalfLife{ 10.0 };

/** The part of an endpoint without a recent report is drawn again after this time. */
constexpr milliseconds kDrawInterval{ 1000 };

/** Time from the first request of a service in which an endpoint without a report gets only this
    instance's part of its places: reports are up to this old. After a restart of all instances each
    would otherwise fill the endpoints alone. */
constexpr milliseconds kBlindTime{ 600 };

/** After kBlindTime that part is doubled in this time, for endpoints that report no load. */
constexpr std::chrono::duration<double> kBlindDoubling{ 0.5 };

/** A place that a request of this instance left is this instance's to fill for so long. */
constexpr milliseconds kOwnPlaceTime{ 500 };

/** An endpoint that rejects while less than this part of its slots is taken rejects that request:
    it is too large for what is left of the engine's memory. */
constexpr double kIdleShare = 0.5;

/** Requests are not refused while less of the known places is taken and nothing waits. */
constexpr double kCalmShare = 0.5;

/** A rejected request goes on at once only to an endpoint with a free slot by a report not older
    than this. */
constexpr milliseconds kCurrentReport{ 100 };

/** From this part of the known slots taken, instances divide the free places as after a rejection.
    Otherwise each fills them all in the first second of a burst. */
constexpr double kTightShare = 0.85;

/** A request that was rejected waits about this long before it goes to an endpoint of which nothing
    is known. */
constexpr milliseconds kBlindDelay{ 200 };

/** A request that was released in vain lets the others go first for this time. */
constexpr milliseconds kRewaitDelay{ 100 };

/** Time kept for the answer of a request that may have run. */
constexpr milliseconds kLastAttemptTime{ 50 };

/** Time constant of the rate at which requests are released, and the time from which it is used. */
constexpr std::chrono::duration<double> kRateTime{ 2.0 };
constexpr std::chrono::duration<double> kMinRateTime{ 0.5 };

/** Retry-After while that rate is unknown, and the least one. */
constexpr milliseconds kDefaultRetryAfter{ 500 };
constexpr milliseconds kMinRetryAfter{ 50 };

/** Work of a request besides its tokens, in tokens. */
constexpr double kBaseCost = 100;

/** Worth of a generated token in tokens of the prompt. */
constexpr double kOutputWorth = 10;

/** A service counts as one without waiting requests after this time without any. */
constexpr milliseconds kQuietTime{ 5000 };

/** Maximum number of teams whose refusals are counted one by one. */
constexpr std::size_t kMaxCountedTeams = 200;

double SlotsOf(const FleetRow& aRow)
{
  return aRow.mReport.mSlots > 0 ? aRow.mReport.mSlots : aRow.mEntry.mSlots;
}

/** Returns the load of an endpoint under contention: what the others had there by the last report
    counts in full, since they replace what ends. */
double ContendedLoad(const FleetRow& aRow)
{
  const double reported = aRow.mReport.mRunning + aRow.mReport.mWaiting;
  return aRow.mOutstanding + std::max(0.0, reported - aRow.mOutstandingAtReport);
}

bool IsTried(const RequestPlan& aPlan, const FleetRow& aRow)
{
  return std::find(aPlan.mTried.begin(), aPlan.mTried.end(), aRow.mEntry.mId) != aPlan.mTried.end();
}

} // namespace

std::string_view AdmissionRefusalName(AdmissionRefusal aReason)
{
  switch (aReason) {
    case AdmissionRefusal::TooLate:
      return "too-late";
    case AdmissionRefusal::QueueFull:
      return "queue-full";
    case AdmissionRefusal::Stopped:
      return "stopped";
    case AdmissionRefusal::Displaced:
      return "displaced";
    case AdmissionRefusal::Expired:
      return "expired";
  }
  return "too-late";
}

ServiceAdmission::ServiceAdmission(std::uint64_t aSeed)
  : mRandom(static_cast<std::minstd_rand::result_type>(aSeed % 2147483646U + 1))
{
}

/** Returns the state of an endpoint; one that started again begins anew. */
ServiceAdmission::Endpoint& ServiceAdmission::EndpointOf(const FleetRow& aRow)
{
  auto& endpoint = mEndpoints[aRow.mEntry.mId];
  if (endpoint.mIncarnationStart != aRow.mEntry.mIncarnationStart) {
    endpoint = Endpoint{};
    endpoint.mIncarnationStart = aRow.mEntry.mIncarnationStart;
  }
  return endpoint;
}

/** Returns the requests that may wait at an endpoint besides those that its slots take. */
double ServiceAdmission::QueueLimit(const Service& aService, double aSlots) const
{
  if (aService.mPlaces) {
    return *aService.mPlaces * kUsedPlaces;
  }
  return std::max(1.0, kDefaultPlacesPerSlot * aSlots * kUsedPlaces);
}

void ServiceAdmission::FadeContenders(Service& aService, TimePoint aNow) const
{
  const double halvings =
    std::chrono::duration<double>(aNow - aService.mContendersAt) / kContendersHalfLife;
  if (halvings > 0) {
    aService.mContendersAt = aNow;
    aService.mContenders = std::max(1.0, aService.mContenders * std::exp2(-halvings));
  }
}

/** Returns how many of its places an endpoint without a report has for this instance, a whole
   number unless they all are. */
double ServiceAdmission::BlindRoom(const Service& aService,
                                   Endpoint& aEndpoint,
                                   double aCapacity,
                                   TimePoint aNow)
{
  const std::chrono::duration<double> passed = aNow - aService.mFirstOffered - kBlindTime;
  const double part =
    std::exp2(std::max(0.0, passed / kBlindDoubling)) / static_cast<double>(mInstances);
  if (part >= 1) {
    return aCapacity;
  }
  if (!aEndpoint.mBlindDraw) {
    aEndpoint.mBlindDraw = Draw();
  }
  return std::min(aCapacity, std::floor(aCapacity * part + *aEndpoint.mBlindDraw));
}

/** Returns the number of requests that this instance may send an endpoint now, a whole number. */
double ServiceAdmission::RoomOf(Service& aService, const FleetRow& aRow, TimePoint aNow)
{
  const double slots = SlotsOf(aRow);
  if (slots <= 0) {
    return kMaxWaiting;
  }
  auto& endpoint = EndpointOf(aRow);
  const bool isFresh = aRow.HasFreshReport(aNow);
  const double limit = QueueLimit(aService, slots);
  const double estimate = aRow.KnownLoad(aNow);
  const double load = isFresh ? std::max(estimate, ContendedLoad(aRow)) : estimate;
  const double capacity = slots + limit;
  const double places = isFresh ? capacity : BlindRoom(aService, endpoint, capacity, aNow);
  double room = std::floor(places - load + 0.5);
  if (isFresh && aNow - aRow.mReportedAt < kWaitingLifetime && aRow.mReport.mWaiting > 0 &&
      aRow.mReport.mWaiting >= limit) {
    return 0;
  }
  if (endpoint.mRejections > 0) {
    if (!isFresh || aRow.mReportedAt <= endpoint.mRejectedAt) {
      return endpoint.mRejectedUntil > aNow ? 0 : std::clamp(room, 0.0, 1.0);
    }
    endpoint.mRejections = 0;
  }
  // The ramp already divides the places of an endpoint without a report.
  if (aService.mContenders > 1 && places >= capacity) {
    const bool isDue =
      isFresh ? aRow.mReportedAt > endpoint.mDrawnAt : aNow - endpoint.mDrawnAt >= kDrawInterval;
    if (isDue) {
      const double free = isFresh ? std::max(0.0, room) : 1;
      endpoint.mAllowance = std::floor(free / aService.mContenders + Draw());
      endpoint.mDrawnAt = aNow;
    }
    const bool hasOwnPlaces = aNow - endpoint.mLeftAt < kOwnPlaceTime;
    room = std::min(room, endpoint.mAllowance + (hasOwnPlaces ? endpoint.mOwnPlaces : 0));
  }
  return std::max(0.0, room);
}

std::optional<std::variant<AdmissionWait, RelayRefusal>> ServiceAdmission::RemoveFull(
  std::vector<FleetRow*>& aRows,
  RequestPlan& aPlan,
  bool aIsOptional,
  TimePoint aNow)
{
  auto& service = mServices[aPlan.mService];
  FadeContenders(service, aNow);
  auto& progress = aPlan.mAdmission;
  if (!std::exchange(progress.mIsOffered, true)) {
    progress.mIsLarge = service.mPrompts.OnPrompt(aPlan.mPromptTokens);
    service.mTeams.OnRequest(aPlan.TeamText(), aNow);
    service.mQueue.OnOffered(aPlan.mRank, progress.mIsLarge, aNow);
    if (service.mFirstOffered == TimePoint{}) {
      service.mFirstOffered = aNow;
    }
  }
  const bool mayGoBlind = !aPlan.mWasRejected || progress.mIsReleased;
  const bool mustQueue = service.mQueue.Size() > 0 && !progress.mIsReleased;
  double taken = 0;
  double places = 0;
  for (const auto* it : aRows) {
    if (it->HasFreshReport(aNow)) {
      taken += std::max(it->KnownLoad(aNow), ContendedLoad(*it));
      places += SlotsOf(*it);
    }
  }
  service.mTakenShare = places > 0 ? taken / places : 1;
  if (taken > kTightShare * places) {
    service.mContenders = std::max(service.mContenders, std::sqrt(static_cast<double>(mInstances)));
  }
  std::vector<FleetRow*> usable;
  bool isFull = false;
  for (auto* it : aRows) {
    if (IsTried(aPlan, *it) && !aPlan.mWasRejected) {
      continue;
    }
    const bool hasFreeSlot = aNow - it->mReportedAt < kCurrentReport &&
                             ContendedLoad(*it) + 1 <= SlotsOf(*it) && !IsTried(aPlan, *it);
    if (!mustQueue && RoomOf(service, *it, aNow) >= 1 && (mayGoBlind || hasFreeSlot)) {
      usable.push_back(it);
    } else {
      isFull = true;
    }
  }
  if (!usable.empty()) {
    aRows = std::move(usable);
    return std::nullopt;
  }
  return isFull ? Hold(service, aPlan, taken < kCalmShare * places, aIsOptional, aNow)
                : std::nullopt;
}

bool ServiceAdmission::HasSpareRoom(const FleetRow& aRow, TimePoint aNow)
{
  auto& service = mServices[aRow.mEntry.mService];
  return service.mQueue.Size() == 0 && RoomOf(service, aRow, aNow) >= 1;
}

WaitingRequest ServiceAdmission::WaitingOf(const Service& aService,
                                           const RequestPlan& aPlan,
                                           TimePoint aNow) const
{
  WaitingRequest request;
  request.mRank = aPlan.mRank;
  request.mTeam = aPlan.TeamText();
  request.mWeight = aService.mTeams.RateOf(request.mTeam);
  const auto prompt = static_cast<double>(aPlan.mPromptTokens);
  const auto output = static_cast<double>(aPlan.mMaxOutputTokens);
  request.mCost = kBaseCost + prompt + output;
  request.mWorth = std::max(1.0, prompt + kOutputWorth * output);
  request.mIsLarge = aPlan.mAdmission.mIsLarge;
  request.mMayHaveRun = aPlan.mRuns > 0;
  request.mSince = aPlan.mAdmission.mWaitsSince.value_or(aNow);
  request.mUntil = request.mMayHaveRun
                     ? aPlan.mEnd - kLastAttemptTime
                     : std::min(aPlan.mEnd, aPlan.mArrival + (aPlan.mTarget - aPlan.mArrival) / 2);
  return request;
}

/** Decides on a request that no endpoint has room for. */
std::optional<std::variant<AdmissionWait, RelayRefusal>> ServiceAdmission::Hold(
  Service& aService,
  const RequestPlan& aPlan,
  bool aIsCalm,
  bool aIsOptional,
  TimePoint aNow)
{
  auto request = WaitingOf(aService, aPlan, aNow);
  const std::chrono::duration<double> left = request.mUntil - aNow;
  const double rate = RateOf(aService);
  const bool isTooLate =
    left.count() <= 0 || (rate > 0 && !request.mMayHaveRun &&
                          (aService.mQueue.AheadOf(request) + 1) / rate > left.count());
  if (isTooLate) {
    if (aIsCalm && aService.mQueue.Size() == 0) {
      return std::nullopt;
    }
    if (!aIsOptional) {
      CountRefusal(aService, request, AdmissionRefusal::TooLate);
    }
    return Refuse(aService, request, aPlan.mEnd, aNow);
  }
  if (mWaiting >= kMaxWaiting) {
    auto* fullest = FullestService();
    const auto* least = fullest == nullptr ? nullptr : fullest->mQueue.LosesLeast();
    const bool losesLeast =
      least == nullptr || (fullest == &aService && aService.mQueue.GoesBehind(request, *least));
    if (losesLeast) {
      if (!aIsOptional) {
        CountRefusal(aService, request, AdmissionRefusal::QueueFull);
      }
      return Refuse(aService, request, aPlan.mEnd, aNow);
    }
  }
  return AdmissionWait{ request.mUntil };
}

/** Returns the service with the most waiting requests, or null. */
ServiceAdmission::Service* ServiceAdmission::FullestService()
{
  Service* fullest = nullptr;
  for (auto& [name, service] : mServices) {
    if (service.mQueue.Size() > (fullest == nullptr ? 0 : fullest->mQueue.Size())) {
      fullest = &service;
    }
  }
  return fullest;
}

void ServiceAdmission::CountRefusal(Service& aService,
                                    const WaitingRequest& aRequest,
                                    AdmissionRefusal aReason)
{
  ++aService.mRefusals[{ aRequest.mRank, aReason }];
  if (aService.mRefusedTeams.size() < kMaxCountedTeams ||
      aService.mRefusedTeams.count(aRequest.mTeam) > 0) {
    ++aService.mRefusedTeams[aRequest.mTeam];
  }
}

/** Returns a refusal. Retry-After is the time until the request could be sent, spread so that the
    callers do not return all at once, and at most a third of the time left. */
RelayRefusal ServiceAdmission::Refuse(Service& aService,
                                      const WaitingRequest& aRequest,
                                      TimePoint aEnd,
                                      TimePoint aNow)
{
  const double rate = RateOf(aService);
  const std::chrono::duration<double> wait =
    rate > 0 ? std::chrono::duration<double>((aService.mQueue.AheadOf(aRequest) + 1) / rate)
             : std::chrono::duration<double>(kDefaultRetryAfter);
  const auto third = std::chrono::duration_cast<milliseconds>(aEnd - aNow) / 3;
  const auto spread = std::chrono::duration_cast<milliseconds>(wait * (1 + Draw() / 2));
  // A request that may have run is not refused; its caller's side decides how it ends.
  const auto reason =
    aRequest.mMayHaveRun ? RefusalReason::EndpointsLimited : RefusalReason::Overloaded;
  return { reason, std::max(milliseconds(0), std::min(std::max(spread, kMinRetryAfter), third)) };
}

double ServiceAdmission::RateOf(const Service& aService)
{
  if (aService.mReleaseTime < kMinRateTime) {
    return 0;
  }
  // Half a request stands for none, so that the rate stays above zero.
  return std::max(aService.mReleased, 0.5) / aService.mReleaseTime.count();
}

void ServiceAdmission::OnPlanned(RequestPlan& aPlan, const FleetRow& aRow, TimePoint aNow)
{
  auto& service = mServices[aPlan.mService];
  auto& progress = aPlan.mAdmission;
  progress.mIsReleased = false;
  progress.mWaitsSince.reset();
  if (!std::exchange(progress.mIsServed, true)) {
    service.mQueue.OnServed(aPlan.mRank, progress.mIsLarge, aNow);
  }
  auto& endpoint = EndpointOf(aRow);
  auto& places = endpoint.mOwnPlaces >= 1 ? endpoint.mOwnPlaces : endpoint.mAllowance;
  places = std::max(0.0, places - 1);
  if (endpoint.mRejections > 0 && endpoint.mRejectedUntil <= aNow) {
    // This request tells whether there is room again; until then no other one is sent.
    endpoint.mRejectedUntil = aNow + kMaxRejectedTime;
    endpoint.mIsProbed = true;
  }
}

void ServiceAdmission::OnReport(const FleetRow& aRow)
{
  const auto found = mServices.find(aRow.mEntry.mService);
  if (found == mServices.end()) {
    return;
  }
  auto& places = found->second.mPlaces;
  if (places && aRow.mReport.mWaiting > *places) {
    places = aRow.mReport.mWaiting;
  }
}

void ServiceAdmission::OnEnded(const FleetRow& aRow, RelayOutcome aOutcome, TimePoint aNow)
{
  const auto found = mServices.find(aRow.mEntry.mService);
  if (found == mServices.end()) {
    return;
  }
  auto& service = found->second;
  auto& endpoint = EndpointOf(aRow);
  if (aOutcome != RelayOutcome::NotRun) {
    const bool hasLeftPlace =
      aOutcome == RelayOutcome::Answered || aOutcome == RelayOutcome::Superseded ||
      aOutcome == RelayOutcome::Abandoned || aOutcome == RelayOutcome::Failed;
    if (hasLeftPlace) {
      const bool isRecent = aNow - endpoint.mLeftAt < kOwnPlaceTime;
      endpoint.mOwnPlaces = (isRecent ? endpoint.mOwnPlaces : 0) + 1;
      endpoint.mLeftAt = aNow;
    }
    if (aOutcome == RelayOutcome::Answered) {
      service.mContenders = std::max(1.0, service.mContenders * kAnswerFactor);
      if (endpoint.mIsProbed && aRow.mReportedAt <= endpoint.mRejectedAt) {
        // It does not report its load, so that the answer shows that it has room.
        endpoint.mRejections = 0;
        endpoint.mIsProbed = false;
      }
    }
    return;
  }
  const bool isReported = aRow.HasFreshReport(aNow) && aNow - aRow.mReportedAt < kWaitingLifetime;
  const auto& load = aRow.mReport;
  if (isReported && load.mWaiting == 0 && load.mRunning < kIdleShare * SlotsOf(aRow)) {
    // The request itself is too large for what is left of the engine's memory.
    return;
  }
  if (isReported) {
    const double waiting = load.mWaiting;
    service.mPlaces =
      service.mPlaces ? *service.mPlaces + kPlacesWeight * (waiting - *service.mPlaces) : waiting;
  }
  FadeContenders(service, aNow);
  service.mContendersAt = aNow;
  const bool isScarce = service.mTakenShare >= kScarceShare || service.mQueue.Size() > 0;
  service.mContenders =
    std::min(static_cast<double>(mInstances),
             service.mContenders * (isScarce ? kRejectionFactor : kLocalRejectionFactor));
  endpoint.mAllowance = 0;
  endpoint.mOwnPlaces = 0;
  endpoint.mRejectedAt = aNow;
  // Requests that were sent before the first rejection was known do not prolong the time.
  if (endpoint.mRejections == 0 || std::exchange(endpoint.mIsProbed, false)) {
    const auto doublings = std::min(endpoint.mRejections++, kMaxDoublings);
    const std::chrono::duration<double> time = kMinRejectedTime * (1 << doublings);
    endpoint.mRejectedUntil = aNow + std::chrono::ceil<milliseconds>(time * (0.5 + Draw()));
  }
}

std::uint64_t ServiceAdmission::BeginWait(RequestPlan& aPlan,
                                          const AdmissionWait& aWait,
                                          TimePoint aNow)
{
  auto& service = mServices[aPlan.mService];
  if (mWaiting >= kMaxWaiting) {
    auto* fullest = FullestService();
    if (const auto* least = fullest == nullptr ? nullptr : fullest->mQueue.LosesLeast()) {
      const auto ticket = least->mTicket;
      const auto end = mEnds[ticket];
      CountRefusal(*fullest, *least, AdmissionRefusal::Displaced);
      mDisplaced.push_back({ ticket, Refuse(*fullest, *least, end, aNow) });
      fullest->mQueue.Remove(ticket);
      mEnds.erase(ticket);
      --mWaiting;
    }
  }
  auto request = WaitingOf(service, aPlan, aNow);
  request.mTicket = ++mTickets;
  request.mUntil = aWait.mUntil;
  auto& progress = aPlan.mAdmission;
  if (std::exchange(progress.mIsReleased, false)) {
    request.mNotBefore = aNow + kRewaitDelay;
    service.mReleased = std::max(0.0, service.mReleased - 1);
  } else if (aPlan.mWasRejected) {
    request.mNotBefore = aNow + std::chrono::ceil<milliseconds>(kBlindDelay * (0.5 + Draw()));
  }
  if (!progress.mWaitsSince) {
    progress.mWaitsSince = aNow;
    ++service.mWaits;
  }
  // Loads have changed when it goes on, also at the endpoints that rejected it.
  aPlan.mTried.clear();
  if (service.mQueue.Size() == 0) {
    service.mReleasedAt = aNow;
  }
  if (aNow - service.mFirstOffered < kBlindTime) {
    // The other instances have begun as well, and wait for the same places.
    service.mContenders = static_cast<double>(mInstances);
    service.mContendersAt = aNow;
  }
  service.mLastWait = aNow;
  mEnds[request.mTicket] = aPlan.mEnd;
  ++mWaiting;
  service.mQueue.Add(std::move(request));
  return mTickets;
}

void ServiceAdmission::EndWait(const ServiceName& aService, std::uint64_t aTicket)
{
  const auto found = mServices.find(aService);
  if (found != mServices.end() && found->second.mQueue.Remove(aTicket)) {
    mEnds.erase(aTicket);
    --mWaiting;
  }
}

bool ServiceAdmission::HasWaiting(const ServiceName& aService) const
{
  const auto found = mServices.find(aService);
  return found != mServices.end() && found->second.mQueue.Size() > 0;
}

std::vector<ServiceName> ServiceAdmission::WaitingServices() const
{
  std::vector<ServiceName> names;
  for (const auto& [name, service] : mServices) {
    if (service.mQueue.Size() > 0) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::uint64_t> ServiceAdmission::Release(const ServiceName& aService,
                                                     const std::vector<FleetRow*>& aRows,
                                                     TimePoint aNow)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || found->second.mQueue.Size() == 0) {
    return {};
  }
  auto& service = found->second;
  FadeContenders(service, aNow);
  double room = 0;
  for (const auto* it : aRows) {
    room += RoomOf(service, *it, aNow);
  }
  const auto count =
    static_cast<std::size_t>(std::clamp(room, 0.0, static_cast<double>(service.mQueue.Size())));
  auto tickets = service.mQueue.Take(count, aNow);
  for (const auto it : tickets) {
    mEnds.erase(it);
  }
  mWaiting -= tickets.size();
  const std::chrono::duration<double> passed = aNow - service.mReleasedAt;
  const double factor = std::exp(-passed / kRateTime);
  service.mReleasedAt = aNow;
  service.mReleased = service.mReleased * factor + static_cast<double>(tickets.size());
  service.mReleaseTime = service.mReleaseTime * factor + passed;
  if (service.mQueue.Size() == 0) {
    service.mReleased = 0;
    service.mReleaseTime = std::chrono::duration<double>(0);
  }
  return tickets;
}

std::vector<std::uint64_t> ServiceAdmission::ReleaseAll(const ServiceName& aService)
{
  std::vector<std::uint64_t> tickets;
  auto& service = mServices[aService];
  for (const auto& it : service.mQueue.All()) {
    tickets.push_back(it.mTicket);
  }
  for (const auto it : tickets) {
    service.mQueue.Remove(it);
    mEnds.erase(it);
  }
  mWaiting -= tickets.size();
  service.mReleased = 0;
  service.mReleaseTime = std::chrono::duration<double>(0);
  return tickets;
}

std::vector<ServiceAdmission::Refused> ServiceAdmission::TakeRefused(TimePoint aNow)
{
  auto refused = std::move(mDisplaced);
  mDisplaced.clear();
  for (auto& [name, service] : mServices) {
    for (const auto& it : service.mQueue.Expired(RateOf(service), aNow)) {
      const auto end = mEnds[it.mTicket];
      mEnds.erase(it.mTicket);
      --mWaiting;
      CountRefusal(service, it, AdmissionRefusal::Expired);
      refused.push_back({ it.mTicket, Refuse(service, it, end, aNow) });
    }
  }
  return refused;
}

std::vector<std::uint64_t> ServiceAdmission::TakeRefusable()
{
  std::vector<std::uint64_t> tickets;
  for (auto& [name, service] : mServices) {
    for (const auto& it : std::vector<WaitingRequest>(service.mQueue.All())) {
      if (it.mMayHaveRun) {
        continue;
      }
      CountRefusal(service, it, AdmissionRefusal::Stopped);
      service.mQueue.Remove(it.mTicket);
      mEnds.erase(it.mTicket);
      tickets.push_back(it.mTicket);
    }
  }
  mWaiting -= tickets.size();
  return tickets;
}

void ServiceAdmission::Prune(const FleetTable& aTable)
{
  std::erase_if(mEndpoints,
                [&](const auto& aEntry) { return aTable.All().count(aEntry.first) == 0; });
}

std::uint64_t ServiceAdmission::RefusalsOf(const Service& aService)
{
  std::uint64_t sum = 0;
  for (const auto& [kind, count] : aService.mRefusals) {
    sum += count;
  }
  return sum;
}

std::vector<ServiceAdmission::Summary> ServiceAdmission::Summaries(TimePoint aNow) const
{
  std::vector<Summary> summaries;
  for (const auto& [name, service] : mServices) {
    Summary summary;
    summary.mService = name;
    summary.mWaiting = service.mQueue.Size();
    for (const auto& it : service.mQueue.All()) {
      ++summary.mWaitingByRank[it.mRank];
    }
    if (const auto* oldest = service.mQueue.Oldest()) {
      summary.mOldest = std::chrono::duration_cast<milliseconds>(aNow - oldest->mSince);
    }
    summary.mRate = RateOf(service);
    summary.mContenders = service.mContenders;
    summary.mWaits = service.mWaits;
    summary.mRefusals = service.mRefusals;
    summary.mRefusedTeams = service.mRefusedTeams;
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

std::vector<ServiceAdmission::Change> ServiceAdmission::TakeChanges(TimePoint aNow)
{
  std::vector<Change> changes;
  for (auto& [name, service] : mServices) {
    const bool isWaiting =
      service.mQueue.Size() > 0 || (service.mIsReported && aNow - service.mLastWait < kQuietTime);
    if (std::exchange(service.mIsReported, isWaiting) == isWaiting) {
      continue;
    }
    Change change{ name, isWaiting, 0, 0, {} };
    if (!isWaiting) {
      const auto refusals = RefusalsOf(service);
      change.mWaits = service.mWaits - std::exchange(service.mReportedWaits, service.mWaits);
      change.mRefusals = refusals - std::exchange(service.mReportedRefusals, refusals);
      std::uint64_t most = 0;
      for (const auto& [team, count] : service.mRefusedTeams) {
        if (count > most) {
          most = count;
          change.mTopTeam = team;
        }
      }
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

} // namespace skylarkchute
