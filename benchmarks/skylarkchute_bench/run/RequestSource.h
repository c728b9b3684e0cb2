#pragma once

#include "RunOptions.h"
#include "RunRecord.h"
#include "workload/Workload.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>

namespace skylarkchute {

/** One request as its caller sends it. */
struct GeneratedRequest
{
  RequestFacts mFacts;
  RequestRecord mRecord;
  std::uint32_t mCompletionTokens = 0;
};

/** Draws requests of one class after the other in the order of their arrival. The draws depend on
    the seed only, never on the router. */
class RequestSource
{
public:
  RequestSource(const Workload& aWorkload, const RunOptions& aOptions);

  /** Returns the time from the start of the run to the next request. */
  std::chrono::microseconds NextArrival() const;

  /** Makes the next request.
      @param aStart  the start of the run */
  GeneratedRequest Next(TimePoint aStart);

private:
  struct ClassStream
  {
    std::chrono::microseconds mNext{ 0 };
    boost::random::mt19937_64 mRandom;
    std::map<TeamName, std::size_t> mOpenSessions;
  };

  std::size_t NextStream() const;
  const TeamLoad& DrawTeam(ClassStream& aStream, std::chrono::microseconds aArrival);
  std::size_t DrawSession(ClassStream& aStream, const TeamName& aTeam);
  void Advance(ClassStream& aStream, const ClassLoad& aLoad);

  const Workload& mWorkload;
  RunOptions mOptions;
  std::vector<ClassStream> mStreams;
  std::uint64_t mNextNumber = 1;
  std::size_t mNextSession = 0;
};

} // namespace skylarkchute
