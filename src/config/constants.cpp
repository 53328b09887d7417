// Defines and substitutes constants; see config/constants.h.
#include "config/constants.h"

#include <algorithm>

namespace dapplewharf::config {

void ConstantTable::define(const Item& item) {
  const auto [existing, added] =
      constants_.try_emplace(item.name, Constant{&item, Constant::State::unresolved, {}, false});
  if (!added) {
    diagnostics_.error(item.place, "the constant '" + item.name + "' stands at " +
                                       file_and_line(document_, existing->second.item->place) +
                                       " already; expected it once");
  }
}

void ConstantTable::resolve_all() {
  for (auto& [name, constant] : constants_) {
    resolve(name, constant);
  }
}

bool ConstantTable::resolve(const std::string& name, Constant& constant) {
  if (constant.state == Constant::State::resolved) {
    return true;
  }
  if (constant.state == Constant::State::resolving) {
    std::string names;
    for (auto at = std::find(resolving_.begin(), resolving_.end(), name); at != resolving_.end(); ++at) {
      names += *at + " -> ";
    }
    diagnostics_.error(constant.item->place, "the constant '" + name + "' is defined by itself: " + names +
                                                 name + "; expected a value");
    return false;
  }
  constant.state = Constant::State::resolving;
  resolving_.push_back(name);
  constant.value = *constant.item->value;
  substitute(constant.value);
  resolving_.pop_back();
  constant.state = Constant::State::resolved;
  return true;
}

void ConstantTable::report_unknown(const Value& reference) {
  std::vector<std::string> names;
  names.reserve(constants_.size());
  for (const auto& [name, constant] : constants_) {
    names.push_back(name);
  }
  diagnostics_.error(reference.place, "there is no constant '" + reference.raw +
                                          "'; expected one that const defines" +
                                          suggestion(reference.raw, names));
}

bool ConstantTable::substitute(Value& value) {
  bool resolved = true;
  for (Value& item : value.items) {
    resolved = substitute(item) && resolved;
  }
  if (value.type != Type::reference) {
    return resolved;
  }
  const auto found = constants_.find(value.raw);
  if (found == constants_.end()) {
    report_unknown(value);
    return false;
  }
  Constant& constant = found->second;
  constant.used = true;
  if (!resolve(value.raw, constant) || constant.value.type == Type::reference) {
    return false;
  }
  const Place place = value.place;
  value = constant.value;
  value.place = place;
  return true;
}

void ConstantTable::report_unused() {
  const auto message = [](const std::string& name) {
    return "the constant '" + name + "' is not used; expected $" + name + " somewhere";
  };
  for (const auto& [name, constant] : constants_) {
    if (!constant.used) {
      diagnostics_.warning(constant.item->place, message(name));
    }
  }
}

}  // namespace dapplewharf::config
