// HTTP answers in all their forms.
#include "wire/http.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

TEST(Http, AnAnswerMayComeByteByByteWholeChunkedOrCutOff) {
  const std::string sized = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: "
      "close\r\n\r\n2\r\nab\r\n2;x\r\ncd\r\n0\r\n\r\n";
  for (const std::string& whole : {sized, chunked}) {
    for (std::size_t n = 0; n < whole.size(); ++n) {
      EXPECT_EQ(parse_response(whole.substr(0, n), false, 4096).state, HttpResponse::State::incomplete) << n;
      EXPECT_EQ(parse_response(whole.substr(0, n), true, 4096).state, HttpResponse::State::malformed) << n;
    }
    EXPECT_EQ(parse_response(whole, false, 4096).body, "abcd");
  }
  EXPECT_TRUE(parse_response(chunked, false, 4096).closes_connection);
  for (const char* bad : {"no http\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    EXPECT_EQ(parse_response(bad, false, 4096).state, HttpResponse::State::malformed) << bad;
  }
  for (const std::string& whole : {sized, chunked}) {
    EXPECT_EQ(parse_response(whole, true, 3).state, HttpResponse::State::malformed)
        << "one byte over the largest body";
  }
  EXPECT_EQ(parse_response("HTTP/1.0 200 OK\r\n\r\nabcd", true, 3).state, HttpResponse::State::malformed);
}
