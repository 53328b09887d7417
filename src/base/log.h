// Where the log goes: standard output, through spdlog. Never waits for its reader; what it can't take is
// counted and dropped.
#pragma once

namespace dapplewharf {

void open_log();

}  // namespace dapplewharf
