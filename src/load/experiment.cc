#include "limpet/load/experiment.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <sstream>

#include "limpet/config/ini_reader.h"

namespace limpet::load {
namespace {

constexpr int kMaxPort = 65535;
constexpr int kMaxConnections = 1024;
constexpr int kMaxBodyBytes = 1 << 20;
constexpr double kMaxRate = 100000;
constexpr double kMaxSeconds = 3600;

double ParseNumber(const IniEntry& entry, double low, double high) {
  double number = 0;
  const char* end = entry.value.data() + entry.value.size();
  const auto parsed = std::from_chars(entry.value.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || !(number >= low && number <= high)) {
    std::ostringstream problem;
    problem << "key '" << entry.key << "': '" << entry.value << "' is not a number from " << low
            << " to " << high;
    throw FileError(entry.location, problem.str());
  }
  return number;
}

Duration ParseSeconds(const IniEntry& entry) {
  return Duration(static_cast<Duration::rep>(ParseNumber(entry, 0, kMaxSeconds) * 1e6));
}

bool ParseBool(const IniEntry& entry) {
  if (entry.value != "true" && entry.value != "false") {
    throw FileError(entry.location, "key '" + entry.key + "': use true or false");
  }
  return entry.value == "true";
}

HostPort ParseHostPort(const IniEntry& entry, const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    throw FileError(entry.location, "key '" + entry.key + "': '" + text + "' is not host:port");
  }
  IniEntry port = entry;
  port.value = text.substr(colon + 1);
  return {text.substr(0, colon), static_cast<int>(ParseNumber(port, 1, kMaxPort))};
}

std::vector<HostPort> ParseHostPorts(const IniEntry& entry) {
  std::vector<HostPort> list;
  std::istringstream in(entry.value);
  for (std::string item; std::getline(in, item, ',');) {
    item.erase(0, item.find_first_not_of(' '));
    item.erase(item.find_last_not_of(' ') + 1);
    list.push_back(ParseHostPort(entry, item));
  }
  return list;
}

template <typename T>
struct Key {
  const char* name;
  std::function<void(const IniEntry&, T&)> set;
};

template <typename T>
void ReadKeys(const IniSection& section, const std::vector<Key<T>>& keys, T& value) {
  for (const IniEntry& entry : section.entries) {
    const auto key = std::find_if(keys.begin(), keys.end(),
                                  [&entry](const Key<T>& k) { return entry.key == k.name; });
    if (key == keys.end()) {
      std::string known;
      for (const Key<T>& k : keys) {
        known += std::string(known.empty() ? "" : ", ") + k.name;
      }
      throw FileError(entry.location, "unknown key '" + entry.key + "' in section [" +
                                          section.name + "]; known keys: " + known);
    }
    key->set(entry, value);
  }
}

const std::vector<Key<Experiment>>& ExperimentKeys() {
  static const std::vector<Key<Experiment>> kKeys = {
      {"name", [](const IniEntry& entry, Experiment& e) { e.name = entry.value; }},
      {"seed", [](const IniEntry& entry,
                  Experiment& e) { e.seed = static_cast<uint64_t>(ParseNumber(entry, 0, 1e15)); }},
      {"connections",
       [](const IniEntry& entry, Experiment& e) {
         e.connections = static_cast<int>(ParseNumber(entry, 1, kMaxConnections));
       }},
  };
  return kKeys;
}

const std::vector<Key<Workload>>& WorkloadKeys() {
  static const std::vector<Key<Workload>> kKeys = {
      {"method", [](const IniEntry& entry, Workload& w) { w.method = entry.value; }},
      {"path", [](const IniEntry& entry, Workload& w) { w.path = entry.value; }},
      {"caller", [](const IniEntry& entry, Workload& w) { w.caller = entry.value; }},
      {"share",
       [](const IniEntry& entry, Workload& w) { w.share = ParseNumber(entry, 0.000001, 1e6); }},
      {"body_bytes",
       [](const IniEntry& entry, Workload& w) {
         w.body_bytes = static_cast<int>(ParseNumber(entry, 0, kMaxBodyBytes));
       }},
      {"deadline_ms",
       [](const IniEntry& entry, Workload& w) {
         w.deadline = std::chrono::milliseconds(static_cast<int>(ParseNumber(entry, 1, 60000)));
       }},
      {"idempotent", [](const IniEntry& entry, Workload& w) { w.idempotent = ParseBool(entry); }},
  };
  return kKeys;
}

const std::vector<Key<Phase>>& PhaseKeys() {
  static const std::vector<Key<Phase>> kKeys = {
      {"seconds", [](const IniEntry& entry, Phase& p) { p.length = ParseSeconds(entry); }},
      {"rate", [](const IniEntry& entry, Phase& p) { p.rate = ParseNumber(entry, 0, kMaxRate); }},
  };
  return kKeys;
}

const std::vector<Key<FaultAction>>& FaultKeys() {
  static const std::vector<Key<FaultAction>> kKeys = {
      {"at_seconds", [](const IniEntry& entry, FaultAction& f) { f.at = ParseSeconds(entry); }},
      {"stand_in", [](const IniEntry& entry,
                      FaultAction& f) { f.stand_in = ParseHostPort(entry, entry.value); }},
      {"body", [](const IniEntry& entry, FaultAction& f) { f.body = entry.value; }},
  };
  return kKeys;
}

const std::vector<Key<Arm>>& ArmKeys() {
  static const std::vector<Key<Arm>> kKeys = {
      {"nodes", [](const IniEntry& entry, Arm& a) { a.nodes = ParseHostPorts(entry); }},
      {"targets", [](const IniEntry& entry, Arm& a) { a.targets = ParseHostPorts(entry); }},
  };
  return kKeys;
}

template <typename T>
void AddNamedSection(const IniSection& section,
                     const std::string& name,
                     const std::vector<Key<T>>& keys,
                     std::vector<T>& list) {
  T value;
  value.name = name;
  ReadKeys(section, keys, value);
  list.push_back(std::move(value));
}

void AddSection(const IniSection& section, Experiment& experiment) {
  const std::size_t space = section.name.find(' ');
  const std::string kind = section.name.substr(0, space);
  const std::string name = space == std::string::npos ? "" : section.name.substr(space + 1);
  if (kind == "experiment") {
    ReadKeys(section, ExperimentKeys(), experiment);
  } else if (kind == "workload") {
    AddNamedSection(section, name, WorkloadKeys(), experiment.workloads);
  } else if (kind == "phase") {
    AddNamedSection(section, name, PhaseKeys(), experiment.phases);
  } else if (kind == "fault") {
    AddNamedSection(section, name, FaultKeys(), experiment.faults);
  } else if (kind == "arm") {
    AddNamedSection(section, name, ArmKeys(), experiment.arms);
  } else {
    throw FileError(section.location,
                    "unknown section [" + section.name +
                        "]; known kinds: experiment, workload, phase, fault, arm");
  }
}

}  // namespace

Experiment ParseExperiment(std::string_view text, const std::string& file) {
  Experiment experiment;
  for (const IniSection& section : ReadIni(std::string(text), file)) {
    AddSection(section, experiment);
  }
  if (experiment.workloads.empty() || experiment.phases.empty() || experiment.arms.empty()) {
    throw FileError({file, 0}, "needs at least one [workload NAME], [phase NAME] and [arm NAME]");
  }
  for (const Arm& arm : experiment.arms) {
    if (arm.nodes.empty()) {
      throw FileError({file, 0}, "[arm " + arm.name + "] needs 'nodes = host:port, ...'");
    }
  }
  return experiment;
}

}  // namespace limpet::load
