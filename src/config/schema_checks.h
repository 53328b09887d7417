// Checks blocks and settings one by one against the schema (config/schema.h) and adds those that fit to the
// document. What they mean together is checked by config/consistency_checks.h.
#pragma once
#include <set>
#include <string>
#include <tuple>

#include "config/constants.h"
#include "config/diagnostic_sink.h"

namespace dapplewharf::config {

class SchemaChecker {
 public:
  SchemaChecker(Document& document, ConstantTable& constants, DiagnosticSink& diagnostics)
      : document_(document), constants_(constants), diagnostics_(diagnostics) {}

  /// Checks a block with its settings and adds it to the document.
  void add_block(const Item& item);
  /// Reports a setting that stands outside all blocks.
  void report_stray_setting(const Item& item);

 private:
  /// The schema's row for a block, null after an error if it may not stand here.
  const BlockRow* find_block_row(const Item& item);
  void check_label(const BlockRow& row, const Item& item);
  bool check_unique(const Block& block);
  void add_settings(Block& block, const Item& item);
  void add_setting(Block& block, const Item& item);
  void report_missing(const Block& block);
  void report_unknown_setting(const BlockRow& block, const Item& item);
  bool fits(const Row& row, const Value& value);
  bool has_type(const Row& row, const Value& value);
  bool is_known_word(const Row& row, const Value& value);
  bool is_list_of_texts(const Row& row, const Value& value);
  bool is_within_bounds(const Row& row, const Value& value);

  Document& document_;
  ConstantTable& constants_;
  DiagnosticSink& diagnostics_;
  std::set<std::tuple<std::string, std::string, std::string>> attempted_;  // block, its label, setting
};

}  // namespace dapplewharf::config
