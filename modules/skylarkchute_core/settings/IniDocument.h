#pragma once

#include "../errors/Fault.h"

#include <boost/leaf.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkchute {

/** One `key = value` line of an INI section. */
struct IniEntry
{
  std::string mKey;
  std::string mValue;
};

/** One section of an INI document, its entries in file order. */
struct IniSection
{
  std::string mName;
  std::vector<IniEntry> mEntries;
};

/** An INI document: sections in file order, keys unique within a section. */
class IniDocument
{
public:
  /** Parses text. Duplicate sections or keys, keys outside a section and malformed lines are errors
      of type Faults. They name the line, or the key if it is outside a section. */
  static boost::leaf::result<IniDocument> Parse(std::string_view aText);

  /** Returns the sections in file order. */
  const std::vector<IniSection>& Sections() const { return mSections; }

private:
  std::vector<IniSection> mSections;
};

} // namespace skylarkchute
