// HTTP/1.1 as a caller needs it: writes a request, parses an answer. Owns no sockets; never follows, repeats
// or judges anything.
#pragma once
#include <string>
#include <string_view>

namespace dapplewharf {

struct Answer {
  enum class State { more, done, bad };
  State state = State::more;
  int status = 0;
  bool closes = false;  // the connection ends with this answer, or is out of step behind it
  std::string body;
};

std::string get_request(const std::string& host, const std::string& target);
// `in` is all that came since the request; `ended` that nothing more will. A body of over `largest` bytes is
// bad.
Answer answer_of(std::string_view in, bool ended, std::size_t largest);

}  // namespace dapplewharf
