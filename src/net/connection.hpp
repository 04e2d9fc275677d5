// One TCP connection with a ring buffer in each direction, driven by completion handlers on one thread.
#ifndef DISPATCHER_NET_CONNECTION_HPP_
#define DISPATCHER_NET_CONNECTION_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "net/address.hpp"
#include "net/ring_buffer.hpp"
#include "net/slot_table.hpp"
#include "net/unique_fd.hpp"

namespace dispatcher::net {

/// Wraps a descriptor received from another process. Throws boost::system::system_error where it is no TCP
/// socket; the descriptor is closed then.
[[nodiscard]] tcp::socket adopt_socket(boost::asio::io_context& io, UniqueFd fd);

/// A TCP connection. Used on the thread that runs the io_context only. Held by shared_ptr: a pending
/// operation keeps it alive. After close() the owner gets no more callbacks.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// Receives the connection's events, always from the event loop, never from inside a call to the
  /// connection. The SlotId is the one given to set_owner(), so that one owner can serve many connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// The result of connect(). Not called for accepted connections.
    virtual void on_connected(SlotId, error_code) {}
    /// More bytes are in input().
    virtual void on_data(SlotId) = 0;
    /// Bytes of output() were written to the socket.
    virtual void on_sent(SlotId) = 0;
    /// End of input (asio::error::eof) or an error; the connection can only be closed then.
    virtual void on_ended(SlotId, error_code) = 0;
  };

  /// Takes over a connected socket and sends without delay (TCP_NODELAY). The maxima bound the buffers.
  /// set_owner() has to follow before anything is read or written.
  Connection(tcp::socket socket, std::size_t max_input_bytes, std::size_t max_output_bytes);
  /// Opens an outgoing connection. Any failure, one to create the socket included, arrives as on_connected().
  static std::shared_ptr<Connection> connect(boost::asio::io_context& io, const tcp::endpoint& to,
                                             Owner& owner, SlotId id, std::size_t max_input_bytes,
                                             std::size_t max_output_bytes);

  /// The owner must outlive the connection or close() it.
  void set_owner(Owner& owner, SlotId id);
  /// Bytes that have arrived; the owner consumes them.
  [[nodiscard]] RingBuffer& input() { return input_; }
  /// Bytes that were queued and are not written to the socket yet.
  [[nodiscard]] const RingBuffer& output() const { return output_; }

  /// Reads from the socket while input() has free space, until pause_reading() or cancel_reading().
  void read();
  /// Starts no further read; one under way may still deliver. TCP flow control then holds the peer back.
  void pause_reading() { is_read_wanted_ = false; }
  /// As pause_reading(), and cancels the read under way. Used before the socket goes to another process:
  /// once is_quiescent(), no bytes are in transit inside this object until read() is called.
  void cancel_reading();
  /// Whether the connection is open, with no operation under way and no output left.
  [[nodiscard]] bool is_quiescent() const;
  /// Appends to input() as if the peer had sent it: bytes that another process had read from the socket.
  void append_input(std::string_view bytes) { input_.append(bytes); }
  /// A duplicate descriptor of the socket. TCP keeps the connection up until all duplicates are closed.
  [[nodiscard]] UniqueFd duplicate_socket();

  /// Queues bytes for sending. Returns false, and queues nothing, where they exceed the output limit or the
  /// connection is closed or finishing.
  bool write(std::string_view bytes);
  /// Accepts no more output; sends FIN after what is queued.
  void finish();
  /// Closes at once, discarding queued output.
  void close();

  /// Whether an idle connection is unfit for reuse: the peer has closed it or sent unsolicited bytes.
  [[nodiscard]] bool is_stale();
  /// Whether the kernel holds bytes or the end of the stream that were not read yet.
  [[nodiscard]] bool is_readable();
  /// Whether the peer has closed and every byte before its FIN has been read.
  [[nodiscard]] bool has_peer_closed();

 private:
  void flush();
  void fail(error_code error);

  tcp::socket socket_;
  RingBuffer input_;
  RingBuffer output_;
  Owner* owner_ = nullptr;
  SlotId id_;
  bool is_read_wanted_ = false;
  bool is_read_pending_ = false;
  bool is_write_pending_ = false;
  bool is_finishing_ = false;
  bool is_open_ = true;
};

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_CONNECTION_HPP_
