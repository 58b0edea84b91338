#include "limpet/core/latency_buckets.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;

TEST_CASE("the rendered histogram has cumulative buckets, a sum and a count") {
  LatencyBuckets buckets;
  buckets.Record(milliseconds(3));
  buckets.Record(milliseconds(5));
  buckets.Record(milliseconds(100));
  buckets.Record(milliseconds(9000));
  const std::string text = buckets.Render("call_seconds");
  CHECK(text.starts_with("# TYPE call_seconds histogram\n"));
  CHECK(text.find("call_seconds_bucket{le=\"0.005\"} 2\n") != std::string::npos);
  CHECK(text.find("call_seconds_bucket{le=\"0.16\"} 3\n") != std::string::npos);
  CHECK(text.find("call_seconds_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
  CHECK(text.find("call_seconds_sum 9.108000\n") != std::string::npos);
  CHECK(text.ends_with("call_seconds_count 4\n"));
}

}  // namespace
}  // namespace limpet
