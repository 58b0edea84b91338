#ifndef LIMPET_SRC_CLI_TABLE_H_
#define LIMPET_SRC_CLI_TABLE_H_

#include <string>
#include <utility>
#include <vector>

namespace limpet {

/// Returns the text with each control character replaced by '?'. Text from records and nodes may
/// contain escape sequences, which a terminal would execute.
std::string ReplaceControlCharacters(const std::string& text);

/// A text table with aligned columns and one line per row.
class Table {
 public:
  explicit Table(std::vector<std::string> header) : rows_{std::move(header)} {}

  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_TABLE_H_
