#pragma once

#include "../PeerTypes.h"

#include <optional>

namespace skylarkchute {

/** Fractions of a team's limits on requests and tokens, 0 to 1. */
struct QuotaFractions
{
  double mRequests = 0;
  double mTokens = 0;
};

/** The report of one instance on one team. */
struct QuotaReportRow
{
  TeamDemand mDemand;
  QuotaFractions mHeld; /**< In force at the sender. */
  /** The sender has received no grant for QuotaOptions::mSilenceTimeout. */
  bool mStale = false;
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

/** Encodes a message as JSON object text. */
std::string EncodeQuotaReport(const QuotaReport& aMessage);
std::string EncodeQuotaGrants(const QuotaGrants& aMessage);

/** Decodes a message. Returns nothing when @p aText is invalid. */
std::optional<QuotaReport> DecodeQuotaReport(const std::string& aText);
std::optional<QuotaGrants> DecodeQuotaGrants(const std::string& aText);

} // namespace skylarkchute
