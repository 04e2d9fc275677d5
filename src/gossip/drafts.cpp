#include "gossip/drafts.hpp"

#include <algorithm>

namespace dispatcher::gossip {

namespace {

// The maximum number of quota messages in a draft. That many and a probe always fit into one datagram.
constexpr std::size_t kMaxQuotaMessages = 4;

}  // namespace

Draft& Drafts::to(MemberIndex receiver) {
  const auto it =
      std::find_if(drafts_.begin(), drafts_.end(), [&](const Draft& draft) { return draft.to == receiver; });
  return it != drafts_.end() ? *it : add_new(receiver);
}

Draft& Drafts::add_new(MemberIndex receiver) {
  Draft& draft = drafts_.emplace_back();
  draft.to = receiver;
  return draft;
}

void Drafts::add(const std::vector<membership::OutgoingMessage>& messages) {
  for (const membership::OutgoingMessage& message : messages) add_new(message.to).probe = message.probe;
}

void Drafts::add(const std::vector<replicated_state::QuotaMessage>& messages) {
  for (const replicated_state::QuotaMessage& message : messages) {
    Draft& first = to(message.to);
    const bool has_space = first.quota_messages.size() < kMaxQuotaMessages;
    Draft& draft = has_space ? first : add_new(message.to);
    draft.quota_messages.push_back(message);
  }
}

}  // namespace dispatcher::gossip
