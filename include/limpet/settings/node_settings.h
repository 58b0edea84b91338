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

/// Destination of finished spans.
enum class TraceOutput { kNone, kFile, kCollector };

inline constexpr EnumNames<TraceOutput, 3> kTraceOutputNames = {{
    {TraceOutput::kNone, "none"},
    {TraceOutput::kFile, "file"},
    {TraceOutput::kCollector, "collector"},
}};

/// Log levels, with the names that spdlog uses.
enum class LogLevel { kTrace, kDebug, kInfo, kWarning, kError, kOff };

inline constexpr EnumNames<LogLevel, 6> kLogLevelNames = {{
    {LogLevel::kTrace, "trace"},
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
    {LogLevel::kOff, "off"},
}};

/// Settings of `limpetd`. The member initialisers are the defaults; docs/SETTINGS.md lists all
/// keys.
struct NodeSettings {
  // [node]
  std::string name;
  std::string data_centre;
  std::string service;
  /// IP address that this node listens on and announces to other nodes.
  std::string host = "127.0.0.1";
  /// UDP port for datagrams and TCP port for the Thrift peer service.
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
  /// If empty, the node runs without the platform's log.
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
  /// Address to listen on for requests of callers on this VM.
  PeerAddress outbound;
  /// Address to listen on for readiness requests.
  PeerAddress readiness;
  /// Address to listen on for heartbeats of the target on this VM.
  PeerAddress announcements;
  /// Address at which the target on this VM accepts requests.
  PeerAddress target;
  /// Address of the store that holds the configuration and the addresses of nodes.
  PeerAddress store;
  /// Number of partitions of the store's topic for decisions, over which the deciding nodes are
  /// spread. Must be the same on all nodes.
  int store_partitions = 32;
  /// Bandwidth of this VM's network link in Mbit/s. The nodes with the highest bandwidth read the
  /// store for the others.
  double link_mbps = 1000;
  /// Memory limit of this process in MB; callers may cause 0.4 of it, their bodies 0.25.
  double memory_mb = 260;
  /// TCP port for links that this node announces to other nodes.
  int link_port = 7401;
  /// TCP port that this node listens on for links if a forwarder accepts them at `link_port`; 0 for
  /// `link_port` itself.
  int link_listen_port = 0;
  /// HTTP port of /metrics.
  int metrics_port = 7481;

  // [retries]
  /// Retries that all nodes together may send, as a fraction of the requests.
  double retry_ratio = 0.2;
  /// Further retries that all nodes together may send in one window.
  double retry_extra = 10;
  int retry_window_ms = 10'000;

  // [access]
  /// A request with a key is served only if this node knows every configuration that the store had
  /// acknowledged `revoke_ms` ago.
  bool strict_revocation = false;
  double revoke_ms = 5000;
  /// Time after a restart of all nodes within which requests with keys are served again, whatever
  /// the store has lost before. Two thirds of it are left to the operator to write again what a
  /// restore lost, as long as nothing else shows that this has been done.
  double recovery_ms = 15'000;

  // [quota]
  /// Length of the window in which the requests of an account are limited, in seconds.
  double quota_window_s = 5;
  /// All nodes together may exceed the limit of an account in a window by this share of it.
  double quota_overshoot = 0.1;
  /// Further requests by which the limit may be exceeded in a window.
  double quota_slack = 20;

  // [rollout]
  /// Sends nothing to targets of a version that appears later until it is known that no roll-out
  /// order concerns it.
  bool hold_new_versions = false;
  /// Share of the requests for a service that a bad version may get between order and deadline.
  double exposure_share = 0.1;
  /// Further requests that a bad version may get.
  double exposure_slack = 50;

  // [stop]
  /// Time from the request to stop until the process is killed.
  double grace_period_ms = 6000;

  // [control]
  DistributionMode distribution = DistributionMode::kTree;
  int tick_ms = 50;
  int peer_timeout_ms = 1000;
  int drain_timeout_ms = 30000;
};

/// Parses settings from INI text. Throws `FileError` for an unknown section or key, a value of the
/// wrong type or out of range, a key that is given twice, and a missing required key. The message
/// names the key and the allowed values. `file` is only used in messages.
NodeSettings ParseSettings(std::string_view text, const std::string& file);

/// Parses the file at `path` like `ParseSettings`. Throws `FileError` also if it cannot be read.
NodeSettings LoadSettings(const std::string& path);

/// Returns a Markdown page with tables of all keys: type, default, allowed values and meaning.
std::string SettingsMarkdown();

}  // namespace limpet

#endif  // LIMPET_SETTINGS_NODE_SETTINGS_H_
