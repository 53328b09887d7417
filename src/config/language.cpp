#include "config/language.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tao/pegtl.hpp>

namespace dapplewharf::config {
namespace {

namespace pegtl = tao::pegtl;

constexpr double kStepMs = 0.1;  // the clock's
constexpr double kLongestMs = 365.0 * 86400 * 1000;
constexpr std::size_t kWidest = 100;  // columns, before a list is broken

// --- the grammar: docs/configuration.md has the same rules in EBNF ---

struct comment : pegtl::seq<pegtl::one<'#'>, pegtl::star<pegtl::not_one<'\n', '\r'>>> {};
struct blank : pegtl::one<' ', '\t', '\r'> {};
struct newline : pegtl::one<'\n'> {};
struct gap : pegtl::seq<newline, pegtl::star<blank>, pegtl::at<newline>> {};
struct name : pegtl::seq<pegtl::sor<pegtl::alpha, pegtl::one<'_'>>,
                         pegtl::star<pegtl::sor<pegtl::alnum, pegtl::one<'_', '-'>>>> {};
struct escape : pegtl::seq<pegtl::one<'\\'>, pegtl::one<'"', '\\'>> {};
struct text_end : pegtl::one<'"'> {};
struct text_bytes : pegtl::star<pegtl::sor<escape, pegtl::not_one<'"', '\\', '\n', '\r', '\0'>>> {};
struct text : pegtl::seq<pegtl::one<'"'>, text_bytes, pegtl::must<text_end>> {};
struct reference : pegtl::seq<pegtl::one<'$'>, pegtl::must<name>> {};
struct bare
    : pegtl::plus<
          pegtl::not_one<' ', '\t', '\r', '\n', '{', '}', '[', ']', ',', ';', '#', '=', '"', '$', '\0'>> {};
struct list_note : comment {};
struct list_blank : pegtl::star<pegtl::sor<pegtl::one<' ', '\t', '\r', '\n'>, list_note>> {};
struct list_end : pegtl::one<']'> {};
struct list_begin : pegtl::one<'['> {};
struct scalar : pegtl::sor<text, reference, bare> {};
struct item_end : pegtl::sor<pegtl::seq<pegtl::one<','>, list_blank>, pegtl::at<list_end>> {};
struct list_items
    : pegtl::star<pegtl::not_at<list_end>, pegtl::must<scalar>, list_blank, pegtl::must<item_end>> {};
struct list : pegtl::seq<list_begin, list_blank, list_items, pegtl::must<list_end>> {};
struct value : pegtl::sor<list, scalar> {};
struct blanks : pegtl::star<blank> {};
struct note : comment {};
struct ends : pegtl::at<pegtl::sor<newline, pegtl::one<'}'>, pegtl::eof>> {};
struct semicolon_tail : pegtl::seq<pegtl::one<';'>, blanks, pegtl::opt<note>> {};
struct line_tail : pegtl::seq<pegtl::opt<note>, blanks, pegtl::must<ends>> {};
struct item_tail : pegtl::seq<blanks, pegtl::sor<semicolon_tail, line_tail>> {};
struct keyword_end : pegtl::not_at<pegtl::sor<pegtl::alnum, pegtl::one<'_', '-'>>> {};
struct include_word : pegtl::seq<pegtl::string<'i', 'n', 'c', 'l', 'u', 'd', 'e'>, keyword_end, blanks,
                                 pegtl::at<pegtl::one<'"'>>> {};
struct include : pegtl::seq<include_word, pegtl::must<text>, item_tail> {};
struct const_word
    : pegtl::seq<pegtl::string<'c', 'o', 'n', 's', 't'>, keyword_end, pegtl::plus<blank>, pegtl::at<name>> {};
struct constant_name : name {};
struct assign : pegtl::one<'='> {};
struct constant : pegtl::seq<const_word, constant_name, blanks, pegtl::must<assign>, blanks,
                             pegtl::must<value>, item_tail> {};
struct block_begin : pegtl::one<'{'> {};
struct block_end : pegtl::one<'}'> {};
struct statement_name : name {};
struct label : text {};
struct open_note : pegtl::seq<blanks, pegtl::opt<note>> {};
struct statements;
struct block_tail : pegtl::seq<blanks, pegtl::opt<pegtl::one<';'>, blanks>, pegtl::opt<note>> {};
struct block : pegtl::seq<block_begin, open_note, statements, pegtl::must<block_end>, block_tail> {};
struct setting : pegtl::seq<assign, blanks, pegtl::must<value>, item_tail> {};
struct block_or_setting : pegtl::sor<setting, pegtl::seq<pegtl::opt<label, blanks>, block>> {};
struct statement : pegtl::seq<statement_name, blanks, pegtl::must<block_or_setting>> {};
struct line_comment : comment {};
struct statements
    : pegtl::star<
          pegtl::sor<gap, newline, blank, pegtl::one<';'>, line_comment, include, constant, statement>> {};
struct file : pegtl::seq<statements, pegtl::must<pegtl::eof>> {};

template <class Rule>
constexpr const char* expected = nullptr;
template <>
constexpr const char* expected<text_end> = "a text has no end on its line; expected \"";
template <>
constexpr const char* expected<name> = "no name stands behind $; expected a constant's";
template <>
constexpr const char* expected<scalar> = "no value stands here; expected one";
template <>
constexpr const char* expected<value> = "no value stands here; expected one";
template <>
constexpr const char* expected<item_end> = "a list goes on without a comma; expected , or ]";
template <>
constexpr const char* expected<list_end> = "a list has no end; expected ]";
template <>
constexpr const char* expected<ends> = "more stands behind a value; expected the end of the line or ;";
template <>
constexpr const char* expected<text> = "an include names no file; expected a text in quotes";
template <>
constexpr const char* expected<assign> = "a constant is not set; expected =";
template <>
constexpr const char* expected<block_end> =
    "a block has no end, or what stands here is no setting; expected } or NAME = VALUE";
template <>
constexpr const char* expected<block_or_setting> =
    "a name stands alone; expected = and a value, or a block in { }";
template <>
constexpr const char* expected<pegtl::eof> =
    "this is no setting; expected NAME = VALUE, NAME { } or include \"FILE\"";

struct State {
  int file = 0;
  std::vector<std::vector<Item>> open{{}};  // the blocks that are open, the file outermost
  std::vector<Item> begun;                  // blocks, whose items come into `open`
  std::string statement;
  Place statement_place;
  std::optional<Value> label;
  std::vector<Value> values;  // scalars since the last item
  std::optional<Value> list;
  std::string note;  // behind the item that is being read

