// The one table of all settings: what a block may hold, of which type, within which bounds, what a node does
// without it, where it lies in the node's JSON and whether a reload takes it. The checker, `explain`, the
// reference page, completion, rendering and importing all read this table and nothing else.
#pragma once
#include <string>
#include <vector>

#include "config/language.h"

namespace dapplewharf::config {

struct Row {
  const char* block;
  const char* name;
  Type type;
  double least, most;   // of amounts as Value has them; both 0: any
  const char* words;    // allowed, with blanks between; "": any
  const char* without;  // what holds without it, in the language; "": it is needed; "-": nothing
  const char* since;
  bool reload;       // a reload takes it
  const char* json;  // in the node's configuration, below the block's place; "": not rendered
  const char* help;
};

struct BlockRow {
  const char* name;
  bool labelled, repeated, needed,
      operators;     // operators: stands in the operators' own file beside the platform's JSON
  const char* json;  // "": at the top; "[]" at its end: one entry a block
  const char* help;
};

const std::vector<Row>& rows();
const std::vector<BlockRow>& blocks();
const Row* row_of(const std::string& block, const std::string& name);
const BlockRow* block_of(const std::string& name);
std::vector<std::string> words_of(const Row& row);

// The nearest name of those given, or nothing if none is near.
std::string nearest(const std::string& name, const std::vector<std::string>& of);

std::string reference();  // the table as Markdown
std::string explain(
    const std::string& name);  // a setting's or a block's row in words; empty if there is none such
std::string canonical(const Value& value);  // the same for all ways to write one value

}  // namespace dapplewharf::config
