#pragma once

#include "../parts/BundleHead.h"

#include <string>
#include <string_view>

namespace skylarkchute {

/** Key of the object that names the bundle in force. */
inline constexpr std::string_view kHeadKey = "bundles/head";
/** Prefix of the roll objects. */
inline constexpr std::string_view kRollPrefix = "rolls/";

/** Return the keys of the objects that hold bundles, approvals, rolls and audit records. */
std::string ProposalKey(const ProposalId& aProposal);
std::string PartKey(const std::string& aHash);
std::string ApprovalPrefix(const ProposalId& aProposal);
std::string ApprovalKey(const ProposalId& aProposal, const OperatorName& aOperator);
std::string RollKey(Generation aSince, const RollName& aRoll);

/** Returns `audit/<generation>-<action>`; the generation has ten digits, so that keys sort by it.
 */
std::string AuditKey(Generation aGeneration, const std::string& aAction);

/** Returns the prefix of the audit records of the hundred generations around @p aGeneration. */
std::string AuditBlockPrefix(Generation aGeneration);

/** Number of generations below one AuditBlockPrefix. */
inline constexpr Generation kAuditBlockSize = 100;

} // namespace skylarkchute
