#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

#include "config/sample_config.h"
#include "limpet/config/inventory.h"
#include "net/loopback.h"
#include "standin/log_server.h"

// Runs limpetctl as a process that uses the stand-in log over HTTP.

namespace limpet {
namespace {

class Program {
 public:
  Program() : thread_([this] { server_.Run(); }) {}
  ~Program() {
    server_.Stop();
    thread_.join();
    std::remove(path_.c_str());
  }

  void WriteInventory(const wire::FullConfig& config) {
    std::ofstream(path_) << FormatInventory(config);
  }

  /// Returns the exit code of limpetctl with these arguments, or -1 if it did not exit normally.
  /// FILE is replaced by the path of the inventory.
  int Run(std::string arguments) const {
    if (const std::size_t place = arguments.find("FILE"); place != std::string::npos) {
      arguments.replace(place, 4, path_);
    }
    const std::string command = std::string(LIMPET_BINARY_DIR) + "/limpetctl --author ada --log " +
                                "127.0.0.1:" + std::to_string(port_) + " " + arguments +
                                " >/dev/null 2>&1";
    const int status = std::system(command.c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  int port_ = FreePort();
  std::string path_ = "limpetctl-test-" + std::to_string(::getpid()) + ".ini";
  StandinLogServer server_{"127.0.0.1", port_, {}};
  std::thread thread_;
};

TEST_CASE("the exit codes are those that --help documents") {
  Program program;
  wire::FullConfig config = SampleConfig();
  program.WriteInventory(config);
  CHECK(program.Run("--help") == 0);
  CHECK(program.Run("") == 2);
  CHECK(program.Run("publish") == 2);
  CHECK(program.Run("status --unknown") == 2);
  CHECK(program.Run("validate FILE") == 0);
  CHECK(program.Run("publish FILE") == 0);
  config.services[0].slots = 13;
  program.WriteInventory(config);
  CHECK(program.Run("publish FILE") == 4);
  CHECK(program.Run("publish FILE --base 1") == 0);
  CHECK(program.Run("status 3") == 8);
  CHECK(program.Run("trace 2 --json") == 0);
  CHECK(program.Run("drain 127.0.0.1:" + std::to_string(FreePort())) == 7);
  CHECK(program.Run("status --log 127.0.0.1:" + std::to_string(FreePort())) == 6);
  config.routes[0].service_name = "absent";
  program.WriteInventory(config);
  CHECK(program.Run("validate FILE") == 3);
}

}  // namespace
}  // namespace limpet
