// Follows discovery's list: carries out what the plan of calls decides and reads what the calls bring.
#ifndef DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_WATCHER_HPP_
#define DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_WATCHER_HPP_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "engine/engine.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"
#include "net/connection.hpp"
#include "service_discovery/endpoint_snapshot.hpp"
#include "service_discovery/json_framer.hpp"
#include "service_discovery/poll_schedule.hpp"

namespace dispatcher::service_discovery {

class EndpointWatcher : private net::Connection::Owner {
 public:
  using OnChange = std::function<void(const EndpointSnapshot&)>;
  // `fleet` and `lists` tell what a call costs discovery; see PollSchedule. Pauses are drawn from `seed`'s
  // numbers.
  EndpointWatcher(boost::asio::io_context& io, const net::tcp::endpoint& at, engine::TimerQueue& timers,
                  engine::Clock clock, engine::Log log, OnChange on_change, int fleet = 1,
                  std::uint64_t seed = 0, Lists lists = Lists::kPushed);
  ~EndpointWatcher() override;
  // Opens the watch for what came after `seq`.
  void start(std::uint64_t seq);
  void restart();  // opens it again at once; nothing before start()
  // Follows another address from now on. What was seen so far was the old one's, so the new one's whole list
  // is taken first. The list that was told last serves until then. Before start() it opens nothing.
  void move(const net::tcp::endpoint& at);
  [[nodiscard]] std::uint64_t seq() const { return seq_; }
  [[nodiscard]] std::optional<engine::Time> heard() const {
    return heard_;
  }  // when discovery last said anything

 private:
  struct Call {
    std::shared_ptr<net::Connection> connection;
    std::optional<http::ResponseReader> reader;
    JsonFramer framer;
    bool whole = false;     // it asked for the whole list, else for the changes
    bool has_list = false;  // the whole list has come
    std::optional<engine::Time> object_since;
  };
  using CallId = PollSchedule::CallId;

  void on_connected(net::SlotId id, net::error_code error) override;
  void on_data(net::SlotId id) override;
  void on_sent(net::SlotId) override {}
  void on_ended(net::SlotId id, net::error_code error) override;
  [[nodiscard]] std::shared_ptr<Call> find(CallId id) const;
  void ask(Call& call);
  bool take_head(CallId id, Call& call);  // false: the call is over
  void take(CallId id, Call& call, const std::string& text);
  bool take_object(Call& call, const std::string& text);  // false: it is no list
  void finish(CallId id, Call& call);
  void obey(const PollSchedule::Orders& orders);
  void lost(std::string_view why);
  void back();
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  boost::asio::io_context& io_;
  net::tcp::endpoint at_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  OnChange on_change_;
  std::uint64_t seq_ = 0;
  bool whole_ = false;  // the whole list is to be asked for before it is followed
  PollSchedule plan_;
  std::map<CallId, std::shared_ptr<Call>> calls_;
  bool healthy_ = true;  // to log a loss once
  engine::TimerQueue::Id next_;
  std::optional<engine::Time> heard_;
  std::mt19937_64 random_;
};

}  // namespace dispatcher::service_discovery

#endif  // DISPATCHER_SERVICE_DISCOVERY_ENDPOINT_WATCHER_HPP_
