// Follows service discovery's endpoint list over HTTP/1.1 (RFC 9112): carries out what PollSchedule decides
// and reads what the calls bring.
//
// GET /v1/servers answers with the complete list as one JSON object. GET /v1/servers?follow=1&since=VERSION
// opens a watch: a chunked response that stays open and brings a JSON object for each change after VERSION,
// with empty lines in between to keep it alive.
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

// How this dispatcher polls.
struct EndpointWatcherOptions {
  int dispatcher_count = 1;  // how many dispatchers call the same service discovery; see PollSchedule
  std::uint64_t seed = 0;    // of the jitter of pauses
  ListDelivery delivery = ListDelivery::kPush;
};

// Owned by the daemon; used on the thread of its event loop only. `on_change` is called from the event loop,
// for each list and each change in the order of versions, and may call restart() and set_address(). Losing
// and regaining service discovery is logged once each; the lists reported so far stay valid meanwhile.
class EndpointWatcher : private net::Connection::Owner {
 public:
  using OnChange = std::function<void(const EndpointSnapshot&)>;
  // `timers` must outlive this object.
  EndpointWatcher(boost::asio::io_context& io, const net::tcp::endpoint& address, engine::TimerQueue& timers,
                  engine::Clock clock, engine::Log log, OnChange on_change,
                  const EndpointWatcherOptions& options = {});
  // Closes all calls; nothing is reported any more.
  ~EndpointWatcher() override;
  EndpointWatcher(const EndpointWatcher&) = delete;
  EndpointWatcher& operator=(const EndpointWatcher&) = delete;

  // Opens the watch for the changes after `version`.
  void start(std::uint64_t version);
  // Opens the watch again at once; does nothing before start().
  void restart();
  // Follows service discovery at another address from now on. Versions of the old address mean nothing there,
  // so the complete list is requested first. Before start() no call is opened.
  void set_address(const net::tcp::endpoint& address);
  // Of the last list or change that was reported.
  [[nodiscard]] std::uint64_t version() const { return version_; }
  // When a call last succeeded or brought data; none before the first.
  [[nodiscard]] std::optional<engine::Time> last_response_at() const { return last_response_at_; }

 private:
  using CallId = PollSchedule::CallId;
  // One connection to service discovery, and the response that is being read on it.
  struct Call {
    std::shared_ptr<net::Connection> connection;
    std::optional<http::ResponseReader> reader;
    JsonFramer framer;
    bool requested_complete_list = false;  // else it is a watch
    bool has_complete_list = false;
    std::optional<engine::Time> object_started_at;  // of the object that is incomplete, or that is awaited
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
  [[nodiscard]] bool handle_head(CallId id, Call& call);  // false: the call has ended
  void handle_body(CallId id, Call& call, const std::string& text);
  [[nodiscard]] bool handle_object(Call& call, const std::string& text);  // false: it is no list
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
  bool needs_complete_list_ = false;  // before changes can be followed
  PollSchedule schedule_;
  std::map<CallId, std::shared_ptr<Call>> calls_;
  bool is_healthy_ = true;  // so that a loss is logged once
  engine::TimerId timer_;
  std::optional<engine::Time> last_response_at_;
  std::mt19937_64 random_;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_WATCHER_HPP_
