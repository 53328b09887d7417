#include "config/document.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace dapplewharf::config {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMostFiles = 256;
constexpr std::size_t kMostFaults = 200;
constexpr double kKeptForAnswers = 64;  // the node refuses fewer descriptors

struct Constant {
  const Item* item;
  enum class State { fresh, open, done } state = State::fresh;
  Value value;
  bool used = false;
};

class Loader {
 public:
  explicit Loader(Document& to) : to_(to) {}

  void read(const std::string& path) {
    std::error_code fault;
    root_ = fs::weakly_canonical(
        fs::path(path).parent_path().empty() ? fs::path(".") : fs::path(path).parent_path(), fault);
    file(path, {}, nullptr);
    judge();
  }
  void read_text(const std::string& text, const std::string& name) {
    to_.files.push_back(name), to_.texts.push_back(text);
    take(text, 0);
    judge();
  }

 private:
  void fault(Place place, std::string what, bool warning = false) {
    if (to_.faults.size() < kMostFaults) {
      to_.faults.push_back({place, std::move(what), warning});
    }
  }

  // `from`: the include, none for the first file.
  void file(const std::string& path, std::vector<std::string> way, const Item* from) {
    const auto fails = [&](const std::string& what) {
      if (from) {
        return fault(from->value->place, what);
      }
      if (to_.files.empty()) {
        to_.files.push_back(path), to_.texts.emplace_back();
      }
      fault({0, 0, 0}, what);
    };
    std::error_code code;
    const fs::path real = fs::weakly_canonical(path, code);
    if (!fs::exists(real, code)) {
      return fails("there is no file '" + path + "'; expected one that can be read");
    }
    if (fs::is_directory(real, code)) {
      return fails("'" + path + "' is a folder; expected a file");
    }
    const fs::path inside = real.lexically_relative(root_);
    if (inside.empty() || *inside.begin() == "..") {
      return fails("'" + path + "' lies outside the folder of the configuration; expected a file below it");
    }
    const std::string key = real.string();
    if (const auto at = std::find(way.begin(), way.end(), key); at != way.end()) {
      std::string names;
      for (auto one = at; one != way.end(); ++one) {
        names += fs::path(*one).lexically_relative(root_).string() + " -> ";
      }
      return fails("files include each other: " + names + inside.string() + "; expected no cycle");
    }
    if (seen_.count(key)) {
      return;  // by another way: it holds once
    }
    if (seen_.size() >= kMostFiles) {
      return fails("more than " + std::to_string(kMostFiles) + " files are included; expected fewer");
    }
    if (fs::file_size(real, code) > kLargestFile && !code) {
      fails("'" + path + "' holds " + std::to_string(fs::file_size(real, code)) + " bytes; expected " +
            std::to_string(kLargestFile) + " at the most");
      return;
    }
    std::ifstream in(real, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
      return fails("'" + path + "' cannot be read; expected a file that can");
    }
    seen_.insert(key);
    way.push_back(key);
    const int number = static_cast<int>(to_.files.size());
    to_.files.push_back(path), to_.texts.push_back(text.str());
    take(to_.texts.back(), number);
    const std::size_t parsed = parsed_.size() - 1;
    for (std::size_t i = 0; i < parsed_[parsed].size(); ++i) {
      const Item item = parsed_[parsed][i];
      if (item.kind != Item::Kind::include) {
        continue;
      }
      if (fs::path(item.value->raw).is_absolute()) {
        fault(item.value->place, "an include names '" + item.value->raw +
                                     "' from the root; expected a path from this file's folder");
      } else {
        file((fs::path(path).parent_path() / item.value->raw).string(), way, &item);
      }
    }
  }

  void take(const std::string& text, int number) {
    Parsed parsed = parse(text, number);
    if (parsed.fault) {
      fault(parsed.fault->place, parsed.fault->what), parsed.items.clear(), unread_ = true;
    }
    parsed_.push_back(std::move(parsed.items));
  }

