// A byte queue in a circular buffer: what has come and is not parsed yet, or is to be sent. It grows in
// powers of two up to a limit and gives large memory back once it is empty. A read that is under way writes
// into what prepare() gave: until commit() that space stays where it is, whatever is consumed meanwhile. A
// write that is under way reads from what data() gave: it holds storage(), which a growing queue leaves.
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

class RingBuffer {
 public:
  static constexpr std::size_t kFirst = 4096;
  explicit RingBuffer(std::size_t maximum) : max_(maximum) {}

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  [[nodiscard]] std::size_t room() const { return max_ - size_; }

  // The bytes held, oldest first, in at most two pieces.
  [[nodiscard]] std::array<boost::asio::const_buffer, 2> data() const {
    const std::size_t first = std::min(size_, capacity_ - head_);
    return {boost::asio::const_buffer(bytes_.get() + head_, first),
            boost::asio::const_buffer(bytes_.get(), size_ - first)};
  }
  // Free space for at least one byte (empty where the limit is reached), to be claimed by commit(), which has
  // to follow, with 0 where nothing came.
  std::array<boost::asio::mutable_buffer, 2> prepare() {
    if (size_ == capacity_) grow(size_ + 1);
    prepared_ = true;
    return space();
  }
  // What the bytes lie in, for as long as an operation on them is under way.
  [[nodiscard]] std::shared_ptr<const char[]> storage() const { return bytes_; }
  [[nodiscard]] std::string text() const {  // a copy of what is held
    std::string all;
    for (const auto& piece : data()) all.append(static_cast<const char*>(piece.data()), piece.size());
    return all;
  }
  void commit(std::size_t n) {
    prepared_ = false;
    size_ += n;
    tidy();
  }
  void consume(std::size_t n) {
    n = std::min(n, size_);
    size_ -= n;
    if (capacity_ > 0) head_ = (head_ + n) % capacity_;
    tidy();
  }
  // All of it or nothing: past the limit, or while a read is to come where it would go.
  bool append(std::string_view text) {
    if (prepared_ || text.size() > room()) return false;
    if (size_ + text.size() > capacity_) grow(size_ + text.size());
    const auto free = space();
    const std::size_t first = std::min(text.size(), free[0].size());
    std::copy_n(text.data(), first, static_cast<char*>(free[0].data()));
    std::copy_n(text.data() + first, text.size() - first, static_cast<char*>(free[1].data()));
    size_ += text.size();
    return true;
  }

 private:
  std::array<boost::asio::mutable_buffer, 2> space() {
    const std::size_t tail = capacity_ == 0 ? 0 : (head_ + size_) % capacity_;
    const std::size_t free = capacity_ - size_;
    const std::size_t first = std::min(free, capacity_ - tail);
    return {boost::asio::mutable_buffer(bytes_.get() + tail, first),
            boost::asio::mutable_buffer(bytes_.get(), free - first)};
  }
  void tidy() {
    if (size_ != 0 || prepared_) return;
    head_ = 0;
    if (capacity_ <= kFirst) return;
    bytes_.reset();
    capacity_ = 0;
  }
  void grow(std::size_t wanted) {
    std::size_t next = std::max(capacity_, kFirst);
    while (next < wanted) next *= 2;
    next = std::min(next, max_);
    if (next <= capacity_) return;
    auto bytes = std::make_shared_for_overwrite<char[]>(next);
    std::size_t at = 0;
    for (const auto& piece : data()) {
      std::copy_n(static_cast<const char*>(piece.data()), piece.size(), bytes.get() + at);
      at += piece.size();
    }
    bytes_ = std::move(bytes);
    capacity_ = next;
    head_ = 0;
  }

  std::size_t max_;
  std::shared_ptr<char[]> bytes_;
  std::size_t capacity_ = 0, head_ = 0, size_ = 0;
  bool prepared_ = false;  // a read is under way into the free space
};

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_RING_BUFFER_HPP_
