// Configurations drawn from the schema by RapidCheck, and what a configuration means whatever its form.
#pragma once
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "config/document.h"

namespace dapplewharf::config {

inline std::string drawn_value(const Row& row) {
  using rc::gen::inRange;
  const auto words = words_of(row);
  if (!words.empty()) {
    return *rc::gen::elementOf(words);
  }
  const double at = *inRange(0, 1001) / 1000.0;
  const double amount = row.least + (row.most - row.least) * at;
  switch (row.type) {
    case Type::duration: {
      const double ms = std::max(row.least, std::round(amount * at * at * at));
      return *inRange(0, 2) ? duration_text(ms) : number_text(ms) + "ms";
    }
    case Type::size:
      return std::to_string(static_cast<long>(amount / 1048576) + 8) + "MiB";
    case Type::share:
      return std::to_string(*inRange(1, 10)) + "%";
    case Type::number:
      return number_text(std::max(row.least, std::floor(amount * at * at)));
    case Type::flag:
      return *inRange(0, 2) ? "on" : "off";
    case Type::address:
      return "127.0.0." + std::to_string(*inRange(1, 255)) + ":" + std::to_string(*inRange(1, 65536));
    case Type::list:
      return "[ \"t0\" ]";
    default:
      return "\"" + std::to_string(*inRange(0, 99999)) + "\"";
  }
}

// Any settings of the table, in any order and form, with comments; not always good as a whole.
inline std::string drawn_configuration() {
  using rc::gen::inRange;
  std::string out;
  const auto blank = [&] {
    for (int n = *inRange(0, 3); n > 0; --n) {
      out += *rc::gen::elementOf(std::vector<std::string>{"\n", "# note\n", "  \t\n", "\n\n"});
    }
  };
  for (const BlockRow& block : blocks()) {
    const int count = std::string(block.name) == "route" ? 0
                      : block.needed                     ? 1
                      : block.repeated                   ? *inRange(0, 4)
                                                         : *inRange(0, 2);
    for (int i = 0; i < count; ++i) {
      blank();
      out += std::string(block.name) +
             (block.labelled ? " \"" + std::string(1, block.name[0]) + std::to_string(i) + "\"" : "") +
             (*inRange(0, 2) ? " {\n" : "{ # what it is\n");
      for (const Row& row : rows()) {
        if (std::string(row.block) != block.name || (*row.without && *inRange(0, 3) == 0)) {
          continue;
        }
        blank();
        out += std::string(static_cast<std::size_t>(*inRange(0, 5)), ' ') + row.name +
               (*inRange(0, 2) ? "=" : "  = ") + drawn_value(row) +
               *rc::gen::elementOf(std::vector<std::string>{"\n", " # why\n", ";\n", "  ;  # so\n"});
      }
      out += "}\n";
    }
  }
  return out;
}

// What a configuration says, whatever its form.
inline std::string meaning(const std::string& text) {
  std::string out;
  const Document document = load_text(text, "x.dw");
  for (const Block& block : document.blocks) {
    out += std::string(block.row->name) + " " + block.label + "\n";
    for (const Setting& one : block.settings) {
      out += std::string(one.row->name) + " " + canonical(one.value) + "\n";
    }
  }
  for (const Diagnostic& diagnostic : document.diagnostics) {
    out += diagnostic.what.substr(0, diagnostic.what.find("stands at")) + "\n";
  }
  return out;
}

inline std::size_t comments(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '#'));
}

}  // namespace dapplewharf::config
