// HTTP/1.1 as a client needs it: writes a GET request and parses its response. Pure; owns no sockets, follows
// no redirects, repeats nothing.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

namespace dapplewharf {

/// A response, as far as it has come.
struct HttpResponse {
  enum class State {
    incomplete,
    complete,
    malformed  // malformed, too large, or the connection ended before it was complete
  };
  State state = State::incomplete;
  int status = 0;
  bool closes_connection = false;  // the connection must not be used for a further request
  std::string body;                // complete where the state is done
};

/// The bytes of a GET request.
[[nodiscard]] std::string format_get_request(const std::string& host, const std::string& target);

/// Parses a response.
/// @param in all bytes that came since the request.
/// @param ended whether the connection has ended, so that no more will come.
/// @param largest the size of the largest body that is accepted, in bytes.
[[nodiscard]] HttpResponse parse_response(std::string_view in, bool ended, std::size_t largest);

}  // namespace dapplewharf
