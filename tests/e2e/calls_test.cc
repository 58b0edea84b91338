#include <doctest/doctest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "e2e/processes.h"
#include "limpet/net/target_client.h"

namespace limpet {
namespace {

/// Calls through one node until told to stop and checks every answer.
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
      const HttpAnswer answer = mesh_.Call(node_, MakeRequest("POST", "/desk/book", id, body));
      const auto outcome = answer.Header(kOutcomeHeader);
      if (outcome == "ran") {
        ++ran_;
        wrong_ += answer.status == 200 && answer.body == id + "\n" + body ? 0 : 1;
      } else {
        ++(outcome == "not_run" ? not_run_ : unknown_);
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

int CountDoubled(const Mesh& mesh) {
  int doubled = 0;
  for (const auto& [id, count] : mesh.Executions()) {
    doubled += count > 1 ? 1 : 0;
  }
  return doubled;
}

TEST_CASE("a call goes from the caller over two nodes to the target and back") {
  Mesh mesh;
  mesh.AddNode("a");
  mesh.WaitUntilServing({"a"}, 1);
  const auto answer = mesh.Call("a", MakeRequest("POST", "/desk/book", "r-1", "slot 7"));
  CHECK(answer.status == 200);
  CHECK(answer.Header(kOutcomeHeader) == "ran");
  CHECK(answer.body == "r-1\nslot 7");
  const auto refused = mesh.Call("a", MakeRequest("POST", "/unknown", "r-2", ""));
  CHECK(refused.status == 404);
  CHECK(refused.Header(kOutcomeHeader) == "not_run");
  CHECK(refused.Header(kReasonHeader) == "no_route");
  CHECK(mesh.Executions() == std::map<std::string, int>{{"r-1", 1}});
}

}  // namespace
}  // namespace limpet
