#ifndef LIMPET_SRC_CLI_TABLE_H_
#define LIMPET_SRC_CLI_TABLE_H_

#include <string>
#include <utility>
#include <vector>

namespace limpet {

/// The text with each control character replaced by '?'. Records and nodes may hold any bytes, and
/// a terminal would act on them.
std::string OneLine(const std::string& text);

/// Text in aligned columns, each row on one line.
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
