// The platform's own front: a thin translation of its protocol to the core and back.
#ifndef DISPATCHER_PLATFORM_API_FRONTEND_HPP_
#define DISPATCHER_PLATFORM_API_FRONTEND_HPP_

#include <string>

#include "http/frontend.hpp"

namespace dispatcher::platform_api {

using net::SlotId;

class Frontend : public http::Frontend {
 public:
  Frontend(boost::asio::io_context& io, const net::tcp::endpoint& at, engine::Engine& engine,
           engine::SettingsSnapshot rules, engine::TimerQueue& timers, engine::Clock clock,
           const http::ServerOptions& options, std::function<bool()> shed);

  void adopt(engine::SettingsSnapshot rules) { rules_ = std::move(rules); }  // for the requests from now on

 private:
  void on_request(SlotId client, http::Server::Request& request, engine::Time arrived) override;
  std::string error_body(int status, std::string_view what) override;
  void start_stream(SlotId client) override { server_.begin(client); }
  bool write_events(SlotId client, std::string_view events) override { return server_.pass(client, events); }
  void finish_stream(SlotId client) override;
  void abort_stream(SlotId client) override;
  void reject(SlotId client, std::optional<engine::Duration> retry_after) override;
  void fail(SlotId client, engine::Failure why) override;
  void limited(SlotId client, engine::Duration retry_after) override;
  void busy(SlotId client, engine::Duration retry_after) override;
  void come_later(SlotId client, int status, std::string_view what, engine::Duration retry_after);
  void take(SlotId client, http::Server::Request& request, engine::Time arrived);

  engine::SettingsSnapshot rules_;
};

// The request that the headers describe. Throws std::invalid_argument naming the header.
routing::Request parse_request(const http::Server::Request& request, const routing::Settings& settings,
                               engine::Time arrived);

}  // namespace dispatcher::platform_api

#endif  // DISPATCHER_PLATFORM_API_FRONTEND_HPP_
