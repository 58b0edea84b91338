#include "cli/table.h"

#include <algorithm>

namespace limpet {

std::string ReplaceControlCharacters(const std::string& text) {
  std::string result = text;
  std::ranges::replace_if(
      result, [](char c) { return (c >= 0 && c < ' ') || c == '\x7f'; }, '?');
  return result;
}

std::string Table::Render() const {
  std::vector<std::size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += ReplaceControlCharacters(row[i]) + std::string(widths[i] + 2 - row[i].size(), ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

}  // namespace limpet
