// The OpenAI-style front: chat completions, whole or streamed, over the same core as the platform's.
#ifndef DISPATCHER_OPENAI_API_FRONTEND_HPP_
#define DISPATCHER_OPENAI_API_FRONTEND_HPP_

#include <map>
#include <string>

#include "http/frontend.hpp"
#include "openai_api/answer.hpp"
#include "openai_api/config.hpp"
#include "openai_api/request.hpp"

namespace dispatcher::openai_api {

using net::SlotId;

class Frontend : public http::Frontend {
 public:
  Frontend(boost::asio::io_context& io, const Config& config, engine::Engine& engine,
           engine::TimerQueue& timers, engine::Clock clock, std::uint64_t seed,
           const http::ServerOptions& options, std::function<bool()> shed);

  // Models, keys, accounts and limits of another file, for the requests from now on. Where this front listens
  // stays. What is under way keeps what it began with.
  void adopt(const Config& config) { config_ = config; }

 private:
  void on_request(SlotId client, http::Server::Request& request, engine::Time arrived) override;
  std::string error_body(int status, std::string_view what) override;
  void start_stream(SlotId client) override;
  bool write_events(SlotId client, std::string_view events) override;
  void finish_stream(SlotId client) override;
  void abort_stream(SlotId client) override;
  void reject(SlotId client, std::optional<engine::Duration> retry_after) override;
  void fail(SlotId client, engine::Failure why) override;
  void limited(SlotId client, engine::Duration retry_after) override;
  void busy(SlotId client, engine::Duration retry_after) override;
  void forget(SlotId client) override;

  // The account that the request may use; empty: its key is not known.
  [[nodiscard]] std::optional<std::string> account(const http::Server::Request& request) const;
  void models(SlotId client, std::string_view id);
  void complete(SlotId client, http::Server::Request& request, engine::Time arrived,
                const std::string& account);
  void reply(SlotId client, const ApiError& error, std::initializer_list<http::Header> more = {});
  void may_have_run(SlotId client, const ApiError& error, bool repeatable);
  void come_later(SlotId client, const ApiError& error, engine::Duration wait);
  [[nodiscard]] const routing::RequestClass& class_of(const routing::Request& request,
                                                      const Model& model) const;
  std::string new_id();

  Config config_;
  std::uint64_t seed_, made_ = 0;
  struct Exchange {
    Answer answer;
    bool repeatable;  // whatever became of it, asking again does no harm
  };
  std::map<SlotId, Exchange> exchanges_;  // by client: those that are under way
};

}  // namespace dispatcher::openai_api

#endif  // DISPATCHER_OPENAI_API_FRONTEND_HPP_
