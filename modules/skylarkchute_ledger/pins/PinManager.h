#pragma once

#include "../registers/RegisterRequest.h"

#include <list>
#include <map>

namespace skylarkchute {

enum class PinResult
{
  Pinned,    /**< The session is pinned to PinAnswer::mVersion, by this or an earlier request. */
  StoreDown, /**< The pin is unknown. The request must not run under this session name. */
};

/** Result of one PinManager::Pin call. */
struct PinAnswer
{
  RequestId mRequest;
  PinResult mResult = PinResult::StoreDown;
  VersionId mVersion; /**< Set with Pinned. May differ from the requested version. */
};

/** Actions that the caller of PinManager must carry out. */
struct PinOutput
{
  std::vector<RegisterRequest> mRegisters;
  std::vector<PinAnswer> mAnswers;
};

/** Pins the session names that callers choose to the version of their first request, with
    write-once registers.

    The caller submits PinOutput::mRegisters to RegisterService and passes the outcomes to
    OnRegister, which ignores those of other components. */
class PinManager
{
public:
  struct Options
  {
    /** Pins kept in memory; the least recently used one is evicted. */
    std::size_t mMaxCachedPins = 16384;
  };

  explicit PinManager(Options aOptions) : mOptions(aOptions) {}

  /** Returns the pinned version if the pin is in memory and has not expired. */
  std::optional<VersionId> Find(const TeamName& aTeam,
                                const SessionId& aSession,
                                WallTime aWallNow);

  /** Pins a session unless it is already pinned. The answer is in this output or in that of
      OnRegister.
      @param aExpires  end of the pin's retention period, set by the bundle */
  PinOutput Pin(const RequestId& aRequest,
                const TeamName& aTeam,
                const SessionId& aSession,
                const VersionId& aVersion,
                WallTime aWallNow,
                WallTime aExpires);

  /** Handles the outcome of a register request. */
  PinOutput OnRegister(const RegisterOutcome& aOutcome);

  /** Returns the number of pins in memory. */
  std::size_t CachedCount() const { return mCache.size(); }

private:
  struct PendingPin
  {
    RequestId mRequest;
    std::string mKey;
    WallTime mExpires;
  };

  struct CachedPin
  {
    std::string mKey;
    VersionId mVersion;
    WallTime mExpires;
  };

  void AddToCache(CachedPin aPin);

  Options mOptions;
  std::uint64_t mNextOperationId = kFirstPinOperationId;
  std::map<std::uint64_t, PendingPin> mPendingPins;
  std::list<CachedPin> mCache; /**< Most recently used first. */
  std::map<std::string, std::list<CachedPin>::iterator> mCacheByKey;
};

} // namespace skylarkchute
