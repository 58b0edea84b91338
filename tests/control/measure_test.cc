#include <doctest/doctest.h>

#include <ctime>
#include <iostream>

#include "limpet/core/histogram.h"
#include "limpet/wire/codec.h"
#include "support/changes.h"
#include "support/fake_mesh.h"

namespace limpet {
namespace {

using namespace std::chrono_literals;

int64_t SumCounter(test::FakeMesh& mesh, const std::string& counter) {
  int64_t sum = 0;
  for (auto& [name, node] : mesh.nodes()) {
    sum += node.counters->Get(counter).value();
  }
  return sum;
}

double MeasureCpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void MeasureDistribution(int nodes, DistributionMode mode) {
  test::FakeMesh mesh(1);
  mesh.mode = mode;
  for (int i = 0; i < nodes; ++i) {
    mesh.Start("node-" + std::to_string(i), "dc" + std::to_string(i % 3));
  }
  mesh.Run(30s);
  int64_t version = 0;
  TimePoint published;
  std::map<std::string, int64_t> seen;
  Histogram convergence;
  mesh.observer = [&](const std::string& name, const ControlPlane& plane) {
    if (plane.snapshot()->version() == version && seen[name] != version) {
      seen[name] = version;
      convergence.Record(mesh.now() - published);
    }
  };
  constexpr int kChanges = 40;
  const int64_t reads = SumCounter(mesh, "log_reads");
  const int64_t pushed = SumCounter(mesh, "control_bytes_sent_delta_push");
  const int64_t reported = SumCounter(mesh, "control_bytes_sent_status_report");
  const double cpu = MeasureCpuSeconds();
  const TimePoint start = mesh.now();
  for (int i = 0; i < kChanges; ++i) {
    wire::ChangeRecord record;
    record.id = mesh.random().HexId();
    record.author = "operator";
    record.base = version;
    record.delta.set_services = {test::MakeService("service-" + std::to_string(i % 10), 100 + i)};
    version = mesh.log.Append("config", wire::Encode(record));
    published = mesh.now();
    mesh.Run(3s + Duration(static_cast<Duration::rep>(mesh.random().NextBelow(500'000))));
  }
  const double seconds = std::chrono::duration<double>(mesh.now() - start).count();
  const auto millis = [&](double fraction) {
    return static_cast<double>(convergence.Percentile(fraction).count()) / 1000;
  };
  const double per_change = 1.0 / nodes / kChanges;
  CHECK(convergence.count() == static_cast<uint64_t>(nodes) * kChanges);
  std::cout << nodes << " nodes, " << EnumName(kDistributionModeNames, mode)
            << ": convergence ms p50 " << millis(0.5) << " p99 " << millis(0.99) << " max "
            << millis(1.0) << "; per node and change: push bytes "
            << static_cast<double>(SumCounter(mesh, "control_bytes_sent_delta_push") - pushed) *
                   per_change
            << " report bytes "
            << static_cast<double>(SumCounter(mesh, "control_bytes_sent_status_report") -
                                   reported) *
                   per_change
            << "; log reads/s "
            << static_cast<double>(SumCounter(mesh, "log_reads") - reads) / seconds
            << "; CPU us per node and s, with the simulation "
            << (MeasureCpuSeconds() - cpu) * 1e6 / seconds / nodes << std::endl;
}

// Measures on the simulated in-memory network, not with processes. Run with
// test-control -ns -tc="measure*"
TEST_CASE("measure distribution in memory" * doctest::skip()) {
  for (const int nodes : {100, 300}) {
    MeasureDistribution(nodes, DistributionMode::kTree);
    MeasureDistribution(nodes, DistributionMode::kPollLog);
  }
}

}  // namespace
}  // namespace limpet
