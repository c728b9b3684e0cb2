#include "QueueRow.h"

#include <algorithm>
#include <cassert>

namespace skylarkchute {

namespace {

/** Returns the team with queued requests that has the least normalized service; null if none. */
const TeamQueue* LeastServed(const PriorityQueue& aQueue)
{
  const TeamQueue* least = nullptr;
  for (const auto& it : aQueue.mTeams) {
    if (it.second.mEntries.empty()) {
      continue;
    }
    if (least == nullptr || it.second.mNormalizedService < least->mNormalizedService) {
      least = &it.second;
    }
  }
  return least;
}

/** Removes teams without queued requests that have not received more service than their share. */
void Prune(PriorityQueue& aQueue)
{
  std::erase_if(aQueue.mTeams, [&](const auto& aItem) {
    return aItem.second.mEntries.empty() && aItem.second.mNormalizedService <= aQueue.mVirtualTime;
  });
}

} // namespace

std::size_t PriorityQueue::Size() const
{
  std::size_t size = 0;
  for (const auto& it : mTeams) {
    size += it.second.mEntries.size();
  }
  return size;
}

void QueueRow::Push(std::uint32_t aPriority,
                    const TeamName& aTeam,
                    double aWeight,
                    const QueueEntry& aEntry)
{
  assert(aWeight > 0);
  auto& level = mPriorities[aPriority];
  auto& team = level.mTeams[aTeam];
  if (team.mEntries.empty()) {
    team.mNormalizedService = std::max(team.mNormalizedService, level.mVirtualTime);
  }
  team.mWeight = aWeight;
  if (team.mEntries.insert(aEntry).second) {
    ++mSize;
  }
}

void QueueRow::Remove(std::uint32_t aPriority, const TeamName& aTeam, const QueueEntry& aEntry)
{
  const auto level = mPriorities.find(aPriority);
  if (level == mPriorities.end()) {
    return;
  }
  const auto team = level->second.mTeams.find(aTeam);
  if (team == level->second.mTeams.end()) {
    return;
  }
  mSize -= team->second.mEntries.erase(aEntry);
}

std::vector<RequestId> QueueRow::Order() const
{
  std::vector<RequestId> order;
  order.reserve(mSize);
  for (const auto& level : mPriorities) {
    struct Position
    {
      double mNormalizedService;
      TimePoint mDeadline;
      const RequestId* mRequest;
    };
    std::vector<Position> positions;
    for (const auto& team : level.second.mTeams) {
      double normalizedService = team.second.mNormalizedService;
      for (const auto& it : team.second.mEntries) {
        positions.push_back({ normalizedService, it.mDeadline, &it.mRequest });
        normalizedService += 1 / team.second.mWeight;
      }
    }
    std::stable_sort(
      positions.begin(), positions.end(), [](const Position& aLeft, const Position& aRight) {
        return aLeft.mNormalizedService != aRight.mNormalizedService
                 ? aLeft.mNormalizedService < aRight.mNormalizedService
                 : aLeft.mDeadline < aRight.mDeadline;
      });
    for (const auto& it : positions) {
      order.push_back(*it.mRequest);
    }
  }
  return order;
}

const RequestId* QueueRow::Next() const
{
  for (const auto& it : mPriorities) {
    const auto* team = LeastServed(it.second);
    if (team != nullptr) {
      return &team->mEntries.begin()->mRequest;
    }
  }
  return nullptr;
}

void QueueRow::CountServed(std::uint32_t aPriority, const TeamName& aTeam)
{
  const auto level = mPriorities.find(aPriority);
  if (level == mPriorities.end()) {
    return;
  }
  const auto team = level->second.mTeams.find(aTeam);
  if (team == level->second.mTeams.end()) {
    return;
  }
  level->second.mVirtualTime =
    std::max(level->second.mVirtualTime, team->second.mNormalizedService);
  team->second.mNormalizedService += 1 / team->second.mWeight;
  Prune(level->second);
}

double QueueRow::RequestsAhead(std::uint32_t aPriority, const TeamName& aTeam, double aWeight) const
{
  double ahead = 0;
  for (const auto& level : mPriorities) {
    if (level.first < aPriority) {
      break;
    }
    if (level.first > aPriority) {
      ahead += static_cast<double>(level.second.Size());
      continue;
    }
    const auto own = level.second.mTeams.find(aTeam);
    const double ownSize =
      own == level.second.mTeams.end() ? 0 : static_cast<double>(own->second.mEntries.size());
    ahead += ownSize;
    for (const auto& it : level.second.mTeams) {
      if (it.first == aTeam) {
        continue;
      }
      const double maxServedBefore = (ownSize + 1) * it.second.mWeight / aWeight;
      ahead += std::min(static_cast<double>(it.second.mEntries.size()), maxServedBefore);
    }
  }
  return ahead;
}

} // namespace skylarkchute
