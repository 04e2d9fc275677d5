// A generational slot table, whose handles stay invalid after their entry is erased.
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

/// The handle of an entry. A slot's index is reused, but its generation is not (until 2^32 uses of one slot).
/// The handle of an erased entry therefore finds nothing instead of the slot's next entry.
struct SlotId {
  std::uint32_t index = 0;
  /// 0 in a null handle.
  std::uint32_t generation = 0;
  explicit operator bool() const { return generation != 0; }
  auto operator<=>(const SlotId&) const = default;
};

/// Stores values in numbered slots. References to entries stay valid while others are added or erased. Not
/// thread-safe.
template <class T>
class SlotTable {
 public:
  /// Constructs an entry in a free slot and returns its handle.
  template <class... Args>
  SlotId emplace(Args&&... args) {
    if (free_slots_.empty()) {
      free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t index = free_slots_.back();
    free_slots_.pop_back();
    Slot& slot = slots_[index];
    slot.value.emplace(std::forward<Args>(args)...);
    ++size_;
    return {index, slot.generation};
  }

  /// Returns the entry, or nullptr if it has been erased or the handle is null.
  [[nodiscard]] T* find(SlotId id) {
    if (!id || id.index >= slots_.size()) return nullptr;
    Slot& slot = slots_[id.index];
    return slot.generation == id.generation && slot.value ? &*slot.value : nullptr;
  }

  /// Erases the entry. Does nothing if it has been erased already.
  void erase(SlotId id) {
    if (find(id) == nullptr) return;
    Slot& slot = slots_[id.index];
    slot.value.reset();
    if (++slot.generation == 0) slot.generation = 1;
    free_slots_.push_back(id.index);
    --size_;
  }

  /// Returns the number of entries.
  [[nodiscard]] std::size_t size() const { return size_; }

  /// Returns the number of entries for which the predicate holds.
  template <class Predicate>
  [[nodiscard]] std::size_t count_if(Predicate predicate) const {
    std::size_t count = 0;
    for (const Slot& slot : slots_) count += slot.value && predicate(*slot.value) ? 1 : 0;
    return count;
  }

  /// Returns the handles of all entries in the order of their slots. The caller may erase entries while it
  /// iterates the result.
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
  std::deque<Slot> slots_;  // a deque, because growing must not move entries
  std::vector<std::uint32_t> free_slots_;
  std::size_t size_ = 0;
};

}  // namespace dispatcher::net

#endif  // DISPATCHER_NET_SLOT_TABLE_HPP_
