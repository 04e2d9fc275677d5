// The replicas' side: pooled connections, one exchange at a time on each, and the calls about leases.
// Never sends anything twice by itself: what is tried again is the router's to say. Only the lease calls,
// which may be repeated freely, go to further replicas by themselves.
#ifndef DISPATCHER_UPSTREAM_CONNECTION_POOL_HPP_
#define DISPATCHER_UPSTREAM_CONNECTION_POOL_HPP_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "engine/engine.hpp"
#include "http/event_framer.hpp"
#include "http/message.hpp"
#include "http/message_reader.hpp"
#include "net/connection.hpp"
#include "upstream/connect_timeout_estimator.hpp"
#include "upstream/reservation_releaser.hpp"

namespace dispatcher::upstream {

using engine::AttemptId;
using routing::AttemptStatus;

struct Options {
  Duration connect_timeout{};      // the longest that a new connection is waited for; see
                                   // upstream::ConnectTimeoutEstimator
  Duration idle_timeout{};         // the replica's side closes a connection that has stood idle for so long
  Duration lease_patience{};       // until further replicas are asked to let go of a state
  std::size_t max_idle = 24;       // idle connections kept to one replica ...
  std::size_t max_idle_all = 160;  // ... and to all
  std::size_t max_connections = 360;                        // connections open at once, whatever they do
  Duration drain_grace = std::chrono::milliseconds(250);    // for a first byte, after a replica's drain
  Duration release_again = std::chrono::milliseconds(200);  // while something may still leave a state
};

// Where a replica listens, as discovery tells.
struct EndpointAddress {
  std::string endpoint;
  net::tcp::endpoint address;
  bool ready = false, gone = false;
  std::string zone = {};
  int cell = 0;
};

class ConnectionPool : public engine::UpstreamClient,
                       private net::Connection::Owner,
                       private ReservationReleaser::ReleaseConnections {
 public:
  ConnectionPool(boost::asio::io_context& io, engine::TimerQueue& timers, engine::Clock clock,
                 engine::Log log, const Options& options);
  void attach(engine::Engine& engine) { engine_ = &engine; }
  void endpoints(const std::vector<EndpointAddress>& addresses, bool whole);
  // Offline, a host gets no first byte of anything any more: what waits for a connection there has failed
  // without having been sent. What runs goes on.
  void maintain(const std::string& endpoint, bool offline);
  // Other bounds and times for what is opened from now on.
  void adopt(const Options& options);
  // For handing a running stream to another process, as http::Server does. hush(): does it stand between two
  // events? What is to be known of it besides its socket is in Given.
  struct Given {
    std::string endpoint, unread;
    std::uint64_t chunk_left = 0;
    bool keep_alive = true;
  };
  bool hush(AttemptId attempt);
  void wake(AttemptId attempt);
  std::pair<net::UniqueFd, Given> give(AttemptId attempt);
  void adopt(AttemptId attempt, net::UniqueFd socket, const Given& given);
  // Closes the oldest idle connection: descriptors are short. False: there is none.
  bool shed();
  [[nodiscard]] std::size_t open() const { return lines_.size(); }
  [[nodiscard]] std::size_t endpoints_known() const { return endpoints_.size(); }
  [[nodiscard]] std::size_t leases_out() const { return leases_.out(); }
  [[nodiscard]] std::size_t leases_pressing() const {
    return leases_.pressing();
  }  // that a process's end must wait for

  void send(AttemptId attempt, const std::string& endpoint,
            std::shared_ptr<const engine::UpstreamRequest> message, Time deadline, Time connect_by) override;
  bool abandon(AttemptId attempt) override;
  void pause(AttemptId attempt) override;
  void resume(AttemptId attempt) override;
  void hold(AttemptId attempt, const std::string& endpoint, const std::string& id) override;
  void release(const std::string& id, Time until) override;
  bool under_way(AttemptId attempt) override;

 private:
  enum class Kind { kNone, kAttempt, kHold, kRelease };
  // A connection and what it carries.
  struct PooledConnection {
    std::string endpoint;
    net::tcp::endpoint address;  // where the host listened when it was opened
    std::shared_ptr<net::Connection> connection;
    Time opened{}, parked_at{};
    bool connected = false, sent = false;
    bool reused = false;  // has served an exchange before
    bool hushed = false;
    bool parked = false;      // in its host's idle list; only such a line may be closed to make room
    bool answers = false;     // bytes of an answer have come, other than informational ones
    Kind kind = Kind::kNone;  // kNone: idle, or being opened for nobody any more
    AttemptId attempt;
    std::string id;       // of the request that an attempt or a lease call is about
    std::string request;  // to be written once the connection is up
    http::ResponseReader reader{std::nullopt};
    http::EventFramer framer;
    engine::AttemptResult ending;
    engine::TimerQueue::Id limit;  // to connect, to begin a stream, to answer a lease call, or to stand idle
  };
  struct Endpoint {
    net::tcp::endpoint address;
    std::string zone;
    int cell = 0;
    bool listed = false;               // discovery has it as up
    bool ready = false, gone = false;  // ready: listed, and operators did not leave it out
    std::size_t lines = 0;  // open connections; a host that is gone is forgotten with the last of them
    Time drained{}, heard{};
    std::size_t busy = 0;     // attempts under way
    Time asked{};             // since when it owes a sign of life; zero: it owes none
    std::deque<SlotId> idle;  // the last used at the back
  };
  void on_connected(SlotId id, net::error_code error) override;
  void on_data(SlotId id) override;
  void on_sent(SlotId id) override;
  void on_ended(SlotId id, net::error_code error) override;

  SlotId take(const std::string& endpoint, Duration patience);
  void start(SlotId id, Kind kind, std::string request);
  void write(SlotId id, PooledConnection& line);
  void read(SlotId id, PooledConnection& line);
  http::ReadStatus read_answer(SlotId id, PooledConnection& line);
  void pass_events(SlotId id, std::string_view bytes);
  void broke(SlotId id);
  void spoilt(SlotId id, std::string_view why);
  void lost(SlotId id, AttemptStatus status, bool blameless = false);  // blameless: not the host's doing
  Endpoint* find(const std::string& name);
  PooledConnection* line_of(AttemptId attempt);
  void review(const std::string& name, Endpoint& endpoint);
  void forget_gone();
  void end_exchange(PooledConnection& line);
  void complete(SlotId id);
  void park(SlotId id);
  void drop(SlotId id) override;
  void drop_idle(Endpoint& endpoint);
  bool rested(SlotId line);
  bool too_late(const PooledConnection& line);
  static ReservationReleaser::Bounds lease_bounds(const Options& options);
  SlotId call_release(const std::string& endpoint, const std::string& id) override;
  std::vector<upstream::Listener> listeners() override;
  void fail_later(AttemptId attempt, AttemptStatus status);

  boost::asio::io_context& io_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  engine::Log log_;
  Options options_;
  engine::Engine* engine_ = nullptr;
  net::SlotTable<PooledConnection> lines_;
  std::map<std::string, Endpoint> endpoints_;
  std::set<std::string> offline_;  // by the operators' word, whether listed or not
  std::map<AttemptId, SlotId> attempts_;
  ReservationReleaser leases_;
  std::deque<SlotId> idle_order_;  // all that went idle, oldest first; may name lines gone or taken since
  std::size_t idle_ = 0;
  upstream::ConnectTimeoutEstimator connects_;
  Time reuse_failed_{};  // when a connection that was used again last broke without an answer
};

}  // namespace dispatcher::upstream

#endif  // DISPATCHER_UPSTREAM_CONNECTION_POOL_HPP_
