#include "AdmissionWaiters.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace skylarkchute {

void AdmissionWaiters::Schedule(boost::asio::io_context& aLoop, FleetRouter& aRouter)
{
  if (mWaiting.empty() || std::exchange(mIsScheduled, true)) {
    return;
  }
  // Not at once: the caller may be in the middle of ending an attempt.
  boost::asio::post(aLoop, [this, &aRouter] {
    mIsScheduled = false;
    Run(aRouter, std::chrono::steady_clock::now());
  });
}

void AdmissionWaiters::Run(FleetRouter& aRouter, TimePoint aNow)
{
  if (mWaiting.empty()) {
    return;
  }
  for (const auto& it : aRouter.Admission().TakeRefused(aNow)) {
    Continue(it.mTicket, &it.mRefusal);
  }
  for (const auto it : aRouter.ReleaseWaiting(aNow)) {
    Continue(it, nullptr);
  }
}

void AdmissionWaiters::RefuseAll(FleetRouter& aRouter, const RelayRefusal& aRefusal)
{
  for (const auto it : aRouter.Admission().TakeRefusable()) {
    Continue(it, &aRefusal);
  }
}

void AdmissionWaiters::Continue(std::uint64_t aTicket, const RelayRefusal* aRefusal)
{
  const auto found = mWaiting.extract(aTicket);
  if (!found.empty()) {
    found.mapped()(aRefusal);
  }
}

} // namespace skylarkchute
