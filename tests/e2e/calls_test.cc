#include <doctest/doctest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "e2e/processes.h"
#include "limpet/net/target_client.h"

namespace limpet {
namespace {

/// Sends calls through one node on several threads until stopped, and checks every response.
class Load {
 public:
  Load(const Mesh& mesh, std::string node, int threads) : mesh_(mesh), node_(std::move(node)) {
    for (int i = 0; i < threads; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~Load() { Stop(); }

  void Stop() {
    stopping_ = true;
    for (auto& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  int ran() const { return ran_; }
  int not_run() const { return not_run_; }
  int unknown() const { return unknown_; }
  int wrong() const { return wrong_; }

 private:
  void Run(int thread) {
    for (int i = 0; !stopping_; ++i) {
      const std::string id = "load-" + std::to_string(thread) + "-" + std::to_string(i);
      const std::string body = "docket " + id;
      const HttpResponse response = mesh_.Call(node_, MakeRequest("POST", "/desk/book", id, body));
      const auto outcome = response.Header(kOutcomeHeader);
      if (outcome == "ran") {
        ++ran_;
        wrong_ += response.status == 200 && response.body == id + "\n" + body ? 0 : 1;
      } else {
        ++(outcome == "not_run" ? not_run_ : unknown_);
        MESSAGE(id << ": " << response.status << " " << response.body);
      }
    }
  }

  const Mesh& mesh_;
  const std::string node_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> ran_{0};
  std::atomic<int> not_run_{0};
  std::atomic<int> unknown_{0};
  std::atomic<int> wrong_{0};
  std::vector<std::thread> threads_;
};

int CountRepeatedExecutions(const Mesh& mesh) {
  int repeated = 0;
  for (const auto& [id, count] : mesh.Executions()) {
    repeated += count > 1 ? 1 : 0;
  }
  return repeated;
}

TEST_CASE("a call passes through two nodes to the target, and its response returns to the caller") {
  Mesh mesh;
  mesh.AddNode("a");
  mesh.AddNode("b");
  mesh.WaitUntilServing({"a", "b"}, 2);
  // While the target of node a drains, the call must go to the target of node b.
  mesh.Post(mesh.http_port("a"), "/target-state", R"({"state": "draining"})");
  mesh.WaitUntilServing({"a"}, 1);
  const auto response = mesh.Call("a", MakeRequest("POST", "/desk/book", "r-1", "slot 7"));
  CHECK(response.status == 200);
  CHECK(response.Header(kOutcomeHeader) == "ran");
  CHECK(response.body == "r-1\nslot 7");
  CHECK(mesh.ExecutionsAtNode("b") == std::map<std::string, int>{{"r-1", 1}});
  const auto refused = mesh.Call("a", MakeRequest("POST", "/unknown", "r-2", ""));
  CHECK(refused.status == 404);
  CHECK(refused.Header(kOutcomeHeader) == "not_run");
  CHECK(refused.Header(kReasonHeader) == "no_route");
  CHECK(mesh.Executions() == std::map<std::string, int>{{"r-1", 1}});
}

TEST_CASE("a planned stop under load interrupts no call") {
  // Guards invariant I8: a call that the target of node b has begun to execute ends with its
  // response.
  Mesh mesh;
  const std::vector<std::string> slow_target_arguments = {"--service-time-us", "50000"};
  mesh.AddNode("a", slow_target_arguments);
  mesh.AddNode("b", slow_target_arguments);
  mesh.WaitUntilServing({"a", "b"}, 2);
  Load load(mesh, "a", 8);
  WaitFor("work at both targets", [&] {
    return mesh.ExecutionsAtNode("a").size() > 20 && mesh.ExecutionsAtNode("b").size() > 20;
  });
  mesh.node("b").Signal(SIGTERM);
  CHECK(mesh.node("b").Wait() == 0);
  const int ran = load.ran();
  WaitFor("calls after the stop", [&] { return load.ran() > ran + 20; });
  load.Stop();
  CHECK(load.unknown() == 0);
  CHECK(load.wrong() == 0);
  CHECK(CountRepeatedExecutions(mesh) == 0);
  CHECK(mesh.SumExecutionCounter("cancelled") == 0);
  CHECK(static_cast<int>(mesh.Executions().size()) == load.ran());
}

TEST_CASE("after a node is killed, calls continue and no request is executed twice") {
  // Guards invariant I6 when the outcome of a request is unknown because its node was killed.
  Mesh mesh;
  const std::vector<std::string> slow_target_arguments = {"--service-time-us", "20000"};
  mesh.AddNode("a", slow_target_arguments);
  mesh.AddNode("b", slow_target_arguments);
  mesh.WaitUntilServing({"a", "b"}, 2);
  Load load(mesh, "a", 8);
  WaitFor("work at both targets", [&] {
    return mesh.ExecutionsAtNode("a").size() > 20 && mesh.ExecutionsAtNode("b").size() > 20;
  });
  mesh.node("b").Signal(SIGKILL);
  CHECK(mesh.node("b").Wait() == -1);
  const int ran = load.ran();
  WaitFor("calls after the kill", [&] { return load.ran() > ran + 100; });
  load.Stop();
  CHECK(load.wrong() == 0);
  CHECK(CountRepeatedExecutions(mesh) == 0);
  const int executed = static_cast<int>(mesh.Executions().size());
  CHECK(executed >= load.ran());
  // A request with an unknown outcome may have been executed; one refused as not_run was not.
  CHECK(executed <= load.ran() + load.unknown());
}

TEST_CASE(
    "without the log, calls continue and a new node receives the configuration from its peers") {
  Mesh mesh;
  mesh.AddNode("a");
  mesh.WaitUntilServing({"a"}, 1);
  mesh.StopLog();
  CHECK(mesh.Call("a", MakeRequest("POST", "/desk", "r-1", "x")).Header(kOutcomeHeader) == "ran");
  mesh.AddNode("b");
  mesh.WaitUntilServing({"a", "b"}, 2);
  CHECK(mesh.Call("b", MakeRequest("POST", "/desk", "r-2", "x")).Header(kOutcomeHeader) == "ran");
}

TEST_CASE("a node that is not ready refuses calls, because its configuration may be outdated") {
  Mesh mesh;
  mesh.StopLog();
  mesh.AddNode("a");
  HttpResponse response;
  WaitFor("the node to listen", [&] {
    try {
      response = mesh.Call("a", MakeRequest("POST", "/desk", "r-1", "x"));
      return true;
    } catch (const ExchangeError&) {
      return false;
    }
  });
  CHECK(response.status == 503);
  CHECK(response.Header(kOutcomeHeader) == "not_run");
  CHECK(response.Header(kReasonHeader) == "not_ready");
  CHECK(mesh.Executions().empty());
}

TEST_CASE("a caller that disconnects cancels its request at the target") {
  Mesh mesh;
  mesh.AddNode("a", {"--service-time-us", "9000000"});
  mesh.WaitUntilServing({"a"}, 1);
  TargetClient client("127.0.0.1", mesh.http_port("a"));
  CHECK_THROWS_AS(
      client.Exchange(MakeRequest("POST", "/desk", "r-1", "x"), false, std::chrono::seconds(9),
                      [&] { return !mesh.Executions().empty(); }),
      ExchangeError);
  WaitFor("the cancellation", [&] { return mesh.SumExecutionCounter("cancelled") == 1; });
  CHECK(mesh.SumExecutionCounter("in_flight") == 0);
}

TEST_CASE("a body over the limit is refused with 413 and outcome not_run") {
  Mesh mesh;
  mesh.AddNode("a");
  mesh.WaitUntilServing({"a"}, 1);
  const auto large =
      mesh.Call("a", MakeRequest("POST", "/desk", "r-1", std::string(2 * 1024 * 1024, 'x')));
  CHECK(large.status == 413);
  CHECK(large.Header(kOutcomeHeader) == "not_run");
  CHECK(mesh.Executions().empty());
}

TEST_CASE("a port in use or invalid settings end limpetd with the matching exit code") {
  Mesh mesh;
  mesh.AddNode("a");
  mesh.WaitUntilServing({"a"}, 1);
  const std::string settings = mesh.WriteSettings("b", FreePort(), mesh.http_port("a"), FreePort());
  CHECK(Process("limpetd", {"--settings", settings}).Wait() == 4);
  CHECK(Process("limpetd", {"--settings", "/does/not/exist"}).Wait() == 3);
  CHECK(Process("limpetd", {}).Wait() == 2);
  CHECK(Process("limpetd", {"--settings", settings, "--check-settings"}).Wait() == 0);
}

}  // namespace
}  // namespace limpet
