#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <map>

namespace skylarkchute {

/** How often requests of each kind were served lately, compared with all. A kind is a number that
    the owner chooses, such as a rank. Performs no I/O. */
class ServedShares
{
public:
  /** Counts a request that asks for service. */
  void OnOffered(std::size_t aKind, TimePoint aNow);

  /** Counts a request that was sent to an endpoint. */
  void OnServed(std::size_t aKind, TimePoint aNow);

  /** Returns the served part of a kind's requests over that of all requests; 1 while too few were
      counted. */
  double RelativeShare(std::size_t aKind) const;

private:
  struct Counts
  {
    double mOffered = 0;
    double mServed = 0;
  };

  void Fade(TimePoint aNow);

  std::map<std::size_t, Counts> mCounts;
  TimePoint mFadedAt{};
};

} // namespace skylarkchute
