// A client's request line for the tests of the node.
#pragma once
#include <string>

namespace dapplewharf {

/// A request line with an id that no other line of this process has. `more` is put behind its last value.
inline std::string request_line(const std::string& more = "") {
  static int last = 0;
  return "OPEN 1f" + std::to_string(++last) + " 2e c=plain,t=x,d=2000,g=3d" + more + "\r\n";
}

}  // namespace dapplewharf
