#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

/** Digest of a proposal: the bundle, the generation it is based on and who proposed it. */
using ProposalId = Identifier<struct ProposalTag>;

} // namespace skylarkchute