  Value value() {
    Value out = list ? std::move(*list) : std::move(values.back());
    list.reset(), values.clear();
    return out;
  }
  Item& add(Item::Kind kind, Place place, std::string name) {
    Item& made = open.back().emplace_back();
    made.kind = kind, made.place = place, made.name = std::move(name);
    return made;
  }
};

// Names what was expected where a rule that must match does not.
template <class Rule>
struct control : pegtl::normal<Rule> {
  template <class Input, class... States>
  [[noreturn]] static void raise(const Input& in, States&&...) {
    if constexpr (expected<Rule> != nullptr) {
      throw pegtl::parse_error(expected<Rule>, in);
    } else {
      throw pegtl::parse_error("this cannot be read; expected a setting", in);
    }
  }
};

template <class Input>
Place place_of(const Input& in, const State& state) {
  const auto at = in.position();
  return {state.file, static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column)};
}

template <class Input>
Value value_of(const Input& in, const State& state, Type type, std::string raw) {
  Value out;
  out.type = type;
  out.place = place_of(in, state);
  out.begin = in.position().byte;
  out.end = out.begin + in.size();
  out.raw = std::move(raw);
  return out;
}

std::string unquoted(std::string_view quoted_text) {
  std::string out;
  for (std::size_t i = 1; i + 1 < quoted_text.size(); ++i) {
    if (quoted_text[i] == '\\') {
      ++i;
    }
    out += quoted_text[i];
  }
  return out;
}

template <class Rule>
struct action : pegtl::nothing<Rule> {};

template <>
struct action<text> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.values.push_back(value_of(in, state, Type::text, unquoted(in.string_view())));
  }
};
template <>
struct action<reference> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.values.push_back(value_of(in, state, Type::reference, in.string().substr(1)));
  }
};
template <>
struct action<bare> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    const Scalar scalar = scalar_of(in.string_view());
    if (!scalar.fault.empty()) {
      throw pegtl::parse_error(scalar.fault, in);
    }
    state.values.push_back(value_of(in, state, scalar.type, in.string()));
    state.values.back().amount = scalar.amount;
  }
};
template <>
struct action<list_begin> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.list = value_of(in, state, Type::list, "");
    state.values.clear();
  }
};
template <>
struct action<list_note> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    auto& notes = state.list->notes;
    notes.resize(state.values.size() + 1);
    notes.back() += (notes.back().empty() ? "" : "\n") + in.string();
  }
};
template <>
struct action<list> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.list->items = std::move(state.values);
    state.list->notes.resize(state.list->items.size() + 1);
    state.list->end = state.list->begin + in.size();
    state.values.clear();
  }
};
template <>
struct action<line_comment> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.add(Item::Kind::comment, place_of(in, state), in.string());
  }
};
template <>
struct action<gap> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    const auto& items = state.open.back();
    if (!items.empty() && items.back().kind != Item::Kind::gap) {
      state.add(Item::Kind::gap, place_of(in, state), "");
    }
  }
};
template <>
struct action<note> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    // Behind an opening brace there is no item yet to hang it on; it becomes the block's first line.
    if (state.values.empty() && !state.list) {
      if (!state.open.back().empty() && state.open.back().back().kind == Item::Kind::block) {
        state.open.back().back().note = in.string();
      } else {
        state.add(Item::Kind::comment, place_of(in, state), in.string());
      }
      return;
    }
    state.note = in.string();
  }
};
template <>
struct action<constant_name> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.statement = in.string(), state.statement_place = place_of(in, state);
  }
};
template <>
struct action<statement_name> : action<constant_name> {};