  void judge() {
    for (const auto& items : parsed_) {
      for (const Item& item : items) {
        if (item.kind != Item::Kind::constant) {
          continue;
        }
        const auto [at, fresh] =
            constants_.try_emplace(item.name, Constant{&item, Constant::State::fresh, {}, false});
        if (!fresh) {
          fault(item.place, "the constant '" + item.name + "' stands at " + where(at->second.item->place) +
                                " already; expected it once");
        }
      }
    }
    for (auto& [name, constant] : constants_) {
      resolve(name, constant);
    }
    for (const auto& items : parsed_) {
      for (const Item& item : items) {
        if (item.kind == Item::Kind::block) {
          block(item);
        }
        if (item.kind == Item::Kind::setting) {
          stray(item);
        }
      }
    }
    if (!unread_) {
      meaning();  // danger: what a file that cannot be read would have said is not missing
    }
    for (const auto& [name, constant] : constants_) {
      if (!constant.used) {
        fault(constant.item->place,
              "the constant '" + name + "' is not used; expected $" + name + " somewhere", true);
      }
    }
    std::stable_sort(to_.faults.begin(), to_.faults.end(), [](const Fault& a, const Fault& b) {
      return std::tuple(a.place.file, a.place.line, a.place.column) <
             std::tuple(b.place.file, b.place.line, b.place.column);
    });
  }

  std::string where(Place place) const {
    return to_.files[static_cast<std::size_t>(place.file)] + ":" + std::to_string(place.line);
  }

  bool resolve(const std::string& name, Constant& constant) {
    if (constant.state == Constant::State::done) {
      return true;
    }
    if (constant.state == Constant::State::open) {
      std::string names;
      for (auto at = std::find(open_.begin(), open_.end(), name); at != open_.end(); ++at) {
        names += *at + " -> ";
      }
      fault(constant.item->place,
            "the constant '" + name + "' is defined by itself: " + names + name + "; expected a value");
      return false;
    }
    constant.state = Constant::State::open;
    open_.push_back(name);
    constant.value = *constant.item->value;
    put_in(constant.value);
    open_.pop_back();
    constant.state = Constant::State::done;
    return true;
  }

  // Puts constants in; the place stays where they are used.
  bool put_in(Value& value) {
    bool good = true;
    for (Value& item : value.items) {
      good = put_in(item) && good;
    }
    if (value.type != Type::reference) {
      return good;
    }
    const auto at = constants_.find(value.raw);
    if (at == constants_.end()) {
      std::vector<std::string> names;
      for (const auto& [name, constant] : constants_) {
        names.push_back(name);
      }
      fault(value.place, "there is no constant '" + value.raw + "'; expected one that const defines" +
                             perhaps(value.raw, names));
      return false;
    }
    at->second.used = true;
    if (!resolve(value.raw, at->second) || at->second.value.type == Type::reference) {
      return false;
    }
    const Place place = value.place;
    value = at->second.value;
    value.place = place;
    return true;
  }

  static std::string perhaps(const std::string& name, const std::vector<std::string>& of) {
    const std::string near = nearest(name, of);
    return near.empty() ? "" : " (perhaps " + near + ")";
  }

  void stray(const Item& item) {
    std::string of;
    for (const Row& row : rows()) {
      if (item.name == row.name) {
        of += (of.empty() ? "" : " or ") + std::string(row.block);
      }
    }
    fault(item.place, "'" + item.name + "' stands outside any block; expected " +
                          (of.empty() ? "a block" : "it within " + of));
  }

