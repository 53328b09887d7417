// Reads the files of a configuration; see config/source_reader.h.
#include "config/source_reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace dapplewharf::config {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxFiles = 256;

}  // namespace

ParsedSources SourceReader::read_file(const std::string& path) {
  const fs::path folder = fs::path(path).parent_path();
  std::error_code error;
  root_ = fs::weakly_canonical(folder.empty() ? fs::path(".") : folder, error);
  read(path, {}, nullptr);
  return std::move(sources_);
}

ParsedSources SourceReader::read_text(const std::string& text, const std::string& name) {
  document_.files.push_back(name);
  document_.texts.push_back(text);
  parse_file(text, 0);
  return std::move(sources_);
}

void SourceReader::report(const std::string& path, const Item* include, const std::string& what) {
  if (include) {
    diagnostics_.error(include->value->place, what);
    return;
  }
  if (document_.files.empty()) {
    document_.files.push_back(path);
    document_.texts.emplace_back();
  }
  diagnostics_.error({0, 0, 0}, what);
}

std::string SourceReader::inclusion_error(const std::string& path, const fs::path& real,
                                          const std::vector<std::string>& including) const {
  std::error_code error;
  if (!fs::exists(real, error)) {
    return "there is no file '" + path + "'; expected one that can be read";
  }
  if (fs::is_directory(real, error)) {
    return "'" + path + "' is a folder; expected a file";
  }
  const fs::path inside = real.lexically_relative(root_);
  if (inside.empty() || *inside.begin() == "..") {
    return "'" + path + "' lies outside the folder of the configuration; expected a file below it";
  }
  const auto cycle = std::find(including.begin(), including.end(), real.string());
  if (cycle != including.end()) {
    std::string names;
    for (auto file = cycle; file != including.end(); ++file) {
      names += fs::path(*file).lexically_relative(root_).string() + " -> ";
    }
    return "files include each other: " + names + inside.string() + "; expected no cycle";
  }
  if (seen_.count(real.string())) {
    return "";
  }
  if (seen_.size() >= kMaxFiles) {
    return "more than " + std::to_string(kMaxFiles) + " files are included; expected fewer";
  }
  if (const std::uintmax_t bytes = fs::file_size(real, error); bytes > kMaxFileBytes && !error) {
    return "'" + path + "' holds " + std::to_string(bytes) + " bytes; expected " +
           std::to_string(kMaxFileBytes) + " at the most";
  }
  return "";
}

void SourceReader::read(const std::string& path, std::vector<std::string> including, const Item* include) {
  std::error_code error;
  const fs::path real = fs::weakly_canonical(path, error);
  if (const std::string what = inclusion_error(path, real, including); !what.empty()) {
    report(path, include, what);
    return;
  }
  if (seen_.count(real.string())) {
    return;
  }
  std::ifstream in(real, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) {
    report(path, include, "'" + path + "' cannot be read; expected a file that can");
    return;
  }
  seen_.insert(real.string());
  including.push_back(real.string());
  const int number = static_cast<int>(document_.files.size());
  document_.files.push_back(path);
  document_.texts.push_back(text.str());
  parse_file(document_.texts.back(), number);
  follow_includes(path, including);
}

void SourceReader::follow_includes(const std::string& path, const std::vector<std::string>& including) {
  const std::vector<Item> items = sources_.files.back();
  for (const Item& item : items) {
    if (item.kind != Item::Kind::include) {
      continue;
    }
    const std::string& target = item.value->raw;
    if (fs::path(target).is_absolute()) {
      diagnostics_.error(item.value->place, "an include names '" + target +
                                                "' from the root; expected a path from this file's folder");
    } else {
      read((fs::path(path).parent_path() / target).string(), including, &item);
    }
  }
}

void SourceReader::parse_file(const std::string& text, int number) {
  Parsed parsed = parse(text, number);
  if (parsed.error) {
    diagnostics_.error(parsed.error->place, parsed.error->what);
    parsed.items.clear();
    sources_.complete = false;
  }
  sources_.files.push_back(std::move(parsed.items));
}

}  // namespace dapplewharf::config
