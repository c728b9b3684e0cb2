#include "FleetFixture.h"

#include <catch2/catch.hpp>

using namespace skylarkchute;

TEST_CASE("fleet: a helper's repeats of a forwarded request count against the retry budget")
{
  // The second attempt counted as the first one, since the first had been counted elsewhere.
  FleetFixture helper;
  helper.AddEndpoints("e", 3);
  RelayRequest request;
  request.mHost = "site";
  request.mPath = "/check/1";
  request.mIsForwarded = true;
  auto plan = std::get<RequestPlan>(helper.mRouter.Admit(request, helper.mNow));
  helper.Run(plan, RelayOutcome::NotRun);
  CHECK(helper.mRouter.RetryUsages(helper.mNow)[ServiceName("svc")].mRepeats == 0);
  helper.Run(plan, RelayOutcome::NotRun);
  CHECK(helper.mRouter.RetryUsages(helper.mNow)[ServiceName("svc")].mRepeats == 1);
}