inline void finish_item(State& state, Item::Kind kind, Place place, std::string name) {
  Item& made = state.add(kind, place, std::move(name));
  made.value = state.value();
  made.note = std::exchange(state.note, "");
}
template <>
struct action<include> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    finish_item(state, Item::Kind::include, place_of(in, state), "include");
  }
};
template <>
struct action<constant> {
  template <class Input>
  static void apply(const Input&, State& state) {
    finish_item(state, Item::Kind::constant, state.statement_place, state.statement);
  }
};
template <>
struct action<setting> {
  template <class Input>
  static void apply(const Input&, State& state) {
    finish_item(state, Item::Kind::setting, state.statement_place, state.statement);
  }
};
template <>
struct action<label> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    state.label = value_of(in, state, Type::text, unquoted(in.string_view()));
    state.values.clear();
  }
};
template <>
struct action<block_begin> {
  template <class Input>
  static void apply(const Input& in, State& state) {
    // Danger: a file of nothing but braces would exhaust the stack.
    if (state.begun.size() >= static_cast<std::size_t>(kDeepest)) {
      throw pegtl::parse_error(
          "blocks stand too deep within each other; expected " + std::to_string(kDeepest) + " at the most",
          in);
    }
    Item made;
    made.kind = Item::Kind::block, made.place = state.statement_place, made.name = state.statement;
    made.value = std::exchange(state.label, std::nullopt);
    state.begun.push_back(std::move(made));
    state.open.emplace_back();
    state.values.clear();
  }
};
template <>
struct action<block_end> {
  template <class Input>
  static void apply(const Input&, State& state) {
    state.begun.back().items = std::move(state.open.back());
    state.open.pop_back();
    state.open.back().push_back(std::move(state.begun.back()));
    state.begun.pop_back();
  }
};

struct Unit {
  const char* name;
  Type type;
  double factor;
};
constexpr Unit kUnits[] = {{"ms", Type::duration, 1},      {"s", Type::duration, 1000},
                           {"min", Type::duration, 60000}, {"h", Type::duration, 3600000},
                           {"B", Type::size, 1},           {"KiB", Type::size, 1024},
                           {"MiB", Type::size, 1048576},   {"GiB", Type::size, 1073741824.0},
                           {"%", Type::share, 0.01},       {"/s", Type::rate, 1},
                           {"", Type::number, 1}};

bool is_address(std::string_view raw) {
  const std::size_t colon = raw.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  return raw.substr(0, colon).find_first_not_of("0123456789.") == std::string_view::npos;
}
std::string address_fault(std::string_view raw) {
  const std::size_t colon = raw.find(':');
  const std::string_view host = raw.substr(0, colon);
  const std::string_view port = raw.substr(colon + 1);
  int parts = 0;
  for (std::size_t at = 0; at <= host.size(); ++parts) {
    const std::size_t dot = std::min(host.find('.', at), host.size());
    unsigned part = 256;
    const auto [end, fault] = std::from_chars(host.data() + at, host.data() + dot, part);
    if (fault != std::errc() || end != host.data() + dot || part > 255) {
      return "no address; expected a.b.c.d:port";
    }
    at = dot + 1;
  }
  unsigned number = 0;
  const auto [end, fault] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (parts != 4 || fault != std::errc() || end != port.data() + port.size() || number == 0 ||
      number > 65535) {
    return "no address; expected a.b.c.d:port with a port from 1 to 65535";
  }
  return "";
}

