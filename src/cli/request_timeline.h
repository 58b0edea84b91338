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

/// One line of a node's event log.
struct LogLine {
  std::string time;
  std::string node;
  std::string event;
  std::map<std::string, std::string> fields;

  /// Empty for a field that the line does not have.
  std::string Get(const std::string& field) const;
};

/// Reads a line of logfmt; what stands before "time=" is passed over. Nothing if the line is no
/// event or is cut short inside a quoted value.
std::optional<LogLine> ParseLogLine(std::string_view line);

/// Gathers the log lines of several nodes that belong to one request, in the order of time, and
/// names the cause of its end.
class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request_id) : request_id_(std::move(request_id)) {}

  /// Takes all lines of one log.
  void Read(std::istream& log);
  /// `kNotFound` if no line names the request.
  CommandResult Result() const;

 private:
  std::vector<LogLine> Lines() const;
  std::string Cause(const std::vector<LogLine>& lines) const;
  std::string CauseOfLoss(const LogLine& end) const;

  std::string request_id_;
  std::vector<LogLine> lines_;
  /// Losses of peers, as context for requests that were lost with them.
  std::vector<LogLine> peer_losses_;
  int malformed_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_REQUEST_TIMELINE_H_
