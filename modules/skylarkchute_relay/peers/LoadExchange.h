#pragma once

#include "PeerExchange.h"

namespace skylarkchute {

/** Passes on the load reports of endpoints in the calls between instances, for services whose load
    is known fleet-wide. Performs no I/O. */
class LoadExchange
{
public:
  /** Size of one report before it is encoded in base 64. */
  static constexpr std::size_t kReportBytes = 9;

  /** Limit on the reports in one message. At the usual five messages a second, requests and
      responses, they take about 1 KB/s of the 2 KB/s of an instance's control traffic. */
  static constexpr std::size_t kMaxReports = 16;

  /** Limit on the bytes sent in a second, for times with more messages than usual. */
  static constexpr double kBytesPerSecond = 1060;

  explicit LoadExchange(FleetTable& aEndpoints);

  /** Adds the latest reports that the limits permit.
      @param aKnown  what the receiver last reported; without it nothing is added, because the
                     receiver may not be an instance */
  void Fill(PeerExchange& aExchange, const KnownKinds* aKnown, TimePoint aNow);

  /** Records what another instance sent. */
  void Apply(const PeerExchange& aExchange, TimePoint aNow);

private:
  FleetTable& mEndpoints;
  double mAllowance = 0; /**< Bytes that may be sent now. */
  TimePoint mRefilledAt{};
};

/** Returns reports as text: in base 64, the size of a report, then the reports. Those whose figures
    exceed a byte are left out. */
std::string EncodeLoads(const std::vector<RelayedLoad>& aReports);

/** Parses reports. Bytes of a report beyond those known to this build are ignored.
    @returns nothing but the valid reports; none when the text is not valid */
std::vector<RelayedLoad> DecodeLoads(const std::string& aText);

} // namespace skylarkchute