  void block(const Item& item) {
    const BlockRow* row = block_of(item.name);
    if (!row) {
      std::vector<std::string> names;
      for (const BlockRow& one : blocks()) {
        names.push_back(one.name);
      }
      std::string list;
      for (const std::string& name : names) {
        list += (list.empty() ? "" : ", ") + name;
      }
      return fault(item.place, "there is no block '" + item.name + "'; expected one of: " + list +
                                   perhaps(item.name, names));
    }
    if (to_.use == Use::operators && !row->operators) {
      std::string list;
      for (const BlockRow& one : blocks()) {
        if (one.operators) {
          list += (list.empty() ? "" : ", ") + std::string(one.name);
        }
      }
      return fault(item.place,
                   "'" + item.name + "' is the platform's to say; expected in the operators' file: " + list);
    }
    if (row->labelled != item.value.has_value()) {
      fault(item.value ? item.value->place : item.place,
            row->labelled ? "'" + item.name + "' has no name; expected " + item.name + " \"NAME\" { }"
                          : "'" + item.name + "' has a name; expected none");
    }
    Block made;
    made.row = row, made.place = item.place;
    if (item.value) {
      made.label = item.value->raw;
    }
    if (row->labelled && item.value &&
        (made.label.empty() || made.label.size() > 64 ||
         made.label.find_first_of("\n\t ,=") != std::string::npos)) {
      fault(item.value->place,
            "the name '" + made.label +
                "' holds blanks, commas or =, or is empty or long; expected 1 to 64 letters");
    }
    for (const Block& other : to_.blocks) {
      if (other.row == row && (!row->repeated || other.label == made.label)) {
        fault(item.place, "'" + item.name + (row->repeated ? " \"" + made.label + "\"" : "") +
                              "' stands at " + where(other.place) + " already; expected it once");
        return;
      }
    }
    for (const Item& inner : item.items) {
      if (inner.kind == Item::Kind::block) {
        fault(inner.place,
              "a block '" + inner.name + "' stands within '" + item.name + "'; expected settings");
      }
      if (inner.kind == Item::Kind::include) {
        fault(inner.place, "an include stands within '" + item.name + "'; expected it outside all blocks");
      }
      if (inner.kind == Item::Kind::constant) {
        fault(inner.place, "a constant stands within '" + item.name + "'; expected it outside all blocks");
      }
      if (inner.kind == Item::Kind::setting) {
        setting(made, inner);
      }
    }
    for (const Row& one : rows()) {
      if (std::string(one.block) == item.name && !*one.without && !made.find(one.name) &&
          !tried_.count({item.name, made.label, one.name})) {
        fault(item.place, "'" + item.name + "' does not say '" + one.name + "'; expected " + one.name +
                              " = " + name_of(one.type));
      }
    }
    to_.blocks.push_back(std::move(made));
  }

  void setting(Block& block, const Item& item) {
    const Row* row = row_of(block.row->name, item.name);
    if (!row) {
      std::vector<std::string> names;
      for (const Row& one : rows()) {
        if (std::string(one.block) == block.row->name) {
          names.push_back(one.name);
        }
      }
      std::string list;
      for (const std::string& name : names) {
        list += (list.empty() ? "" : ", ") + name;
      }
      return fault(item.place, "'" + std::string(block.row->name) + "' knows no '" + item.name +
                                   "'; expected one of: " + list + perhaps(item.name, names));
    }
    tried_.insert({block.row->name, block.label, item.name});
    if (const Setting* other = block.find(item.name)) {
      return fault(item.place, "'" + item.name + "' stands at line " + std::to_string(other->place.line) +
                                   " already; expected it once");
    }
    Setting made{row, item.place, *item.value};
    if (!put_in(made.value) || !fits(*row, made.value)) {
      return;
    }
    block.settings.push_back(std::move(made));
  }

  bool fits(const Row& row, const Value& value) {
    const std::string name = row.name;
    // A word may be written as a text, as a name that happens to be one.
    const bool word_as_text = row.type == Type::word && value.type == Type::text;
    if (value.type != row.type && !word_as_text) {
      const bool bare = value.type == Type::number &&
                        (row.type == Type::duration || row.type == Type::size || row.type == Type::share);
      fault(value.place, "'" + name + "' is " +
                             (value.type == Type::text   ? in_quotes(value.raw)
                              : value.type == Type::list ? "a list"
                                                         : value.raw) +
                             (bare ? ", which has no unit" : "") + "; expected " + name_of(row.type));
      return false;
    }
    const auto words = words_of(row);
    if (!words.empty() && !std::count(words.begin(), words.end(), value.raw)) {
      std::string list;
      for (const std::string& word : words) {
        list += (list.empty() ? "" : ", ") + word;
      }
      fault(value.place,
            "'" + name + "' is '" + value.raw + "'; expected one of: " + list + perhaps(value.raw, words));
      return false;
    }
    if (row.type == Type::list) {
      for (const Value& item : value.items) {
        if (item.type != Type::text) {
          fault(item.place, "an item of '" + name + "' is " + item.raw + "; expected a text in quotes");
          return false;
        }
      }
    }
    if ((row.least != 0 || row.most != 0) && (value.amount < row.least || value.amount > row.most)) {
      Value low = value;
      Value high = value;
      low.amount = row.least, high.amount = row.most;
      fault(value.place,
            "'" + name + "' is " + value.raw + "; expected " + canonical(low) + " to " + canonical(high));
      return false;
    }
    return true;
  }

