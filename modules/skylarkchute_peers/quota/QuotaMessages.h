#pragma once

#include "../PeerTypes.h"

#include <optional>

namespace skylarkchute {

/** Fractions of a team's limits, 0 to 1. */
struct QuotaFractions
{
  double mRequests = 0;
  double mTokens = 0;
};

/** What one instance reports of one team. */
struct QuotaReportRow
{
  TeamDemand mDemand;
  QuotaFractions mHeld; /**< In force at the sender. */
  bool mStale = false;  /**< The sender has had no grant for a while. */
};

/** Peer message `quota.demand` to the collectors of the teams in it. */
struct QuotaReport
{
  InstanceId mFrom;
  std::vector<QuotaReportRow> mRows;
};

/** One grant in the reply. */
struct QuotaGrantRow
{
  TeamName mTeam;
  QuotaFractions mFractions;
};

/** Reply to QuotaReport. */
struct QuotaGrants
{
  std::vector<QuotaGrantRow> mRows;
};

/** Return JSON object text. */
std::string EncodeQuotaReport(const QuotaReport& aMessage);
std::string EncodeQuotaGrants(const QuotaGrants& aMessage);

/** Return the message in the text, or nothing when it cannot be read. */
std::optional<QuotaReport> DecodeQuotaReport(const std::string& aText);
std::optional<QuotaGrants> DecodeQuotaGrants(const std::string& aText);

} // namespace skylarkchute
