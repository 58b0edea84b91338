#include "e2e/processes.h"

#include <doctest/doctest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "limpet/net/log_client.h"
#include "limpet/net/target_client.h"
#include "limpet/wire/codec.h"

extern char** environ;

namespace limpet {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(20);

HttpResponse SendRequest(int port, const HttpRequest& request) {
  TargetClient client("127.0.0.1", port);
  return client.Exchange(request, false, kCallTimeout, [] { return false; });
}

wire::ChangeRecord MakeChange() {
  wire::Service service;
  service.name = "ticket-desk";
  service.timeout_ms = 10000;
  service.idempotent_methods = {"GET"};
  service.slots = 12;
  service.connections = 130;
  wire::Rule rule;
  rule.name = "strict";
  rule.retry_enabled = true;
  rule.max_attempts = 3;
  rule.deadline_ms = 10000;
  wire::Route route;
  route.name = "desk";
  route.path_prefix = "/desk";
  route.service_name = "ticket-desk";
  route.rule = "strict";
  wire::ChangeRecord change;
  change.id = "first";
  change.author = "test";
  change.delta.set_services = {service};
  change.delta.set_rules = {rule};
  change.delta.set_routes = {route};
  return change;
}

}  // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments) {
  const std::string path = std::string(LIMPET_BINARY_DIR) + "/" + program;
  std::vector<std::string> argument_texts = {path};
  argument_texts.insert(argument_texts.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  for (auto& text : argument_texts) {
    argv.push_back(text.data());
  }
  argv.push_back(nullptr);
  if (::posix_spawn(&pid_, path.c_str(), nullptr, nullptr, argv.data(), environ) != 0) {
    throw std::runtime_error("cannot start " + path);
  }
  running_ = true;
}

Process::~Process() {
  if (running_) {
    Signal(SIGKILL);
    Wait();
  }
}

void Process::Signal(int number) const {
  ::kill(pid_, number);
}

int Process::Wait() {
  int status = 0;
  ::waitpid(pid_, &status, 0);
  running_ = false;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Mesh::Mesh() : log_port_(FreePort()) {
  std::string pattern = (std::filesystem::temp_directory_path() / "limpet-e2e-XXXXXX").string();
  directory_ = ::mkdtemp(pattern.data());
  log_ = std::make_unique<Process>("limpet-standin-log",
                                   std::vector<std::string>{"--port", std::to_string(log_port_)});
  PublishConfig();
}

Mesh::~Mesh() {
  nodes_.clear();
  std::filesystem::remove_all(directory_);
}

void Mesh::PublishConfig() const {
  LogClient client({"127.0.0.1", log_port_}, std::chrono::seconds(1));
  WaitFor("the log to accept the configuration", [&] {
    return client.Append({1, "config", wire::Encode(MakeChange())}).status == LogStatus::kOk;
  });
}

std::string Mesh::WriteSettings(const std::string& name,
                                int peer_port,
                                int http_port,
                                int target_port) {
  const std::string path = directory_ + "/" + name + ".ini";
  std::ofstream file(path);
  file << "[node]\nname = " << name << "\ndata_centre = munster\nservice = ticket-desk\n"
       << "host = 127.0.0.1\npeer_port = " << peer_port << "\nhttp_port = " << http_port << "\n";
  if (first_peer_port_ != 0) {
    file << "seeds = 127.0.0.1:" << first_peer_port_ << "\n";
  }
  file << "[target]\nhost = 127.0.0.1\nport = " << target_port << "\nhealth_interval_ms = 100\n"
       << "[log]\nhost = 127.0.0.1\nport = " << log_port_ << "\n"
       << "[logging]\nlevel = warning\n";
  return path;
}

void Mesh::AddNode(const std::string& name, const std::vector<std::string>& target_arguments) {
  NodeEntry& entry = nodes_[name];
  const int peer_port = FreePort();
  entry.http_port = FreePort();
  entry.target_port = FreePort();
  std::vector<std::string> arguments = {"--port", std::to_string(entry.target_port)};
  arguments.insert(arguments.end(), target_arguments.begin(), target_arguments.end());
  entry.target = std::make_unique<Process>("limpet-standin-target", arguments);
  const std::string settings = WriteSettings(name, peer_port, entry.http_port, entry.target_port);
  entry.process =
      std::make_unique<Process>("limpetd", std::vector<std::string>{"--settings", settings});
  if (first_peer_port_ == 0) {
    first_peer_port_ = peer_port;
  }
}

void Mesh::WaitUntilServing(const std::vector<std::string>& nodes, size_t endpoints) {
  for (const auto& name : nodes) {
    WaitFor(name + " to serve", [&] {
      if (Get(http_port(name), "/ready").status != 200) {
        return false;
      }
      const auto members = nlohmann::json::parse(Get(http_port(name), "/members").body);
      size_t up = 0;
      for (const auto& member : members) {
        up += member["state"] == "alive" && member["target"] == "up" ? 1 : 0;
      }
      const auto config = nlohmann::json::parse(Get(http_port(name), "/config").body);
      return up == endpoints && config["version"] == 1;
    });
  }
}

HttpResponse Mesh::Call(const std::string& node, const HttpRequest& request) const {
  return SendRequest(nodes_.at(node).http_port, request);
}

HttpResponse Mesh::Get(int port, const std::string& path) const {
  return SendRequest(port, MakeRequest("GET", path, "", ""));
}

HttpResponse Mesh::Post(int port, const std::string& path, const std::string& body) const {
  return SendRequest(port, MakeRequest("POST", path, "", body));
}

int Mesh::SumExecutionCounter(const std::string& member) const {
  int sum = 0;
  for (const auto& [name, entry] : nodes_) {
    sum += nlohmann::json::parse(Get(entry.target_port, "/executions").body)[member].get<int>();
  }
  return sum;
}

std::map<std::string, int> Mesh::ExecutionsAtNode(const std::string& node) const {
  const auto json = nlohmann::json::parse(Get(target_port(node), "/executions").body);
  return json["executions"].get<std::map<std::string, int>>();
}

std::map<std::string, int> Mesh::Executions() const {
  std::map<std::string, int> executions;
  for (const auto& [name, entry] : nodes_) {
    for (const auto& [id, count] : ExecutionsAtNode(name)) {
      executions[id] += count;
    }
  }
  return executions;
}

void WaitFor(const std::string& what, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (std::chrono::steady_clock::now() < end) {
    try {
      if (condition()) {
        return;
      }
    } catch (const ExchangeError&) {
      // The process does not listen yet.
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  FAIL("timeout after 30 s: waiting for " << what);
}

HttpRequest MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& request_id,
                        const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = body;
  if (!request_id.empty()) {
    request.headers.push_back(MakeHeader(kRequestIdHeader, request_id));
  }
  return request;
}

}  // namespace limpet
