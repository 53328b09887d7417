// Parsing of HTTP responses: complete, incomplete and malformed ones.
#include "wire/http.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(Http, AResponseIsCompleteOnlyWithItsLastByteAndMalformedIfCutOff) {
  const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: "
      "close\r\n\r\n2\r\nab\r\n2;x\r\ncd\r\n0\r\n\r\n";
  for (const std::string& complete : {sized, chunked}) {
    for (std::size_t length = 0; length < complete.size(); ++length) {
      EXPECT_EQ(parse_response(complete.substr(0, length), false, 4096).state,
                HttpResponse::State::incomplete)
          << length;
      EXPECT_EQ(parse_response(complete.substr(0, length), true, 4096).state, HttpResponse::State::malformed)
          << length;
    }
    EXPECT_EQ(parse_response(complete, false, 4096).body, "abcd");
  }
  EXPECT_TRUE(parse_response(chunked, false, 4096).closes_connection);
  for (const char* malformed : {"no http\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    EXPECT_EQ(parse_response(malformed, false, 4096).state, HttpResponse::State::malformed) << malformed;
  }
  for (const std::string& complete : {sized, chunked}) {
    EXPECT_EQ(parse_response(complete, true, 3).state, HttpResponse::State::malformed)
        << "the body is one byte larger than allowed";
  }
  EXPECT_EQ(parse_response("HTTP/1.0 200 OK\r\n\r\nabcd", true, 3).state, HttpResponse::State::malformed);
}
