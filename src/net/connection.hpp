// One TCP connection with a ring buffer in each direction, driven by completion handlers on one thread.
#ifndef DISPATCHER_NET_CONNECTION_HPP_
#define DISPATCHER_NET_CONNECTION_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/ring_buffer.hpp"
#include "net/slot_table.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::net {

using boost::asio::ip::tcp;
using boost::system::error_code;

// "127.0.0.1:3000" or "[::1]:3000"; empty where it is no numeric address with a port.
std::optional<tcp::endpoint> parse_endpoint(std::string_view text);

tcp::socket adopt_socket(boost::asio::io_context& io, UniqueFd fd);  // throws where it is no TCP socket

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Told of what happens, always from the event loop, never from inside a call to the connection.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_connected(SlotId, error_code) {}
    virtual void on_data(SlotId) = 0;               // more bytes in input()
    virtual void on_sent(SlotId) = 0;               // output() got shorter
    virtual void on_ended(SlotId, error_code) = 0;  // end of input, or an error
  };

  Connection(tcp::socket socket, std::size_t max_in, std::size_t max_out);
  // Opens an outgoing connection; a failure to create the socket (no descriptors) is reported like any other.
  static std::shared_ptr<Connection> connect(boost::asio::io_context& io, const tcp::endpoint& to,
                                             Owner& owner, SlotId id, std::size_t max_in,
                                             std::size_t max_out);

  void own(Owner& owner, SlotId id);
  RingBuffer& input() { return in_; }
  const RingBuffer& output() const { return out_; }
  void take_in(std::string_view text) { in_.append(text); }  // as if the peer had sent it
  void read();  // keeps reading while there is room, until pause()
  // For handing the socket to another process: takes back the read that waits, if any. Once still(), nothing
  // is on its way in or out of this object, until read() is called.
  void hush();
  bool still() const { return open_ && !reading_ && !writing_ && !finishing_ && out_.empty(); }
  UniqueFd copy() const;              // the same connection; it stands until all copies are closed
  void pause();                       // stops asking for more: TCP holds the peer back
  bool write(std::string_view text);  // false: more than the ring may hold
  // Has the peer closed, or sent something that nobody asked for? Asks the kernel, past what was read.
  bool stale();
  bool readable();  // has more come, or the peer's end? Asks the kernel, past what was read
  bool ended();     // has the peer's end come, with nothing before it that was not read?
  void finish();    // no more output after what is queued; the end is sent then
  void close();     // at once; the owner hears nothing more

 private:
  void pump();
  void fail(error_code error);
  tcp::socket socket_;
  RingBuffer in_, out_;
  Owner* owner_ = nullptr;
  SlotId id_;
  bool wanted_ = false, reading_ = false, writing_ = false, finishing_ = false, open_ = true;
};

// Accepts connections on one address and hands them out.
class Listener {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void on_accepted(tcp::socket socket) = 0;
    virtual void on_accept_failed(error_code error) = 0;  // accepting rests until accept() is called
  };
  Listener(boost::asio::io_context& io, const tcp::endpoint& at, Owner& owner);
  void open();  // throws boost::system::system_error, with the address in use for one
  // Takes a socket that listens already, if it does so where this is to listen.
  bool adopt(UniqueFd socket);
  int native() { return acceptor_.native_handle(); }
  void accept();
  void accept_pending();  // hands out at once what waits to be accepted
  void rest() { wanted_ = false; }
  void close();
  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }
  [[nodiscard]] tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  tcp::endpoint at_;
  tcp::acceptor acceptor_;
  Owner& owner_;
  bool wanted_ = false, accepting_ = false;
};

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_CONNECTION_HPP_
