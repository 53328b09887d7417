#include "base/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <memory>

namespace dapplewharf {
namespace {

constexpr std::size_t kLongest = 2048;  // a pipe that polls writable takes this much at once

class PatientSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  // Danger: a reader that sleeps fills the pipe, and a write that waits would stop the whole node.
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      const std::string told = "log lines dropped: " + std::to_string(dropped_) + "\n";
      dropped_ = 0;
      if (write(STDOUT_FILENO, told.data(), told.size()) < 0) ++dropped_;
    }
    if (write(STDOUT_FILENO, line.data(), std::min(line.size(), kLongest)) < 0) ++dropped_;
  }
  void flush_() override {}

 private:
  std::size_t dropped_ = 0;
};

}  // namespace

void open_log() {
  auto logger = std::make_shared<spdlog::logger>("dapplewharf", std::make_shared<PatientSink>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace dapplewharf
