// The constants of a configuration (const NAME = VALUE) and their substitution. Owns their values; a constant
// may refer to others in any order, but not to itself.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/diagnostic_sink.h"

namespace dapplewharf::config {

class ConstantTable {
 public:
  ConstantTable(const Document& document, DiagnosticSink& diagnostics)
      : document_(document), diagnostics_(diagnostics) {}

  /// Adds a constant. The item must outlive this table.
  void define(const Item& item);
  /// Works out the values of all constants.
  void resolve_all();
  /// Replaces references in the value; its place stays that of the reference.
  /// @return false if a reference cannot be resolved.
  bool substitute(Value& value);
  /// Warns of constants that were never referred to.
  void report_unused();

 private:
  struct Constant {
    const Item* item;
    enum class State { unresolved, resolving, resolved } state = State::unresolved;
    Value value;
    bool used = false;
  };
  bool resolve(const std::string& name, Constant& constant);
  void report_unknown(const Value& reference);

  const Document& document_;
  DiagnosticSink& diagnostics_;
  std::map<std::string, Constant> constants_;
  std::vector<std::string> resolving_;  // each refers to the next
};

}  // namespace dapplewharf::config
