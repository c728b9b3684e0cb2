#pragma once

#include "../parts/BundleHead.h"

#include <string>
#include <string_view>

namespace skylarkchute {

/** Key of the head object, which references the bundle in force. */
inline constexpr std::string_view kHeadKey = "bundles/head";
/** Prefix of the roll objects. */
inline constexpr std::string_view kRollPrefix = "rolls/";

/** Return the keys of proposals, bundle parts, approvals and rolls. */
std::string ProposalKey(const ProposalId& aProposal);
std::string PartKey(const std::string& aHash);
std::string ApprovalPrefix(const ProposalId& aProposal);
std::string ApprovalKey(const ProposalId& aProposal, const OperatorName& aOperator);
std::string RollKey(Generation aSince, const RollName& aRoll);

/** Returns `audit/<generation>-<action>`. The generation is zero-padded to ten digits, so that keys
    sort by generation. */
std::string AuditKey(Generation aGeneration, const std::string& aAction);

/** Returns the key prefix of the block of kAuditBlockSize generations that contains
    @p aGeneration. */
std::string AuditBlockPrefix(Generation aGeneration);

/** Number of generations whose audit records share one AuditBlockPrefix. */
inline constexpr Generation kAuditBlockSize = 100;

} // namespace skylarkchute
