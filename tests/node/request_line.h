// Request lines of clients for the tests of the node.
#pragma once
#include <string>

namespace dapplewharf {

/// Returns a request line whose id is unique in this process.
/// @param more_fields appended after the last field.
inline std::string request_line(const std::string& more_fields = "") {
  static int last_id = 0;
  return "OPEN 1f" + std::to_string(++last_id) + " 2e c=plain,t=x,d=2000,g=3d" + more_fields + "\r\n";
}

}  // namespace dapplewharf
