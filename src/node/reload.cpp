// Retries of a failed read. Design: docs/design.md.
#include "node/reload.h"

#include "base/retry.h"

namespace dapplewharf {
namespace {

constexpr RetrySchedule kStartReadRetries{.max_attempts = 20, .delay = std::chrono::milliseconds(50)};

}  // namespace

ConfigurationResult read_configuration_at_start(const ConfigurationFiles& files) {
  ConfigurationResult result;
  retry_blocking(kStartReadRetries, [&](int) {
    result = read_configuration(files, ConfigurationSource::environment_first);
    if (result.configuration) {
      return StepResult::succeeded;
    }
    return result.is_unreadable ? StepResult::retry : StepResult::failed;
  });
  return result;
}

void Reloader::reload() {
  read(loop_.now() + kRetryPeriod);
}

void Reloader::read(TimePoint until) {
  const ConfigurationResult result = read_configuration(files_, ConfigurationSource::file_only);
  if (!result.configuration && result.is_unreadable && loop_.now() < until) {
    return loop_.schedule(retry_, loop_.now() + kRetryDelay, [this, until] { read(until); });
  }
  loop_.cancel(retry_);
  node_.reload(result);
}

}  // namespace dapplewharf
