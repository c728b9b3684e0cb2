#pragma once

#include "ClaimTypes.h"

namespace skylarkchute {

/** Content of a claim register. */
struct ClaimRecord
{
  IncarnationId mHolder; /**< Incarnation that made the claim. */
  RequestId mClaimant;   /**< Request that holds the claim. */
  Fingerprint mFingerprint;
  WallTime mExpires;
};

/** Content of an outcome register. */
struct OutcomeRecord
{
  bool mReleased = false; /**< Not dispatched; the key may be claimed again. */
  ClaimOutcome mOutcome;
};

/** Return the keys of the two registers of a claim.
    @param aGeneration  number of the claim on the key: starts at 1, increases after each release;
                        unrelated to bundle generations */
std::string ClaimKey(const TeamName& aTeam, const RequestKey& aKey, std::uint32_t aGeneration);
std::string OutcomeKey(const TeamName& aTeam, const RequestKey& aKey, std::uint32_t aGeneration);

/** Return the JSON object text of a record or message. */
std::string EncodeClaimRecord(const ClaimRecord& aRecord);
std::string EncodeOutcomeRecord(const OutcomeRecord& aRecord);
std::string EncodeClaimStatusQuery(const ClaimStatusQuery& aQuestion);
std::string EncodeClaimStatusReply(const ClaimStatusReply& aReport);

/** Return the decoded record or message, or nothing when the text is invalid. */
std::optional<ClaimRecord> DecodeClaimRecord(const std::string& aText);
std::optional<OutcomeRecord> DecodeOutcomeRecord(const std::string& aText);
std::optional<ClaimStatusQuery> DecodeClaimStatusQuery(const std::string& aText);
std::optional<ClaimStatusReply> DecodeClaimStatusReply(const std::string& aText);

} // namespace skylarkchute
