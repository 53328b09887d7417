// Checks blocks and settings against the schema; see config/schema_checks.h.
#include "config/schema_checks.h"

#include <algorithm>
#include <utility>

namespace dapplewharf::config {
namespace {

constexpr std::size_t kMaxLabelBytes = 64;

bool is_label(const std::string& label) {
  return !label.empty() && label.size() <= kMaxLabelBytes &&
         label.find_first_of("\n\t ,=") == std::string::npos;
}

std::vector<std::string> block_names(bool only_operators) {
  std::vector<std::string> names;
  for (const BlockRow& row : blocks()) {
    if (row.operators || !only_operators) {
      names.emplace_back(row.name);
    }
  }
  return names;
}

std::vector<std::string> setting_names(const std::string& block) {
  std::vector<std::string> names;
  for (const Row& row : rows()) {
    if (block == row.block) {
      names.emplace_back(row.name);
    }
  }
  return names;
}

std::string shown(const Value& value) {
  if (value.type == Type::text) {
    return in_quotes(value.raw);
  }
  return value.type == Type::list ? "a list" : value.raw;
}

}  // namespace

void SchemaChecker::report_stray_setting(const Item& item) {
  std::vector<std::string> owners;
  for (const Row& row : rows()) {
    if (item.name == row.name) {
      owners.emplace_back(row.block);
    }
  }
  diagnostics_.error(item.place, "'" + item.name + "' stands outside any block; expected " +
                                     (owners.empty() ? "a block" : "it within " + joined(owners, " or ")));
}

const BlockRow* SchemaChecker::find_block_row(const Item& item) {
  const BlockRow* row = block_of(item.name);
  if (!row) {
    const std::vector<std::string> names = block_names(false);
    diagnostics_.error(item.place, "there is no block '" + item.name +
                                       "'; expected one of: " + joined(names) + suggestion(item.name, names));
    return nullptr;
  }
  if (document_.use == Use::operators && !row->operators) {
    diagnostics_.error(item.place, "'" + item.name +
                                       "' is the platform's to say; expected in the operators' file: " +
                                       joined(block_names(true)));
    return nullptr;
  }
  return row;
}

void SchemaChecker::check_label(const BlockRow& row, const Item& item) {
  if (row.labelled != item.value.has_value()) {
    diagnostics_.error(item.value ? item.value->place : item.place,
                       row.labelled
                           ? "'" + item.name + "' has no name; expected " + item.name + " \"NAME\" { }"
                           : "'" + item.name + "' has a name; expected none");
  }
  if (row.labelled && item.value && !is_label(item.value->raw)) {
    diagnostics_.error(item.value->place,
                       "the name '" + item.value->raw +
                           "' holds blanks, commas or =, or is empty or long; expected 1 to 64 letters");
  }
}

bool SchemaChecker::check_unique(const Block& block) {
  for (const Block& other : document_.blocks) {
    if (other.row == block.row && (!block.row->repeated || other.label == block.label)) {
      diagnostics_.error(block.place, "'" + std::string(block.row->name) +
                                          (block.row->repeated ? " \"" + block.label + "\"" : "") +
                                          "' stands at " + file_and_line(document_, other.place) +
                                          " already; expected it once");
      return false;
    }
  }
  return true;
}

void SchemaChecker::add_block(const Item& item) {
  const BlockRow* row = find_block_row(item);
  if (!row) {
    return;
  }
  check_label(*row, item);
  Block block;
  block.row = row;
  block.place = item.place;
  if (item.value) {
    block.label = item.value->raw;
  }
  if (!check_unique(block)) {
    return;
  }
  add_settings(block, item);
  report_missing(block);
  document_.blocks.push_back(std::move(block));
}

void SchemaChecker::add_settings(Block& block, const Item& item) {
  for (const Item& inner : item.items) {
    switch (inner.kind) {
      case Item::Kind::block:
        diagnostics_.error(
            inner.place, "a block '" + inner.name + "' stands within '" + item.name + "'; expected settings");
        break;
      case Item::Kind::include:
        diagnostics_.error(inner.place,
                           "an include stands within '" + item.name + "'; expected it outside all blocks");
        break;
      case Item::Kind::constant:
        diagnostics_.error(inner.place,
                           "a constant stands within '" + item.name + "'; expected it outside all blocks");
        break;
      case Item::Kind::setting:
        add_setting(block, inner);
        break;
      case Item::Kind::comment:
      case Item::Kind::gap:
        break;
    }
  }
}

void SchemaChecker::report_missing(const Block& block) {
  const std::string name = block.row->name;
  for (const Row& row : rows()) {
    const bool needed = name == row.block && !*row.without;
    if (needed && !block.find(row.name) && !attempted_.count({name, block.label, row.name})) {
      diagnostics_.error(block.place, "'" + name + "' does not say '" + row.name + "'; expected " + row.name +
                                          " = " + name_of(row.type));
    }
  }
}

void SchemaChecker::report_unknown_setting(const BlockRow& block, const Item& item) {
  const std::vector<std::string> names = setting_names(block.name);
  diagnostics_.error(item.place, "'" + std::string(block.name) + "' knows no '" + item.name +
                                     "'; expected one of: " + joined(names) + suggestion(item.name, names));
}

void SchemaChecker::add_setting(Block& block, const Item& item) {
  const Row* row = row_of(block.row->name, item.name);
  if (!row) {
    report_unknown_setting(*block.row, item);
    return;
  }
  attempted_.insert({block.row->name, block.label, item.name});
  if (const Setting* other = block.find(item.name)) {
    diagnostics_.error(item.place, "'" + item.name + "' stands at line " + std::to_string(other->place.line) +
                                       " already; expected it once");
    return;
  }
  Setting setting{row, item.place, *item.value};
  if (constants_.substitute(setting.value) && fits(*row, setting.value)) {
    block.settings.push_back(std::move(setting));
  }
}

bool SchemaChecker::fits(const Row& row, const Value& value) {
  return has_type(row, value) && is_known_word(row, value) && is_list_of_texts(row, value) &&
         is_within_bounds(row, value);
}

bool SchemaChecker::has_type(const Row& row, const Value& value) {
  // A word may be written as a text, as a name that happens to be one.
  const bool word_as_text = row.type == Type::word && value.type == Type::text;
  if (value.type == row.type || word_as_text) {
    return true;
  }
  const bool lacks_unit = value.type == Type::number &&
                          (row.type == Type::duration || row.type == Type::size || row.type == Type::share);
  diagnostics_.error(value.place, "'" + std::string(row.name) + "' is " + shown(value) +
                                      (lacks_unit ? ", which has no unit" : "") + "; expected " +
                                      name_of(row.type));
  return false;
}

bool SchemaChecker::is_known_word(const Row& row, const Value& value) {
  const std::vector<std::string> words = words_of(row);
  if (words.empty() || std::count(words.begin(), words.end(), value.raw)) {
    return true;
  }
  diagnostics_.error(value.place, "'" + std::string(row.name) + "' is '" + value.raw +
                                      "'; expected one of: " + joined(words) + suggestion(value.raw, words));
  return false;
}

bool SchemaChecker::is_list_of_texts(const Row& row, const Value& value) {
  if (row.type != Type::list) {
    return true;
  }
  for (const Value& item : value.items) {
    if (item.type != Type::text) {
      diagnostics_.error(item.place, "an item of '" + std::string(row.name) + "' is " + item.raw +
                                         "; expected a text in quotes");
      return false;
    }
  }
  return true;
}

bool SchemaChecker::is_within_bounds(const Row& row, const Value& value) {
  const bool bounded = row.least != 0 || row.most != 0;
  if (!bounded || (value.amount >= row.least && value.amount <= row.most)) {
    return true;
  }
  Value low = value;
  low.amount = row.least;
  Value high = value;
  high.amount = row.most;
  diagnostics_.error(value.place, "'" + std::string(row.name) + "' is " + value.raw + "; expected " +
                                      canonical(low) + " to " + canonical(high));
  return false;
}

}  // namespace dapplewharf::config
