// Selection of the writer that fetches a prompt state: one in the reader's cell is preferred, and other cells
// are used as far as needed.
#include <map>
#include <string>
#include <vector>

#include "router_harness.hpp"

namespace dispatcher::routing::testing {
namespace {

const std::vector<EndpointInfo>& one_reader_and_a_writer_in_each_of_three_cells() {
  static const std::vector<EndpointInfo> endpoints = {reader("r1", {.cell = 1}), writer("w1", {.cell = 1}),
                                                      writer("w2", {.cell = 2}), writer("w3", {.cell = 3})};
  return endpoints;
}

TEST(WriterSelection, PrefersTheReadersCell) {
  RouterHarness harness;
  harness.update_endpoints(one_reader_and_a_writer_in_each_of_three_cells());
  for (int i = 0; i < 2; ++i) {
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = 1 + i});
    harness.complete(id, AttemptStatus::kRead);
    EXPECT_EQ(harness.active_endpoint(id), "w1");
  }
}

TEST(WriterSelection, LeavesTheCellWhenItsBestWritersLoadIsWellAboveTheMean) {
  RouterHarness harness;
  harness.update_endpoints(one_reader_and_a_writer_in_each_of_three_cells());
  std::map<EndpointId, int> used;
  for (int i = 0; i < 12; ++i) {
    const RequestId id = "q" + std::to_string(i);
    harness.submit(id, {.session = 1 + i});
    harness.complete(id, AttemptStatus::kRead);
    harness.send_first_token(id);
    ++used[harness.active_endpoint(id)];
  }
  EXPECT_EQ(used.size(), 3U);
  EXPECT_GT(used["w1"], used["w2"]);
}

// One cell has three of four readers and one of four writers, so that about a third of its prompt states may
// stay there. Each router sends one request and so has no streams to count.
TEST(WriterSelection, ManyRoutersLeaveACellOnlyAsFarAsItsWritersLackCapacity) {
  constexpr int kRouters = 400;
  const std::vector<EndpointInfo> endpoints = {reader("r1", {.cell = 1}), reader("r2", {.cell = 1}),
                                               reader("r3", {.cell = 1}), reader("r4", {.cell = 2}),
                                               writer("w1", {.cell = 1}), writer("w2", {.cell = 2}),
                                               writer("w3", {.cell = 2}), writer("w4", {.cell = 2})};
  int read_in_cell = 0, written_in_cell = 0;
  for (int number = 0; number < kRouters; ++number) {
    Settings settings = make_settings();
    settings.router_count = kRouters;
    settings.router_number = number;
    RouterHarness harness(settings);
    harness.update_endpoints(endpoints);
    const EndpointId reader = harness.submit("q", {.session = 1000 + number});
    harness.complete("q", AttemptStatus::kRead);
    const bool is_written_in_cell = harness.active_endpoint("q") == "w1";
    if (reader == "r4") {
      EXPECT_FALSE(is_written_in_cell) << "the writers of its own cell have capacity";
      continue;
    }
    ++read_in_cell;
    if (is_written_in_cell) ++written_in_cell;
  }
  EXPECT_NEAR(static_cast<double>(written_in_cell) / read_in_cell, 0.4, 0.1);
}

TEST(WriterSelection, MixedEndpointGetsAPromptStateOnlyWithoutAWriter) {
  RouterHarness harness;
  harness.update_endpoints({reader("r1"), mixed("m1"), writer("w1")});
  for (int i = 0; i < 10; ++i) {
    const RequestId id = "q" + std::to_string(i);
    if (harness.submit(id, {.session = i + 1}) != "r1") continue;
    harness.complete(id, AttemptStatus::kRead);
    EXPECT_EQ(harness.active_endpoint(id), "w1");
  }
}

}  // namespace
}  // namespace dispatcher::routing::testing