void write(std::string& out, const std::vector<Item>& items, int depth);

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
  std::string line = "[";
  bool notes = false;
  for (std::size_t i = 0; i < value.items.size(); ++i) {
    line += (i ? ", " : "") + value_text(value.items[i], 0, 0);
  }
  line += "]";
  for (const std::string& one : value.notes) {
    notes = notes || !one.empty();
  }
  if (!notes && line.size() + used <= kWidest) {
    return line;
  }
  const std::string indent(static_cast<std::size_t>(2 * depth + 2), ' ');
  std::string out = "[\n";
  const auto put_notes = [&](const std::string& text) {
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t end = std::min(text.find('\n', at), text.size());
      out += indent + text.substr(at, end - at) + "\n";
      at = end + 1;
    }
  };
  for (std::size_t i = 0; i < value.items.size(); ++i) {
    if (i < value.notes.size()) {
      put_notes(value.notes[i]);
    }
    out += indent + value_text(value.items[i], 0, 0) + ",\n";
  }
  if (!value.notes.empty() && value.notes.size() > value.items.size()) {
    put_notes(value.notes.back());
  }
  return out + std::string(static_cast<std::size_t>(2 * depth), ' ') + "]";
}

void write(std::string& out, const std::vector<Item>& items, int depth) {
  const std::string indent(static_cast<std::size_t>(2 * depth), ' ');
  for (std::size_t i = 0; i < items.size(); ++i) {
    const Item& item = items[i];
    const std::string note = item.note.empty() ? "" : "  " + item.note;
    switch (item.kind) {
      case Item::Kind::comment:
        out += indent + item.name + "\n";
        break;
      case Item::Kind::gap:
        if (i + 1 < items.size()) {
          out += "\n";
        }
        break;
      case Item::Kind::include:
        out += indent + "include " + value_text(*item.value, depth, 0) + note + "\n";
        break;
      case Item::Kind::constant:
      case Item::Kind::setting: {
        const std::string head =
            indent + (item.kind == Item::Kind::constant ? "const " : "") + item.name + " = ";
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
}

bool utf8(std::string_view text, std::size_t& at) {
  for (at = 0; at < text.size();) {
    const auto lead = static_cast<unsigned char>(text[at]);
    const std::size_t more = lead < 0x80                   ? 0
                             : lead >= 0xC2 && lead < 0xE0 ? 1
                             : lead >= 0xE0 && lead < 0xF0 ? 2
                             : lead >= 0xF0 && lead < 0xF5 ? 3
                                                           : 4;
    if (more == 4 || at + more >= text.size() + (more == 0)) {
      return false;
    }
    for (std::size_t i = 1; i <= more; ++i) {
      if ((static_cast<unsigned char>(text[at + i]) & 0xC0) != 0x80) {
        return false;
      }
    }
    at += more + 1;
  }
  return true;
}

Place place_at(std::string_view text, std::size_t at, int file) {
  Place out{file, 1, 1};
  for (std::size_t i = 0; i < at && i < text.size(); ++i) {
    text[i] == '\n' ? (++out.line, out.column = 1) : ++out.column;
  }
  return out;
}

}  // namespace

const char* name_of(Type type) {
  switch (type) {
    case Type::text:
      return "a text in quotes";
    case Type::word:
      return "a word";
    case Type::number:
      return "a number";
    case Type::duration:
      return "a duration such as 800ms or 3.2s";
    case Type::size:
      return "a size such as 256B or 4KiB";
    case Type::share:
      return "a share such as 26%";
    case Type::rate:
      return "a rate such as 40/s";
    case Type::address:
      return "an address such as 127.0.0.1:8000";
    case Type::flag:
      return "on or off";
    case Type::list:
      return "a list in [ ]";
    case Type::reference:
      return "a constant";
  }
  return "";
}

Scalar scalar_of(std::string_view raw) {
  if (raw == "on" || raw == "off") {
    return {Type::flag, raw == "on" ? 1.0 : 0.0, ""};
  }
  const bool figure =
      !raw.empty() && (raw[0] == '-' || raw[0] == '+' || raw[0] == '.' || (raw[0] >= '0' && raw[0] <= '9'));
  const std::string text(raw);
  if (!figure) {
    for (const char letter : raw) {
      if (!(std::isalnum(static_cast<unsigned char>(letter)) || letter == '_' || letter == '-' ||
            letter == '.')) {
        return {Type::word, 0,
                "'" + text + "' is no word; expected letters, digits, _ and -, or a text in quotes"};
      }
    }
    return {Type::word, 0, ""};
  }
  if (is_address(raw)) {
    const std::string fault = address_fault(raw);
    return {Type::address, 0, fault.empty() ? "" : "'" + text + "' is " + fault};
  }
  double amount = 0;
  const auto [end, fault] =
      std::from_chars(raw.data(), raw.data() + raw.size(), amount, std::chars_format::fixed);
  if (fault == std::errc::result_out_of_range || (fault == std::errc() && !std::isfinite(amount))) {
    return {Type::number, 0, "'" + text + "' is beyond all numbers; expected a smaller one"};
  }
  if (fault != std::errc()) {
    return {Type::number, 0, "'" + text + "' is no number; expected digits, and a unit where one is needed"};
  }
  const std::string_view unit = raw.substr(static_cast<std::size_t>(end - raw.data()));
  for (const Unit& one : kUnits) {
    if (unit != one.name) {
      continue;
    }
    const double value = amount * one.factor;
    if (one.type == Type::duration) {
      if (std::signbit(amount)) {
        return {one.type, 0, "'" + text + "' is below nothing; expected a duration from 0ms"};
      }
      if (value > kLongestMs) {
        return {one.type, 0, "'" + text + "' is over a year; expected less"};
      }
      const double steps = value / kStepMs;
      if (std::abs(steps - std::round(steps)) > 1e-6 || (value > 0 && value < kStepMs)) {
        return {one.type, 0, "'" + text + "' is finer than the clock; expected whole steps of 0.1ms"};
      }
    }
    if (one.type != Type::duration && one.type != Type::number && std::signbit(amount)) {
      return {one.type, 0, "'" + text + "' is below nothing; expected " + name_of(one.type)};
    }
    if (!std::isfinite(value) || std::abs(value) > 1e15) {
      return {one.type, 0, "'" + text + "' is beyond all bounds; expected a smaller one"};
    }
    if (one.type == Type::size && value != std::floor(value)) {
      return {one.type, 0, "'" + text + "' is no whole number of bytes; expected one"};
    }
    return {one.type, value, ""};
  }
  return {Type::number, 0,
          "'" + text + "' has an unknown unit '" + std::string(unit) +
              "'; expected ms, s, min, h, B, KiB, MiB, GiB, % or /s"};
}

Parsed parse(std::string_view text, int file_number) {
  Parsed out;
  if (text.starts_with("\xEF\xBB\xBF")) {
    text.remove_prefix(3);  // a BOM says nothing here
  }
  if (text.size() > kLargestFile) {
    out.fault = {{file_number, 1, 1},
                 "the file holds " + std::to_string(text.size()) + " bytes; expected " +
                     std::to_string(kLargestFile) + " at the most"};
    return out;
  }
  if (const std::size_t nul = text.find('\0'); nul != std::string_view::npos) {
    out.fault = {place_at(text, nul, file_number), "a NUL byte stands here; expected text"};
    return out;
  }
  if (std::size_t at = 0; !utf8(text, at)) {
    out.fault = {place_at(text, at, file_number), "this is no UTF-8; expected text"};
    return out;
  }
  State state;
  state.file = file_number;
  pegtl::memory_input<> in(text.data(), text.size(), "");
  try {
    pegtl::parse<file, action, control>(in, state);
    out.items = std::move(state.open.front());
  } catch (const pegtl::parse_error& error) {
    const auto& at = error.positions().front();
    out.fault = {{file_number, static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column)},
                 std::string(error.message())};
  }
  return out;
}

std::string format(const std::vector<Item>& items) {
  std::string out;
  write(out, items, 0);
  return out;
}

std::string number_text(double number) {
  char text[40];
  const auto [end, fault] = std::to_chars(text, text + sizeof text, number, std::chars_format::fixed);
  return fault == std::errc() ? std::string(text, end) : "0";
}

std::string duration_text(double ms) {
  if (ms >= 1000 && std::fmod(ms, 100) == 0) {
    return number_text(std::round(ms / 100) / 10) + "s";
  }
  return number_text(std::round(ms * 10) / 10) + "ms";
}

std::string size_text(double bytes) {
  for (const auto& [name, factor] :
       {std::pair("GiB", 1073741824.0), std::pair("MiB", 1048576.0), std::pair("KiB", 1024.0)}) {
    if (bytes >= factor && std::fmod(bytes, factor) == 0) {
      return number_text(bytes / factor) + name;
    }
  }
  return number_text(bytes) + "B";
}

std::string in_quotes(std::string_view text) {
  std::string out = "\"";
  for (const char letter : text) {
    out += (letter == '"' || letter == '\\' ? "\\" : "") + std::string(1, letter);
  }
  return out + "\"";
}

}  // namespace dapplewharf::config
