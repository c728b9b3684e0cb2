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

/** The waiting requests of one team at one priority. */
struct TeamQueue
{
  double mWeight = 1;
  double mServed = 0; /**< Virtual time: requests served over the weight. */
  std::set<QueueEntry> mEntries;
};

/** The waiting requests at one priority. */
struct PriorityQueue
{
  double mVirtualTime = 0; /**< Of the team served last. */
  std::map<TeamName, TeamQueue> mTeams;

  /** Returns how many requests wait. */
  std::size_t Size() const;
};

/** Queue of one pool: larger priority first, then fair between teams by weight, then by deadline.
 */
class QueueRow
{
public:
  /** Adds a request.
      @param aWeight  larger than zero */
  void Push(std::uint32_t aPriority,
            const TeamName& aTeam,
            double aWeight,
            const QueueEntry& aEntry);

  /** Removes a request; does nothing when it is not there. */
  void Remove(std::uint32_t aPriority, const TeamName& aTeam, const QueueEntry& aEntry);

  /** Returns the requests in the order in which they would be served. */
  std::vector<RequestId> Order() const;

  /** Returns the request to be served next, or null. */
  const RequestId* Next() const;

  /** Counts the service of one request of a team. */
  void CountServed(std::uint32_t aPriority, const TeamName& aTeam);

  /** Returns how many requests would be served before a new one of this team and priority. */
  double Ahead(std::uint32_t aPriority, const TeamName& aTeam, double aWeight) const;

  /** Returns how many requests wait. */
  std::size_t Size() const { return mSize; }

  /** Returns whether nothing waits. */
  bool IsEmpty() const { return mSize == 0; }

private:
  std::map<std::uint32_t, PriorityQueue, std::greater<>> mPriorities;
  std::size_t mSize = 0;
};

} // namespace skylarkchute
