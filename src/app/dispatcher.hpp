// The whole dispatcher, put together: who is built from what, and its life from start to SIGTERM.
#ifndef BITTERNFERRY_APP_DISPATCHER_HPP_
#define BITTERNFERRY_APP_DISPATCHER_HPP_

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "app/config.hpp"
#include "app/loop.hpp"
#include "chat/front.hpp"
#include "console/console.hpp"
#include "core/engine.hpp"
#include "discovery/watch.hpp"
#include "platform/front.hpp"
#include "replica/pool.hpp"
#include "vrrp/speaker.hpp"

namespace bitternferry::app {

// What SIGHUP reads anew.
struct Files {
  Config config;
  std::string chat;
};

class Dispatcher {
 public:
  using ReadAgain = std::function<Files()>;  // throws where a file can't be read or is bad
  // `chat`, `vrrp`: the texts of their files, empty where there is none. Throws where one is bad.
  Dispatcher(Loop& loop, const Config& config, const std::string& chat, const std::string& vrrp,
             core::Log log, ReadAgain read_again = {});
  void start();
  void reload();  // as SIGHUP asks: all of the new files takes effect or, where one is bad, nothing
  void drain();   // as SIGTERM asks: takes what still comes for a while, finishes everything, ends the loop
  net::tcp::endpoint address() { return platform_.server().local(); }
  net::tcp::endpoint console() const { return console_->local(); }

 private:
  void apply(const discovery::Servers& servers);
  void await_signal();
  void adopt(const Files& files);
  bool ready();
  bool maintain(const std::string& host, bool offline);
  void front_chat(bool active);
  void finish_draining();
  std::vector<http::Server*> servers();

  Loop& loop_;
  Config config_;
  core::Log log_;
  ReadAgain read_again_;
  std::optional<chat::Config> chat_config_;  // before the fronts, which share the descriptors
  replica::Pool pool_;
  core::Engine engine_;
  platform::Front platform_;
  std::optional<chat::Front> chat_;
  std::optional<console::Console> console_;
  discovery::Watch watch_;
  std::optional<vrrp::Speaker> vrrp_;
  bool fronting_ = false;          // this instance of the pair answers at the chat address
  std::set<std::string> offline_;  // replicas that operators left out
  boost::asio::signal_set signals_;
  bool draining_ = false;
};

}  // namespace bitternferry::app

#endif  // BITTERNFERRY_APP_DISPATCHER_HPP_
