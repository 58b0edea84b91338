#include "limpet/config/ini_reader.h"

#include <cxxtools/char.h>
#include <cxxtools/iniparser.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace limpet {
namespace {

std::string ToBytes(const cxxtools::String& text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (const cxxtools::Char c : text) {
    bytes.push_back(static_cast<char>(c.value()));
  }
  return bytes;
}

bool HasControlCharacter(const std::string& text) {
  for (const char c : text) {
    if ((c >= 0 && c < ' ' && c != '\t') || c == '\x7f') {
      return true;
    }
  }
  return false;
}

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t");
  const std::size_t last = text.find_last_not_of(" \t");
  return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

class SectionCollector : public cxxtools::IniParser::Event {
 public:
  explicit SectionCollector(std::string file) { location_.file = std::move(file); }

  void set_line(int line) { location_.line = line; }
  /// Sets the line of the last character before the current one that is not white space. Keys get
  /// this line, because the parser reports a key only after it has read what follows the key, which
  /// can be lines later.
  void set_text_line(int line) { text_line_ = line; }
  const SourceLocation& location() const { return location_; }
  std::vector<IniSection> TakeSections() { return std::move(sections_); }

  bool onSection(const cxxtools::String& section) override {
    sections_.push_back({Trim(ToCheckedBytes(section)), location_, {}});
    return false;
  }

  bool onKey(const cxxtools::String& key) override {
    IniEntry entry{ToCheckedBytes(key), "", {location_.file, text_line_}};
    if (sections_.empty()) {
      throw FileError(entry.location,
                      "key \"" + entry.key +
                          "\" stands before the first section; move it below a section "
                          "line such as [service NAME]");
    }
    for (const IniEntry& earlier : sections_.back().entries) {
      if (earlier.key == entry.key) {
        throw FileError(entry.location, "key \"" + entry.key + "\" is given twice in [" +
                                            sections_.back().name + "], first in line " +
                                            std::to_string(earlier.location.line) + "; remove one");
      }
    }
    sections_.back().entries.push_back(std::move(entry));
    value_missing_ = true;
    return false;
  }

  bool onValue(const cxxtools::String& value) override {
    sections_.back().entries.back().value = Trim(ToCheckedBytes(value));
    value_missing_ = false;
    return false;
  }

  bool onError() override {
    // The parser can report a missing "=" or an unclosed quote several lines after the key.
    throw FileError(
        value_missing_ ? sections_.back().entries.back().location : location_,
        "not INI text; expected a section \"[kind name]\", \"key = value\" or a comment "
        "line that starts with '#' or ';'");
  }

 private:
  std::string ToCheckedBytes(const cxxtools::String& text) const {
    std::string bytes = ToBytes(text);
    if (HasControlCharacter(bytes)) {
      throw FileError(location_,
                      "a control character or line break inside a name or value; remove it or "
                      "close the quote or bracket");
    }
    return bytes;
  }

  SourceLocation location_;
  int text_line_ = 1;
  std::vector<IniSection> sections_;
  /// True between a key and its value.
  bool value_missing_ = false;
};

}  // namespace

std::vector<IniSection> ReadIni(const std::string& text, const std::string& file) {
  SectionCollector sections(file);
  cxxtools::IniParser parser(sections);
  int line = 1;
  int text_line = 1;
  for (const char c : text) {
    sections.set_line(line);
    sections.set_text_line(text_line);
    // Each byte is passed as one character, so that UTF-8 in comments and values is unchanged.
    parser.parse(cxxtools::Char(static_cast<unsigned char>(c)));
    text_line = c == ' ' || c == '\t' || c == '\r' || c == '\n' ? text_line : line;
    line += c == '\n' ? 1 : 0;
  }
  parser.end();
  return sections.TakeSections();
}

std::string ReadTextFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  if (!in.is_open() || in.bad()) {
    throw FileError({path, 0}, "cannot be read; check the path and the file permissions");
  }
  return text;
}

}  // namespace limpet
