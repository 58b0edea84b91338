#include <doctest/doctest.h>

#include "membership/data_centre_status.h"
#include "membership/gossip_queue.h"

namespace limpet {
namespace {

using Names = std::vector<std::string>;

int SizeOf(const std::string& /*name*/) {
  return 100;
}

TEST_CASE("each update is sent as often as the limit allows, the least often sent one first") {
  GossipQueue queue;
  queue.Push("old");
  CHECK(queue.SelectBatch(100, 3, SizeOf) == Names{"old"});
  queue.Push("new");
  CHECK(queue.SelectBatch(100, 3, SizeOf) == Names{"new"});
  CHECK(queue.SelectBatch(200, 3, SizeOf).size() == 2);
  CHECK(queue.SelectBatch(200, 3, SizeOf).size() == 2);
  CHECK(queue.empty());
}

TEST_CASE("a newer state of a queued name restarts its transmissions") {
  GossipQueue queue;
  queue.Push("a");
  queue.SelectBatch(100, 2, SizeOf);
  queue.Push("a");
  queue.SelectBatch(100, 2, SizeOf);
  CHECK_FALSE(queue.empty());
}

// Otherwise one large record would block the queue forever.
TEST_CASE("an update larger than a datagram is selected alone") {
  GossipQueue queue;
  queue.Push("a");
  queue.Push("b");
  CHECK(queue.SelectBatch(50, 1, SizeOf).size() == 1);
  CHECK(queue.SelectBatch(50, 1, SizeOf).size() == 1);
  CHECK(queue.empty());
}

TEST_CASE("the transmission limit is the factor times ceil(log2(n + 1))") {
  CHECK(TransmissionLimit(3, 0) == 3);
  CHECK(TransmissionLimit(3, 1) == 3);
  CHECK(TransmissionLimit(3, 7) == 9);
  CHECK(TransmissionLimit(3, 8) == 12);
  CHECK(TransmissionLimit(3, 294) == 27);
}

TEST_CASE("of two data centre statuses with the same sequence the reachable one is kept") {
  DataCentreStatusTable table;
  CHECK(table.IsReachable("dc"));
  table.Set("dc", false);
  CHECK_FALSE(table.IsReachable("dc"));
  wire::DataCentreStatus status = *table.Find("dc");
  CHECK_FALSE(table.Apply(status));
  status.reachable = true;
  CHECK(table.Apply(status));
  status.reachable = false;
  CHECK_FALSE(table.Apply(status));
  CHECK(table.IsReachable("dc"));
}

}  // namespace
}  // namespace limpet
