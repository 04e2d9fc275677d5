// Decodes datagrams. Protobuf is visible only to the implementations of this file and of DatagramBuilder.
#ifndef DISPATCHER_GOSSIP_CODEC_HPP_
#define DISPATCHER_GOSSIP_CODEC_HPP_

#include <cstdint>
#include <span>
#include <variant>

#include "gossip/message.hpp"

namespace dispatcher::gossip {

// Decodes a datagram that was received from the address of member `from`. Returns the reason to drop the
// datagram if its header or its probe is invalid; skips and counts other invalid parts. `tier` and
// `member_count` are those of this process. Does not detect replays; see ReplayWindow.
[[nodiscard]] std::variant<Message, DropReason> decode(std::span<const std::uint8_t> bytes, MemberIndex from,
                                                       std::uint32_t tier, MemberIndex member_count);

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_CODEC_HPP_
