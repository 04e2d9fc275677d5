// A byte queue in a circular buffer: what has come and is not parsed yet, or is to be sent. It grows in
// powers of two up to a limit and gives large memory back once it is empty.
#ifndef BITTERNFERRY_NET_RING_BUFFER_HPP_
#define BITTERNFERRY_NET_RING_BUFFER_HPP_

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>

namespace bitternferry::net {

class RingBuffer {
 public:
  static constexpr std::size_t kFirst = 4096;
  explicit RingBuffer(std::size_t most) : most_(most) {}

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::size_t room() const { return most_ - size_; }

  // The bytes held, oldest first, in at most two pieces.
  std::array<boost::asio::const_buffer, 2> data() const {
    const std::size_t first = std::min(size_, capacity_ - head_);
    return {boost::asio::const_buffer(bytes_.get() + head_, first),
            boost::asio::const_buffer(bytes_.get(), size_ - first)};
  }
  // Free space for at least one byte (empty where the limit is reached), to be claimed by commit().
  std::array<boost::asio::mutable_buffer, 2> prepare() {
    if (size_ == capacity_) grow(size_ + 1);
    const std::size_t tail = capacity_ == 0 ? 0 : (head_ + size_) % capacity_;
    const std::size_t free = capacity_ - size_;
    const std::size_t first = std::min(free, capacity_ - tail);
    return {boost::asio::mutable_buffer(bytes_.get() + tail, first),
            boost::asio::mutable_buffer(bytes_.get(), free - first)};
  }
  std::string text() const {  // a copy of what is held
    std::string all;
    for (const auto& piece : data()) all.append(static_cast<const char*>(piece.data()), piece.size());
    return all;
  }
  void commit(std::size_t n) { size_ += n; }
  void consume(std::size_t n) {
    n = std::min(n, size_);
    size_ -= n;
    head_ = size_ == 0 ? 0 : (head_ + n) % capacity_;
    if (size_ == 0 && capacity_ > kFirst) {
      bytes_.reset();
      capacity_ = 0;
    }
  }
  // All of it or, past the limit, nothing.
  bool append(std::string_view text) {
    if (text.size() > room()) return false;
    if (size_ + text.size() > capacity_) grow(size_ + text.size());
    const auto space = prepare();
    const std::size_t first = std::min(text.size(), space[0].size());
    std::copy_n(text.data(), first, static_cast<char*>(space[0].data()));
    std::copy_n(text.data() + first, text.size() - first, static_cast<char*>(space[1].data()));
    commit(text.size());
    return true;
  }

 private:
  void grow(std::size_t wanted) {
    std::size_t next = std::max(capacity_, kFirst);
    while (next < wanted) next *= 2;
    next = std::min(next, most_);
    if (next <= capacity_) return;
    auto bytes = std::make_unique_for_overwrite<char[]>(next);
    std::size_t at = 0;
    for (const auto& piece : data()) {
      std::copy_n(static_cast<const char*>(piece.data()), piece.size(), bytes.get() + at);
      at += piece.size();
    }
    bytes_ = std::move(bytes);
    capacity_ = next;
    head_ = 0;
  }

  std::size_t most_;
  std::unique_ptr<char[]> bytes_;
  std::size_t capacity_ = 0, head_ = 0, size_ = 0;
};

}  // namespace bitternferry::net

#endif  // BITTERNFERRY_NET_RING_BUFFER_HPP_
