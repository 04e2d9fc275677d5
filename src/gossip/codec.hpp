// Reads datagrams. Nothing of protobuf is visible outside this file and DatagramBuilder.
#ifndef DISPATCHER_GOSSIP_CODEC_HPP_
#define DISPATCHER_GOSSIP_CODEC_HPP_

#include <cstdint>
#include <span>
#include <variant>

#include "gossip/message.hpp"

namespace dispatcher::gossip {

// Decodes what came from the address of `from`. An entry beyond its bounds is skipped and counted; the
// datagram is dropped where its head or its probe is wrong, for the reason returned. `tier` and
// `member_count` are this process's. It checks nothing against earlier datagrams: see ReplayWindow.
[[nodiscard]] std::variant<Message, DropReason> decode(std::span<const std::uint8_t> bytes, MemberIndex from,
                                                       std::uint32_t tier, MemberIndex member_count);

}  // namespace dispatcher::gossip

#endif  // DISPATCHER_GOSSIP_CODEC_HPP_
