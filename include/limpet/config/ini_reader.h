#ifndef LIMPET_CONFIG_INI_READER_H_
#define LIMPET_CONFIG_INI_READER_H_

// This header is also compiled as C++17, see CMakeLists.txt.

#include <string>
#include <vector>

#include "limpet/core/error.h"

namespace limpet {

/// One "key = value" line.
struct IniEntry {
  std::string key;
  std::string value;
  SourceLocation location;
};

/// One "[name]" section with its entries in file order.
struct IniSection {
  std::string name;
  SourceLocation location;
  std::vector<IniEntry> entries;
};

/// Parses INI text into sections. A line that starts with '#' or ';' is a comment. Throws
/// `FileError` for a syntax error, a control character, a key before the first section and a
/// duplicate key in a section. `file` is only used in error locations.
std::vector<IniSection> ReadIni(const std::string& text, const std::string& file);

/// Returns the content of a file. Throws `FileError` if it cannot be read.
std::string ReadTextFile(const std::string& path);

}  // namespace limpet

#endif  // LIMPET_CONFIG_INI_READER_H_
