#pragma once

#include "Bundle.h"

#include <string>

namespace skylarkchute {

/** Return the canonical INI section of one entry, followed by an empty line. */
std::string RenderHeader(const Bundle& aBundle);
std::string RenderSection(const Team& aTeam);
std::string RenderSection(const Model& aModel);
std::string RenderSection(const ModelVersion& aVersion);
std::string RenderSection(const RequestClass& aClass);
std::string RenderSection(const Cascade& aCascade);
std::string RenderSection(const RollPlan& aRoll);
std::string RenderSection(const Service& aService);
std::string RenderSection(const EndpointRule& aRule);

/** Returns the canonical INI text of a bundle: defaults are written out, and sections have a fixed
    order and are sorted by name. ParseBundle of this text gives an equal bundle. */
std::string RenderBundle(const Bundle& aBundle);

} // namespace skylarkchute
