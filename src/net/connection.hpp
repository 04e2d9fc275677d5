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

/// Wraps a descriptor received from another process. Throws boost::system::system_error, and closes the
/// descriptor, if it is not a TCP socket.
[[nodiscard]] tcp::socket adopt_socket(boost::asio::io_context& io, UniqueFd fd);

/// A TCP connection. Used on the thread that runs the io_context only. Held by shared_ptr, because pending
/// operations keep it alive. After close() the owner gets no more callbacks.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// Receives the connection's events. Always called from the event loop, never from inside a call to the
  /// connection. The SlotId is the one passed to set_owner(), so that one owner can serve many connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    /// Called with the result of connect(). Not called for accepted connections.
    virtual void on_connected(SlotId, error_code) {}
    /// Called when more bytes have been added to input().
    virtual void on_data(SlotId) = 0;
    /// Called when bytes of output() have been written to the socket.
    virtual void on_sent(SlotId) = 0;
    /// Called at the end of input (asio::error::eof) or after an error. The connection can only be closed
    /// then.
    virtual void on_ended(SlotId, error_code) = 0;
  };

  /// Takes over a connected socket and sends without delay (TCP_NODELAY). The maximums bound the buffers.
  /// set_owner() must be called before anything is read or written.
  Connection(tcp::socket socket, std::size_t max_input_bytes, std::size_t max_output_bytes);
  /// Opens an outgoing connection. Every failure, including that to create the socket, is reported by
  /// on_connected().
  static std::shared_ptr<Connection> connect(boost::asio::io_context& io, const tcp::endpoint& to,
                                             Owner& owner, SlotId id, std::size_t max_input_bytes,
                                             std::size_t max_output_bytes);

  /// Sets the recipient of the connection's events, which must outlive the connection or close() it.
  void set_owner(Owner& owner, SlotId id);
  /// Returns the bytes that have arrived. The owner consumes them.
  [[nodiscard]] RingBuffer& input() { return input_; }
  /// Returns the queued bytes that are not written to the socket yet.
  [[nodiscard]] const RingBuffer& output() const { return output_; }

  /// Reads from the socket while input() has free space, until pause_reading() or cancel_reading().
  void read();
  /// Starts no further read; one in progress may still deliver bytes. TCP flow control then holds the peer
  /// back.
  void pause_reading() { is_read_wanted_ = false; }
  /// Does the same as pause_reading() and cancels a read in progress. Used before the socket is handed over
  /// to another process: once is_quiescent() returns true, no bytes are in transit inside this object until
  /// read() is called.
  void cancel_reading();
  /// Whether the connection is open, with no operation in progress and no output left.
  [[nodiscard]] bool is_quiescent() const;
  /// Appends bytes that another process has read from the socket to input(), as if they had just arrived.
  void append_input(std::string_view bytes) { input_.append(bytes); }
  /// Returns the connection's socket, which the connection still owns. The TCP connection stays open until
  /// all copies of the descriptor are closed, also those of other processes.
  [[nodiscard]] int native_handle() { return socket_.native_handle(); }

  /// Queues bytes for sending. Returns false, and queues nothing, if they exceed the output limit or the
  /// connection is closed or finishing.
  bool write(std::string_view bytes);
  /// Accepts no more output, and sends FIN after the queued output.
  void finish();
  /// Closes the connection at once and discards queued output.
  void close();

  /// Whether an idle connection can't be reused, because the peer has closed it or sent unsolicited bytes.
  [[nodiscard]] bool is_stale();
  /// Whether the kernel holds bytes, or the end of the stream, that have not been read yet.
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
