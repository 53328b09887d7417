#include "base/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>

namespace dapplewharf {
namespace {

constexpr std::size_t kMaxWriteBytes = 2048;  // a pipe that poll reports as writable accepts this many bytes

class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  // If the reader stops reading, the pipe fills up, and a blocking write would stop the whole node.
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      const std::string notice = "log lines dropped: " + std::to_string(dropped_) + "\n";
      dropped_ = 0;
      if (write(STDOUT_FILENO, notice.data(), notice.size()) < 0) {
        ++dropped_;
      }
    }
    if (write(STDOUT_FILENO, line.data(), std::min(line.size(), kMaxWriteBytes)) < 0) {
      ++dropped_;
    }
  }
  void flush_() override {}

 private:
  std::size_t dropped_ = 0;
};

constexpr const char* kPattern = "%Y-%m-%dT%H:%M:%S.%e %l %v";

// Formats each message as one JSON object on one line, replacing invalid UTF-8.
class JsonFormatter : public spdlog::formatter {
 public:
  void format(const spdlog::details::log_msg& message, spdlog::memory_buf_t& destination) override {
    spdlog::memory_buf_t time;
    time_.format(message, time);
    const auto level = spdlog::level::to_string_view(message.level);
    const nlohmann::json line = {
        {"time", std::string(time.data(), time.size())},
        {"level", std::string(level.data(), level.size())},
        {"package", std::string(message.logger_name.data(), message.logger_name.size())},
        {"message", std::string(message.payload.data(), message.payload.size())}};
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    destination.append(text.data(), text.data() + text.size());
  }
  std::unique_ptr<spdlog::formatter> clone() const override { return std::make_unique<JsonFormatter>(); }

 private:
  spdlog::pattern_formatter time_{"%Y-%m-%dT%H:%M:%S.%e", spdlog::pattern_time_type::local, ""};
};

std::shared_ptr<spdlog::logger> node_log, decision_log;

}  // namespace

void start_logging() {
  const auto sink =
      std::make_shared<NonBlockingSink>();  // shared by both loggers, so that lines stay in order
  node_log = std::make_shared<spdlog::logger>("node", sink);
  decision_log = std::make_shared<spdlog::logger>("decisions", sink);
  spdlog::set_default_logger(node_log);
  configure_logging({});
}

void configure_logging(const LogSettings& settings) {
  if (!node_log) {
    return;
  }
  if (settings.json) {
    node_log->set_formatter(std::make_unique<JsonFormatter>());
  } else {
    node_log->set_pattern(kPattern);
  }
  node_log->set_level(spdlog::level::from_str(settings.level));
  decision_log->set_level(spdlog::level::from_str(settings.decisions));
}

void log_decision(const std::string& line) {
  (decision_log ? decision_log.get() : spdlog::default_logger_raw())->info("{}", line);
}

}  // namespace dapplewharf
