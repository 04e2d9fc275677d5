// Writes datagrams, in the format of wire.proto.
#ifndef DISPATCHER_GOSSIP_DATAGRAM_BUILDER_HPP_
#define DISPATCHER_GOSSIP_DATAGRAM_BUILDER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "gossip/datagram.hpp"
#include "gossip/message.hpp"

namespace dispatcher::gossip {

// Fills one datagram. Each add function returns whether the content fits, within kMaxDatagramBytes and the
// current limit; content that doesn't fit is omitted. A local variable of the sender; not shared between
// threads.
class DatagramBuilder {
 public:
  // Begins with the header, which always fits.
  explicit DatagramBuilder(const Sender& sender);
  ~DatagramBuilder();
  DatagramBuilder(DatagramBuilder&&) noexcept;
  DatagramBuilder& operator=(DatagramBuilder&&) = delete;

  bool add(const Probe& probe);  // once
  // The hash of the sender's view of the fleet; once. 0 is omitted, as on the wire it means that there is
  // none.
  bool add_members_hash(std::uint32_t hash);
  // The hash of the entries of a group of owners; once.
  bool add_group(MemberIndex group, std::uint32_t hash);
  bool add(const MemberUpdate& update);
  bool add(const QuotaRequest& request);
  bool add(const QuotaGrant& grant);
  bool add(const QuotaReturn& returned);
  bool add(const Entry& entry);
  // A datagram's digests all have one role: once one is a reply, all are.
  bool add(const Digest& digest, DigestRole role);

  // Limits the size of the datagram from here on. Has no effect on content that was added already.
  void set_limit(std::size_t max_bytes);
  // Bytes of the datagram so far.
  [[nodiscard]] std::size_t size() const;
  // Bytes that may be added.
  [[nodiscard]] std::size_t remaining() const { return size() < max_bytes_ ? max_bytes_ - size() : 0; }
  // None only where the header alone is too long, which its bounds rule out.
  [[nodiscard]] std::optional<Datagram> finish() const;

 private:
  [[nodiscard]] bool fits(std::size_t bytes) const { return size() + bytes <= max_bytes_; }
  struct Content;  // hides protobuf
  std::unique_ptr<Content> content_;
  std::size_t max_bytes_ = kMaxDatagramBytes;
};

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_DATAGRAM_BUILDER_HPP_
