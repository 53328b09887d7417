// Where the log goes: standard output, through spdlog. Never waits for its reader; what it can't take is
// counted and dropped.
#pragma once
#include <string>

namespace dapplewharf {

struct LogSettings {
  bool json = false;  // one object a line in place of a line of text
  std::string level = "info",
              decisions = "info";  // debug, info, warning, error or off; of the module's own lines
};

void start_logging();
void configure_logging(const LogSettings& settings);
void log_decision(const std::string& line);  // a line of the decision module

}  // namespace dapplewharf
