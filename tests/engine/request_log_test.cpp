// Tests of the request log: the line of each step of a request, and the reason for each end.
#include <algorithm>

#include "engine_fixture.hpp"

namespace dispatcher::testing {
namespace {

using engine::AttemptEndReason;
using routing::AttemptStatus;

struct RequestLogFixture : EngineFixture {
  RequestLogFixture() {
    engine.set_request_log(engine::RequestLog([this](std::string_view line) { lines.emplace_back(line); }));
  }
  // Returns the lines without their prefix "request ID".
  [[nodiscard]] std::vector<std::string> events() const {
    std::vector<std::string> found;
    for (const std::string& line : lines) found.push_back(line.substr(line.find(' ', 8) + 1));
    return found;
  }
  [[nodiscard]] bool has(const std::string& event) const {
    const std::vector<std::string> all = events();
    return std::find(all.begin(), all.end(), event) != all.end();
  }
  std::vector<std::string> lines;
};

TEST_CASE("the request log has a line for each step of an attempt and the reason for its end", "[log]") {
  RequestLogFixture fixture;
  fixture.submit("a");
  fixture.engine.on_attempt_written(fixture.started[0], engine::ConnectionUse::kReused);
  const std::string reader = fixture.events()[1].substr(std::string("sent attempt=0 host=").size(), 2);
  CHECK(fixture.has("sent attempt=0 host=" + reader + " left=3000.0"));
  CHECK(fixture.has("written attempt=0 host=" + reader + " connection=reused"));
  engine::AttemptResult timed_out{AttemptStatus::kConnectFailed, 0, {}, {}};
  timed_out.reason = AttemptEndReason::kConnectTimeout;
  fixture.engine.on_attempt_completed(fixture.started[0], timed_out);
  CHECK(fixture.has("ended attempt=0 host=" + reader +
                    " verdict=connect-failed ms=0.0 note=0 reason=connect-timeout"));
}

TEST_CASE("the request log has the reason for a final answer and for each release", "[log]") {
  RequestLogFixture fixture;
  fixture.submit("a");
  fixture.complete_read(0);
  fixture.advance(seconds(3));
  CHECK(fixture.has("answered failed reason=may-have-run"));
  CHECK(fixture.has("release reason=router"));
  fixture.engine.on_reservation_released("a", {"r1", 2, milliseconds(7)});
  CHECK(fixture.has("released host=r1 calls=2 ms=7.0"));
}

TEST_CASE("the request log has the reason for which the dispatcher ended an attempt", "[log]") {
  RequestLogFixture fixture;
  const SlotId request = fixture.submit("a");
  fixture.engine.on_client_disconnected(request);
  const std::string ended = *std::find_if(fixture.lines.begin(), fixture.lines.end(), [](const auto& line) {
    return line.find(" ended ") != std::string::npos;
  });
  CHECK(ended.ends_with("reason=client-gone"));
}

}  // namespace
}  // namespace dispatcher::testing
