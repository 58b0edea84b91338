#ifndef LIMPET_SRC_CLI_REQUEST_TIMELINE_H_
#define LIMPET_SRC_CLI_REQUEST_TIMELINE_H_

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cli/command_result.h"

namespace limpet {

/// One line of the event log of a node.
struct LogLine {
  std::string time;
  std::string node;
  std::string event;
  std::map<std::string, std::string> fields;

  /// Returns the value of a field, or an empty string if the line does not have it.
  std::string Get(const std::string& field) const;
};

/// Parses a line in the format logfmt; text before "time=" is skipped. Returns nothing if the line
/// is not an event or ends inside a quoted value.
std::optional<LogLine> ParseLogLine(std::string_view line);

/// Collects the lines of one request from the logs of several nodes, sorts them by time and
/// determines why the request ended.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request_id) : request_id_(std::move(request_id)) {}

  /// Reads all lines of one log.
  void Read(std::istream& log);
  /// Returns the lines and the cause; `kNotFound` if no line has the id of the request.
  CommandResult Result() const;

 private:
  std::vector<LogLine> SortLines() const;
  std::string DescribeCause(const std::vector<LogLine>& lines) const;
  /// Describes a request whose outcome is unknown because a node was lost. `end` is its last event.
  std::string DescribeNodeLoss(const LogLine& end) const;

  std::string request_id_;
  std::vector<LogLine> lines_;
  /// Events of nodes that lost a peer; they explain why a request to that peer was lost.
  std::vector<LogLine> peer_losses_;
  int malformed_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_REQUEST_TIMELINE_H_
