// Parsing of request lines, and replacing their wait.
#include "wire/lines.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

const RequestSchema kSchema{{{"chat", 20000}}, {"acme"}};

TEST(RequestLine, IsParsedIntoFieldsAndWithWaitReplacesOnlyTheWait) {
  const std::string line =
      "OPEN 9b1f03aa5c7e2d41 00000000000000ff c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59,again=1,h=3.5\r\n";
  const ParsedRequestLine parsed = parse_request_line(line, kSchema);
  ASSERT_TRUE(parsed.request_line) << parsed.error;
  EXPECT_EQ(parsed.request_line->traffic_type, "chat");
  EXPECT_EQ(parsed.request_line->id, "9b1f03aa5c7e2d41");
  EXPECT_EQ(parsed.request_line->key, 255);
  EXPECT_EQ(parsed.request_line->wait, 20000);
  EXPECT_TRUE(parsed.request_line->is_migrated);
  std::string changed = line;
  EXPECT_EQ(with_wait(*parsed.request_line, 1234), changed.replace(line.find("2000"), 4, "123"));
  EXPECT_TRUE(parse_request_line("OPEN 1 2 c=chat,t=acme,d=4294967,at=s-1\r\n", kSchema).request_line);
}

TEST(RequestLine, IsRejectedWithAnErrorWhenAnyPartIsInvalid) {
  for (const char* invalid : {"",
                              "HELLO",
                              "OPEN",
                              "OPEN a",
                              "OPEN a b",
                              "OPEN a b c=chat,t=acme",
                              "OPEN a b t=acme,d=1",
                              "OPEN a b c=chat,t=acme,d=soon",
                              "OPEN a b c=chat,t=acme,d=-1",
                              "OPEN a b c=chat,t=acme,d=",
                              "OPEN a b c=chat,t=acme,d=1e3",
                              "OPEN a b c=chat,t=acme,d=inf",
                              "OPEN a b c=chat,t=acme,d=0",
                              "OPEN a b c=chat,t=acme,d=2001",
                              "OPEN a b c=chat,t=acme,d=999999999",
                              "OPEN a b c=chats,t=acme,d=9",
                              "OPEN a b c=chat,t=other,d=9",
                              "OPEN a b c=chat,d=9",
                              "OPEN a b ,,,==",
                              "OPEN a b c=chat,t=acme,d=9,",
                              "OPEN a c=chat,t=acme,d=9",
                              "OPEN  a b c=chat,t=acme,d=9",
                              "OPEN a b c=chat,t=acme,d=9 more",
                              "OPEN a b c=chat,t=acme,d=9,d=8",
                              "OPEN a b c=chat,t=acme,d=9,g=xyz",
                              "OPEN a b c=chat,t=acme,d=9,h",
                              "OPEN a b c=chat,t=acme,d=9,again=yes",
                              "OPEN a\x01 b c=chat,t=acme,d=9",
                              "open a b c=chat,t=acme,d=9"}) {
    EXPECT_FALSE(parse_request_line(std::string(invalid) + "\r\n", kSchema).error.empty()) << invalid;
  }
  EXPECT_FALSE(parse_request_line("OPEN a b c=chat,t=acme,d=9\n", kSchema).error.empty())
      << "the line ends with LF only";
  EXPECT_TRUE(parse_request_line("OPEN a b c=chat,t=acme,d=9\r\n", kSchema).error.empty());
}
