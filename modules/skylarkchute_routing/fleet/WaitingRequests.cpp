#include "WaitingRequests.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace skylarkchute {

namespace {

/** A rank goes first when it is served less often than this part of all. At least a quarter is
    required; the rest covers the lag of the counts. */
constexpr double kRankFloor = 0.35;

/** Large prompts go first when they are served less often than this part of all. At least half is
    required. */
constexpr double kLargeFloor = 0.7;

/** Requests whose times left differ by less than this are ordered by worth. */
constexpr std::chrono::milliseconds kSlackStep{ 250 };

/** Least share of a team relative to the largest one, which bounds the rounds of a turn. */
constexpr double kMinWeight = 0.05;

auto SlackOf(const WaitingRequest& aRequest)
{
  return aRequest.mUntil.time_since_epoch() / kSlackStep;
}

/** Returns whether a request of the same team goes before another one. */
bool GoesBefore(const WaitingRequest& aFirst, const WaitingRequest& aSecond)
{
  return std::make_tuple(SlackOf(aFirst), -aFirst.mWorth, aFirst.mTicket) <
         std::make_tuple(SlackOf(aSecond), -aSecond.mWorth, aSecond.mTicket);
}

} // namespace

void WaitingRequests::OnOffered(std::size_t aRank, bool aIsLarge, TimePoint aNow)
{
  mRanks.OnOffered(aRank, aNow);
  mSizes.OnOffered(aIsLarge ? 1 : 0, aNow);
}

void WaitingRequests::OnServed(std::size_t aRank, bool aIsLarge, TimePoint aNow)
{
  mRanks.OnServed(aRank, aNow);
  mSizes.OnServed(aIsLarge ? 1 : 0, aNow);
}

void WaitingRequests::Add(WaitingRequest aRequest)
{
  mRequests.push_back(std::move(aRequest));
}

bool WaitingRequests::Remove(std::uint64_t aTicket)
{
  return std::erase_if(mRequests, [&](const WaitingRequest& aRequest) {
           return aRequest.mTicket == aTicket;
         }) > 0;
}

/** Returns the place of a request in the order, lowest first: requests that may have run, those of
    a rank or size that is served too seldom, and the others by rank. */
std::size_t WaitingRequests::ClassOf(const WaitingRequest& aRequest) const
{
  if (aRequest.mMayHaveRun) {
    return 0;
  }
  const bool isUnderserved = mRanks.RelativeShare(aRequest.mRank) < kRankFloor ||
                             (aRequest.mIsLarge && mSizes.RelativeShare(1) < kLargeFloor);
  return isUnderserved ? 1 : 2 + aRequest.mRank;
}

/** Returns the indices of the requests among which the next one is chosen by turn. */
WaitingRequests::Candidates WaitingRequests::Eligible(TimePoint aNow) const
{
  Candidates first;
  std::size_t least = 0;
  for (std::size_t i = 0; i < mRequests.size(); ++i) {
    if (mRequests[i].mNotBefore > aNow) {
      continue;
    }
    const auto own = ClassOf(mRequests[i]);
    if (first.empty() || own < least) {
      first.clear();
      least = own;
    }
    if (own == least) {
      first.push_back(i);
    }
  }
  return first;
}

/** Returns the index of the next request by deficit round robin over the teams.
    @param aCandidates  not empty */
std::size_t WaitingRequests::TakeTurn(const Candidates& aCandidates)
{
  std::map<std::string, std::size_t> firsts;
  double quantum = 1;
  double heaviest = 0;
  for (const auto it : aCandidates) {
    const auto& request = mRequests[it];
    const auto [found, isNew] = firsts.try_emplace(request.mTeam, it);
    if (!isNew && GoesBefore(request, mRequests[found->second])) {
      found->second = it;
    }
    quantum = std::max(quantum, request.mCost);
    heaviest = std::max(heaviest, request.mWeight);
  }
  auto turn = firsts.lower_bound(mTurn);
  if (turn == firsts.end()) {
    turn = firsts.begin();
  }
  mHasQuantum = mHasQuantum && turn->first == mTurn;
  while (true) {
    const auto& request = mRequests[turn->second];
    auto& deficit = mDeficits[turn->first];
    if (!std::exchange(mHasQuantum, true)) {
      deficit += quantum * std::max(kMinWeight, request.mWeight / std::max(heaviest, 1e-9));
    }
    if (deficit >= request.mCost) {
      deficit -= request.mCost;
      mTurn = turn->first;
      return turn->second;
    }
    mHasQuantum = false;
    if (++turn == firsts.end()) {
      turn = firsts.begin();
    }
  }
}

