#pragma once

#include "EndpointNotices.h"

#include <map>
#include <vector>

namespace skylarkchute {

/** Divides the limit that an endpoint names for all instances together among them. Performs no I/O.

    No messages are exchanged: each instance determines from the live instances which of them use
    the limit of an endpoint, and with which part. Only as many do as the limit has requests in a
    second, plus one, so that what they have saved up while idle stays within it. The endpoints of a
    service take their turn in the order of the instances, so that its limits are spread over all of
    them. While views of the live instances differ, too many may use a limit; each of them starts
    without an allowance. */
class EndpointLimitShares
{
public:
  /** Sets the live instances. */
  void SetInstances(InstanceId aSelf, const std::vector<InstanceId>& aOthers);

  /** Returns the part of this instance in an endpoint's limit.
      @param aPosition  of the endpoint among those of the service
      @param aCount     number of the service's endpoints, at least one
      @param aLimit     requests per second */
  EndpointLimitShare ShareOf(const ServiceName& aService,
                             std::size_t aPosition,
                             std::size_t aCount,
                             double aLimit);

private:
  std::size_t RankFor(const ServiceName& aService);

  InstanceId mSelf;
  std::vector<InstanceId> mInstances; /**< This one included; empty until SetInstances. */
  std::map<ServiceName, std::size_t> mRanks;
};

} // namespace skylarkchute
