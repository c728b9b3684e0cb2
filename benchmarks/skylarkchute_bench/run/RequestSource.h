#pragma once

#include "RunOptions.h"
#include "RunRecord.h"
#include "workload/Workload.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>

namespace skylarkchute {

/** One request as its caller sends it, with its record and the length of its answer. */
struct GeneratedRequest
{
  RequestFacts mFacts;
  RequestRecord mRecord;
  std::uint32_t mCompletionTokens = 0;
};

/** Generates the requests of all classes in the order of their arrival. Each class has its own
    random stream. The requests depend on the seed only, never on the router. */
class RequestSource
{
public:
  RequestSource(const Workload& aWorkload, const RunOptions& aOptions);

  /** Returns the arrival time of the next request, since the start of the run. */
  std::chrono::microseconds NextArrival() const;

  /** Generates the next request.
      @param aStart  time at which the run started */
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
