// The retries of a read that failed. Design: docs/design.md.
#include "node/reload.h"

#include "base/retry.h"

namespace dapplewharf {
namespace {

constexpr RetrySchedule kReadAtStart{.max_attempts = 20, .delay = std::chrono::milliseconds(50)};

}  // namespace

Read read_at_start(const Files& files) {
  Read read;
  retry_blocking(kReadAtStart, [&](int) {
    read = read_configuration(files, Source::environment_first);
    if (read.taken) {
      return StepResult::succeeded;
    }
    return read.unreadable ? StepResult::retry : StepResult::failed;
  });
  return read;
}

void Reloader::reload() {
  read(loop_.now() + kRetryFor);
}

void Reloader::read(TimePoint until) {
  const Read found = read_configuration(files_, Source::file_only);
  if (!found.taken && found.unreadable && loop_.now() < until) {
    return loop_.schedule(retry_, loop_.now() + kRetryDelay, [this, until] { read(until); });
  }
  loop_.cancel(retry_);
  node_.reload(found);
}

}  // namespace dapplewharf
