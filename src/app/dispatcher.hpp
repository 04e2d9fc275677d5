// The whole dispatcher, put together: who is built from what, and its life from start to SIGTERM.
#ifndef BITTERNFERRY_APP_DISPATCHER_HPP_
#define BITTERNFERRY_APP_DISPATCHER_HPP_

#include <boost/asio/signal_set.hpp>

#include "app/config.hpp"
#include "app/loop.hpp"
#include "core/engine.hpp"
#include "discovery/watch.hpp"
#include "platform/front.hpp"
#include "replica/pool.hpp"

namespace bitternferry::app {

class Dispatcher {
 public:
  Dispatcher(Loop& loop, const Config& config, core::Log log);
  void start();
  void drain();  // as SIGTERM asks: takes what still comes for a while, finishes everything, ends the loop

 private:
  void apply(const discovery::Servers& servers);
  void finish_draining();

  Loop& loop_;
  Config config_;
  core::Log log_;
  replica::Pool pool_;
  core::Engine engine_;
  platform::Front front_;
  discovery::Watch watch_;
  boost::asio::signal_set signals_;
  bool draining_ = false;
};

}  // namespace bitternferry::app

#endif  // BITTERNFERRY_APP_DISPATCHER_HPP_
