#include "IniDocument.h"

#include <boost/property_tree/ini_parser.hpp>

#include <sstream>

namespace skylarkchute {

namespace leaf = boost::leaf;

leaf::result<IniDocument> IniDocument::Parse(std::string_view aText)
{
  boost::property_tree::ptree tree;
  std::istringstream in{ std::string(aText) };
  try {
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return leaf::new_error(
      Faults{ { { "", "line " + std::to_string(error.line()), error.message() } } });
  }
  IniDocument document;
  for (const auto& [name, content] : tree) {
    if (!content.data().empty()) {
      return leaf::new_error(Faults{ { { "", name, "is outside any section" } } });
    }
    IniSection section{ name, {} };
    for (const auto& [key, value] : content) {
      section.mEntries.push_back({ key, value.data() });
    }
    document.mSections.push_back(std::move(section));
  }
  return document;
}

} // namespace skylarkchute