  // --- what the whole says ---

  void meaning() {
    if (to_.use == Use::operators) {
      return;
    }
    for (const BlockRow& row : blocks()) {
      if (row.needed && !to_.find(row.name)) {
        fault({0, 1, 1}, "the configuration has no '" + std::string(row.name) + "'; expected " + row.name +
                             (row.labelled ? " \"NAME\"" : "") + " { }");
      }
    }
    traffic(), tenants(), routes(), limits(), rules_hold();
  }

  Place place(const Block& block, const char* name) const {
    const Setting* found = block.find(name);
    return found ? found->value.place : block.place;
  }

  void traffic() {
    bool goals = false;
    bool missing = false;
    for (const Block* type : to_.all("traffic")) {
      const double goal = type->amount("latency_goal");
      const double expiry = type->amount("expiry");
      if (type->find("expiry") && type->find("latency_goal") && expiry < goal) {
        fault(place(*type, "expiry"), "traffic type '" + type->label + "' expires after " +
                                          duration_text(expiry) + ", before its latency goal; expected " +
                                          duration_text(goal) + " or more");
      } else if (type->find("expiry") && type->find("latency_goal") && expiry < 1.5 * goal) {
        fault(place(*type, "expiry"),
              "traffic type '" + type->label + "' leaves no time for a second try; expected an expiry of " +
                  duration_text(1.5 * goal) + " or more",
              true);
      }
      if (type->word("effect") != "deduplicated") {
        for (const char* name : {"repeat_group", "repeat_window"}) {
          if (const Setting* useless = type->find(name)) {
            fault(useless->place,
                  "'" + std::string(name) + "' says nothing where effect is " + type->word("effect") +
                      "; expected effect = deduplicated",
                  true);
          }
        }
      }
      if (type->word("effect") == "deduplicated" && type->amount("repeat_window") == 0 &&
          type->find("repeat_window")) {
        fault(place(*type, "repeat_window"),
              "repeats are known for no time, so none may be sent; expected a repeat_window over 0ms, or "
              "effect = unrepeatable",
              true);
      }
      (type->find("message_goal") ? goals : missing) = true;
    }
    // The node reads goals by position: a gap would shift them.
    if (goals && missing) {
      for (const Block* type : to_.all("traffic")) {
        if (!type->find("message_goal")) {
          fault(type->place, "traffic type '" + type->label +
                                 "' has no message_goal while others have; expected one for all or for none");
        }
      }
    }
  }

  void tenants() {
    double sum = 0;
    bool quotas = false;
    bool missing = false;
    for (const Block* tenant : to_.all("tenant")) {
      sum += tenant->amount("share");
      if (sum > 1 + 1e-9 && sum - tenant->amount("share") <= 1 + 1e-9) {
        fault(place(*tenant, "share"), "tenants' shares add up to " +
                                           number_text(std::round(sum * 1e4) / 100) +
                                           "% here; expected 100% at the most");
      }
      (tenant->find("open") ? quotas : missing) = true;
    }
    if (quotas && missing) {
      for (const Block* tenant : to_.all("tenant")) {
        if (!tenant->find("open")) {
          fault(tenant->place, "tenant '" + tenant->label +
                                   "' has no 'open' while others have; expected one for all or for none");
        }
      }
    }
  }

