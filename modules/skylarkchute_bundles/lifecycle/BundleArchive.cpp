#include "BundleArchive.h"

#include "ObjectKeys.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace skylarkchute {

namespace leaf = boost::leaf;

namespace {

/** References of at most this many digits are generations; proposal identifiers are longer. */
constexpr std::size_t kMaxGenerationDigits = 10;

leaf::error_id NewError(LifecycleErrorKind aKind, std::string aMessage)
{
  return leaf::new_error(LifecycleError{ aKind, std::move(aMessage) });
}

std::vector<std::string> SplitLines(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream in(aText);
  for (std::string line; std::getline(in, line);) {
    if (!line.empty()) {
      lines.push_back(line);
    }
  }
  return lines;
}

/** Returns the lines of @p aLines that @p aOther does not contain. */
std::vector<std::string> LinesNotIn(const std::vector<std::string>& aLines,
                                    const std::vector<std::string>& aOther)
{
  const std::set<std::string> other(aOther.begin(), aOther.end());
  std::vector<std::string> lines;
  std::copy_if(aLines.begin(),
               aLines.end(),
               std::back_inserter(lines),
               [&](const std::string& aLine) { return !other.contains(aLine); });
  return lines;
}

std::map<std::string, std::string> TextsByName(const std::vector<BundlePart>& aParts)
{
  std::map<std::string, std::string> texts;
  for (const auto& it : aParts) {
    texts[it.mName] = it.mText;
  }
  return texts;
}

} // namespace

BundleArchive::BundleArchive(ObjectApi& aApi) : mStore(aApi, CallPurpose::Bundle), mAudit(aApi) {}

leaf::result<std::optional<StoredHead>> BundleArchive::ReadStoredHead()
{
  BOOST_LEAF_AUTO(object, mStore.Get(std::string(kHeadKey)));
  if (!object) {
    return std::optional<StoredHead>{};
  }
  auto head = ReadHead(object->mBody);
  if (!head) {
    return NewError(LifecycleErrorKind::Refused, "the object bundles/head is not valid");
  }
  return std::optional<StoredHead>(StoredHead{ std::move(*head), object->mVersion });
}

leaf::result<Proposal> BundleArchive::FindProposal(const ProposalId& aId)
{
  const auto name = "proposal " + aId.Value();
  if (!IsPlainName(aId.Value())) {
    return NewError(LifecycleErrorKind::NotFound, "'" + aId.Value() + "' names no proposal");
  }
  BOOST_LEAF_AUTO(object, mStore.Get(ProposalKey(aId)));
  if (!object) {
    return NewError(LifecycleErrorKind::NotFound, name + " does not exist");
  }
  auto proposal = ReadProposal(object->mBody);
  if (!proposal || proposal->mId != aId) {
    return NewError(LifecycleErrorKind::Refused, name + " is damaged");
  }
  return proposal;
}

leaf::result<std::vector<Approval>> BundleArchive::FindApprovals(const ProposalId& aId)
{
  BOOST_LEAF_AUTO(entries, mStore.List(ApprovalPrefix(aId)));
  std::vector<Approval> approvals;
  for (const auto& it : entries) {
    auto approval = ReadApproval(it.mBody);
    if (approval && approval->mProposal == aId &&
        it.mKey == ApprovalKey(aId, approval->mOperator)) {
      approvals.push_back(std::move(*approval));
    }
  }
  return approvals;
}

