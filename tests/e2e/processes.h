#ifndef LIMPET_TESTS_E2E_PROCESSES_H_
#define LIMPET_TESTS_E2E_PROCESSES_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "limpet/net/http_message.h"

namespace limpet {

/// One program of the build, started with posix_spawn; killed by the destructor if it still runs.
class Process {
 public:
  Process(const std::string& program, const std::vector<std::string>& arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const;
  /// Exit code, or -1 after death by a signal; waits for the end.
  int Wait();

 private:
  pid_t pid_ = -1;
  bool running_ = false;
};

/// Log stand-in, nodes and target stand-ins on free loopback ports. One route "/desk" leads to the
/// service "ticket-desk" with idempotent GET. Files go to a directory that the destructor removes.
class Mesh {
 public:
  Mesh();
  ~Mesh();

  /// Starts a node with a target stand-in beside it.
  void AddNode(const std::string& name, const std::vector<std::string>& target_arguments = {});
  /// Waits until `nodes` hold the configuration, are ready and see `endpoints` targets that are up.
  void WaitUntilServing(const std::vector<std::string>& nodes, size_t endpoints);

  HttpResponse Call(const std::string& node, const HttpRequest& request) const;
  HttpResponse Get(int port, const std::string& path) const;
  HttpResponse Post(int port, const std::string& path, const std::string& body) const;
  /// Sum over the targets of `member` of GET /executions.
  int SumOfExecutions(const std::string& member) const;
  /// Executions by request id at the target of one node.
  std::map<std::string, int> ExecutionsOf(const std::string& node) const;
  /// The same over all targets.
  std::map<std::string, int> Executions() const;

  Process& node(const std::string& name) { return *nodes_.at(name).process; }
  int http_port(const std::string& name) const { return nodes_.at(name).http_port; }
  int target_port(const std::string& name) const { return nodes_.at(name).target_port; }
  void StopLog() { log_.reset(); }
  /// Writes the settings of a node that is not started.
  std::string WriteSettings(const std::string& name, int peer_port, int http_port, int target_port);
  int first_peer_port() const { return first_peer_port_; }

 private:
  struct NodeEntry {
    std::unique_ptr<Process> target;
    std::unique_ptr<Process> process;
    int http_port = 0;
    int target_port = 0;
  };

  void PublishConfig() const;

  std::string directory_;
  int log_port_;
  std::unique_ptr<Process> log_;
  int first_peer_port_ = 0;
  std::map<std::string, NodeEntry> nodes_;
};

int FreePort();
/// Repeats `condition` until it holds; fails the test after 30 s.
void WaitFor(const std::string& what, const std::function<bool()>& condition);
HttpRequest MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& request_id,
                        const std::string& body);

}  // namespace limpet

#endif  // LIMPET_TESTS_E2E_PROCESSES_H_
