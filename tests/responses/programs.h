#ifndef LIMPET_TESTS_RESPONSES_PROGRAMS_H_
#define LIMPET_TESTS_RESPONSES_PROGRAMS_H_

#include <memory>
#include <string>

#include "responses/broken_target.h"

namespace limpet {

/// Processes of one of the two daemons with a `BrokenTarget`, ready to serve calls to it.
class ProgramUnderTest {
 public:
  virtual ~ProgramUnderTest() = default;

  BrokenTarget& target() { return target_; }
  /// Sends a POST, whose target may run it only once, and returns the whole response; empty if the
  /// connection ends without one. `path` is "/broken" or "/whole".
  std::string Post(const std::string& path, const std::string& body = "order");
  /// Calls "/whole" until it gets a 200. Returns false after 10 s.
  bool ServesWithinLimit();

 protected:
  virtual int caller_port() const = 0;
  virtual std::string prefix() const = 0;
  /// Sends what a target sends to its node from time to time.
  virtual void Announce() {}

 private:
  BrokenTarget target_;
  int requests_ = 0;
};

/// A node of `limpetd`.
std::unique_ptr<ProgramUnderTest> StartLimpetd();
/// Two nodes of `limpetd-platform`: one beside the target, one that the caller uses.
std::unique_ptr<ProgramUnderTest> StartLimpetdPlatform();

}  // namespace limpet

#endif  // LIMPET_TESTS_RESPONSES_PROGRAMS_H_
