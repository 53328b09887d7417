// dapplewharfctl: the operators' tool. Owns arguments, what is printed and exit codes (0 good, 1 differences
// or unformatted, 2 faulty); everything else lies in the parts it calls.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "config/machine_checks.h"
#include "config/profiles.h"
#include "config/render.h"

using nlohmann::json;
using namespace dapplewharf::config;
namespace fs = std::filesystem;

namespace {

constexpr int kGood = 0, kDiffers = 1, kFaulty = 2;
constexpr int kFirstPort = 8000, kLastPort = 8999;

struct Unusable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  std::error_code code;
  if (!fs::is_regular_file(path, code) || !in || !(text << in.rdbuf())) {
    if (fs::is_regular_file(path, code) && fs::file_size(path, code) == 0) {
      return "";
    }
    throw Unusable(path + ":0:0: this cannot be read; expected a file");
  }
  return text.str();
}

// If the disk is full, an incomplete file must not replace a complete one.
void replace_file(const std::string& path, const std::string& text) {
  const std::string beside = path + ".new";
  std::ofstream out(beside, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  std::error_code code;
  if (out) {
    fs::rename(beside, path, code);
  }
  if (!out || code) {
    fs::remove(beside, code);
    throw Unusable(path + ":0:0: this cannot be written; expected a place with room");
  }
}

std::vector<std::string> files_in(const std::string& path) {
  std::error_code code;
  if (!fs::is_directory(path, code)) {
    return {path};
  }
  std::vector<std::string> out;
  for (const auto& entry : fs::directory_iterator(path, code)) {
    if (entry.path().extension() == ".dw") {
      out.push_back(entry.path().string());
    }
  }
  std::sort(out.begin(), out.end());
  if (out.empty()) {
    throw Unusable(path + ":0:0: the folder holds no .dw file; expected at least one");
  }
  return out;
}

// A folder's file without a sidecar is there to be included, or is the operators' own.
bool is_part(const Document& document) {
  const Parsed parsed = parse(document.texts.empty() ? "" : document.texts.front());
  return !parsed.error && std::none_of(parsed.items.begin(), parsed.items.end(), [](const Item& item) {
    return item.kind == Item::Kind::block && item.name == "sidecar";
  });
}

json diagnostic_json(const Document& document, const Diagnostic& diagnostic) {
  const auto file = static_cast<std::size_t>(diagnostic.place.file);
  return {{"file", file < document.files.size() ? document.files[file] : ""},
          {"line", diagnostic.place.line},
          {"column", diagnostic.place.column},
          {"severity", diagnostic.warning ? "warning" : "error"},
          {"what", diagnostic.what}};
}

double machine_memory() {
  return static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGE_SIZE));
}
double machine_descriptors() {
  std::ifstream in("/proc/sys/fs/file-max");
  double most = 0;
  in >> most;
  return most;
}

json json_file(const std::string& path) {
  json from = json::parse(read_file(path), nullptr, false);
  if (from.is_discarded()) {
    throw Unusable(path + ":0:0: this is no JSON; expected a node's configuration");
  }
  return from;
}

int check(const std::vector<std::string>& paths, bool operators, const std::string& platform, bool as_json) {
  const json granted = platform.empty() ? json::object() : json_file(platform);
  std::vector<Document> documents;
  json out = json::array();
  bool good = true;
  int count = 0;
  const auto tell = [&](const Document& document, const Diagnostic& diagnostic) {
    good = good && diagnostic.warning;
    if (as_json) {
      out.push_back(diagnostic_json(document, diagnostic));
    } else {
      std::cerr << format_diagnostic(document, diagnostic, true) << "\n";
    }
  };
  for (const std::string& path : paths) {
    std::error_code code;
    const bool folder = fs::is_directory(path, code);
    for (const std::string& file : files_in(path)) {
      Document document = load(file, operators ? Use::operators : Use::sidecar);
      if (folder && !operators && is_part(document)) {
        continue;
      }
      ++count;
      for (const Diagnostic& diagnostic : document.diagnostics) {
        tell(document, diagnostic);
      }
      for (const Diagnostic& diagnostic : beyond(document, granted)) {
        tell(document, diagnostic);
      }
      documents.push_back(std::move(document));
    }
  }
  if (!operators && documents.size() > 1) {
    for (const MachineDiagnostic& found : check_machine(documents, machine_descriptors(), machine_memory())) {
      tell(documents[found.document], found.diagnostic);
    }
  }
  if (as_json) {
    std::cout << json{{"good", good}, {"files", count}, {"faults", out}}.dump(2) << "\n";
  } else if (good) {
    std::cout << count << (count == 1 ? " configuration is good\n" : " configurations are good\n");
  }
  return good ? kGood : kFaulty;
}

