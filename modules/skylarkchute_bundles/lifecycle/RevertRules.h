#pragma once

#include "../model/Bundle.h"

#include <string>
#include <vector>

namespace skylarkchute {

/** Compares what two bundles allow: usable versions, teams, their keys and their permissions. A
    revert needs no approval, so its bundle must not allow more than the one in force; anything more
    needs a proposal and its approval.
    @returns a phrase for error messages for each addition of @p aWanted; empty if there is none */
std::vector<std::string> FindAddedPermissions(const Bundle& aInForce, const Bundle& aWanted);

} // namespace skylarkchute
