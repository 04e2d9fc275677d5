// Encodes datagrams in the format of wire.proto.
#ifndef DISPATCHER_GOSSIP_DATAGRAM_BUILDER_HPP_
#define DISPATCHER_GOSSIP_DATAGRAM_BUILDER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "gossip/datagram.hpp"
#include "gossip/message.hpp"

namespace dispatcher::gossip {

// Builds one datagram. Each add function returns whether the content fits within kMaxDatagramBytes and the
// current limit; content that doesn't fit is omitted. Used as a local variable of the sender; not shared
// between threads.
class DatagramBuilder {
 public:
  // Starts with the header, which always fits.
  explicit DatagramBuilder(const Sender& sender);
  ~DatagramBuilder();
  DatagramBuilder(DatagramBuilder&&) noexcept;
  DatagramBuilder& operator=(DatagramBuilder&&) = delete;

  bool add(const Probe& probe);  // at most once
  // Adds the hash of the sender's view of the fleet; at most once. A hash of 0 is omitted, because on the
  // wire it means that there is no hash.
  bool add_members_hash(std::uint32_t hash);
  // Adds the hash of the entries of a group of owners; at most once.
  bool add_group(MemberIndex group, std::uint32_t hash);
  bool add(const MemberUpdate& update);
  bool add(const QuotaRequest& request);
  bool add(const QuotaGrant& grant);
  bool add(const QuotaReturn& returned);
  bool add(const Entry& entry);
  // All digests of a datagram have the same role: if one is added as a reply, all are replies.
  bool add(const Digest& digest, DigestRole role);

  // Limits the size of the datagram for the calls that follow. Has no effect on content that was added
  // already.
  void set_limit(std::size_t max_bytes);
  // Returns the size of the datagram so far, in bytes.
  [[nodiscard]] std::size_t size() const;
  // Returns the number of bytes that may still be added.
  [[nodiscard]] std::size_t remaining() const { return size() < max_bytes_ ? max_bytes_ - size() : 0; }
  // Returns nullopt only if the header alone is too long, which the bounds of its fields rule out.
  [[nodiscard]] std::optional<Datagram> finish() const;

 private:
  [[nodiscard]] bool fits(std::size_t bytes) const { return size() + bytes <= max_bytes_; }
  struct Content;  // hides protobuf
  std::unique_ptr<Content> content_;
  std::size_t max_bytes_ = kMaxDatagramBytes;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_DATAGRAM_BUILDER_HPP_
