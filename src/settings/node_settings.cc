#include "limpet/settings/node_settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <span>
#include <type_traits>
#include <variant>

#include "limpet/config/ini_reader.h"
#include "limpet/config/limits.h"

namespace limpet {
namespace {

using Member = std::variant<std::string NodeSettings::*,
                            int NodeSettings::*,
                            bool NodeSettings::*,
                            double NodeSettings::*,
                            TraceOutput NodeSettings::*,
                            LogLevel NodeSettings::*,
                            LimitKind NodeSettings::*,
                            SelectionKind NodeSettings::*,
                            DistributionMode NodeSettings::*,
                            PeerAddress NodeSettings::*,
                            std::vector<PeerAddress> NodeSettings::*>;

/// Syntax that a text value must have.
enum class TextKind { kAny, kName, kHost, kPath };

struct Key {
  std::string_view section;
  std::string_view name;
  Member member;
  std::string_view doc;
  /// Allowed values of a number. Without a range, a fraction is 0 to 1.
  Range range = {};
  TextKind text = TextKind::kAny;
  bool required = false;
};

constexpr Range kPortRange{1, 65535};
constexpr Range kMsRange{1, 600'000};

constexpr const auto& ChoiceNames(TraceOutput /*kind*/) {
  return kTraceOutputNames;
}
constexpr const auto& ChoiceNames(LogLevel /*kind*/) {
  return kLogLevelNames;
}
constexpr const auto& ChoiceNames(LimitKind /*kind*/) {
  return kLimitNames;
}
constexpr const auto& ChoiceNames(SelectionKind /*kind*/) {
  return kSelectionNames;
}
constexpr const auto& ChoiceNames(DistributionMode /*kind*/) {
  return kDistributionModeNames;
}

template <typename T>
concept Choice = std::is_enum_v<T>;

using S = NodeSettings;

const Key kKeys[] = {
    {"node", "name", &S::name, "Name of this node, unique in the mesh", {}, TextKind::kName, true},
    {"node", "data_centre", &S::data_centre, "Data centre of this VM", {}, TextKind::kName, true},
    {"node",
     "service",
     &S::service,
     "Service of the target beside this node",
     {},
     TextKind::kName,
     true},
    {"node",
     "host",
     &S::host,
     "Address to listen on and to announce to other nodes",
     {},
     TextKind::kHost},
    {"node", "peer_port", &S::peer_port, "UDP and TCP port for other nodes", kPortRange},
    {"node", "http_port", &S::http_port,
     "HTTP port for callers and for /metrics, /health, /ready, /members, /config and /drain",
     kPortRange},
    {"node", "seeds", &S::seeds,
     "Addresses of nodes through which this node joins the mesh, separated by commas"},
    {"target", "host", &S::target_host, "Address of the target", {}, TextKind::kHost},
    {"target", "port", &S::target_port, "HTTP port of the target", kPortRange},
    {"target",
     "health_path",
     &S::target_health_path,
     "Health endpoint of the target",
     {},
     TextKind::kPath},
    {"target",
     "health_interval_ms",
     &S::target_health_interval_ms,
     "Time between two health probes",
     {10, 600'000}},
    {"target", "health_timeout_ms", &S::target_health_timeout_ms,
     "Timeout of a health probe; a probe without a response by then counts as failed", kMsRange},
    {"log",
     "host",
     &S::log_host,
     "Address of the platform's log; empty: the node runs without it",
     {},
     TextKind::kHost},
    {"log", "port", &S::log_port, "HTTP port of the platform's log", kPortRange},
    {"log", "timeout_ms", &S::log_timeout_ms, "Maximum wait for a response of the log", kMsRange},
    {"trace", "sampling", &S::trace_sampling,
     "Fraction of the calls without a traceparent that are traced"},
    {"trace", "output", &S::trace_output, "Destination of finished spans"},
    {"trace", "file", &S::trace_file, "File for output = file, with one JSON document per line"},
    {"trace",
     "collector_host",
     &S::trace_collector_host,
     "Address of the OTLP/HTTP collector for output = collector",
     {},
     TextKind::kHost},
    {"trace", "collector_port", &S::trace_collector_port, "Port of the collector", kPortRange},
    {"logging", "level", &S::log_level, "Lowest severity that is logged"},
    {"limits", "slots", &S::slots,
     "Maximum number of requests that the target processes at the same time", kSlotsRange},
    {"limits",
     "queue_length",
     &S::queue_length,
     "Maximum number of requests that wait for a slot",
     {0, 100'000}},
    {"limits", "connections", &S::connections,
     "Maximum number of connections to and from the target together", kConnectionsRange},
    {"limits",
     "max_body_bytes",
     &S::max_body_bytes,
     "Maximum size of a request or response body",
     {1024, 64 << 20}},
    {"limits", "limit_policy", &S::limit_policy,
     "Algorithm that controls the limit on requests in flight"},
    {"limits", "selection_policy", &S::selection_policy,
     "Strategy that selects the endpoint of a call"},
    {"edge", "outbound", &S::outbound, "Address to listen on for requests of callers on this VM"},
    {"edge", "readiness", &S::readiness, "Address to listen on for readiness requests"},
    {"edge", "announcements", &S::announcements,
     "Address to listen on for heartbeats of the target on this VM"},
    {"edge", "target", &S::target, "Address at which the target on this VM accepts requests"},
    {"edge", "store", &S::store,
     "Address of the store that holds the configuration and the addresses of nodes"},
    {"edge",
     "store_partitions",
     &S::store_partitions,
     "Number of partitions of the store's topic for decisions; the same on all nodes",
     {1, 10'000}},
    {"edge", "link_mbps", &S::link_mbps, "Bandwidth of the network link in Mbit/s", {0, 1'000'000}},
    {"edge",
     "memory_mb",
     &S::memory_mb,
     "Memory limit of the process in MB; four tenths of it may hold requests and responses of "
     "callers, a quarter request bodies",
     {16, 1'000'000}},
    {"edge", "link_port", &S::link_port, "TCP port for links from other nodes", kPortRange},
    {"edge",
     "link_listen_port",
     &S::link_listen_port,
     "TCP port to listen on for links if a forwarder accepts them at link_port; 0: link_port",
     {0, 65535}},
    {"edge", "metrics_port", &S::metrics_port, "HTTP port of /metrics", kPortRange},
    {"retries", "ratio", &S::retry_ratio,
     "Retries that all nodes together may send, as a fraction of the requests"},
    {"retries",
     "extra",
     &S::retry_extra,
     "Further retries that all nodes together may send in one window",
     {0, 1'000'000}},
    {"retries", "window_ms", &S::retry_window_ms, "Length of the window of the retry limit",
     kMsRange},
    {"access", "strict_revocation", &S::strict_revocation,
     "Serve a request with a key only while this node knows every configuration that the store had "
     "acknowledged revoke_ms ago"},
    {"access", "revoke_ms", &S::revoke_ms,
     "Time after which a removed key is refused at every node if strict_revocation is true",
     kMsRange},
    {"access", "recovery_ms", &S::recovery_ms,
     "Time after a restart of all nodes within which requests with keys are served again although "
     "the store was restored from a copy; two thirds of it are left to the operator to write again "
     "what was lost",
     kMsRange},
    {"quota",
     "window_s",
     &S::quota_window_s,
     "Length of the window in which the requests of an account are limited, in seconds",
     {1, 3600}},
    {"quota", "overshoot", &S::quota_overshoot,
     "Share of an account's limit by which all nodes together may exceed it in a window"},
    {"quota",
     "slack",
     &S::quota_slack,
     "Further requests by which all nodes together may exceed an account's limit in a window",
     {0, 1'000'000}},
    {"rollout", "hold_new_versions", &S::hold_new_versions,
     "Send nothing to targets of a version that appears later until it is known that no roll-out "
     "order concerns it"},
    {"rollout", "exposure_share", &S::exposure_share,
     "Share of a service's requests that a bad version may get between the order and its deadline"},
    {"rollout",
     "exposure_slack",
     &S::exposure_slack,
     "Further requests that a bad version may get",
     {0, 1'000'000}},
    {"stop", "grace_period_ms", &S::grace_period_ms,
     "Time from the request to stop until the process is killed", kMsRange},
    {"control", "distribution", &S::distribution,
     "How configuration changes reach this node; poll_log is a baseline for measurements"},
    {"control", "tick_ms", &S::tick_ms, "Time between two steps of the control thread", {10, 1000}},
    {"control", "peer_timeout_ms", &S::peer_timeout_ms,
     "Maximum wait for a connection to another node", kMsRange},
    {"control", "drain_timeout_ms", &S::drain_timeout_ms,
     "Maximum wait for requests in flight at a planned stop", kMsRange},
};

template <std::size_t N, typename Enum>
std::string JoinNames(const EnumNames<Enum, N>& names) {
  std::string text;
  for (const auto& [value, name] : names) {
    text += (text.empty() ? "" : ", ") + std::string(name);
  }
  return text;
}

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes && std::ranges::all_of(text, IsNameChar);
}

bool IsTextAllowed(TextKind kind, std::string_view text) {
  switch (kind) {
    case TextKind::kAny:
      return true;
    case TextKind::kName:
      return IsName(text);
    case TextKind::kHost:
      return text.empty() || IsName(text);
    case TextKind::kPath:
      return text.starts_with('/') && text.find_first_of(" \t?#") == std::string_view::npos;
  }
  return false;
}

template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end;
}

bool ParseAddress(std::string_view text, PeerAddress& address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsName(text.substr(0, colon)) ||
      !ParseNumber(text.substr(colon + 1), address.port) || !kPortRange.Contains(address.port)) {
    return false;
  }
  address.host = text.substr(0, colon);
  return true;
}

bool ParseAddresses(std::string_view text, std::vector<PeerAddress>& addresses) {
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    std::string_view item = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
    item = item.substr(0, item.find_last_not_of(" \t") + 1);
    if (!ParseAddress(item, addresses.emplace_back())) {
      return false;
    }
  }
  return true;
}

template <std::size_t N, typename Enum>
bool ParseChoice(const EnumNames<Enum, N>& names, std::string_view text, Enum& value) {
  const auto found = ParseEnumName(names, text);
  value = found.value_or(value);
  return found.has_value();
}

Range GetFractionRange(const Key& key) {
  return key.range.high == 0 ? Range{0, 1} : key.range;
}

/// Parses the text of a key into its member. Returns false if the value is not allowed.
struct ValueParser {
  const Key& key;
  std::string_view text;
  NodeSettings& settings;

  bool operator()(std::string NodeSettings::*member) const {
    settings.*member = text;
    return IsTextAllowed(key.text, text);
  }
  bool operator()(int NodeSettings::*member) const {
    return ParseNumber(text, settings.*member) && key.range.Contains(settings.*member);
  }
  bool operator()(bool NodeSettings::*member) const {
    settings.*member = text == "true";
    return text == "true" || text == "false";
  }
  bool operator()(double NodeSettings::*member) const {
    double& value = settings.*member;
    const Range range = GetFractionRange(key);
    return ParseNumber(text, value) && value >= static_cast<double>(range.low) &&
           value <= static_cast<double>(range.high);
  }
  template <Choice Enum>
  bool operator()(Enum NodeSettings::*member) const {
    return ParseChoice(ChoiceNames(Enum{}), text, settings.*member);
  }
  bool operator()(PeerAddress NodeSettings::*member) const {
    return ParseAddress(text, settings.*member);
  }
  bool operator()(std::vector<PeerAddress> NodeSettings::*member) const {
    return ParseAddresses(text, settings.*member);
  }
};

struct AllowedText {
  const Key& key;

  std::string operator()(std::string NodeSettings::*) const {
    switch (key.text) {
      case TextKind::kAny:
        return "any text";
      case TextKind::kName:
        return "1 to 128 letters, digits, '.', '_' or '-'";
      case TextKind::kHost:
        return "an IPv4 address or a host name";
      case TextKind::kPath:
        return "a path that starts with '/'";
    }
    return "";
  }
  std::string operator()(int NodeSettings::*) const { return key.range.ToString(); }
  std::string operator()(bool NodeSettings::*) const { return "true, false"; }
  std::string operator()(double NodeSettings::*) const { return GetFractionRange(key).ToString(); }
  template <Choice Enum>
  std::string operator()(Enum NodeSettings::* /*member*/) const {
    return JoinNames(ChoiceNames(Enum{}));
  }
  std::string operator()(PeerAddress NodeSettings::*) const { return "host:port"; }
  std::string operator()(std::vector<PeerAddress> NodeSettings::*) const {
    return "a list of host:port";
  }
};

struct TypeText {
  std::string operator()(std::string NodeSettings::*) const { return "text"; }
  std::string operator()(int NodeSettings::*) const { return "integer"; }
  std::string operator()(bool NodeSettings::*) const { return "boolean"; }
  std::string operator()(double NodeSettings::*) const { return "number"; }
  template <Choice Enum>
  std::string operator()(Enum NodeSettings::* /*member*/) const {
    return "choice";
  }
  std::string operator()(PeerAddress NodeSettings::*) const { return "address"; }
  std::string operator()(std::vector<PeerAddress> NodeSettings::*) const { return "list"; }
};

struct DefaultText {
  NodeSettings defaults = {};

  std::string operator()(std::string NodeSettings::*member) const { return defaults.*member; }
  std::string operator()(int NodeSettings::*member) const {
    return std::to_string(defaults.*member);
  }
  std::string operator()(bool NodeSettings::*member) const {
    return defaults.*member ? "true" : "false";
  }
  std::string operator()(double NodeSettings::*member) const {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%g", defaults.*member);
    return text.data();
  }
  template <Choice Enum>
  std::string operator()(Enum NodeSettings::*member) const {
    return std::string(EnumName(ChoiceNames(Enum{}), defaults.*member));
  }
  std::string operator()(PeerAddress NodeSettings::*) const { return ""; }
  std::string operator()(std::vector<PeerAddress> NodeSettings::*) const { return ""; }
};

std::string FormatKeyName(const Key& key) {
  return "[" + std::string(key.section) + "] " + std::string(key.name);
}

/// Returns the known names for an error message: those of the sections if `section` is empty, else
/// those of its keys.
std::string ListKnownNames(std::string_view section) {
  std::string text;
  std::string_view last;
  for (const Key& key : kKeys) {
    const std::string_view name = section.empty() ? key.section : key.name;
    if ((section.empty() || key.section == section) && name != last) {
      text += (text.empty() ? "" : ", ") + std::string(name);
      last = name;
    }
  }
  return text;
}

const Key& FindKey(const IniSection& section, const IniEntry& entry) {
  for (const Key& key : kKeys) {
    if (key.section == section.name && key.name == entry.key) {
      return key;
    }
  }
  throw FileError(entry.location, "unknown key \"" + entry.key + "\" in [" + section.name +
                                      "]; known keys are " + ListKnownNames(section.name));
}

/// Checks the conditions that concern more than one key. Throws `FileError`.
void CheckCombinations(const NodeSettings& settings, const std::string& file) {
  if (settings.trace_output == TraceOutput::kFile && settings.trace_file.empty()) {
    throw FileError({file, 0}, "[trace] output = file needs [trace] file; give the path of a file");
  }
  if (settings.peer_port == settings.http_port) {
    throw FileError({file, 0},
                    "[node] peer_port and http_port are equal; give them different values");
  }
}

}  // namespace

NodeSettings ParseSettings(std::string_view text, const std::string& file) {
  NodeSettings settings;
  std::vector<const Key*> given;
  for (const IniSection& section : ReadIni(std::string(text), file)) {
    if (std::ranges::none_of(kKeys, [&](const Key& k) { return k.section == section.name; })) {
      throw FileError(section.location, "unknown section [" + section.name +
                                            "]; known sections are " + ListKnownNames(""));
    }
    for (const IniEntry& entry : section.entries) {
      const Key& key = FindKey(section, entry);
      if (std::ranges::find(given, &key) != given.end()) {
        throw FileError(entry.location, FormatKeyName(key) + " is given twice; remove one");
      }
      given.push_back(&key);
      if (!std::visit(ValueParser{key, entry.value, settings}, key.member)) {
        throw FileError(entry.location, FormatKeyName(key) + " = \"" + entry.value +
                                            "\" is not allowed; allowed is " +
                                            std::visit(AllowedText{key}, key.member));
      }
    }
  }
  for (const Key& key : kKeys) {
    if (key.required && std::ranges::find(given, &key) == given.end()) {
      throw FileError({file, 0}, FormatKeyName(key) + " is missing; allowed is " +
                                     std::visit(AllowedText{key}, key.member));
    }
  }
  CheckCombinations(settings, file);
  return settings;
}

NodeSettings LoadSettings(const std::string& path) {
  return ParseSettings(ReadTextFile(path), path);
}

std::string SettingsMarkdown() {
  std::string text =
      "# Settings of limpetd\n\nGenerated by `limpetd --print-settings`. limpetd does not start "
      "with an unknown key or a value that is not allowed.\n";
  std::string_view section;
  for (const Key& key : kKeys) {
    if (key.section != section) {
      section = key.section;
      text += "\n## [" + std::string(section) +
              "]\n\n| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n";
    }
    const std::string initial = std::visit(DefaultText(), key.member);
    text += "| `" + std::string(key.name) + "` | " + std::visit(TypeText(), key.member) + " | " +
            (key.required      ? "required"
             : initial.empty() ? "empty"
                               : "`" + initial + "`") +
            " | " + std::visit(AllowedText{key}, key.member) + " | " + std::string(key.doc) +
            " |\n";
  }
  return text;
}

}  // namespace limpet
