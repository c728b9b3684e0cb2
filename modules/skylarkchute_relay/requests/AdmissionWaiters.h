#pragma once

#include <boost/asio/io_context.hpp>
#include <skylarkchute_routing/fleet/Fleet.h>

#include <cstdint>
#include <functional>
#include <map>

namespace skylarkchute {

/** The requests of this process that wait for room at an endpoint, as the router decided
    (AdmissionWait). Starts those that the router releases and ends those that it refuses. */
class AdmissionWaiters
{
public:
  /** Continues a request that waited. Gets the refusal, or null if an attempt may be made. */
  using Continuation = std::function<void(const RelayRefusal*)>;

  /** Adds a request. The continuation is called once, unless the request is removed. */
  void Add(std::uint64_t aTicket, Continuation aContinue)
  {
    mWaiting[aTicket] = std::move(aContinue);
  }

  /** Removes a request. */
  void Remove(std::uint64_t aTicket) { mWaiting.erase(aTicket); }

  /** Lets the loop call Run() soon, because an endpoint may have room now. Does nothing while no
      request waits. */
  void Schedule(boost::asio::io_context& aLoop, FleetRouter& aRouter);

  /** Continues the requests that are released or refused now. */
  void Run(FleetRouter& aRouter, TimePoint aNow);

  /** Refuses those that have not run, because this instance stops. */
  void RefuseAll(FleetRouter& aRouter, const RelayRefusal& aRefusal);

private:
  void Continue(std::uint64_t aTicket, const RelayRefusal* aRefusal);

  std::map<std::uint64_t, Continuation> mWaiting; /**< By ticket. */
  bool mIsScheduled = false;
};

} // namespace skylarkchute
