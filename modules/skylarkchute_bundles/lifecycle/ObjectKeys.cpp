#include "ObjectKeys.h"

#include <algorithm>

namespace skylarkchute {

namespace {

constexpr std::size_t kGenerationDigits = 10;
constexpr std::size_t kAuditBlockDigits = 8; /**< The two digits left give kAuditBlockSize. */

std::string ZeroPadded(Generation aGeneration)
{
  const auto digits = std::to_string(aGeneration);
  return std::string(kGenerationDigits - std::min(kGenerationDigits, digits.size()), '0') + digits;
}

} // namespace

std::string ProposalKey(const ProposalId& aProposal)
{
  return "bundles/proposals/" + aProposal.Value();
}

std::string PartKey(const std::string& aHash)
{
  return "bundles/parts/" + aHash;
}

std::string ApprovalPrefix(const ProposalId& aProposal)
{
  return "bundles/approvals/" + aProposal.Value() + "/";
}

std::string ApprovalKey(const ProposalId& aProposal, const OperatorName& aOperator)
{
  return ApprovalPrefix(aProposal) + aOperator.Value();
}

std::string RollKey(Generation aSince, const RollName& aRoll)
{
  return std::string(kRollPrefix) + std::to_string(aSince) + "/" + aRoll.Value();
}

std::string AuditKey(Generation aGeneration, const std::string& aAction)
{
  return "audit/" + ZeroPadded(aGeneration) + "-" + aAction;
}

std::string AuditBlockPrefix(Generation aGeneration)
{
  return "audit/" + ZeroPadded(aGeneration).substr(0, kAuditBlockDigits);
}

} // namespace skylarkchute
