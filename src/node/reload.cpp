#include "node/reload.h"

#include <chrono>
#include <thread>

namespace dapplewharf {

Read read_at_start(const Files& files) {
  constexpr int kTries = 20;
  Read read = read_configuration(files, Source::environment_first);
  for (int i = 1; i < kTries && !read.taken && read.unreadable; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    read = read_configuration(files, Source::environment_first);
  }
  return read;
}

void Reloader::reload() {
  read(loop_.now() + kGivenUpAfter);
}

void Reloader::read(Tenths until) {
  const Read found = read_configuration(files_, Source::file_only);
  if (!found.taken && found.unreadable && loop_.now() < until) {
    return loop_.at(again_, loop_.now() + kAgainAfter, [this, until] { read(until); });
  }
  loop_.cancel(again_);
  node_.reload(found);
}

}  // namespace dapplewharf
