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
/** One life of an instance: instance id, start time and a random part. Never used again. */
using IncarnationId = Identifier<struct IncarnationTag>;
using EndpointId = Identifier<struct EndpointTag>;
using ZoneName = Identifier<struct ZoneTag>;
/** Made by the entry instance for each request that it receives. */
using RequestId = Identifier<struct RequestTag>;
/** `REQUEST-ID.N`, sent to the endpoint, which must echo it. */
using AttemptId = Identifier<struct AttemptTag>;
/** Idempotency key of a request, or its request id when the caller gave none. */
using RequestKey = Identifier<struct RequestKeyTag>;
/** Session name chosen by a caller, or the id inside a session token. */
using SessionId = Identifier<struct SessionTag>;
/** Digest of the parts of a request that decide what an endpoint does with it. */
using Fingerprint = Identifier<struct FingerprintTag>;

} // namespace skylarkchute
