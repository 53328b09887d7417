// Writes the tree of a configuration file in its canonical layout; see format() in config/language.h and
// docs/configuration.md.
#include <algorithm>

#include "config/language.h"

namespace dapplewharf::config {
namespace {

constexpr std::size_t kLineWidth = 100;  // columns; a list that needs more is written one item a line

std::string indent_of(int depth) {
  return std::string(static_cast<std::size_t>(2 * depth), ' ');
}

void write_comments(std::string& out, const std::string& text, const std::string& indent) {
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t end = std::min(text.find('\n', at), text.size());
    out += indent + text.substr(at, end - at) + "\n";
    at = end + 1;
  }
}

std::string value_text(const Value& value, int depth, std::size_t used);

/// A list on one line; comments within it are left out.
std::string list_line(const Value& list) {
  std::string line = "[";
  for (std::size_t i = 0; i < list.items.size(); ++i) {
    line += (i ? ", " : "") + value_text(list.items[i], 0, 0);
  }
  return line + "]";
}

/// A list with one item a line, each after its comment.
std::string list_block(const Value& list, int depth) {
  const std::string indent = indent_of(depth + 1);
  std::string out = "[\n";
  for (std::size_t i = 0; i < list.items.size(); ++i) {
    if (i < list.notes.size()) {
      write_comments(out, list.notes[i], indent);
    }
    out += indent + value_text(list.items[i], 0, 0) + ",\n";
  }
  if (!list.notes.empty() && list.notes.size() > list.items.size()) {
    write_comments(out, list.notes.back(), indent);
  }
  return out + indent_of(depth) + "]";
}

/// @param used columns that are taken on the value's first line.
std::string value_text(const Value& value, int depth, std::size_t used) {
  if (value.type == Type::text) {
    return in_quotes(value.raw);
  }
  if (value.type == Type::reference) {
    return "$" + value.raw;
  }
  if (value.type != Type::list) {
    return value.raw;
  }
  const bool has_comments = std::any_of(value.notes.begin(), value.notes.end(),
                                        [](const std::string& note) { return !note.empty(); });
  std::string line = list_line(value);
  if (!has_comments && line.size() + used <= kLineWidth) {
    return line;
  }
  return list_block(value, depth);
}

void write(std::string& out, const std::vector<Item>& items, int depth);

void write_item(std::string& out, const Item& item, int depth) {
  const std::string indent = indent_of(depth);
  const std::string note = item.note.empty() ? "" : "  " + item.note;
  switch (item.kind) {
    case Item::Kind::comment:
      out += indent + item.name + "\n";
      break;
    case Item::Kind::gap:
      out += "\n";
      break;
    case Item::Kind::include:
      out += indent + "include " + value_text(*item.value, depth, 0) + note + "\n";
      break;
    case Item::Kind::constant:
    case Item::Kind::setting: {
      const std::string keyword = item.kind == Item::Kind::constant ? "const " : "";
      const std::string head = indent + keyword + item.name + " = ";
      out += head + value_text(*item.value, depth, head.size()) + note + "\n";
      break;
    }
    case Item::Kind::block:
      out += indent + item.name + (item.value ? " " + in_quotes(item.value->raw) : "") + " {\n";
      write(out, item.items, depth + 1);
      out += indent + "}" + note + "\n";
      break;
  }
}

/// Writes the items of one block; a gap at its end is left out.
void write(std::string& out, const std::vector<Item>& items, int depth) {
  for (const Item& item : items) {
    if (item.kind != Item::Kind::gap || &item != &items.back()) {
      write_item(out, item, depth);
    }
  }
}

}  // namespace

std::string format(const std::vector<Item>& items) {
  std::string out;
  write(out, items, 0);
  return out;
}

}  // namespace dapplewharf::config
