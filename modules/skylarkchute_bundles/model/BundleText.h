#pragma once

#include "Bundle.h"

#include <string>

namespace skylarkchute {

/** Return the canonical INI section of one entry, ending in an empty line. */
std::string RenderHeader(const Bundle& aBundle);
std::string RenderSection(const Team& aTeam);
std::string RenderSection(const Model& aModel);
std::string RenderSection(const ModelVersion& aVersion);
std::string RenderSection(const RequestClass& aClass);
std::string RenderSection(const Cascade& aCascade);
std::string RenderSection(const RollPlan& aRoll);
std::string RenderSection(const Service& aService);
std::string RenderSection(const EndpointRule& aRule);

/** Returns the canonical INI text: every key given, sections in a fixed order and sorted by name.
    ParseBundle reads it back as an equal bundle. */
std::string RenderBundle(const Bundle& aBundle);

} // namespace skylarkchute