  void routes() {
    std::map<std::string, const Block*> routed;
    std::set<std::string> pools;
    std::vector<std::string> known;
    std::vector<std::string> known_pools;
    for (const Block* type : to_.all("traffic")) {
      known.push_back(type->label);
    }
    for (const Block* pool : to_.all("pool")) {
      known_pools.push_back(pool->label);
    }
    for (const Block* route : to_.all("route")) {
      const Setting* pool = route->find("pool");
      const Setting* types = route->find("traffic");
      if (pool && !std::count(known_pools.begin(), known_pools.end(), pool->value.raw)) {
        fault(pool->value.place, "route '" + route->label + "' goes to no pool: there is none named '" +
                                     pool->value.raw + "'; expected one of the pools" +
                                     perhaps(pool->value.raw, known_pools));
      } else if (pool) {
        pools.insert(pool->value.raw);
      }
      if (types && types->value.items.empty()) {
        fault(types->value.place,
              "route '" + route->label + "' names no traffic type; expected at least one");
      }
      for (const Value& type : types ? types->value.items : std::vector<Value>()) {
        if (!std::count(known.begin(), known.end(), type.raw)) {
          fault(type.place, "unknown traffic type '" + type.raw +
                                "'; expected one that a traffic block names" + perhaps(type.raw, known));
        } else if (const auto [at, fresh] = routed.try_emplace(type.raw, route); !fresh) {
          fault(type.place, "traffic type '" + type.raw + "' is routed by '" + at->second->label +
                                "' already; expected one route for each");
        }
      }
    }
    const auto all_routes = to_.all("route");
    if (!all_routes.empty()) {
      for (const Block* type : to_.all("traffic")) {
        if (!routed.count(type->label)) {
          fault(type->place,
                "traffic type '" + type->label + "' has no route; expected it in the 'traffic' of one");
        }
      }
    } else if (known_pools.size() > 1) {
      fault(to_.all("pool")[1]->place, "there are several pools and no route; expected route \"NAME\" { }");
    }
    if (pools.size() > 1) {
      fault(all_routes.back()->place,
            "routes go to several pools; expected one pool, which is all that a node serves today");
    }
    if (!all_routes.empty()) {
      for (const Block* pool : to_.all("pool")) {
        if (!pools.count(pool->label) && !pools.empty()) {
          fault(pool->place, "no route goes to pool '" + pool->label + "'; expected one, or no such pool",
                true);
        }
      }
    }
    std::map<std::string, const Block*> at;
    const Block* sidecar = to_.find("sidecar");
    if (const Setting* listen = sidecar ? sidecar->find("listen") : nullptr) {
      at[listen->value.raw] = sidecar;
    }
    for (const Block* pool : to_.all("pool")) {
      if (const Setting* list = pool->find("discovery"); list && at.count(list->value.raw)) {
        fault(list->value.place, "pool '" + pool->label + "' has its list at " + list->value.raw +
                                     ", where the sidecar itself listens; expected another address");
      }
    }
  }

  void limits() {
    const Block* limits = to_.find("limits");
    if (!limits) {
      return;
    }
    const double descriptors = limits->amount("descriptors");
    const double memory = limits->amount("memory");
    if (limits->find("descriptors") && descriptors != std::floor(descriptors)) {
      fault(place(*limits, "descriptors"), "'descriptors' is no whole number; expected one");
    }
    if (limits->find("tries") && limits->amount("tries") != std::floor(limits->amount("tries"))) {
      fault(place(*limits, "tries"), "'tries' is no whole number; expected one");
    }
    // Worked out in docs/architecture.md: 19 KiB a client with its host, which hold two descriptors, beside
    // 12 MB.
    const double worst = (descriptors - kKeptForAnswers) / 2 * 19 * 1024 + 12e6;
    if (limits->find("descriptors") && limits->find("memory") && worst > memory) {
      fault(place(*limits, "memory"),
            "clients that read nothing can take " + std::to_string(static_cast<long>(worst / 1048576)) +
                "MiB with so many descriptors; expected as much memory, or fewer",
            true);
    }
    if (!limits->find("probes")) {
      fault(
          limits->place,
          "'probes' is off, so hosts are judged by set-ups alone; expected probes = on where hosts allow it",
          true);
    }
    double longest = 0;
    for (const Block* type : to_.all("traffic")) {
      longest = std::max(longest, type->amount("expiry"));
    }
    if (limits->find("connect") && longest > 0 && limits->amount("connect") >= longest) {
      fault(place(*limits, "connect"),
            "a connection may take longer to make than any client waits; expected under " +
                duration_text(longest));
    }
  }

