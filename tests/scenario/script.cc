#include "scenario/script.h"

#include <charconv>
#include <sstream>

namespace limpet::scenario {

Duration ParseDuration(const Statement& statement,
                       const std::string& number,
                       const std::string& unit) {
  int value = 0;
  const auto parsed = std::from_chars(number.data(), number.data() + number.size(), value);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == number.data() + number.size();
  if (!is_number || (unit != "s" && unit != "ms")) {
    throw ScenarioError(
        statement.location,
        "expected a duration such as '3 s' or '250 ms', found '" + number + " " + unit + "'");
  }
  return unit == "s" ? Duration(std::chrono::seconds(value))
                     : Duration(std::chrono::milliseconds(value));
}

namespace {

void ExtractTimeLimit(Statement& statement) {
  std::vector<std::string>& words = statement.words;
  constexpr std::size_t kWithinWords = 3;
  if (words.size() <= kWithinWords || words[words.size() - kWithinWords] != "within") {
    return;
  }
  statement.within = ParseDuration(statement, words[words.size() - 2], words.back());
  words.resize(words.size() - kWithinWords);
}

}  // namespace

std::vector<Statement> ParseScript(std::string_view text, const std::string& file) {
  std::vector<Statement> statements;
  std::istringstream lines{std::string(text)};
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    std::istringstream words(line.substr(0, line.find('#')));
    Statement statement;
    statement.location = {file, number};
    for (std::string word; words >> word;) {
      statement.words.push_back(word);
    }
    if (!statement.words.empty()) {
      ExtractTimeLimit(statement);
      statements.push_back(std::move(statement));
    }
  }
  return statements;
}

}  // namespace limpet::scenario
