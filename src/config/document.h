// A configuration as a whole: its files with what they include, constants put in, every setting held against
// the schema and all of it against itself. Owns reading and judging; reports all faults in one go, each with
// its place. Never changes a file.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/schema.h"

namespace dapplewharf::config {

struct Setting {
  const Row* row = nullptr;
  Place place;
  Value value;  // with constants put in
};

struct Block {
  const BlockRow* row = nullptr;
  Place place;
  std::string label;
  std::vector<Setting> settings;

  const Setting* find(const std::string& name) const;
  // What holds, written or not; nothing where nothing does.
  std::optional<Value> value(const std::string& name) const;
  double amount(const std::string& name) const;     // 0 where nothing holds
  std::string word(const std::string& name) const;  // "" where nothing holds
};

enum class Use {
  sidecar,
  operators
};  // a whole configuration, or the operators' own file beside the platform's

struct Document {
  Use use = Use::sidecar;
  std::vector<std::string> files, texts;  // as named, as read
  std::vector<Block> blocks;
  std::vector<Fault> faults;  // errors and warnings, by place

  bool good() const;  // no errors
  const Block* find(const std::string& block) const;
  std::vector<const Block*> all(const std::string& block) const;
};

Document load(const std::string& path, Use use = Use::sidecar);
Document load_text(const std::string& text, const std::string& name,
                   Use use = Use::sidecar);  // without includes

// FILE:LINE:COLUMN: what; then, where it has them, the line and a caret.
std::string told(const Document& document, const Fault& fault, bool with_line);

// All sidecars of one machine together: faults that none has alone. Places are in the document named by
// `document`.
struct Clash {
  std::size_t document = 0;
  Fault fault;
};
std::vector<Clash> together(const std::vector<Document>& documents, double machine_descriptors,
                            double machine_memory);

}  // namespace dapplewharf::config
