#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <map>
#include <set>
#include <vector>

namespace skylarkchute {

/** A request in a queue, ordered by deadline. */
struct QueueEntry
{
  TimePoint mDeadline{};
  RequestId mRequest;
  auto operator<=>(const QueueEntry&) const = default;
};

/** The queued requests of one team at one priority. */
struct TeamQueue
{
  double mWeight = 1;
  double mNormalizedService = 0; /**< Virtual time: requests served, divided by the weight. */
  std::set<QueueEntry> mEntries;
};

/** The queued requests of one priority, for weighted fair queueing between teams. */
struct PriorityQueue
{
  double mVirtualTime = 0; /**< mNormalizedService of the team served last, before it. */
  std::map<TeamName, TeamQueue> mTeams;

  /** Returns the number of queued requests. */
  std::size_t Size() const;
};

/** The queue of a pool. Orders requests by descending priority, then by weighted fair queueing
    between teams, then by deadline within a team. */
class QueueRow
{
public:
  /** Adds a request.
      @param aWeight  larger than zero */
  void Push(std::uint32_t aPriority,
            const TeamName& aTeam,
            double aWeight,
            const QueueEntry& aEntry);

  /** Removes a request; does nothing if it is not queued. */
  void Remove(std::uint32_t aPriority, const TeamName& aTeam, const QueueEntry& aEntry);

  /** Returns the requests in the order of service. */
  std::vector<RequestId> Order() const;

  /** Returns the request to serve next; null if the queue is empty. */
  const RequestId* Next() const;

  /** Records that one request of a team was served. */
  void CountServed(std::uint32_t aPriority, const TeamName& aTeam);

  /** Returns the estimated number of requests that are served before a new one of this team and
      priority.
      @param aWeight  weight of the team, larger than zero */
  double RequestsAhead(std::uint32_t aPriority, const TeamName& aTeam, double aWeight) const;

  /** Returns the number of queued requests. */
  std::size_t Size() const { return mSize; }

  bool IsEmpty() const { return mSize == 0; }

private:
  std::map<std::uint32_t, PriorityQueue, std::greater<>> mPriorities;
  std::size_t mSize = 0;
};

} // namespace skylarkchute