int format_files(const std::vector<std::string>& files, bool only_check) {
  int code = kGood;
  for (const std::string& path : files) {
    for (const std::string& file : files_in(path)) {
      const std::string text = read_file(file);
      const Parsed parsed = parse(text);
      if (parsed.error) {
        Document shown;
        shown.files = {file}, shown.texts = {text};
        std::cerr << format_diagnostic(shown, *parsed.error, true) << "\n";
        code = kFaulty;
        continue;
      }
      const std::string formatted = format(parsed.items);
      if (formatted == text) {
        continue;
      }
      if (only_check) {
        std::cout << file << ": not formatted\n";
        code = std::max(code, kDiffers);
      } else {
        replace_file(file, formatted);
      }
    }
  }
  return code;
}

Document good_one(const std::string& path) {
  Document document = load(path);
  if (document.good()) {
    return document;
  }
  for (const Diagnostic& diagnostic : document.diagnostics) {
    std::cerr << format_diagnostic(document, diagnostic, true) << "\n";
  }
  throw Unusable("");
}

int diff(const std::string& before, const std::string& after, bool as_json) {
  const Document left = good_one(before);
  const Document right = good_one(after);
  const auto found = differences(left, right);
  json out = json::array();
  for (const Difference& one : found) {
    if (as_json) {
      out.push_back({{"name", one.name},
                     {"before", one.before},
                     {"after", one.after},
                     {"takes", one.reload ? "reload" : "restart"}});
    } else {
      std::cout << one.name << ": " << (one.before.empty() ? "(none)" : one.before) << " -> "
                << (one.after.empty() ? "(none)" : one.after) << "  [" << (one.reload ? "reload" : "restart")
                << "]\n";
    }
  }
  if (as_json) {
    std::cout << out.dump(2) << "\n";
  }
  return found.empty() ? kGood : kDiffers;
}

std::set<int> ports_in(const fs::path& folder) {
  std::set<int> out;
  std::error_code code;
  for (const auto& entry : fs::directory_iterator(folder, code)) {
    if (entry.path().extension() != ".dw") {
      continue;
    }
    const Document document = load(entry.path().string());
    if (const Block* sidecar = document.find("sidecar")) {
      if (const auto listen = sidecar->value("listen")) {
        out.insert(std::atoi(listen->raw.substr(listen->raw.rfind(':') + 1).c_str()));
      }
    }
  }
  return out;
}

int make(const std::string& application, std::string profile, std::string out) {
  if (application.empty() || application.find_first_of(" \t\n,=\"\\/") != std::string::npos ||
      application.size() > 64) {
    throw Unusable("APPLICATION:0:0: '" + application +
                   "' holds blanks, slashes or quotes, or is empty or long; expected 1 to 64 letters");
  }
  if (profile.empty()) {
    profile = profiles().count(application) ? application : "plain";
  }
  const auto found = profiles().find(profile);
  if (found == profiles().end()) {
    std::string names;
    std::vector<std::string> all;
    for (const auto& [name, text] : profiles()) {
      names += (names.empty() ? "" : ", ") + name, all.push_back(name);
    }
    const std::string near = nearest(profile, all);
    throw Unusable("--profile:0:0: there is no profile '" + profile + "'; expected one of: " + names +
                   (near.empty() ? "" : " (perhaps " + near + ")"));
  }
  if (out.empty()) {
    out = application + ".dw";
  }
  std::error_code code;
  if (fs::exists(out, code)) {
    throw Unusable(out + ":0:0: this file is there already; expected a new one");
  }
  const fs::path folder = fs::path(out).parent_path().empty() ? fs::path(".") : fs::path(out).parent_path();
  const std::set<int> taken = ports_in(folder);
  int port = kFirstPort;
  while (taken.count(port)) {
    ++port;
  }
  if (port > kLastPort) {
    throw Unusable(folder.string() +
                   ":0:0: all ports from 8000 to 8999 are taken by configurations here; expected a free one");
  }
  std::string text = found->second;
  Parsed parsed = parse(text);
  // From the end, so that the places before stay right.
  for (auto item = parsed.items.rbegin(); item != parsed.items.rend(); ++item) {
    if (item->kind == Item::Kind::constant && item->name == "listen") {
      text.replace(item->value->begin, item->value->end - item->value->begin,
                   "127.0.0.1:" + std::to_string(port));
    }
    if (item->kind == Item::Kind::block && item->name == "sidecar") {
      text.replace(item->value->begin, item->value->end - item->value->begin, in_quotes(application));
    }
  }
  replace_file(out, text);
  std::cout << out << ": written from profile " << profile << ", listens at 127.0.0.1:" << port << "\n";
  return kGood;
}

