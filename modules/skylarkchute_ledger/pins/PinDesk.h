#pragma once

#include "../registers/RegisterRequest.h"

#include <list>
#include <map>

namespace skylarkchute {

enum class PinResult
{
  Pinned,    /**< The session is pinned to the given version, by this request or an earlier one. */
  StoreDown, /**< The pin is not known. The request must not run under this session name. */
};

/** The answer to one Pin. */
struct PinAnswer
{
  RequestId mRequest;
  PinResult mResult = PinResult::StoreDown;
  VersionId mVersion; /**< After Pinned. May differ from the version asked for. */
};

/** What the desk wants done after an event. */
struct PinOutput
{
  std::vector<RegisterRequest> mRegisters;
  std::vector<PinAnswer> mAnswers;
};

/** Pins callers' own session names to the version of their first request, by write-once
    registers. Register requests go to RegisterService; tickets of others are ignored. */
class PinDesk
{
public:
  struct Options
  {
    std::size_t mMostCached = 16384; /**< Pins kept in memory; the least recently used one goes. */
  };

  explicit PinDesk(Options aOptions) : mOptions(aOptions) {}

  /** Returns the pinned version when it is in memory. */
  std::optional<VersionId> Find(const TeamName& aTeam,
                                const SessionId& aSession,
                                WallTime aWallNow);

  /** Pins a session unless it is pinned already; the answer follows.
      @param aExpires  end of the pin; the retention of the bundle decides */
  PinOutput Pin(const RequestId& aRequest,
                const TeamName& aTeam,
                const SessionId& aSession,
                const VersionId& aVersion,
                WallTime aWallNow,
                WallTime aExpires);

  /** Takes in the outcome of a register request. */
  PinOutput OnRegister(const RegisterOutcome& aOutcome);

  /** Returns the number of pins in memory. */
  std::size_t CachedCount() const { return mCache.size(); }

private:
  struct Waiting
  {
    RequestId mRequest;
    std::string mKey;
    WallTime mExpires;
  };

  struct Cached
  {
    std::string mKey;
    VersionId mVersion;
    WallTime mExpires;
  };

  void Remember(Cached aPin);

  Options mOptions;
  std::uint64_t mNextTicket = kFirstPinTicket;
  std::map<std::uint64_t, Waiting> mWaiting;
  std::list<Cached> mCache; /**< Most recently used first. */
  std::map<std::string, std::list<Cached>::iterator> mCacheByKey;
};

} // namespace skylarkchute
