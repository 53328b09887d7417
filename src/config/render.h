// Between the language and the JSON that the node reads: by the schema's table both ways. Owns nothing; reads
// no files.
#pragma once
#include <nlohmann/json.hpp>

#include "config/document.h"

namespace dapplewharf::config {

nlohmann::json render(const Document& document);  // of a good one

struct Imported {
  std::string text;                   // in the language, formatted
  std::vector<std::string> left_out;  // places in the JSON that the language has no setting for
  std::string error;                  // why nothing could be made of it
};
Imported import(const nlohmann::json& from);

// What a document takes that the platform's own configuration, as JSON, does not grant.
std::vector<Diagnostic> beyond(const Document& document, const nlohmann::json& platform);

// What two good documents mean differently.
struct Difference {
  std::string name, before, after;  // "" where there is none
  bool reload = true;               // whether a reload takes it
};
std::vector<Difference> differences(const Document& before, const Document& after);

}  // namespace dapplewharf::config
