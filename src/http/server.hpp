// The serving half of HTTP/1.1: takes connections, reads requests, writes answers. Both fronts stand on it.
#ifndef DISPATCHER_HTTP_SERVER_HPP_
#define DISPATCHER_HTTP_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "engine/timer_queue.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace dispatcher::http {

using engine::Duration;
using engine::Time;
using net::SlotId;

struct ServerOptions {
  std::size_t max_clients = 500;
  std::size_t max_held = 16U << 20U;  // bytes of bodies at once, of all clients, until their answers begin
  Duration greeting = std::chrono::seconds(2);  // for a new connection's first byte
  // For a request to come whole, from its first byte; the first one of a connection from the connection's
  // start, so that a client that dawdles twice is answered no later.
  Duration arrival = std::chrono::milliseconds(2500);
  Duration idle = std::chrono::seconds(60);          // a connection between requests is closed after this
  Duration stall = std::chrono::seconds(20);         // for a client to take more of its stream
  Duration linger = std::chrono::milliseconds(500);  // of a lingering close, from the last byte sent
  bool one_request = false;                          // each connection carries one, and ends with its answer
};

class Server : private net::Connection::Owner, private net::Listener::Owner {
 public:
  using Request = RequestReader::Message;
  class Handler {
   public:
    virtual ~Handler() = default;
    // Exactly one answer is owed: answer(), or begin() and then end() or cut().
    virtual void on_request(SlotId client, Request& request, Time arrived) = 0;
    virtual void on_gone(SlotId client) = 0;  // closed while its answer was owed; nothing is owed any more
    virtual void on_room(SlotId client) = 0;  // the stream that was told to wait may go on
    virtual std::string error_body(int status, std::string_view what) = 0;  // JSON, in the front's form
  };

  // `shed` is asked to free a descriptor elsewhere when there are none left.
  Server(boost::asio::io_context& io, const net::tcp::endpoint& at, Handler& handler,
         engine::TimerQueue& timers, engine::Clock clock, const ServerOptions& options,
         std::function<bool()> shed);

  void answer(SlotId client, int status, std::string_view type, std::string_view body,
              std::initializer_list<Header> more = {});
  void error(SlotId client, int status, std::string_view what, std::initializer_list<Header> more = {});
  void begin(SlotId client);
  bool pass(SlotId client, std::string_view events);  // false: wait for on_room()
  void end(SlotId client);
  void cut(SlotId client);  // ends the connection with no last chunk
  // Does the client whose answer is owed still stand there? Asks the kernel, past what was read.
  bool present(SlotId client);

  // From now on each answer is its connection's last. Idle connections stay until close_idle().
  void drain() { draining_ = true; }
  // Takes what the machine has accepted by now: closing over it would reset requests that were taken.
  void stop_accepting();
  void close_idle();
  // Listens and accepts; throws where the address can't be had. May follow stop_accepting().
  void open(net::UniqueFd listening = {}) {
    if (!listener_.adopt(std::move(listening))) listener_.open();
    listener_.accept();
  }
  int listening() { return listener_.native(); }  // the socket, for another process
  // Other bounds; the clients that are there stay.
  void bound(std::size_t max_clients, std::size_t max_held);
  // For handing a running stream to another process: is everything of it written? Keeps its client from
  // being read until wake().
  bool hush(SlotId client);
  void wake(SlotId client);
  net::UniqueFd give(SlotId client);   // a copy of the socket; the client is forgotten here
  SlotId adopt(net::UniqueFd socket);  // a client whose stream goes on here
  [[nodiscard]] bool is_open() const { return listener_.is_open(); }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] std::size_t clients() const { return clients_.size(); }
  [[nodiscard]] net::tcp::endpoint local() const { return listener_.local(); }

 private:
  enum class State { kReading, kAnswering, kLingering };
  struct Client {
    std::shared_ptr<net::Connection> connection;
    RequestReader reader{kMaxBody};
    State state = State::kReading;
    bool streaming = false, hushed = false, waiting = false, keep = true, told_continue = false;
    bool chunked = true;        // HTTP/1.0 knows no chunks: there the connection's end is the stream's
    bool spoke = false;         // a first byte has come
    std::size_t held = 0;       // bytes of its request's body
    std::size_t discarded = 0;  // bytes that came after its last answer
    Time arrived{};             // the first byte of the request
    Time since{};               // accepted, went idle or began to linger
    engine::TimerQueue::Id limit;
  };

  void on_accepted(net::tcp::socket socket) override;
  void on_accept_failed(net::error_code error) override;
  void on_data(SlotId id) override;
  void on_sent(SlotId id) override;
  void on_ended(SlotId id, net::error_code error) override;
  void reject(SlotId id, Client& client);
  void reject(SlotId id, Client& client, int status, std::string_view what,
              std::initializer_list<Header> more = {});
  void too_much(SlotId id, Client& client);
  void on_early(SlotId id, Client& client);
  static void discard(Client& client);
  void linger(SlotId id);
  void next(SlotId id);
  void wait(SlotId id, Duration limit);
  void gone(SlotId id);
  void drop(SlotId id);
  bool hold(Client& client, std::size_t bytes);
  static int use(const Client& client, Time now);
  SlotId min_useful(SlotId newcomer);
  bool shed(SlotId newcomer = {});
  void make_room(SlotId newcomer = {});

  boost::asio::io_context& io_;
  Handler& handler_;
  engine::TimerQueue& timers_;
  engine::Clock clock_;
  ServerOptions options_;
  std::function<bool()> shed_elsewhere_;
  net::Listener listener_;
  net::SlotTable<Client> clients_;
  std::size_t held_ = 0;
  bool draining_ = false;
};

}  // namespace dispatcher::http

#endif  // DISPATCHER_HTTP_SERVER_HPP_
