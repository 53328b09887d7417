#include "emulator/live/record.h"

#include <spdlog/fmt/fmt.h>

#include <fstream>

#include "emulator/report/result.h"

namespace dapplewharf::emulator {

void Records::add(TimePoint when, Seen kind, const std::string& id, long a, long b, long c) {
  fmt::format_to(std::back_inserter(text_), "{} {} {} {} {} {}\n", when, static_cast<char>(kind),
                 id.empty() ? "-" : id, a, b, c);
}

void Records::write(const std::string& path) const {
  write_file(path, text_ + "end\n");
}

std::vector<Record> Records::read(const std::string& path) {
  std::ifstream in(path);
  std::vector<Record> out;
  std::string word;
  for (char kind = 0; in >> word && word != "end";) {
    Record& one = out.emplace_back();
    one.when = std::stoll(word);
    in >> kind >> one.id >> one.a >> one.b >> one.c;
    one.kind = static_cast<Seen>(kind);
  }
  // Danger: a process that was killed leaves half of what it saw, and a run that looks better than it was.
  if (word != "end") {
    throw std::runtime_error("a part of the rig ended before it had told all it saw");
  }
  return out;
}

}  // namespace dapplewharf::emulator
