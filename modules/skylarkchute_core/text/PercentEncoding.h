#pragma once

#include <string>

namespace skylarkchute {

/** Returns the text percent-encoded (RFC 3986), so that it is one segment of a path or one value of
   a query whatever it holds. */
std::string PercentEncoded(const std::string& aText);

} // namespace skylarkchute
