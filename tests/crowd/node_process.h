#ifndef LIMPET_TESTS_CROWD_NODE_PROCESS_H_
#define LIMPET_TESTS_CROWD_NODE_PROCESS_H_

#include <spawn.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

extern char** environ;

namespace limpet {

/// A node in a separate process with its own limit on open descriptors. Its output is discarded.
class NodeProcess {
 public:
  /// `program` is `limpetd` or `limpetd-platform`.
  NodeProcess(const std::string& program, const std::string& settings, int max_descriptors) {
    settings_ =
        (std::filesystem::temp_directory_path() / ("limpet-crowd-" + std::to_string(::getpid())))
            .string() +
        ".ini";
    std::ofstream(settings_) << settings;
    std::string command = "ulimit -n " + std::to_string(max_descriptors) +
                          " && LIMPETGRADE_BOOT=" + settings_ + " exec " LIMPET_BINARY_DIR "/" +
                          program + " --settings " + settings_ + " >/dev/null 2>&1";
    std::string shell = "/bin/sh";
    std::string option = "-c";
    const std::array<char*, 4> arguments = {shell.data(), option.data(), command.data(), nullptr};
    if (::posix_spawn(&pid_, shell.c_str(), nullptr, nullptr, arguments.data(), environ) != 0) {
      throw std::runtime_error("cannot start " + program);
    }
  }
  ~NodeProcess() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    std::filesystem::remove(settings_);
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  bool IsRunning() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  /// Largest resident set so far, in kB.
  int64_t PeakMemoryKb() const { return ReadStatus("VmHWM:"); }
  int64_t MemoryKb() const { return ReadStatus("VmRSS:"); }
  int CountDescriptors() const {
    return static_cast<int>(
        std::distance(std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd"),
                      std::filesystem::directory_iterator()));
  }

 private:
  int64_t ReadStatus(const std::string& field) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string word; status >> word;) {
      int64_t value = 0;
      if (word == field && status >> value) {
        return value;
      }
    }
    return 0;
  }

  std::string settings_;
  pid_t pid_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_TESTS_CROWD_NODE_PROCESS_H_
