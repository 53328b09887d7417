// The client side of HTTP/1.1: formats a GET request and parses its response. The functions do no I/O, follow
// no redirects and retry nothing.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

namespace dapplewharf {

/// A response, as far as it has been received.
struct HttpResponse {
  enum class State {
    incomplete,
    complete,
    malformed  // malformed, too large, or the connection ended before it was complete
  };
  State state = State::incomplete;
  int status = 0;
  bool closes_connection = false;  // the connection must not be reused for another request
  std::string body;                // set where the state is `complete`
};

/// Formats a GET request.
/// @param target the path with its query.
[[nodiscard]] std::string format_get_request(const std::string& host, const std::string& target);

/// Parses a response.
/// @param received all bytes that were received since the request was sent.
/// @param ended whether the connection has ended, so that no more bytes will be received.
/// @param max_body_bytes the size of the largest body that is accepted.
[[nodiscard]] HttpResponse parse_response(std::string_view received, bool ended, std::size_t max_body_bytes);

}  // namespace dapplewharf
