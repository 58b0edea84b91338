#ifndef LIMPET_SETTINGS_NODE_SETTINGS_H_
#define LIMPET_SETTINGS_NODE_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "limpet/control/control_output.h"
#include "limpet/core/enum_names.h"
#include "limpet/core/error.h"
#include "limpet/distribution/distribution_mode.h"
#include "limpet/traffic/limit_strategy.h"
#include "limpet/traffic/selection_strategy.h"

namespace limpet {

/// Where finished spans go.
enum class TraceOutput { kNone, kFile, kCollector };

inline constexpr EnumNames<TraceOutput, 3> kTraceOutputNames = {{
    {TraceOutput::kNone, "none"},
    {TraceOutput::kFile, "file"},
    {TraceOutput::kCollector, "collector"},
}};

/// The names are those of spdlog.
enum class LogLevel { kTrace, kDebug, kInfo, kWarning, kError, kOff };

inline constexpr EnumNames<LogLevel, 6> kLogLevelNames = {{
    {LogLevel::kTrace, "trace"},
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
    {LogLevel::kOff, "off"},
}};

/// Settings of `limpetd`. The initial values are the defaults; docs/SETTINGS.md lists all keys.
struct NodeSettings {
  // [node]
  std::string name;
  std::string data_centre;
  std::string service;
  /// IP address under which other nodes reach this one; also the address listened on.
  std::string host = "127.0.0.1";
  /// UDP port of datagrams and TCP port of the Thrift peer service.
  int peer_port = 7400;
  /// HTTP port for callers and for /metrics, /health, /ready and the admin requests.
  int http_port = 7480;
  std::vector<PeerAddress> seeds;

  // [target]
  std::string target_host = "127.0.0.1";
  int target_port = 8080;
  std::string target_health_path = "/health";
  int target_health_interval_ms = 1000;
  int target_health_timeout_ms = 500;

  // [log]
  /// Empty: the node runs without the platform's log.
  std::string log_host;
  int log_port = 7500;
  int log_timeout_ms = 2000;

  // [trace]
  double trace_sampling = 0.0;
  TraceOutput trace_output = TraceOutput::kNone;
  std::string trace_file;
  std::string trace_collector_host = "127.0.0.1";
  int trace_collector_port = 4318;

  // [logging]
  LogLevel log_level = LogLevel::kInfo;

  // [limits]
  int slots = 12;
  int queue_length = 24;
  int connections = 130;
  int max_body_bytes = 1024 * 1024;
  LimitKind limit_policy = LimitKind::kGradient;
  SelectionKind selection_policy = SelectionKind::kPowerOfTwo;

  // [edge]
  /// Where callers on this VM send their requests.
  PeerAddress outbound;
  /// Where readiness is asked for.
  PeerAddress readiness;
  /// Where the target on this VM sends its heartbeats.
  PeerAddress announcements;
  /// Where the target on this VM takes requests.
  PeerAddress target;
  /// Where the store is that keeps the configuration and the addresses of nodes.
  PeerAddress store;
  /// Bandwidth of this VM's network link; the widest links read the store for others.
  double link_mbps = 1000;
  /// TCP port of links that other nodes are told.
  int link_port = 7401;
  /// TCP port listened on for links, if a forwarder stands between; 0 for `link_port`.
  int link_listen_port = 0;
  /// TCP port of /metrics.
  int metrics_port = 7481;

  // [retries]
  /// Repeats that all nodes together may send, as a share of the requests.
  double retry_ratio = 0.2;
  /// Repeats beyond that share in one window.
  int retry_extra = 10;
  int retry_window_ms = 10'000;

  // [stop]
  /// The process is killed this long after it was asked to stop.
  int grace_period_ms = 6000;

  // [control]
  DistributionMode distribution = DistributionMode::kTree;
  int tick_ms = 50;
  int peer_timeout_ms = 1000;
  int drain_timeout_ms = 30000;
};

/// Reads settings from INI text. Throws `FileError` for an unknown section or key, a value of the
/// wrong type or out of range, a key given twice and a required key that is missing; the message
/// names the key and what is allowed. `file` appears in messages only.
NodeSettings ParseSettings(std::string_view text, const std::string& file);

/// `ParseSettings` on a file. Throws `FileError` if the file cannot be read.
NodeSettings LoadSettings(const std::string& path);

/// The table of all keys as a Markdown page: key, type, default, allowed values, meaning.
std::string SettingsMarkdown();

}  // namespace limpet

#endif  // LIMPET_SETTINGS_NODE_SETTINGS_H_
