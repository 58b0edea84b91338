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
#include "net/loopback.h"

namespace limpet {

/// A running program of the build. The destructor kills it if it still runs.
class Process {
 public:
  Process(const std::string& program, const std::vector<std::string>& arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const;
  /// Waits until the process ends. Returns its exit code, or -1 if a signal ended it.
  int Wait();

 private:
  pid_t pid_ = -1;
  bool running_ = false;
};

/// The stand-in log, nodes and stand-in targets on free loopback ports. The configuration has one
/// route, "/desk", to the service "ticket-desk", whose GET is idempotent. Files are written to a
/// directory that the destructor removes.
class Mesh {
 public:
  Mesh();
  ~Mesh();

  /// Starts a stand-in target and its node.
  void AddNode(const std::string& name, const std::vector<std::string>& target_arguments = {});
  /// Waits until each of `nodes` is ready, has the configuration and lists `endpoints` targets that
  /// are up.
  void WaitUntilServing(const std::vector<std::string>& nodes, size_t endpoints);

  HttpResponse Call(const std::string& node, const HttpRequest& request) const;
  HttpResponse Get(int port, const std::string& path) const;
  HttpResponse Post(int port, const std::string& path, const std::string& body) const;
  /// Returns the sum of the JSON member `member` of GET /executions over all targets.
  int SumExecutionCounter(const std::string& member) const;
  /// Returns the number of executions of each request id at the target of one node.
  std::map<std::string, int> ExecutionsAtNode(const std::string& node) const;
  /// Returns the number of executions of each request id at all targets together.
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

/// Evaluates `condition` repeatedly until it is true; an `ExchangeError` counts as false. Fails the
/// test after 30 s. `what` names the awaited event in the failure message.
void WaitFor(const std::string& what, const std::function<bool()>& condition);
HttpRequest MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& request_id,
                        const std::string& body);

}  // namespace limpet

#endif  // LIMPET_TESTS_E2E_PROCESSES_H_
