// A table of numbered slots. A slot's number is used again, its generation is not: a handle that outlived
// its entry finds nothing instead of a stranger. Knows no sockets; the core uses it too.
#ifndef DISPATCHER_NET_SLOT_TABLE_HPP_
#define DISPATCHER_NET_SLOT_TABLE_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace dispatcher::net {

struct SlotId {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;  // 0: names no slot
  explicit operator bool() const { return generation != 0; }
  auto operator<=>(const SlotId&) const = default;
};

template <class T>
class SlotTable {
 public:
  template <class... Args>
  SlotId emplace(Args&&... args) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    Slot& slot = slots_[index];
    slot.value.emplace(std::forward<Args>(args)...);
    ++size_;
    return {index, slot.generation};
  }
  T* find(SlotId id) {
    if (!id || id.index >= slots_.size()) return nullptr;
    Slot& slot = slots_[id.index];
    return slot.generation == id.generation && slot.value ? &*slot.value : nullptr;
  }
  void erase(SlotId id) {
    if (find(id) == nullptr) return;
    Slot& slot = slots_[id.index];
    slot.value.reset();
    if (++slot.generation == 0) slot.generation = 1;
    free_.push_back(id.index);
    --size_;
  }
  [[nodiscard]] std::size_t size() const { return size_; }
  // Handles of all entries, so that a caller may erase while it walks them.
  [[nodiscard]] std::vector<SlotId> ids() const {
    std::vector<SlotId> result;
    for (std::uint32_t i = 0; i < slots_.size(); ++i) {
      if (slots_[i].value) result.push_back({i, slots_[i].generation});
    }
    return result;
  }

 private:
  struct Slot {
    std::uint32_t generation = 1;
    std::optional<T> value;
  };
  std::deque<Slot> slots_;  // entries stay where they are while others are added
  std::vector<std::uint32_t> free_;
  std::size_t size_ = 0;
};

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_SLOT_TABLE_HPP_
