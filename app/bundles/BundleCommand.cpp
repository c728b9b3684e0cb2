#include "BundleCommand.h"

#include "CommandSupport.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>

namespace skylarkchute {

namespace leaf = boost::leaf;
namespace options = boost::program_options;

namespace {

/** Parsed arguments of one `bundle` subcommand. */
struct BundleArguments
{
  std::vector<std::string> mPositionals; /**< Positional arguments. */
  std::string mOperator;
  std::string mSince;
  std::optional<Generation> mBase;
};

/** Store, output, clock and arguments of a subcommand. */
struct BundleContext
{
  ObjectApi& mStore;
  std::ostream& mOut;
  const Clock& mClock;
  BundleArguments mArguments;

  BundleLifecycle Lifecycle() const
  {
    return { mStore, { OperatorName(mArguments.mOperator), mClock.WallNow() } };
  }
};

using SubcommandFunction = leaf::result<void> (*)(BundleContext&);

/** One subcommand of `bundle`. */
struct Subcommand
{
  std::string_view mName;
  std::string_view mSynopsis; /**< Positional arguments as shown in the help. */
  std::string_view mHelp;
  std::size_t mMinPositionals = 0;
  std::size_t mMaxPositionals = 0;
  bool mNeedsOperator = false;
  SubcommandFunction mRun = nullptr;
};

leaf::error_id InputError(const std::string& aKey, const std::string& aReason)
{
  return leaf::new_error(Faults{ { { "", aKey, aReason } } });
}

leaf::result<void> Propose(BundleContext& aContext)
{
  const auto& path = aContext.mArguments.mPositionals[0];
  const auto text = ReadFile(path);
  if (!text) {
    return InputError(path, "cannot be read");
  }
  BOOST_LEAF_AUTO(proposal, aContext.Lifecycle().Propose(*text, aContext.mArguments.mBase));
  aContext.mOut << "proposal " << proposal.mId.Value() << " on top of generation " << proposal.mBase
                << "\n"
                << "next: another operator runs 'bundle approve " << proposal.mId.Value()
                << " --operator NAME'\n";
  return {};
}

leaf::result<void> Approve(BundleContext& aContext)
{
  const ProposalId id(aContext.mArguments.mPositionals[0]);
  BOOST_LEAF_AUTO(approval, aContext.Lifecycle().Approve(id));
  aContext.mOut << "proposal " << id.Value() << " approved by " << approval.mOperator.Value()
                << "\nnext: 'bundle roll " << id.Value() << " --operator NAME'\n";
  return {};
}

void PrintAcceptance(const Acceptance& aAcceptance, std::ostream& aOut)
{
  if (aAcceptance.mAnswerLost) {
    aOut << "the platform's answer was lost; reading back shows that the bundle was accepted\n";
  }
  aOut << "generation " << aAcceptance.mHead.mGeneration
       << (aAcceptance.mAlreadyInForce ? " was accepted before" : " is accepted") << ", bundle "
       << aAcceptance.mHead.mBundle.Value() << "\n";
}

leaf::result<void> Roll(BundleContext& aContext)
{
  BOOST_LEAF_AUTO(acceptance,
                  aContext.Lifecycle().Roll(ProposalId(aContext.mArguments.mPositionals[0])));
  PrintAcceptance(acceptance, aContext.mOut);
  return {};
}

leaf::result<void> Revert(BundleContext& aContext)
{
  const auto& text = aContext.mArguments.mPositionals[0];
  const auto generation = ReadCount(text);
  if (!generation) {
    return InputError(text, "is not a generation");
  }
  BOOST_LEAF_AUTO(acceptance, aContext.Lifecycle().Revert(*generation));
  PrintAcceptance(acceptance, aContext.mOut);
  return {};
}

void PrintHeader(const ArchivedBundle& aBundle, std::ostream& aOut)
{
  aOut << "; " << aBundle.mDescription << ", bundle " << aBundle.mId.Value() << "\n";
  if (aBundle.mHead) {
    aOut << "; in force since " << FormatTime(aBundle.mHead->mAcceptedAt) << ", "
         << (aBundle.mHead->mKind == AcceptanceKind::Roll ? "rolled" : "reverted") << " by "
         << aBundle.mHead->mOperator.Value() << "\n";
  }
  if (aBundle.mProposal) {
    aOut << "; proposed by " << aBundle.mProposal->mProposer.Value() << " at "
         << FormatTime(aBundle.mProposal->mProposedAt) << " on top of generation "
         << aBundle.mProposal->mBase << "\n";
  }
  for (const auto& it : aBundle.mApprovals) {
    aOut << "; approved by " << it.mOperator.Value() << " at " << FormatTime(it.mApprovedAt)
         << "\n";
  }
}

leaf::result<void> Show(BundleContext& aContext)
{
  const auto& positionals = aContext.mArguments.mPositionals;
  BOOST_LEAF_AUTO(
    bundle, BundleArchive(aContext.mStore).Find(positionals.empty() ? "head" : positionals[0]));
  PrintHeader(bundle, aContext.mOut);
  for (const auto& it : bundle.mParts) {
    aContext.mOut << it.mText;
  }
  return {};
}

std::string StateOf(const ProposalSummary& aSummary)
{
  if (aSummary.mAcceptedGeneration != 0) {
    return "accepted as generation " + std::to_string(aSummary.mAcceptedGeneration);
  }
  if (!aSummary.mOpen) {
    return "outdated";
  }
  return aSummary.mApprovers.empty() ? "open" : "approved";
}

leaf::result<void> List(BundleContext& aContext)
{
  const auto since = ParseSince(aContext.mArguments.mSince, aContext.mClock.WallNow());
  if (!since) {
    return InputError("--since", "is neither a duration nor a time");
  }
  BundleArchive archive(aContext.mStore);
  BOOST_LEAF_AUTO(head, archive.ReadStoredHead());
  if (head) {
    aContext.mOut << "in force: generation " << head->mHead.mGeneration << ", proposal "
                  << head->mHead.mProposal.Value() << "\n";
  }
  BOOST_LEAF_AUTO(summaries, archive.List(*since));
  for (const auto& it : summaries) {
    aContext.mOut << it.mId.Value() << "  " << FormatTime(it.mProposedAt) << "  by "
                  << std::setw(16) << std::left << it.mProposer.Value() << " on generation "
                  << std::setw(6) << it.mBase << " " << StateOf(it) << "\n";
  }
  return {};
}

leaf::result<void> Diff(BundleContext& aContext)
{
  const auto& positionals = aContext.mArguments.mPositionals;
  const auto from = positionals.size() == 1 ? "head" : positionals[0];
  BOOST_LEAF_AUTO(differences, BundleArchive(aContext.mStore).Diff(from, positionals.back()));
  for (const auto& it : differences) {
    aContext.mOut << it.mName << "\n";
    for (const auto& line : it.mRemovedLines) {
      aContext.mOut << "- " << line << "\n";
    }
    for (const auto& line : it.mAddedLines) {
      aContext.mOut << "+ " << line << "\n";
    }
  }
  return {};
}

constexpr std::array<Subcommand, 7> kSubcommands = { {
  { "propose", "FILE", "Stores a bundle file as a proposal.", 1, 1, true, Propose },
  { "approve", "PROPOSAL", "Approves a proposal of another operator.", 1, 1, true, Approve },
  { "roll", "PROPOSAL", "Puts an approved proposal in force.", 1, 1, true, Roll },
  { "revert", "GENERATION", "Puts an earlier bundle in force again.", 1, 1, true, Revert },
  { "show",
    "[head | GENERATION | PROPOSAL]",
    "Prints a bundle, by default the one in force.",
    0,
    1,
    false,
    Show },
  { "list", "", "Prints recent proposals and their state.", 0, 0, false, List },
  { "diff",
    "[FROM] TO",
    "Prints the lines that differ; FROM is the bundle in force by default.",
    1,
    2,
    false,
    Diff },
} };

void PrintUsage(std::ostream& aOut)
{
  aOut << "usage: skylarkchute bundle COMMAND [ARGUMENTS] [OPTIONS]\n";
  for (const auto& it : kSubcommands) {
    aOut << "  " << std::setw(8) << std::left << it.mName << " " << it.mHelp << "\n";
  }
  aOut << "Exit codes: 0 done, 1 refused, lost to a concurrent bundle or no answer, 2 bad input.\n";
}

options::options_description DescribeOptions(const Subcommand& aSubcommand,
                                             BundleArguments& aArguments)
{
  options::options_description description(
    "usage: skylarkchute bundle " + std::string(aSubcommand.mName) + " " +
    std::string(aSubcommand.mSynopsis) + " [OPTIONS]\n" + std::string(aSubcommand.mHelp) +
    "\nExit codes: 0 done, 1 refused, lost to a concurrent bundle or no answer, 2 bad input.\n"
    "Options");
  description.add_options()("help", "print this page");
  if (aSubcommand.mNeedsOperator) {
    description.add_options()(
      "operator", options::value(&aArguments.mOperator), "name of the operator (required)");
  }
  if (aSubcommand.mName == "propose") {
    description.add_options()(
      "base",
      options::value<Generation>(),
      "generation that the file was derived from; default: the one in force");
  }
  if (aSubcommand.mName == "list") {
    description.add_options()("since",
                              options::value(&aArguments.mSince)->default_value("24h"),
                              "earliest time to print: a duration back from now, or a time");
  }
  return description;
}

int RunSubcommand(const Subcommand& aSubcommand,
                  const std::vector<std::string>& aArguments,
                  BundleContext& aContext,
                  std::ostream& aErrors)
{
  const auto command = "bundle " + std::string(aSubcommand.mName);
  auto& parsed = aContext.mArguments;
  const auto description = DescribeOptions(aSubcommand, parsed);
  options::options_description all;
  all.add(description);
  all.add_options()("item", options::value(&parsed.mPositionals));
  options::positional_options_description positional;
  positional.add("item", -1);
  options::variables_map values;
  try {
    options::store(
      options::command_line_parser(aArguments).options(all).positional(positional).run(), values);
    options::notify(values);
  } catch (const options::error& ex) {
    aErrors << command << ": " << ex.what() << "\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  if (values.count("help") != 0) {
    aContext.mOut << description;
    return static_cast<int>(ExitCode::Ok);
  }
  if (values.count("base") != 0) {
    parsed.mBase = values["base"].as<Generation>();
  }
  const auto count = parsed.mPositionals.size();
  if (count < aSubcommand.mMinPositionals || count > aSubcommand.mMaxPositionals ||
      (aSubcommand.mNeedsOperator && parsed.mOperator.empty())) {
    aErrors << command << ": expects " << aSubcommand.mSynopsis
            << (aSubcommand.mNeedsOperator ? " --operator NAME" : "") << "\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  return static_cast<int>(
    RunAndPrintErrors(command, aErrors, [&] { return aSubcommand.mRun(aContext); }));
}

} // namespace

int RunBundleCommand(const std::vector<std::string>& aArguments,
                     ObjectApi& aStore,
                     std::ostream& aOut,
                     std::ostream& aErrors,
                     const Clock& aClock)
{
  if (aArguments.empty() || aArguments.front() == "--help") {
    PrintUsage(aArguments.empty() ? aErrors : aOut);
    return static_cast<int>(aArguments.empty() ? ExitCode::BadInput : ExitCode::Ok);
  }
  const auto it =
    std::find_if(kSubcommands.begin(), kSubcommands.end(), [&](const Subcommand& aSubcommand) {
      return aSubcommand.mName == aArguments.front();
    });
  if (it == kSubcommands.end()) {
    aErrors << "bundle: unknown command '" << aArguments.front() << "'\n";
    return static_cast<int>(ExitCode::BadInput);
  }
  BundleContext context{ aStore, aOut, aClock, {} };
  return RunSubcommand(*it, { aArguments.begin() + 1, aArguments.end() }, context, aErrors);
}

} // namespace skylarkchute
