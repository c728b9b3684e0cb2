#pragma once

#include <skylarkchute_routing/skylarkchute_routing.h>

#include <memory>
#include <string>
#include <vector>

namespace skylarkchute {

/** Load and truth of one request class. */
struct ClassLoad
{
  ClassName mClass;
  double mRequestsPerSecond = 0;
  std::uint32_t mPromptTokens = 0;     /**< Mean. */
  std::uint32_t mCompletionTokens = 0; /**< Mean. */
  std::optional<ServiceName> mService;
  bool mStream = false;
  bool mSessions = false;       /**< Requests come in sessions that keep their version. */
  double mCheapQuality = 0;     /**< Share of good answers of the cheap model. */
  double mExpensiveQuality = 0; /**< Share of good answers of the expensive model. */
};

/** Load of one team. */
struct TeamLoad
{
  TeamName mTeam;
  std::string mApiKey;
  double mWeight = 1;
  double mQualityShift = 0; /**< Added to the cheap model's quality. */
  bool mLarge = false;      /**< Its quality share is reported by itself. */
};

/** One endpoint with its capacity. */
struct EndpointSpec
{
  EndpointRecord mRecord;
  std::uint32_t mSlots = 0;
};

/** Everything that a run draws its requests from. */
struct Workload
{
  std::string mName;
  std::shared_ptr<const Bundle> mBundle;
  std::vector<ClassLoad> mClasses;
  std::vector<TeamLoad> mTeams;
  std::vector<EndpointSpec> mEndpoints;
  std::vector<ZoneName> mZones;
  std::size_t mInstances = 8;

  const ClassLoad& Class(const ClassName& aName) const;
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
  bool mCascades = true;  /**< Else every class uses the expensive model. */
  double mHeadroom = 100; /**< Team limits as a multiple of the mean demand at normal load. */
};

/** Makes the workload `call-boxes` or `booking`.
    @returns an empty pointer when there is none of that name */
std::unique_ptr<Workload> MakeWorkload(const std::string& aName, const WorkloadOptions& aOptions);

} // namespace skylarkchute
