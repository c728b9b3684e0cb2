#pragma once

namespace skylarkchute {

/** Method names of the JSON-RPC messages between instances, each with the type of its params. */
inline constexpr const char* kRegisterWriteMethod = "register.write"; /**< RegisterForward */
inline constexpr const char* kClaimOutcomeMethod = "claim.outcome";   /**< ClaimStatusQuery */
inline constexpr const char* kUsageBackupMethod = "usage.backup";     /**< UsageBatch */
inline constexpr const char* kUsageDropMethod = "usage.drop";         /**< UsageDrop */
inline constexpr const char* kEvidenceUpMethod = "evidence.up";       /**< EvidenceUp */
inline constexpr const char* kEvidenceDownMethod = "evidence.down";   /**< EvidenceDown */
inline constexpr const char* kAlertSpreadMethod = "alert.spread";     /**< AlertMessage */
inline constexpr const char* kQuotaDemandMethod = "quota.demand";     /**< QuotaReport */
inline constexpr const char* kPeerGoodbyeMethod = "peer.goodbye";     /**< PeerGoodbye */

} // namespace skylarkchute
