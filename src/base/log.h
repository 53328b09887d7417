// Logging to standard output through spdlog. Writing never blocks: lines that the reader of standard output
// does not accept in time are dropped and counted.
#pragma once
#include <string>

namespace dapplewharf {

/// The format of the log and its levels: debug, info, warning, error or off.
struct LogSettings {
  bool json = false;               ///< one JSON object per line instead of text
  std::string level = "info";      ///< of the node's lines
  std::string decisions = "info";  ///< of the lines of the policy
};

/// Sets up logging with default settings; called once, before the first log line.
void start_logging();
/// Applies settings; does nothing before `start_logging`.
void configure_logging(const LogSettings& settings);
/// Logs a line of the policy.
void log_decision(const std::string& line);

}  // namespace dapplewharf
