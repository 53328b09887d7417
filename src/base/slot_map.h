// Tables of numbered slots. A ticket names a slot and the life it had when the ticket was given, so that a
// late event never hits a slot that has been given to another. Owns what lies in the slots; knows nothing of
// it.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dapplewharf {

struct Handle {
  std::uint32_t slot = 0, generation = 0;  // no ticket has life 0
  explicit operator bool() const { return generation != 0; }
  bool operator==(const Handle&) const = default;
};

template <class Value>
class SlotMap {
 public:
  Handle insert(Value thing) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t at = free_.back();
    free_.pop_back();
    slots_[at].thing = std::make_unique<Value>(std::move(thing));
    if (++slots_[at].life == 0) {
      ++slots_[at].life;
    }
    return {at, slots_[at].life};
  }
  Value* find(Handle ticket) {
    if (ticket.slot >= slots_.size() || slots_[ticket.slot].life != ticket.generation) {
      return nullptr;
    }
    return slots_[ticket.slot].thing.get();
  }
  void erase(Handle ticket) {
    if (!find(ticket)) {
      return;
    }
    const auto gone = std::move(slots_[ticket.slot].thing);  // ended last: its end may add to the table
    free_.push_back(ticket.slot);
  }
  template <class Visit>
  void for_each(Visit visit) {  // what is visited may be dropped on the way
    for (std::uint32_t at = 0; at < slots_.size(); ++at) {
      if (slots_[at].thing) {
        visit(Handle{at, slots_[at].life}, *slots_[at].thing);
      }
    }
  }
  std::size_t size() const { return slots_.size() - free_.size(); }

 private:
  struct Slot {
    std::uint32_t life = 0;
    std::unique_ptr<Value> thing;
  };
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
};

}  // namespace dapplewharf
