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

/// Splits INI text into sections. Comments start with '#' or ';' at the start of a line. Throws
/// `FileError` for text that is not INI, for control characters and for a key before the first
/// section or given twice in a section. `file` appears in locations only.
std::vector<IniSection> ReadIni(const std::string& text, const std::string& file);

/// The whole content of a file. Throws `FileError` if it cannot be read.
std::string ReadTextFile(const std::string& path);

}  // namespace limpet

#endif  // LIMPET_CONFIG_INI_READER_H_
