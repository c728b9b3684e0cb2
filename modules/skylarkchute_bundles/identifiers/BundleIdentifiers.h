#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

namespace skylarkchute {

/** Digest of a proposal's bundle, base generation and proposer. */
using ProposalId = Identifier<struct ProposalTag>;

} // namespace skylarkchute
