#include "cli/request_timeline.h"

#include <algorithm>
#include <utility>

#include "cli/table.h"

namespace limpet {

namespace {

/// Parses the value at the start of `text` and removes it from `text`. Returns nothing if a quoted
/// value is not terminated.
std::optional<std::string> ParseValue(std::string_view& text) {
  std::string value;
  if (!text.starts_with('"')) {
    value = text.substr(0, text.find(' '));
    text.remove_prefix(value.size());
    return value;
  }
  for (std::size_t i = 1; i < text.size(); ++i) {
    if (text[i] == '"') {
      text.remove_prefix(i + 1);
      return value;
    }
    if (text[i] == '\\' && i + 1 < text.size()) {
      ++i;
    }
    value += text[i];
  }
  return std::nullopt;
}

std::string FormatFields(const LogLine& line) {
  std::string text;
  for (const auto& [name, value] : line.fields) {
    if (name != "request" && name != "level") {
      text.append(text.empty() ? "" : " ").append(name).append("=").append(value);
    }
  }
  return text;
}

const LogLine* FindEvent(const std::vector<LogLine>& lines, std::string_view event) {
  const auto found = std::ranges::find(lines, event, &LogLine::event);
  return found == lines.end() ? nullptr : &*found;
}

}  // namespace

std::string LogLine::Get(const std::string& field) const {
  const auto found = fields.find(field);
  return found == fields.end() ? "" : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view line) {
  const std::size_t start = line.find("time=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  line.remove_prefix(start);
  LogLine parsed;
  while (!line.empty()) {
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    std::string name(line.substr(0, equals));
    line.remove_prefix(equals + 1);
    auto value = ParseValue(line);
    if (!value) {
      return std::nullopt;
    }
    line.remove_prefix(std::min(line.size(), line.find_first_not_of(' ')));
    parsed.fields[std::move(name)] = std::move(*value);
  }
  for (const auto& [name, member] :
       {std::pair{"time", &LogLine::time}, {"node", &LogLine::node}, {"event", &LogLine::event}}) {
    const auto found = parsed.fields.extract(name);
    if (found.empty()) {
      return std::nullopt;
    }
    parsed.*member = found.mapped();
  }
  return parsed;
}

void RequestTimeline::Read(std::istream& log) {
  std::string text;
  while (std::getline(log, text)) {
    // Avoids parsing the lines of other requests.
    const bool names_request = text.find("request=" + request_id_) != std::string::npos;
    const bool is_peer_event = text.find(" event=peer_") != std::string::npos;
    if (!names_request && !is_peer_event) {
      continue;
    }
    auto line = ParseLogLine(text);
    if (!line) {
      ++malformed_;
    } else if (line->Get("request") == request_id_) {
      lines_.push_back(std::move(*line));
    } else if (line->event == "peer_lost" || line->event == "peer_silent") {
      peer_losses_.push_back(std::move(*line));
    }
  }
}

std::vector<LogLine> RequestTimeline::SortLines() const {
  std::vector<LogLine> lines = lines_;
  std::ranges::stable_sort(lines, {}, &LogLine::time);
  return lines;
}

std::string RequestTimeline::DescribeNodeLoss(const LogLine& end) const {
  const std::string node = end.Get("last_node");
  std::string other_reports;
  for (const LogLine& loss : peer_losses_) {
    if (loss.Get("peer") == node && loss.time <= end.time) {
      other_reports += (other_reports.empty() ? "" : ", ") + loss.node + " at " + loss.time;
    }
  }
  return "node " + node + " was lost before its reply was complete; the request may have run" +
         (other_reports.empty() ? "" : "; also lost by " + other_reports);
}

std::string RequestTimeline::DescribeCause(const std::vector<LogLine>& lines) const {
  if (const LogLine* refused = FindEvent(lines, "request_refused")) {
    return "node " + refused->node +
           " refused the request before it reached a target: " + refused->Get("reason");
  }
  const LogLine* end = FindEvent(lines, "call_ended");
  if (end == nullptr) {
    return "the node of the caller has not logged the end of the request";
  }
  const std::string kind = end->Get("end");
  if (const LogLine* failed = FindEvent(lines, "target_failed"); failed && kind != "not_run") {
    return "target " + failed->Get("instance") + " at node " + failed->node +
           " failed the request: " + failed->Get("exchange") + ", status " + failed->Get("status");
  }
  if (kind == "not_run") {
    return "not run, because " + end->Get("reason") + "; the caller may return after " +
           end->Get("retry_after_ms") + " ms";
  }
  if (kind == "timed_out") {
    return "no response from " + end->Get("last_node") + " within " + end->Get("deadline_ms") +
           " ms";
  }
  return kind == "unknown" ? DescribeNodeLoss(*end) : "response with status " + end->Get("status");
}

CommandResult RequestTimeline::Result() const {
  const std::vector<LogLine> lines = SortLines();
  CommandResult result;
  result.json["request"] = request_id_;
  result.json["malformed_lines"] = malformed_;
  const std::string skipped =
      malformed_ == 0 ? "" : std::to_string(malformed_) + " malformed lines were skipped\n";
  if (lines.empty()) {
    result.code = ExitCode::kNotFound;
    result.json["result"] = "not_found";
    result.text = "no log line has request id " + request_id_ +
                  "; a request that its first attempt completed is not logged\n" + skipped;
    return result;
  }
  Table table({"TIME", "NODE", "EVENT", "DETAILS"});
  result.json["events"] = nlohmann::json::array();
  for (const LogLine& line : lines) {
    table.Add({line.time, line.node, line.event, FormatFields(line)});
    result.json["events"].push_back(
        {{"time", line.time}, {"node", line.node}, {"event", line.event}, {"fields", line.fields}});
  }
  result.json["result"] = "found";
  result.json["cause"] = DescribeCause(lines);
  result.text =
      table.Render() + "cause: " + ReplaceControlCharacters(DescribeCause(lines)) + "\n" + skipped;
  return result;
}

}  // namespace limpet
