// A container whose elements are addressed by handles. A handle holds the slot of an element and the slot's
// generation, which changes with each reuse, so that a stale handle never finds the element that has taken
// over the slot.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dapplewharf {

/// Addresses an element of a SlotMap; a default-constructed handle addresses none.
struct Handle {
  std::uint32_t slot = 0, generation = 0;  // generation 0 is never used for an element
  explicit operator bool() const { return generation != 0; }
  bool operator==(const Handle&) const = default;
};

/// Owns its elements.
template <class Value>
class SlotMap {
 public:
  Handle insert(Value value) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t slot = free_.back();
    free_.pop_back();
    slots_[slot].value = std::make_unique<Value>(std::move(value));
    if (++slots_[slot].generation == 0) {
      ++slots_[slot].generation;
    }
    return {slot, slots_[slot].generation};
  }
  /// @return null if the element has been erased.
  Value* find(Handle handle) {
    if (handle.slot >= slots_.size() || slots_[handle.slot].generation != handle.generation) {
      return nullptr;
    }
    return slots_[handle.slot].value.get();
  }
  /// Does nothing if the element has been erased before.
  void erase(Handle handle) {
    if (!find(handle)) {
      return;
    }
    const auto erased = std::move(slots_[handle.slot].value);  // destroyed last, as its destructor may insert
    free_.push_back(handle.slot);
  }
  /// Calls `visit(handle, value)` for each element; it may erase elements.
  template <class Visit>
  void for_each(Visit visit) {
    for (std::uint32_t slot = 0; slot < slots_.size(); ++slot) {
      if (slots_[slot].value) {
        visit(Handle{slot, slots_[slot].generation}, *slots_[slot].value);
      }
    }
  }
  std::size_t size() const { return slots_.size() - free_.size(); }

 private:
  struct Slot {
    std::uint32_t generation = 0;
    std::unique_ptr<Value> value;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
};

}  // namespace dapplewharf
