#pragma once

#include "ClaimTypes.h"

namespace skylarkchute {

/** The value of a claim register. */
struct ClaimRecord
{
  IncarnationId mHolder;
  RequestId mClaimant;
  Fingerprint mFingerprint;
  WallTime mExpires;
};

/** The value of an outcome register. */
struct OutcomeRecord
{
  bool mReleased = false; /**< Not dispatched; the next generation may be claimed. */
  ClaimOutcome mOutcome;
};

/** Return the keys of the registers of one request.
    @param aGeneration  from 1, one more after each release */
std::string ClaimKey(const TeamName& aTeam, const RequestKey& aKey, std::uint32_t aGeneration);
std::string OutcomeKey(const TeamName& aTeam, const RequestKey& aKey, std::uint32_t aGeneration);

/** Return JSON object text. */
std::string EncodeClaimRecord(const ClaimRecord& aRecord);
std::string EncodeOutcomeRecord(const OutcomeRecord& aRecord);
std::string EncodeClaimQuestion(const ClaimQuestion& aQuestion);
std::string EncodeClaimReport(const ClaimReport& aReport);

/** Return what the text says, or nothing when it cannot be read. */
std::optional<ClaimRecord> DecodeClaimRecord(const std::string& aText);
std::optional<OutcomeRecord> DecodeOutcomeRecord(const std::string& aText);
std::optional<ClaimQuestion> DecodeClaimQuestion(const std::string& aText);
std::optional<ClaimReport> DecodeClaimReport(const std::string& aText);

} // namespace skylarkchute
