#include "responses/programs.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "e2e/processes.h"
#include "edge/loop_thread.h"
#include "edge/raw_client.h"
#include "platform/fake_store.h"

namespace limpet {

namespace {

class LimpetdProgram final : public ProgramUnderTest {
 public:
  LimpetdProgram() : http_port_(FreePort()) {
    const std::string settings = mesh_.WriteSettings("a", FreePort(), http_port_, target().port());
    // The uploads of the tests are larger than the default.
    std::ofstream(settings, std::ios::app) << "[limits]\nmax_body_bytes = 67108864\n";
    node_ = std::make_unique<Process>("limpetd", std::vector<std::string>{"--settings", settings});
  }

 protected:
  int caller_port() const override { return http_port_; }
  std::string prefix() const override { return "/desk"; }

 private:
  Mesh mesh_;
  int http_port_;
  std::unique_ptr<Process> node_;
};

constexpr const char* kPlatformConfig =
    R"({"version":"r1","resources":[{"resource_type":"routes","metadata":{"name":"r1"},)"
    R"("specification":{"host":"desk.example","path_prefix":"/lots/","kind":"non_idempotent",)"
    R"("timeout_ms":5000,"target_latency_ms":4000,"priority":1,"service":"desk","attempts":1}},)"
    R"({"resource_type":"services","metadata":{"name":"desk"},"specification":)"
    R"({"health_check_path":"/health","max_connections":130}},)"
    R"({"resource_type":"services","metadata":{"name":"store"},"specification":)"
    R"({"health_check_path":"/health","max_connections":130}},)"
    R"({"resource_type":"limits","metadata":{},"specification":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]})";

class PlatformProgram final : public ProgramUnderTest {
 public:
  PlatformProgram() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "limpet-responses-XXXXXX").string();
    directory_ = ::mkdtemp(pattern.data());
    store_.Put("keyed.op", "config", kPlatformConfig);
    target_node_ = StartNode("desk-node", "desk", FreePort(), announcements_port_);
    caller_node_ = StartNode("caller-node", "store", caller_port_, FreePort());
  }
  ~PlatformProgram() override {
    target_node_.reset();
    caller_node_.reset();
    loop_.Stop();
    std::filesystem::remove_all(directory_);
  }

 protected:
  int caller_port() const override { return caller_port_; }
  std::string prefix() const override { return "/lots"; }
  void Announce() override {
    const std::string body =
        R"({"service":"desk","address":"127.0.0.1:)" + std::to_string(target().port()) +
        R"(","zone":"a","version":"v1","slots":2,"state":"ready",)" +
        R"("cold_remaining_ms":0,"born":1,"sequence":)" + std::to_string(++heartbeats_) + "}";
    RawClient client(announcements_port_);
    client.Send("PUT /instances/i-1 HTTP/1.1\r\nHost: node\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    client.ReadResponse();
  }

 private:
  std::unique_ptr<Process> StartNode(const std::string& name,
                                     const std::string& service,
                                     int outbound_port,
                                     int announcements_port) {
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
    const std::string path = directory_ + "/" + name + ".ini";
    std::ofstream(path) << "[node]\nname = " << name << "\ndata_centre = a\nservice = " << service
                        << "\nhost = 127.0.0.1\n[edge]\noutbound = " << address(outbound_port)
                        << "readiness = " << address(FreePort())
                        << "announcements = " << address(announcements_port)
                        << "target = " << address(target().port())
                        << "store = " << address(store_.address().port)
                        << "link_mbps = 10000\nmemory_mb = 1000\nlink_port = " << FreePort()
                        << "\nmetrics_port = " << FreePort() << "\n[logging]\nlevel = warning\n";
    ::setenv("LIMPETGRADE_BOOT", path.c_str(), 1);
    return std::make_unique<Process>("limpetd-platform", std::vector<std::string>{});
  }

  edge::LoopThread loop_;
  platform::FakeStore store_{loop_};
  std::string directory_;
  int caller_port_ = FreePort();
  int announcements_port_ = FreePort();
  int heartbeats_ = 0;
  std::unique_ptr<Process> target_node_;
  std::unique_ptr<Process> caller_node_;
};

}  // namespace

std::string ProgramUnderTest::Post(const std::string& path, const std::string& body) {
  RawClient client(caller_port());
  if (!client.connected()) {
    return "";
  }
  client.Send("POST " + prefix() + path +
              " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: request-" +
              std::to_string(++requests_) +
              "\r\nX-Deadline-Ms: 4000\r\nX-Limpet-Deadline-Ms: 4000\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  return client.ReadResponse();
}

bool ProgramUnderTest::ServesWithinLimit() {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (std::chrono::steady_clock::now() < end) {
    Announce();
    if (Post("/whole").starts_with("HTTP/1.1 200")) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

std::unique_ptr<ProgramUnderTest> StartLimpetd() {
  return std::make_unique<LimpetdProgram>();
}

std::unique_ptr<ProgramUnderTest> StartLimpetdPlatform() {
  return std::make_unique<PlatformProgram>();
}

}  // namespace limpet
