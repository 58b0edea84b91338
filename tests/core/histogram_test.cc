#include <doctest/doctest.h>

#include "limpet/core/histogram.h"

namespace limpet {
namespace {

TEST_CASE("a percentile is at most 1/32 above the true value") {
  Histogram histogram;
  for (int micros = 1; micros <= 100000; ++micros) {
    histogram.Record(Duration(micros));
  }
  for (const double fraction : {0.5, 0.9, 0.99}) {
    const double exact = fraction * 100000;
    const auto percentile = static_cast<double>(histogram.Percentile(fraction).count());
    CHECK(percentile >= exact);
    CHECK(percentile <= exact * (1 + 1.0 / 32));
  }
  CHECK(histogram.Percentile(1.0) == Duration(100000));
}

TEST_CASE("the percentile of an empty histogram is 0") {
  CHECK(Histogram().Percentile(0.99) == Duration(0));
}

}  // namespace
}  // namespace limpet
