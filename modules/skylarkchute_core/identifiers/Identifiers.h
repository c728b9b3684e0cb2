#pragma once

#include "Identifier.h"

namespace skylarkchute {

using TeamName = Identifier<struct TeamTag>;
using ModelName = Identifier<struct ModelTag>;
/** `MODEL/NAME`, unique in a bundle. */
using VersionId = Identifier<struct VersionTag>;
using ClassName = Identifier<struct ClassTag>;
using CascadeName = Identifier<struct CascadeTag>;
using ServiceName = Identifier<struct ServiceTag>;
using RollName = Identifier<struct RollTag>;
using BundleId = Identifier<struct BundleTag>;
using OperatorName = Identifier<struct OperatorTag>;
using InstanceId = Identifier<struct InstanceTag>;
/** One run of an instance, from process start to end. Contains the instance id; never reused.
    @see MakeIncarnation */
using IncarnationId = Identifier<struct IncarnationTag>;
using EndpointId = Identifier<struct EndpointTag>;
using ZoneName = Identifier<struct ZoneTag>;
/** Region that an availability zone belongs to. */
using RegionName = Identifier<struct RegionTag>;
/** Generated for each request by the instance that receives it from the caller. */
using RequestId = Identifier<struct RequestTag>;
/** `REQUEST-ID.N`, sent to the endpoint, which must return it in its response. */
using AttemptId = Identifier<struct AttemptTag>;
/** Idempotency key of a request, or its request id if the caller sent none. */
using RequestKey = Identifier<struct RequestKeyTag>;
/** Session name chosen by a caller, or the id inside a session token. */
using SessionId = Identifier<struct SessionTag>;
/** Digest of the parts of a request that determine how an endpoint processes it. */
using Fingerprint = Identifier<struct FingerprintTag>;

} // namespace skylarkchute