  void rules_hold() {
    const Block* rules = to_.find("rules");
    if (!rules) {
      return;
    }
    if (rules->find("cold_time") && rules->find("fall_time") &&
        rules->amount("fall_time") > rules->amount("cold_time")) {
      fault(place(*rules, "fall_time"),
            "a cold host is warm before it could fall; expected fall_time within cold_time, " +
                duration_text(rules->amount("cold_time")),
            true);
    }
    if (rules->find("drain_grace") && rules->amount("drain_grace") < 200) {
      fault(place(*rules, "drain_grace"),
            "the grace is shorter than two looks at the clock; expected 200ms or more", true);
    }
    const char* const budget[] = {"further_tries", "further_tries_share", "further_tries_span"};
    for (const char* name : budget) {
      for (const char* other : budget) {
        if (rules->find(name) && !rules->find(other)) {
          fault(place(*rules, name), "'" + std::string(name) + "' stands without '" + other +
                                         "'; expected all three that ration further tries, or none");
        }
      }
    }
    if (rules->find("further_tries") &&
        rules->amount("further_tries") != std::floor(rules->amount("further_tries"))) {
      fault(place(*rules, "further_tries"), "'further_tries' is no whole number; expected one");
    }
    const Block* fleet = to_.find("fleet");
    if (fleet && fleet->amount("me") >= fleet->amount("nodes")) {
      fault(place(*fleet, "me"), "'me' is " + number_text(fleet->amount("me")) + " of " +
                                     number_text(fleet->amount("nodes")) + " nodes; expected 0 to " +
                                     number_text(fleet->amount("nodes") - 1));
    }
    if (fleet) {
      for (const char* name : {"me", "nodes"}) {
        if (fleet->find(name) && fleet->amount(name) != std::floor(fleet->amount(name))) {
          fault(place(*fleet, name), "'" + std::string(name) + "' is no whole number; expected one");
        }
      }
    }
  }

  Document& to_;
  fs::path root_;
  std::set<std::string> seen_;
  std::vector<std::vector<Item>> parsed_;
  std::map<std::string, Constant> constants_;
  std::vector<std::string> open_;
  std::set<std::tuple<std::string, std::string, std::string>> tried_;
  bool unread_ = false;
};

}  // namespace

const Setting* Block::find(const std::string& name) const {
  for (const Setting& one : settings) {
    if (name == one.row->name) {
      return &one;
    }
  }
  return nullptr;
}

std::optional<Value> Block::value(const std::string& name) const {
  if (const Setting* found = find(name)) {
    return found->value;
  }
  const Row* known = row_of(row->name, name);
  if (!known || !*known->without || std::string(known->without) == "-") {
    return std::nullopt;
  }
  const Parsed parsed = parse("x = " + std::string(known->without) + "\n");
  return parsed.items.empty() ? std::nullopt : parsed.items.front().value;
}
double Block::amount(const std::string& name) const {
  const auto found = value(name);
  return found ? found->amount : 0;
}
std::string Block::word(const std::string& name) const {
  const auto found = value(name);
  return found ? found->raw : "";
}

bool Document::good() const {
  return std::all_of(faults.begin(), faults.end(), [](const Fault& one) { return one.warning; });
}
const Block* Document::find(const std::string& block) const {
  for (const Block& one : blocks) {
    if (block == one.row->name) {
      return &one;
    }
  }
  return nullptr;
}
std::vector<const Block*> Document::all(const std::string& block) const {
  std::vector<const Block*> out;
  for (const Block& one : blocks) {
    if (block == one.row->name) {
      out.push_back(&one);
    }
  }
  return out;
}

Document load(const std::string& path, Use use) {
  Document out;
  out.use = use;
  Loader(out).read(path);
  return out;
}

