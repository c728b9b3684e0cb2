#pragma once

namespace skylarkchute {

/** Bound on the requests that a cold endpoint gets from all instances in any one second: its rate
    times mOvershoot, plus mSlack. Above it, the endpoint fails. */
struct ColdBound
{
  double mOvershoot = 1.5;
  double mSlack = 5; /**< Requests. */
};

} // namespace skylarkchute