int import_file(const std::string& path) {
  const json from = json_file(path);
  const Imported made = import(from);
  if (!made.error.empty()) {
    throw Unusable(path + ":0:0: " + made.error);
  }
  std::cout << made.text;
  for (const std::string& one : made.left_out) {
    std::cerr << path << ": left out, the node does not read it: " << one << "\n";
  }
  return kGood;
}

std::vector<std::string> setting_names() {
  std::vector<std::string> out;
  for (const BlockRow& block : blocks()) {
    out.push_back(block.name);
  }
  for (const Row& row : rows()) {
    out.push_back(std::string(row.block) + "." + row.name);
  }
  return out;
}

int explain_name(const std::string& name) {
  const std::string text = explain(name);
  if (text.empty()) {
    auto names = setting_names();
    for (const Row& row : rows()) {
      names.push_back(row.name);
    }
    const std::string near = nearest(name, names);
    throw Unusable("NAME:0:0: there is no setting or block '" + name +
                   "'; expected one such as limits.tries" + (near.empty() ? "" : " (perhaps " + near + ")"));
  }
  std::cout << text;
  return kGood;
}

int completion(const std::string& shell) {
  const char* const kCommands = "new check fmt diff render import explain reference completion";
  std::string names;
  for (const std::string& name : setting_names()) {
    names += (names.empty() ? "" : " ") + name;
  }
  std::string known;
  for (const auto& [name, text] : profiles()) {
    known += (known.empty() ? "" : " ") + name;
  }
  if (shell == "bash") {
    std::cout
        << "_dapplewharfctl() {\n  local last=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD-1]}\n"
           "  case $before in\n    dapplewharfctl) COMPREPLY=($(compgen -W config -- \"$last\"));;\n"
           "    config) COMPREPLY=($(compgen -W '"
        << kCommands
        << "' -- \"$last\"));;\n"
           "    explain) COMPREPLY=($(compgen -W '"
        << names
        << "' -- \"$last\"));;\n"
           "    --profile) COMPREPLY=($(compgen -W '"
        << known
        << "' -- \"$last\"));;\n"
           "    completion) COMPREPLY=($(compgen -W 'bash zsh fish' -- \"$last\"));;\n"
           "    *) COMPREPLY=($(compgen -f -- \"$last\"));;\n  esac\n}\ncomplete -F _dapplewharfctl "
           "dapplewharfctl\n";
  } else if (shell == "zsh") {
    std::cout << "#compdef dapplewharfctl\n_dapplewharfctl() {\n  case $words[CURRENT-1] in\n    "
                 "dapplewharfctl) compadd config;;\n"
                 "    config) compadd "
              << kCommands << ";;\n    explain) compadd " << names << ";;\n    --profile) compadd " << known
              << ";;\n    completion) compadd bash zsh fish;;\n    *) _files;;\n  esac\n}\ncompdef "
                 "_dapplewharfctl dapplewharfctl\n";
  } else if (shell == "fish") {
    std::cout << "complete -c dapplewharfctl -n 'not __fish_seen_subcommand_from config' -f -a config\n"
                 "complete -c dapplewharfctl -n '__fish_seen_subcommand_from config' -a '"
              << kCommands
              << "'\n"
                 "complete -c dapplewharfctl -n '__fish_seen_subcommand_from explain' -f -a '"
              << names
              << "'\n"
                 "complete -c dapplewharfctl -l profile -x -a '"
              << known << "'\n";
  } else {
    throw Unusable("SHELL:0:0: there is no completion for '" + shell + "'; expected bash, zsh or fish");
  }
  return kGood;
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("The operators' tool.");
  app.require_subcommand(1);
  auto* config = app.add_subcommand("config", "Writes, checks, formats and compares configurations.");
  config->require_subcommand(1);
  std::string application;
  std::string profile;
  std::string out;
  std::string file;
  std::string other;
  std::string name;
  std::string shell;
  std::string platform;
  std::vector<std::string> paths;
  bool as_json = false;
  bool only_check = false;
  bool operators = false;
  auto* made = config->add_subcommand("new", "Writes a commented configuration for an application.");
  made->add_option("APPLICATION", application, "its name")->required();
  made->add_option("--profile", profile, "the kind of application; the one of its name, or plain");
  made->add_option("--out", out, "the file; APPLICATION.dw otherwise");
  made->footer("Example: dapplewharfctl config new host-floor --out sidecars/host-floor.dw");
  auto* checked =
      config->add_subcommand("check", "Tells all faults; of a folder, all its sidecars together.");
  checked->add_option("PATH", paths, "files or folders")->required();
  checked->add_flag("--json", as_json, "for machines");
  checked->add_flag("--operator", operators,
                    "operators' own files, which stand beside the platform's configuration");
  checked->add_option("--platform", platform, "the platform's JSON: nothing may go beyond what it grants");
  checked->footer("Example: dapplewharfctl config check sidecars/");
  auto* formatted = config->add_subcommand("fmt", "Writes files anew in the one form.");
  formatted->add_option("FILE", paths)->required();
  formatted->add_flag("--check", only_check, "only tells which are not formatted, exit 1");
  formatted->footer("Example: dapplewharfctl config fmt sidecars/*.dw");
  auto* compared = config->add_subcommand("diff", "Tells what two configurations mean differently, exit 1.");
  compared->add_option("A", file)->required();
  compared->add_option("B", other)->required();
  compared->add_flag("--json", as_json, "for machines");
  compared->footer("Example: dapplewharfctl config diff old.dw new.dw");
  auto* rendered = config->add_subcommand("render", "Prints the JSON that the node reads.");
  rendered->add_option("FILE", file)->required();
  rendered->add_flag("--json", as_json, "on one line");
  rendered->footer("Example: dapplewharfctl config render host-floor.dw > config.json");
  auto* imported = config->add_subcommand("import", "Prints a node's JSON in the language.");
  imported->add_option("FILE.json", file)->required();
  imported->footer("Example: dapplewharfctl config import config.json > host-floor.dw");
  auto* explained = config->add_subcommand("explain", "Tells what a setting or a block means.");
  explained->add_option("NAME", name)->required();
  explained->footer("Example: dapplewharfctl config explain limits.tries");
  auto* page = config->add_subcommand("reference", "Prints all settings as Markdown.");
  auto* completed = config->add_subcommand("completion", "Prints what a shell needs to complete words.");
  completed->add_option("SHELL", shell, "bash, zsh or fish")->required();
  completed->footer("Example: source <(dapplewharfctl config completion bash)");
  try {
    app.parse(count, words);
  } catch (const CLI::CallForHelp& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    std::cerr << "dapplewharfctl:0:0: " << error.what() << "; expected arguments as --help shows\n";
    return kFaulty;
  }
  try {
    if (*made) {
      return make(application, profile, out);
    }
    if (*checked) {
      return check(paths, operators, platform, as_json);
    }
    if (*formatted) {
      return format_files(paths, only_check);
    }
    if (*compared) {
      return diff(file, other, as_json);
    }
    if (*rendered) {
      return std::cout << render(good_one(file)).dump(as_json ? -1 : 2) << "\n", kGood;
    }
    if (*imported) {
      return import_file(file);
    }
    if (*explained) {
      return explain_name(name);
    }
    if (*page) {
      return std::cout << reference(), kGood;
    }
    if (*completed) {
      return completion(shell);
    }
  } catch (const Unusable& error) {
    if (*error.what()) {
      std::cerr << error.what() << "\n";
    }
    return kFaulty;
  } catch (const std::exception& error) {
    std::cerr << "dapplewharfctl: " << error.what() << "\n";
    return kFaulty;
  }
  return kGood;
}