Document load_text(const std::string& text, const std::string& name, Use use) {
  Document out;
  out.use = use;
  Loader(out).read_text(text, name);
  return out;
}

std::string told(const Document& document, const Fault& fault, bool with_line) {
  const auto file = static_cast<std::size_t>(fault.place.file);
  std::string out = (file < document.files.size() ? document.files[file] : "?") + ":" +
                    std::to_string(fault.place.line) + ":" + std::to_string(fault.place.column) + ": " +
                    (fault.warning ? "warning: " : "") + fault.what;
  if (!with_line || file >= document.texts.size() || fault.place.line == 0) {
    return out;
  }
  std::istringstream in(document.texts[file]);
  std::string line;
  for (std::uint32_t i = 0; i < fault.place.line && std::getline(in, line); ++i) {
  }
  while (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  std::size_t from = 0;
  std::size_t at = fault.place.column > 0 ? fault.place.column - 1 : 0;
  at = std::min(at, line.size());
  if (at > 80) {
    from = at - 60;  // a line without end is shown around the fault
  }
  std::string caret;
  for (std::size_t i = from; i < at; ++i) {
    if (line[i] == '\t') {
      caret += '\t';
    } else if ((static_cast<unsigned char>(line[i]) & 0xC0) != 0x80) {
      caret += ' ';
    }
  }
  return out + "\n    " + line.substr(from, 120) + "\n    " + caret + "^";
}

std::vector<Clash> together(const std::vector<Document>& documents, double machine_descriptors,
                            double machine_memory) {
  std::vector<Clash> out;
  std::map<std::string, std::size_t> listens;
  std::map<std::string, std::size_t> names;
  double descriptors = 0;
  double memory = 0;
  const auto other = [&](std::size_t i, const Block& block, const char* name) {
    const Setting* found = block.find(name);
    return documents[i].files.front() + ":" + std::to_string(found ? found->place.line : block.place.line);
  };
  for (std::size_t i = 0; i < documents.size(); ++i) {
    const Block* sidecar = documents[i].find("sidecar");
    if (!sidecar) {
      continue;
    }
    if (const auto [at, fresh] = names.try_emplace(sidecar->label, i); !fresh) {
      out.push_back({i,
                     {sidecar->place, "the name '" + sidecar->label + "' is " +
                                          other(at->second, *documents[at->second].find("sidecar"), "") +
                                          "'s already; expected one for each sidecar"}});
    }
    if (const Setting* listen = sidecar->find("listen")) {
      const std::string port = listen->value.raw.substr(listen->value.raw.rfind(':'));
      for (const auto& [where, who] : listens) {
        if (where.substr(where.rfind(':')) != port) {
          continue;
        }
        const bool any = where.starts_with("0.0.0.0:") || listen->value.raw.starts_with("0.0.0.0:");
        if (where != listen->value.raw && !any) {
          continue;
        }
        out.push_back({i,
                       {listen->value.place, "the address " + listen->value.raw + " is claimed at " +
                                                 other(who, *documents[who].find("sidecar"), "listen") +
                                                 " already; expected a port of its own"}});
        break;
      }
      listens.try_emplace(listen->value.raw, i);
    }
    Block plain;
    plain.row = block_of("limits");
    const Block* limits = documents[i].find("limits");
    descriptors += (limits ? *limits : plain).amount("descriptors");
    memory += (limits ? *limits : plain).amount("memory");
  }
  if (machine_descriptors > 0 && descriptors > machine_descriptors) {
    out.push_back({0,
                   {{0, 1, 1},
                    "all sidecars together may hold " + number_text(descriptors) +
                        " descriptors, the machine " + number_text(machine_descriptors) + "; expected less",
                    true}});
  }
  if (machine_memory > 0 && memory > machine_memory) {
    out.push_back({0,
                   {{0, 1, 1},
                    "all sidecars together may use " + size_text(memory) + ", the machine has " +
                        number_text(std::floor(machine_memory / 1048576)) + "MiB; expected less",
                    true}});
  }
  return out;
}

}  // namespace dapplewharf::config
