#include "config/render.h"

#include <algorithm>
#include <cmath>
#include <set>

using nlohmann::json;

namespace dapplewharf::config {
namespace {

constexpr double kMiB = 1048576;
constexpr const char* kUnrepeatable = "unrepeatable";
constexpr const char* kUnrepeatableThere = "at_most_once";

// What a node is always told, whoever configures it.
const std::pair<const char*, json> kFixed[] = {{"/settings/bounds/cancel", true},
                                               {"/settings/bounds/secondCopies", false},
                                               {"/settings/extra/mode", "proxy"},
                                               {"/settings/extra/parkMs", 0.0},
                                               {"/settings/workload", "conn"}};
json json_of(const Value& value) {
  switch (value.type) {
    case Type::size:
      return value.amount / kMiB;
    case Type::flag:
      return value.amount != 0;
    case Type::text:
    case Type::word:
    case Type::address:
      return value.raw == kUnrepeatable ? json(kUnrepeatableThere) : json(value.raw);
    default:
      return value.amount;
  }
}

std::string text_of(const Row& row, const json& from) {
  switch (row.type) {
    case Type::duration:
      return from.is_number() && from.get<double>() >= 0 ? duration_text(from.get<double>()) : "";
    case Type::size:
      return from.is_number() && from.get<double>() >= 0 ? size_text(std::round(from.get<double>() * kMiB))
                                                         : "";
    case Type::share:
      return from.is_number() ? number_text(std::round(from.get<double>() * 1e8) / 1e6) + "%" : "";
    case Type::number:
      return from.is_number() ? number_text(from.get<double>()) : "";
    case Type::flag:
      return from.is_boolean() ? (from.get<bool>() ? "on" : "off") : "";
    case Type::address:
      return from.is_string() ? from.get<std::string>() : "";
    case Type::word:
      return !from.is_string() ? "" : from == kUnrepeatableThere ? kUnrepeatable : from.get<std::string>();
    case Type::text:
      return from.is_string() ? in_quotes(from.get<std::string>()) : "";
    default:
      return "";
  }
}

struct Where {
  std::string block, pointer;  // "" for the pointer: not rendered
  bool each = false;           // one entry of a list a block, by position
};
// Where a setting lies, for the block's place in order.
Where where(const Row& row, std::size_t number) {
  const BlockRow& block = *block_of(row.block);
  std::string base = block.json;
  const std::string own = row.json;
  if (own.empty()) {
    return {row.block, "", false};
  }
  if (own[0] == '@') {
    return {row.block, own.substr(1) + "/" + std::to_string(number), true};
  }
  if (base.ends_with("[]")) {
    return {row.block, base.substr(0, base.size() - 2) + "/" + std::to_string(number) + own, true};
  }
  return {row.block, base + own, false};
}
std::string label_pointer(const BlockRow& block, std::size_t number) {
  const std::string base = block.json;
  if (std::string(block.name) == "sidecar") {
    return "/name";
  }
  return base.ends_with("[]") ? base.substr(0, base.size() - 2) + "/" + std::to_string(number) + "/name" : "";
}

void put_block(json& out, const Block& block, std::size_t number) {
  if (const std::string at = label_pointer(*block.row, number); !at.empty()) {
    out[json::json_pointer(at)] = block.label;
  }
  for (const Row& row : rows()) {
    if (std::string(row.block) != block.row->name) {
      continue;
    }
    const Where to = where(row, number);
    const auto value = block.value(row.name);
    if (to.pointer.empty() || !value || (value->type == Type::text && value->raw.empty())) {
      continue;
    }
    out[json::json_pointer(to.pointer)] = json_of(*value);
  }
}

const Block* pool_of(const Document& document) {
  const Block* route = document.find("route");
  for (const Block* pool : document.all("pool")) {
    if (!route || pool->label == route->word("pool")) {
      return pool;
    }
  }
  return nullptr;
}

}  // namespace

json render(const Document& document) {
  json out = json::object();
  out["settings"] = json::object();
  for (const auto& [at, value] : kFixed) {
    out[json::json_pointer(at)] = value;
  }
  for (const BlockRow& row : blocks()) {
    if (std::string(row.name) == "pool") {
      if (const Block* pool = pool_of(document)) {
        put_block(out, *pool, 0);
      }
      continue;
    }
    std::size_t number = 0;
    for (const Block* block : document.all(row.name)) {
      put_block(out, *block, number++);
    }
    if (number > 0 || row.repeated || row.labelled) {
      continue;
    }
    Block plain;  // what holds without the block
    plain.row = &row;
    put_block(out, plain, 0);
  }
  const double come_back = out.value("/settings/bounds/maxRetryAfterMs"_json_pointer, 0.0);
  out["/settings/bounds/retryAfter"_json_pointer] = come_back > 0;
  return out;
}

Imported import(const json& from) {
  Imported out;
  if (!from.is_object() || !from.contains("settings") || !from["settings"].is_object()) {
    out.error = "this is no configuration of a node; expected an object with 'settings'";
    return out;
  }
  std::set<std::string> read;
  const auto get = [&](const std::string& at) -> const json* {
    const json::json_pointer pointer(at);
    if (at.empty() || !from.contains(pointer)) {
      return nullptr;
    }
    read.insert(at);
    return &from.at(pointer);
  };
  const bool told = from.value("/settings/bounds/retryAfter"_json_pointer, true);
  for (const BlockRow& block : blocks()) {
    const std::string name = block.name;
    const std::string base = block.json;
    std::size_t count = 1;
    if (base.ends_with("[]")) {
      const json::json_pointer list(base.substr(0, base.size() - 2));
      count = from.contains(list) && from.at(list).is_array() ? from.at(list).size() : 0;
    } else if (name == "route") {
      count = 0;
    }
    for (std::size_t i = 0; i < count; ++i) {
      std::string body;
      for (const Row& row : rows()) {
        if (name != row.block) {
          continue;
        }
        const json* value = get(where(row, i).pointer);
        std::string text = value ? text_of(row, *value) : "";
        if (name == "limits" && std::string(row.name) == "come_back" && !told) {
          text = "0ms";
        }
        if (!text.empty()) {
          body += std::string(row.name) + " = " + text + "\n";
        }
      }
      std::string label;
      if (const json* value = get(label_pointer(block, i)); value && value->is_string()) {
        label = value->get<std::string>();
      }
      if (name == "pool") {
        label = "hosts";
      }
      if (block.labelled && label.empty()) {
        label = name + "-" + std::to_string(i);
      }
      if (body.empty() && !block.needed) {
        continue;
      }
      out.text += name + (block.labelled ? " " + in_quotes(label) : "") + " {\n" + body + "}\n\n";
    }
  }
  for (const auto& [at, value] : kFixed) {
    read.insert(at);
  }
  read.insert("/settings/bounds/retryAfter");
  const json flat = from.flatten();
  for (const auto& [at, value] : flat.items()) {
    if (!read.count(at) && at.rfind("/known", 0) != 0) {
      out.left_out.push_back(at);
    }
  }
  const Parsed parsed = parse(out.text);
  if (parsed.error) {
    out.error = "a value cannot be written in the language: " + parsed.error->what;
  } else {
    out.text = format(parsed.items);
  }
  return out;
}

std::vector<Diagnostic> beyond(const Document& document, const json& platform) {
  std::vector<Diagnostic> out;
  for (const auto& [block_name, name] :
       {std::pair("rules", "drain_grace"), std::pair("rules", "grace_to_answer"),
        std::pair("rules", "fall_multiple"), std::pair("rules", "further_tries"),
        std::pair("rules", "further_tries_share"), std::pair("limits", "descriptors"),
        std::pair("limits", "memory"), std::pair("limits", "cores"), std::pair("limits", "tries"),
        std::pair("limits", "come_back")}) {
    const Block* block = document.find(block_name);
    const Setting* own = block ? block->find(name) : nullptr;
    const Row& row = *row_of(block_name, name);
    const json::json_pointer at(where(row, 0).pointer);
    if (!own || !platform.contains(at) || !platform.at(at).is_number()) {
      continue;
    }
    const double granted = platform.at(at).get<double>();
    if (json_of(own->value).get<double>() > granted + 1e-9) {
      out.push_back({own->value.place, "'" + std::string(name) + "' is " + own->value.raw +
                                           ", the platform grants " + text_of(row, granted) +
                                           "; expected no more"});
    }
  }
  const Block* rules = document.find("rules");
  // A budget over another span is another budget; without one tries are not rationed at all.
  const Row& span_row = *row_of("rules", "further_tries_span");
  const json::json_pointer span_at(where(span_row, 0).pointer);
  const Setting* span = rules ? rules->find("further_tries_span") : nullptr;
  if (rules && platform.contains(span_at) && platform.at(span_at).is_number() &&
      (!span || json_of(span->value) != platform.at(span_at))) {
    out.push_back({span ? span->value.place : rules->place,
                   std::string("'further_tries_span' is ") + (span ? span->value.raw : "missing") +
                       ", the platform rations over " + text_of(span_row, platform.at(span_at)) +
                       "; expected the same"});
  }
  const Setting* alone = rules ? rules->find("drain_binds_alone") : nullptr;
  const json::json_pointer at(where(*row_of("rules", "drain_binds_alone"), 0).pointer);
  if (alone && json_of(alone->value) == true && platform.value(at, json(false)) != true) {
    out.push_back(
        {alone->value.place, "'drain_binds_alone' is on, the platform binds by 'gone' too; expected off"});
  }
  return out;
}

std::vector<Difference> differences(const Document& before, const Document& after) {
  std::vector<Difference> out;
  const auto text = [](const Block* block, const Row& row) -> std::string {
    if (!block) {
      return "";
    }
    const auto value = block->value(row.name);
    return value ? canonical(*value) : "";
  };
  const auto find = [](const Document& in, const BlockRow& row, const std::string& label) -> const Block* {
    for (const Block* block : in.all(row.name)) {
      if (block->label == label || !row.repeated) {
        return block;
      }
    }
    return nullptr;
  };
  for (const BlockRow& row : blocks()) {
    std::vector<std::string> labels;
    for (const Document* one : {&before, &after}) {
      for (const Block* block : one->all(row.name)) {
        if (!std::count(labels.begin(), labels.end(), block->label) && (row.repeated || labels.empty())) {
          labels.push_back(block->label);
        }
      }
    }
    for (const std::string& label : labels) {
      const Block* left = find(before, row, label);
      const Block* right = find(after, row, label);
      const std::string name = std::string(row.name) + (row.repeated ? " " + in_quotes(label) : "");
      if (row.repeated && (!left || !right)) {
        out.push_back({name, left ? "there" : "", right ? "there" : "", true});
        continue;
      }
      Block plain;
      plain.row = &row;
      if (row.labelled && !row.repeated && left && right && left->label != right->label) {
        out.push_back({name, in_quotes(left->label), in_quotes(right->label), false});
      }
      for (const Row& setting : rows()) {
        if (std::string(setting.block) != row.name) {
          continue;
        }
        const std::string was = text(left ? left : &plain, setting);
        const std::string is = text(right ? right : &plain, setting);
        if (was != is) {
          out.push_back({name + "." + setting.name, was, is, setting.reload});
        }
      }
    }
  }
  return out;
}

}  // namespace dapplewharf::config
