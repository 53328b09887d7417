// Parses the configuration language with PEGTL: the grammar, the messages for what does not match, and the
// actions that build the tree. See config/language.h; docs/configuration.md describes the language.
#include "config/language.h"

#include <tao/pegtl.hpp>
#include <utility>

namespace dapplewharf::config {
namespace {

namespace pegtl = tao::pegtl;

// The grammar. docs/configuration.md has the same rules in EBNF.

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

/// What the parser has read so far.
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
    list.reset();
    values.clear();
    return out;
  }
  Item& add(Item::Kind kind, Place place, std::string name) {
    Item& made = open.back().emplace_back();
    made.kind = kind;
    made.place = place;
    made.name = std::move(name);
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
    if (!scalar.error.empty()) {
      throw pegtl::parse_error(scalar.error, in);
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
    state.statement = in.string();
    state.statement_place = place_of(in, state);
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
    // Without a limit, a file of nothing but opening braces would exhaust the stack.
    if (state.begun.size() >= static_cast<std::size_t>(kMaxBlockDepth)) {
      throw pegtl::parse_error("blocks stand too deep within each other; expected " +
                                   std::to_string(kMaxBlockDepth) + " at the most",
                               in);
    }
    Item made;
    made.kind = Item::Kind::block;
    made.place = state.statement_place;
    made.name = state.statement;
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

constexpr std::size_t kInvalidLead = 4;

/// How many bytes follow the first byte of a UTF-8 character; kInvalidLead where none can start with it.
std::size_t continuation_bytes(unsigned char lead) {
  if (lead < 0x80) {
    return 0;
  }
  if (lead >= 0xC2 && lead < 0xE0) {
    return 1;
  }
  if (lead >= 0xE0 && lead < 0xF0) {
    return 2;
  }
  return lead >= 0xF0 && lead < 0xF5 ? 3 : kInvalidLead;
}

/// Whether the text is UTF-8; `at` becomes the offset of the first byte that is not.
bool is_utf8(std::string_view text, std::size_t& at) {
  for (at = 0; at < text.size();) {
    const auto lead = static_cast<unsigned char>(text[at]);
    const std::size_t more = continuation_bytes(lead);
    if (more == kInvalidLead || at + more >= text.size() + (more == 0)) {
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
    if (text[i] == '\n') {
      ++out.line;
      out.column = 1;
    } else {
      ++out.column;
    }
  }
  return out;
}

/// Why the bytes cannot be a configuration file, whatever they say.
std::optional<Diagnostic> encoding_error(std::string_view text, int file_number) {
  if (text.size() > kMaxFileBytes) {
    return Diagnostic{{file_number, 1, 1},
                      "the file holds " + std::to_string(text.size()) + " bytes; expected " +
                          std::to_string(kMaxFileBytes) + " at the most"};
  }
  if (const std::size_t nul = text.find('\0'); nul != std::string_view::npos) {
    return Diagnostic{place_at(text, nul, file_number), "a NUL byte stands here; expected text"};
  }
  if (std::size_t at = 0; !is_utf8(text, at)) {
    return Diagnostic{place_at(text, at, file_number), "this is no UTF-8; expected text"};
  }
  return std::nullopt;
}

}  // namespace

Parsed parse(std::string_view text, int file_number) {
  constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
  if (text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  Parsed out;
  out.error = encoding_error(text, file_number);
  if (out.error) {
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
    out.error = {{file_number, static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column)},
                 std::string(error.message())};
  }
  return out;
}

}  // namespace dapplewharf::config