leaf::result<std::vector<BundlePart>> BundleArchive::ReadParts(
  const std::vector<PartReference>& aReferences)
{
  std::vector<BundlePart> parts;
  parts.reserve(aReferences.size());
  for (const auto& it : aReferences) {
    BOOST_LEAF_AUTO(object, mStore.Get(PartKey(it.mHash)));
    BundlePart part{ it.mName, it.mHash, object ? object->mBody : "" };
    if (!object || !part.IsIntact()) {
      return NewError(LifecycleErrorKind::Refused,
                      "part " + it.mName + " is " + (object ? "damaged" : "missing"));
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

leaf::result<ProposalId> BundleArchive::ProposalOfGeneration(Generation aGeneration)
{
  const auto name = "generation " + std::to_string(aGeneration);
  BOOST_LEAF_AUTO(head, ReadStoredHead());
  if (!head || aGeneration == 0 || aGeneration > head->mHead.mGeneration) {
    return NewError(LifecycleErrorKind::NotFound, name + " was never accepted");
  }
  if (aGeneration == head->mHead.mGeneration) {
    return head->mHead.mProposal;
  }
  BOOST_LEAF_AUTO(record, mAudit.FindAcceptance(aGeneration));
  if (!record) {
    return NewError(LifecycleErrorKind::NotFound, name + " has no audit record");
  }
  return record->mProposal;
}

leaf::result<ArchivedBundle> BundleArchive::Find(const std::string& aReference)
{
  ArchivedBundle archived;
  BOOST_LEAF_AUTO(head, ReadStoredHead());
  const auto isShort = aReference.size() <= kMaxGenerationDigits;
  const Generation generation = isShort ? ReadCount(aReference).value_or(0) : 0;
  const auto isHead = head && (aReference == "head" || generation == head->mHead.mGeneration);
  if (isHead) {
    archived.mHead = head->mHead;
    archived.mDescription = "generation " + std::to_string(head->mHead.mGeneration);
    archived.mId = head->mHead.mBundle;
    BOOST_LEAF_ASSIGN(archived.mParts, ReadParts(head->mHead.mParts));
    return archived;
  }
  if (aReference == "head") {
    return NewError(LifecycleErrorKind::NotFound, "no bundle has been accepted yet");
  }
  ProposalId id(aReference);
  archived.mDescription = "proposal " + aReference;
  if (generation != 0) {
    BOOST_LEAF_ASSIGN(id, ProposalOfGeneration(generation));
    archived.mDescription = "generation " + aReference;
  }
  BOOST_LEAF_ASSIGN(archived.mProposal, FindProposal(id));
  BOOST_LEAF_ASSIGN(archived.mApprovals, FindApprovals(id));
  BOOST_LEAF_ASSIGN(archived.mParts, ReadParts(archived.mProposal->mParts));
  archived.mId = archived.mProposal->mBundle;
  return archived;
}

leaf::result<std::vector<PartDifference>> BundleArchive::Diff(const std::string& aFrom,
                                                              const std::string& aTo)
{
  BOOST_LEAF_AUTO(from, Find(aFrom));
  BOOST_LEAF_AUTO(to, Find(aTo));
  const auto fromTexts = TextsByName(from.mParts);
  const auto toTexts = TextsByName(to.mParts);
  std::set<std::string> names;
  for (const auto* texts : { &fromTexts, &toTexts }) {
    for (const auto& [name, text] : *texts) {
      names.insert(name);
    }
  }
  const auto linesOf = [](const auto& aTexts, const std::string& aName) {
    const auto it = aTexts.find(aName);
    return it == aTexts.end() ? std::vector<std::string>{} : SplitLines(it->second);
  };
  std::vector<PartDifference> differences;
  for (const auto& it : names) {
    const auto before = linesOf(fromTexts, it);
    const auto after = linesOf(toTexts, it);
    if (before != after) {
      differences.push_back({ it, LinesNotIn(before, after), LinesNotIn(after, before) });
    }
  }
  return differences;
}

leaf::result<std::vector<ProposalSummary>> BundleArchive::List(WallTime aSince)
{
  BOOST_LEAF_AUTO(stored, ReadStoredHead());
  const auto head = stored ? std::optional(stored->mHead) : std::nullopt;
  BOOST_LEAF_AUTO(records, mAudit.Read(head, aSince));
  const auto current = head ? head->mGeneration : 0;
  std::map<ProposalId, Generation> accepted;
  for (const auto& it : records) {
    if (it.mAction == AuditAction::Rolled) {
      accepted[it.mProposal] = it.mGeneration;
    }
  }
  std::vector<ProposalSummary> summaries;
  for (const auto& it : records) {
    if (it.mAction != AuditAction::Proposed) {
      continue;
    }
    ProposalSummary summary{ it.mProposal,
                             OperatorName(it.mActor),
                             it.mGeneration,
                             it.mAt,
                             {},
                             0,
                             it.mGeneration == current };
    const auto acceptance = accepted.find(it.mProposal);
    summary.mAcceptedGeneration = acceptance == accepted.end() ? 0 : acceptance->second;
    BOOST_LEAF_AUTO(approvals, FindApprovals(it.mProposal));
    for (const auto& approval : approvals) {
      summary.mApprovers.push_back(approval.mOperator);
    }
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

} // namespace skylarkchute
