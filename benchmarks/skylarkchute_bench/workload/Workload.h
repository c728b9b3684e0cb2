#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** Arrival rate, request sizes and answer quality of one request class. */
struct ClassLoad
{
  ClassName mClass;
  double mRequestsPerSecond = 0;
  std::uint32_t mPromptTokens = 0;     /**< Mean. */
  std::uint32_t mCompletionTokens = 0; /**< Mean. */
  std::optional<ServiceName> mService; /**< If set, requests go to this service, not to a model. */
  bool mStream = false;
  bool mSessions = false;       /**< Requests belong to sessions; a session stays on one version. */
  double mCheapQuality = 0;     /**< Share of good answers of the cheap model. */
  double mExpensiveQuality = 0; /**< Share of good answers of the expensive model. */
};

/** Share of the load and answer quality of one team. */
struct TeamLoad
{
  TeamName mTeam;
  std::string mApiKey;
  double mWeight = 1;       /**< Share of the requests of every class. */
  double mQualityShift = 0; /**< Added to the cheap model's quality. */
  bool mLarge = false;      /**< Its share of good answers is reported separately. */
};

/** One endpoint and its capacity. */
struct EndpointSpec
{
  EndpointRecord mRecord;
  std::uint32_t mSlots = 0; /**< Jobs that run at the same time. */
};

/** The bundle, the load and the fleet of a run. */
struct Workload
{
  std::string mName;
  std::shared_ptr<const Bundle> mBundle;
  std::vector<ClassLoad> mClasses;
  std::vector<TeamLoad> mTeams;
  std::vector<EndpointSpec> mEndpoints;
  std::vector<ZoneName> mZones;
  std::size_t mInstances = 8; /**< Number of router instances. */

  /** Returns the load of a class, which must be in the workload. */
  const ClassLoad& Class(const ClassName& aName) const;
  /** Returns the load of a team, which must be in the workload. */
  const TeamLoad& Team(const TeamName& aName) const;
};

inline const char* const kCheapModel = "small";
inline const char* const kExpensiveModel = "large";
inline const char* const kCheapVersion = "small/v1";
inline const char* const kRollingVersion = "small/v2";
inline const char* const kExpensiveVersion = "large/v1";
inline const char* const kRoll = "small-v2";

struct WorkloadOptions
{
  double mLoad = 1;       /**< Factor on every arrival rate. */
  bool mCascades = true;  /**< If false, every class uses the expensive model only. */
  double mHeadroom = 100; /**< Team limits as a multiple of the mean demand at normal load. */
};

/** Creates the workload `call-boxes` or `booking`.
    @returns a null pointer if the name is unknown */
std::unique_ptr<Workload> MakeWorkload(const std::string& aName, const WorkloadOptions& aOptions);

} // namespace skylarkchute