std::vector<std::uint64_t> WaitingRequests::Take(std::size_t aCount, TimePoint aNow)
{
  std::vector<std::uint64_t> tickets;
  while (tickets.size() < aCount) {
    const auto candidates = Eligible(aNow);
    if (candidates.empty()) {
      break;
    }
    const auto index = TakeTurn(candidates);
    tickets.push_back(mRequests[index].mTicket);
    mRequests.erase(mRequests.begin() + static_cast<std::ptrdiff_t>(index));
  }
  // A team does not save up turns while it has nothing that waits.
  std::erase_if(mDeficits, [&](const auto& aEntry) {
    return std::none_of(mRequests.begin(), mRequests.end(), [&](const WaitingRequest& aRequest) {
      return aRequest.mTeam == aEntry.first;
    });
  });
  return tickets;
}

std::vector<WaitingRequest> WaitingRequests::Expired(double aRate, TimePoint aNow)
{
  std::vector<WaitingRequest> expired;
  for (std::size_t i = 0; i < mRequests.size();) {
    const auto& request = mRequests[i];
    const std::chrono::duration<double> left = request.mUntil - aNow;
    const bool isHopeless =
      aRate > 0 && !request.mMayHaveRun && AheadOf(request) / aRate > 2 * left.count();
    if (left.count() > 0 && !isHopeless) {
      ++i;
      continue;
    }
    expired.push_back(request);
    mRequests.erase(mRequests.begin() + static_cast<std::ptrdiff_t>(i));
  }
  return expired;
}

double WaitingRequests::AheadOf(const WaitingRequest& aRequest) const
{
  const auto own = ClassOf(aRequest);
  double ahead = 0;
  double ownAhead = 0;
  struct Team
  {
    double mCount = 0;
    double mWeight = 0;
  };
  std::map<std::string, Team> others;
  for (const auto& it : mRequests) {
    if (it.mTicket == aRequest.mTicket) {
      continue;
    }
    if (const auto its = ClassOf(it); its != own) {
      ahead += its < own ? 1 : 0;
    } else if (it.mTeam == aRequest.mTeam) {
      ownAhead += GoesBefore(it, aRequest) ? 1 : 0;
    } else {
      auto& team = others[it.mTeam];
      team.mCount += 1;
      team.mWeight = it.mWeight;
    }
  }
  for (const auto& [name, team] : others) {
    const double turns = (ownAhead + 1) * team.mWeight / std::max(aRequest.mWeight, 1e-9);
    ahead += std::min(team.mCount, turns);
  }
  return ahead + ownAhead;
}

const WaitingRequest* WaitingRequests::LosesLeast() const
{
  std::map<std::pair<std::size_t, std::string>, double> shares;
  for (const auto& it : mRequests) {
    shares[{ ClassOf(it), it.mTeam }] += 1 / std::max(it.mWeight, 1e-9);
  }
  const auto keyOf = [&](const WaitingRequest& aRequest) {
    const auto own = ClassOf(aRequest);
    return std::make_tuple(own, shares[{ own, aRequest.mTeam }], -aRequest.mWorth);
  };
  const WaitingRequest* least = nullptr;
  for (const auto& it : mRequests) {
    if (!it.mMayHaveRun && (least == nullptr || keyOf(it) > keyOf(*least))) {
      least = &it;
    }
  }
  return least;
}

bool WaitingRequests::GoesBehind(const WaitingRequest& aRequest,
                                 const WaitingRequest& aWaiting) const
{
  const auto shareOf = [&](const WaitingRequest& aOther) {
    const auto count =
      std::count_if(mRequests.begin(), mRequests.end(), [&](const WaitingRequest& aIt) {
        return aIt.mTeam == aOther.mTeam && ClassOf(aIt) == ClassOf(aOther);
      });
    return static_cast<double>(count) / std::max(aOther.mWeight, 1e-9);
  };
  const auto keyOf = [&](const WaitingRequest& aOther) {
    return std::make_tuple(ClassOf(aOther), shareOf(aOther), -aOther.mWorth);
  };
  return !aRequest.mMayHaveRun && keyOf(aRequest) >= keyOf(aWaiting);
}

const WaitingRequest* WaitingRequests::Oldest() const
{
  const auto oldest =
    std::min_element(mRequests.begin(),
                     mRequests.end(),
                     [](const WaitingRequest& aFirst, const WaitingRequest& aSecond) {
                       return aFirst.mSince < aSecond.mSince;
                     });
  return oldest == mRequests.end() ? nullptr : &*oldest;
}

} // namespace skylarkchute
