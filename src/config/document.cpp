// Reads and checks a configuration step by step, and prints its diagnostics; see config/document.h.
#include "config/document.h"

#include <algorithm>
#include <sstream>
#include <tuple>

#include "config/consistency_checks.h"
#include "config/constants.h"
#include "config/diagnostic_sink.h"
#include "config/schema_checks.h"
#include "config/source_reader.h"

namespace dapplewharf::config {
namespace {

constexpr std::size_t kShownColumns = 120;   // of a line, below its diagnostic
constexpr std::size_t kMaxCaretColumn = 80;  // a caret further right is shown ...
constexpr std::size_t kColumnsBefore = 60;   // ... after so many columns of its line

/// Checks parsed files in the order constants, schema, consistency, and fills in the document's blocks.
void check(Document& document, const ParsedSources& sources, DiagnosticSink& diagnostics) {
  ConstantTable constants(document, diagnostics);
  for (const std::vector<Item>& items : sources.files) {
    for (const Item& item : items) {
      if (item.kind == Item::Kind::constant) {
        constants.define(item);
      }
    }
  }
  constants.resolve_all();
  SchemaChecker schema(document, constants, diagnostics);
  for (const std::vector<Item>& items : sources.files) {
    for (const Item& item : items) {
      if (item.kind == Item::Kind::block) {
        schema.add_block(item);
      }
      if (item.kind == Item::Kind::setting) {
        schema.report_stray_setting(item);
      }
    }
  }
  // Without this condition, whatever an unreadable file would have said would be reported as missing.
  if (sources.complete) {
    check_consistency(document, diagnostics);
  }
  constants.report_unused();
  std::stable_sort(document.diagnostics.begin(), document.diagnostics.end(),
                   [](const Diagnostic& left, const Diagnostic& right) {
                     return std::tie(left.place.file, left.place.line, left.place.column) <
                            std::tie(right.place.file, right.place.line, right.place.column);
                   });
}

/// The line of a place without its end.
std::string line_at(const std::string& text, std::uint32_t number) {
  std::istringstream in(text);
  std::string line;
  for (std::uint32_t i = 0; i < number && std::getline(in, line); ++i) {
  }
  while (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  return line;
}

/// Blanks as wide as a part of a line; tabs stay.
std::string blanks_for(std::string_view part) {
  std::string blanks;
  for (const char letter : part) {
    const bool is_continuation_byte = (static_cast<unsigned char>(letter) & 0xC0) == 0x80;
    if (letter == '\t') {
      blanks += '\t';
    } else if (!is_continuation_byte) {
      blanks += ' ';
    }
  }
  return blanks;
}

}  // namespace

std::string file_and_line(const Document& document, Place place) {
  return document.files[static_cast<std::size_t>(place.file)] + ":" + std::to_string(place.line);
}

std::string suggestion(const std::string& name, const std::vector<std::string>& known) {
  const std::string near = nearest(name, known);
  return near.empty() ? "" : " (perhaps " + near + ")";
}

std::string joined(const std::vector<std::string>& words, const char* separator) {
  std::string out;
  for (const std::string& word : words) {
    out += out.empty() ? "" : separator;
    out += word;
  }
  return out;
}

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
  return std::all_of(diagnostics.begin(), diagnostics.end(),
                     [](const Diagnostic& diagnostic) { return diagnostic.warning; });
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
  Document document;
  document.use = use;
  DiagnosticSink diagnostics(document);
  check(document, SourceReader(document, diagnostics).read_file(path), diagnostics);
  return document;
}

Document load_text(const std::string& text, const std::string& name, Use use) {
  Document document;
  document.use = use;
  DiagnosticSink diagnostics(document);
  check(document, SourceReader(document, diagnostics).read_text(text, name), diagnostics);
  return document;
}

std::string format_diagnostic(const Document& document, const Diagnostic& diagnostic, bool with_line) {
  const Place place = diagnostic.place;
  const auto file = static_cast<std::size_t>(place.file);
  std::string out = (file < document.files.size() ? document.files[file] : "?") + ":" +
                    std::to_string(place.line) + ":" + std::to_string(place.column) + ": " +
                    (diagnostic.warning ? "warning: " : "") + diagnostic.what;
  if (!with_line || file >= document.texts.size() || place.line == 0) {
    return out;
  }
  const std::string line = line_at(document.texts[file], place.line);
  const std::size_t column = std::min<std::size_t>(place.column > 0 ? place.column - 1 : 0, line.size());
  const std::size_t from = column > kMaxCaretColumn ? column - kColumnsBefore : 0;
  const std::string_view before = std::string_view(line).substr(from, column - from);
  return out + "\n    " + line.substr(from, kShownColumns) + "\n    " + blanks_for(before) + "^";
}

}  // namespace dapplewharf::config
