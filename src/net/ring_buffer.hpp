// A byte queue in a circular buffer, for input that is not parsed yet or output that is not sent yet.
#ifndef DISPATCHER_NET_RING_BUFFER_HPP_
#define DISPATCHER_NET_RING_BUFFER_HPP_

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>

namespace dispatcher::net {

/// A queue of bytes that grows in powers of two up to a limit and frees large storage once it is empty.
///
/// An asynchronous read writes into the space returned by prepare(). That space stays valid until commit(),
/// even if bytes are consumed in between. An asynchronous write reads from data() and must hold storage(),
/// which stays unchanged when the queue grows into new storage. Not thread-safe.
class RingBuffer {
 public:
  /// Capacity of the first storage. An empty queue keeps storage of up to this size and frees larger storage.
  static constexpr std::size_t kInitialCapacityBytes = 4096;

  /// `max_bytes` limits the number of queued bytes. Allocates nothing.
  explicit RingBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Returns the number of queued bytes.
  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  /// Returns how many bytes may be added before the limit is reached.
  [[nodiscard]] std::size_t free_space() const { return max_bytes_ - size_; }

  /// Returns the queued bytes, oldest first, in at most two pieces.
  [[nodiscard]] std::array<boost::asio::const_buffer, 2> data() const {
    const std::size_t first = std::min(size_, capacity_ - head_);
    return {boost::asio::const_buffer(bytes_.get() + head_, first),
            boost::asio::const_buffer(bytes_.get(), size_ - first)};
  }

  /// Returns a copy of the queued bytes.
  [[nodiscard]] std::string text() const {
    std::string all;
    for (const auto& piece : data()) all.append(static_cast<const char*>(piece.data()), piece.size());
    return all;
  }

  /// Returns the storage behind data(), which must be held for as long as an operation reads from it.
  [[nodiscard]] std::shared_ptr<const char[]> storage() const { return bytes_; }

  /// Returns free space for at least one byte, or none if the limit is reached. commit() must be called
  /// afterwards, with 0 if nothing was read.
  [[nodiscard]] std::array<boost::asio::mutable_buffer, 2> prepare() {
    if (size_ == capacity_) grow(size_ + 1);
    is_prepared_ = true;
    return free_regions();
  }

  /// Appends the first `byte_count` bytes of the prepared space to the queue.
  void commit(std::size_t byte_count) {
    is_prepared_ = false;
    size_ += byte_count;
    reset_if_empty();
  }

  /// Removes the oldest bytes.
  void consume(std::size_t byte_count) {
    byte_count = std::min(byte_count, size_);
    size_ -= byte_count;
    if (capacity_ > 0) head_ = (head_ + byte_count) % capacity_;
    reset_if_empty();
  }

  /// Appends the text. Returns false, and appends nothing, if the text would exceed the limit or the call
  /// comes between prepare() and commit().
  bool append(std::string_view text) {
    if (is_prepared_ || text.size() > free_space()) return false;
    if (size_ + text.size() > capacity_) grow(size_ + text.size());
    const auto regions = free_regions();
    const std::size_t first = std::min(text.size(), regions[0].size());
    std::copy_n(text.data(), first, static_cast<char*>(regions[0].data()));
    std::copy_n(text.data() + first, text.size() - first, static_cast<char*>(regions[1].data()));
    size_ += text.size();
    return true;
  }

 private:
  std::array<boost::asio::mutable_buffer, 2> free_regions() {
    const std::size_t tail = capacity_ == 0 ? 0 : (head_ + size_) % capacity_;
    const std::size_t free = capacity_ - size_;
    const std::size_t first = std::min(free, capacity_ - tail);
    return {boost::asio::mutable_buffer(bytes_.get() + tail, first),
            boost::asio::mutable_buffer(bytes_.get(), free - first)};
  }

  void reset_if_empty() {
    if (size_ != 0 || is_prepared_) return;
    head_ = 0;
    if (capacity_ <= kInitialCapacityBytes) return;
    bytes_.reset();
    capacity_ = 0;
  }

  void grow(std::size_t min_capacity) {
    std::size_t new_capacity = std::max(capacity_, kInitialCapacityBytes);
    while (new_capacity < min_capacity) new_capacity *= 2;
    new_capacity = std::min(new_capacity, max_bytes_);
    if (new_capacity <= capacity_) return;
    auto bytes = std::make_shared_for_overwrite<char[]>(new_capacity);
    std::size_t copied = 0;
    for (const auto& piece : data()) {
      std::copy_n(static_cast<const char*>(piece.data()), piece.size(), bytes.get() + copied);
      copied += piece.size();
    }
    bytes_ = std::move(bytes);
    capacity_ = new_capacity;
    head_ = 0;
  }

  std::size_t max_bytes_;
  std::shared_ptr<char[]> bytes_;
  std::size_t capacity_ = 0;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  bool is_prepared_ = false;
};

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_RING_BUFFER_HPP_
