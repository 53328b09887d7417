// Lines of the protocol: parsing and rewriting.
#include "wire/lines.h"

#include <gtest/gtest.h>

using namespace dapplewharf;

const RequestSchema kSchema{{{"chat", 20000}}, {"acme"}};

TEST(RequestLine, GivesWhatDecisionsNeedAndOnlyTheWaitIsRewritten) {
  const std::string line =
      "OPEN 9b1f03aa5c7e2d41 00000000000000ff c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59,again=1,h=3.5\r\n";
  const ParsedRequestLine opened = parse_request_line(line, kSchema);
  ASSERT_TRUE(opened.request_line) << opened.error;
  EXPECT_EQ(opened.request_line->traffic_type, "chat");
  EXPECT_EQ(opened.request_line->id, "9b1f03aa5c7e2d41");
  EXPECT_EQ(opened.request_line->key, 255);
  EXPECT_EQ(opened.request_line->wait, 20000);
  EXPECT_TRUE(opened.request_line->is_migrated);
  std::string changed = line;
  EXPECT_EQ(with_wait(*opened.request_line, 1234), changed.replace(line.find("2000"), 4, "123"));
  EXPECT_TRUE(parse_request_line("OPEN 1 2 c=chat,t=acme,d=4294967,at=s-1\r\n", kSchema).request_line);
}

TEST(RequestLine, IsRefusedWithAReasonWhenAnyPartIsWrong) {
  for (const char* bad : {"",
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
    EXPECT_FALSE(parse_request_line(std::string(bad) + "\r\n", kSchema).error.empty()) << bad;
  }
  EXPECT_FALSE(parse_request_line("OPEN a b c=chat,t=acme,d=9\n", kSchema).error.empty())
      << "a line ends with CRLF";
  EXPECT_TRUE(parse_request_line("OPEN a b c=chat,t=acme,d=9\r\n", kSchema).error.empty());
}
