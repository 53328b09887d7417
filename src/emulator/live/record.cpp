#include "emulator/live/record.h"

#include <spdlog/fmt/fmt.h>

#include <fstream>

#include "emulator/report/result.h"

namespace dapplewharf::emulator {

void Records::add(TimePoint when, RecordKind kind, const std::string& id, long a, long b, long c) {
  fmt::format_to(std::back_inserter(text_), "{} {} {} {} {} {}\n", when, static_cast<char>(kind),
                 id.empty() ? "-" : id, a, b, c);
}

void Records::write(const std::string& path) const {
  write_file(path, text_ + "end\n");
}

std::vector<Record> Records::read(const std::string& path) {
  std::ifstream in(path);
  std::vector<Record> records;
  std::string first_word;
  for (char kind = 0; in >> first_word && first_word != "end";) {
    Record& record = records.emplace_back();
    record.when = std::stoll(first_word);
    in >> kind >> record.id >> record.a >> record.b >> record.c;
    record.kind = static_cast<RecordKind>(kind);
  }
  // A process that was killed leaves part of its records. Without this check the run would look better than
  // it was.
  if (first_word != "end") {
    throw std::runtime_error("a process of the rig ended before it had written all its records");
  }
  return records;
}

}  // namespace dapplewharf::emulator
