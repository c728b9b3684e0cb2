#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace skylarkchute {

/** Determines whether a request may run more than once. @see RelayRoute::IsRetryable */
enum class RequestKind
{
  Idempotent,
  NonIdempotent,
  Stream,
};

/** The region of each availability zone, as far as the settings name it. */
using ZoneRegions = std::map<ZoneName, RegionName>;

/** Identifies a class of requests. @see RelayRoute::Class */
enum class RouteClass : std::uint32_t
{
};

/** One of the services among which a route distributes its requests, by weight. */
struct RouteTarget
{
  ServiceName mService;
  double mWeight = 0;
};

/** One route of the operator's configuration. */
struct RelayRoute
{
  std::string mName;
  std::string mHost;       /**< Lower case, without a port. */
  std::string mPathPrefix; /**< Begins and ends with a slash. */
  RequestKind mKind = RequestKind::NonIdempotent;
  std::vector<RouteTarget> mTargets; /**< Never empty; weights above zero. */
  std::vector<ModelName> mSizes;     /**< Models to choose from, smallest first; may be empty. */
  std::chrono::milliseconds mTimeout{ 0 };
  std::chrono::milliseconds mTargetLatency{ 0 };
  std::chrono::milliseconds mMaxEventGap{ 0 }; /**< Between events of a stream; zero when unset. */
  std::uint32_t mPriority = 0;                 /**< Zero is the most urgent. */
  std::uint32_t mMaxAttempts = 1;
  bool mPublic = false;    /**< Requires no key. */
  bool mResumable = false; /**< A stream may resume on another endpoint. */
  /** Regions of the endpoints that may serve its requests; empty for any. */
  std::vector<RegionName> mAllowedRegions;

  /** Returns whether a request may be sent again after an attempt that may have run. */
  bool IsRetryable() const
  {
    return mKind == RequestKind::Idempotent || (mKind == RequestKind::Stream && mResumable);
  }

  /** Returns the class of the route's requests: routes that the operator declares alike, with the
      same kind, priority, target latency and models, share one, on all instances. Never zero. */
  RouteClass Class() const;
};

/** A model that the endpoints of a service host. */
struct HostedModel
{
  ModelName mName;
  double mCost = 0; /**< Per thousand generated tokens. */
};

/** One service of the operator's configuration. */
struct RelayService
{
  ServiceName mName;
  std::string mHealthPath;
  std::uint32_t mMaxConnections = 0; /**< Per endpoint, over all instances; zero is unlimited. */
  std::uint32_t mEngineSlots = 0;    /**< Zero unless the endpoints are model engines. */
  std::uint64_t mEngineTokens = 0;   /**< KV cache size of one engine, in tokens. */
  std::vector<HostedModel> mModels;
  std::chrono::milliseconds mWarmup{
    0
  }; /**< Time for which an endpoint is cold after its start. */
  /** Requests per second that a cold endpoint takes from all instances together; zero for no
      limit. */
  double mColdRate = 0;
};

/** A team and its API keys. */
struct RelayTeam
{
  TeamName mName;
  std::vector<std::string> mKeys;
  std::optional<std::uint32_t> mPriority;  /**< Overrides the route's priority. */
  std::vector<RegionName> mAllowedRegions; /**< As of a route; both apply. */
};

/** Limits on the size and duration of a caller's request. */
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 16384;
  std::uint32_t mMaxBodyBytes = 4194304;
  std::chrono::milliseconds mHeaderTimeout{ 3000 };
  std::chrono::milliseconds mIdleTimeout{ 15000 };
};

/** The operator's configuration, decoded from the platform's store. */
struct RelayConfig
{
  std::uint64_t mVersion = 0;
  std::vector<RelayRoute> mRoutes;
  std::vector<RelayService> mServices;
  std::vector<RelayTeam> mTeams;
  /** Requests need a key of a team unless their route is public, even if there is no team. */
  bool mRequiresKeys = false;
  /** Members that restrict requests but cannot be read; what they restrict is allowed nothing. */
  std::vector<std::string> mUnreadableRestrictions;
  CallerLimits mLimits;
};

/** Immutable lookup index over one configuration. */
class ConfigIndex
{
public:
  explicit ConfigIndex(RelayConfig aConfig);

  ConfigIndex(const ConfigIndex&) = delete;
  ConfigIndex& operator=(const ConfigIndex&) = delete;

  /** Returns the host's route with the longest matching path prefix, or null.
      @param aHost  value of the request's Host header; case and port are ignored
      @param aPath  without the query */
  const RelayRoute* FindRoute(std::string_view aHost, std::string_view aPath) const;

  /** Returns the team that owns a key, or null. */
  const RelayTeam* FindTeam(const std::string& aKey) const;

  /** Returns a service, or null if it is not configured. */
  const RelayService* FindService(const ServiceName& aService) const;

  /** Returns the number of distinct priorities among a service's routes that are more urgent than
      @p aPriority. */
  std::size_t RankOf(const ServiceName& aService, std::uint32_t aPriority) const;

  /** Returns whether requests need a key of a team unless their route is public. */
  bool RequiresKeys() const { return mConfig.mRequiresKeys || !mConfig.mTeams.empty(); }

  const RelayConfig& Config() const { return mConfig; }

private:
  RelayConfig mConfig;
  std::unordered_map<std::string, std::vector<const RelayRoute*>> mRoutesByHost;
  std::unordered_map<std::string, const RelayTeam*> mTeamsByKey;
  std::unordered_map<std::string, const RelayService*> mServices;
  std::unordered_map<std::string, std::set<std::uint32_t>> mPriorities; /**< By service. */
};

} // namespace skylarkchute
