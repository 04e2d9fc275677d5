// Follows service discovery's endpoint list over HTTP/1.1 (RFC 9112): opens and closes calls as PollSchedule
// decides, and parses their responses.
//
// GET /v1/servers answers with the complete list as one JSON object. GET /v1/servers?follow=1&since=VERSION
// opens a watch: a chunked response that stays open and carries a JSON object for each change after VERSION,
// with empty lines in between as keep-alives.
#ifndef DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_WATCHER_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_WATCHER_HPP_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "http/message_reader.hpp"
#include "net/connection.hpp"
#include "service_discovery/endpoint_snapshot.hpp"
#include "service_discovery/json_framer.hpp"
#include "service_discovery/poll_schedule.hpp"

namespace dispatcher::service_discovery {

// The options of an EndpointWatcher.
struct EndpointWatcherOptions {
  int dispatcher_count = 1;  // the number that shares the service discovery; see PollSchedule
  std::uint64_t seed = 0;    // of the random numbers for jitter
  ListDelivery delivery = ListDelivery::kPush;
};

// Watches the endpoint list and reports each list and each change to a callback. Owned by the daemon and used
// on its event loop's thread only. `on_change` is called from the event loop, in the order of versions, and
// may call restart() and set_address(). The loss and the recovery of service discovery are logged once each.
// The lists reported so far stay valid in between.
class EndpointWatcher : private net::Connection::Owner {
 public:
  using OnChange = std::function<void(const EndpointSnapshot&)>;
  // `timers` must outlive this object.
  EndpointWatcher(boost::asio::io_context& io, const net::tcp::endpoint& address, engine::TimerQueue& timers,
                  engine::Clock clock, engine::Log log, OnChange on_change,
                  const EndpointWatcherOptions& options = {});
  // Closes all calls. Reports nothing after that.
  ~EndpointWatcher() override;
  EndpointWatcher(const EndpointWatcher&) = delete;
  EndpointWatcher& operator=(const EndpointWatcher&) = delete;

  // Opens a watch for the changes after `version`.
  void start(std::uint64_t version);
  // Reopens the watch at once. Does nothing before start().
  void restart();
  // Follows service discovery at another address from now on. Requests the complete list first, since
  // versions of the old address have no meaning at the new one. Opens no call before start().
  void set_address(const net::tcp::endpoint& address);
  // Returns the version of the last list or change that was reported, or the one given to start().
  [[nodiscard]] std::uint64_t version() const { return version_; }
  // Returns when a call last succeeded or received data, or nullopt before the first time.
  [[nodiscard]] std::optional<engine::Time> last_response_at() const { return last_response_at_; }

 private:
  using CallId = PollSchedule::CallId;
  // One connection to service discovery and the response that is being read from it.
  struct Call {
    std::shared_ptr<net::Connection> connection;
    std::optional<http::ResponseReader> reader;
    JsonFramer framer;
    bool requested_complete_list = false;  // false for a watch
    bool has_complete_list = false;
    // The start of the time limit for the incomplete object or the awaited complete list, if there is one.
    std::optional<engine::Time> object_started_at;
  };
  enum class FailureKind { kRejected, kConnectionLost, kUnreadable };

  void on_connected(net::SlotId slot, net::error_code error) override;
  void on_data(net::SlotId slot) override;
  void on_sent(net::SlotId) override {}
  void on_ended(net::SlotId slot, net::error_code error) override;

  [[nodiscard]] std::shared_ptr<Call> find(CallId id) const;
  void open_call(CallId id);
  void close_call(CallId id);
  void send_request(Call& call);
  [[nodiscard]] bool handle_head(CallId id, Call& call);  // returns false if the call has ended
  void handle_body(CallId id, Call& call, const std::string& text);
  // Returns false if the object isn't a usable list.
  [[nodiscard]] bool handle_object(Call& call, const std::string& text);
  void handle_end_of_response(CallId id, Call& call);
  void update_object_timeout(CallId id, Call& call, std::size_t completed_objects);
  void report(Call& call, const EndpointSnapshot& snapshot);
  void fail_call(CallId id, FailureKind kind);
  void fail_call(CallId id, FailureKind kind, std::string_view reason);
  void execute(const PollSchedule::Actions& actions);
  void set_timer();
  void on_timer();
  void mark_unhealthy(std::string_view reason);
  void mark_healthy();
  [[nodiscard]] double draw_jitter() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  boost::asio::io_context& io_;
  net::tcp::endpoint address_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  OnChange on_change_;
  std::uint64_t version_ = 0;
  bool needs_complete_list_ = false;  // whether the next call requests the complete list
  PollSchedule schedule_;
  std::map<CallId, std::shared_ptr<Call>> calls_;
  bool is_healthy_ = true;  // kept so that each loss and recovery is logged once
  engine::TimerId timer_;
  std::optional<engine::Time> last_response_at_;
  std::mt19937_64 random_;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_WATCHER_HPP_
