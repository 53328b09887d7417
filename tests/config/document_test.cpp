// Documents: faulty files with their places, files that include each other, bytes of all kinds.
#include <gtest/gtest.h>

#include <algorithm>

#include "config/render.h"
#include "configuration_fixtures.h"

namespace dapplewharf::config {
namespace {

TEST(Faulty, EachFileHasItsMessageItsLineAndItsColumn) {
  int count = 0;
  for (const auto& entry : fs::directory_iterator(FAULTY)) {
    const std::string text = text_of(entry.path());
    const std::string path = entry.path().string();
    const std::size_t at = text.find("# EXPECT ");
    ASSERT_NE(at, std::string::npos) << path;
    std::string wanted = text.substr(at + 9, text.find('\n', at) - at - 9);
    const Document document = load(path);
    bool found = false;
    std::string all;
    for (const Diagnostic& diagnostic : document.diagnostics) {
      const std::string line = format_diagnostic(document, diagnostic, false);
      all += line + "\n";
      std::string plain = line;
      if (diagnostic.warning) {
        plain.replace(plain.find("warning: "), 9, "");
      }
      found = found || plain.starts_with(path + ":" + wanted);
      EXPECT_EQ(line.find('\n'), std::string::npos);
      EXPECT_NE(line.find("; expected"), std::string::npos) << line;
    }
    EXPECT_TRUE(found) << "wanted " << wanted << "\n" << all;
    EXPECT_FALSE(document.good()) << path;
    ++count;
  }
  EXPECT_GE(count, 80);
}

TEST(Faulty, AllFaultsAreToldInOneGoWithTheirLineAndACaret) {
  const Document document = load_text("sidecar \"a\" {\n\tlisten = 800\n  sed = 1\n}\n", "x.dw");
  EXPECT_GE(document.diagnostics.size(), 5u);
  const auto at = std::find_if(document.diagnostics.begin(), document.diagnostics.end(),
                               [](const Diagnostic& one) { return one.place.line == 2; });
  ASSERT_NE(at, document.diagnostics.end());
  EXPECT_NE(format_diagnostic(document, *at, true).find("\n    \tlisten = 800\n    \t         ^"),
            std::string::npos)
      << format_diagnostic(document, *at, true);
}

TEST(Include, ACycleNamesEveryFileOnIt) {
  const Folder folder;
  const std::string a = folder.put("a.dw", "include \"more/b.dw\"\n" + kGood);
  folder.put("more/b.dw", "include \"../c.dw\"\n");
  folder.put("c.dw", "include \"a.dw\"\n");
  const std::string error = first_error(load(a));
  EXPECT_NE(error.find("c.dw:1:9: files include each other: a.dw -> more/b.dw -> c.dw -> a.dw"),
            std::string::npos)
      << error;
}

TEST(Include, OneFileByTwoWaysHoldsOnce) {
  const Folder folder;
  const std::string a = folder.put("a.dw", "include \"b.dw\"\ninclude \"c.dw\"\n" + kGood);
  folder.put("b.dw", "include \"d.dw\"\n");
  folder.put("c.dw", "include \"./more/../d.dw\"\n");
  folder.put("d.dw", "prices {\n  probe = 0.5\n}\n");
  const Document document = load(a);
  EXPECT_EQ(first_error(document), "");
  EXPECT_EQ(document.find("prices")->amount("probe"), 0.5);
}

TEST(Include, WhatCannotBeReadIsToldWhereItIsIncluded) {
  const Folder folder;
  for (const auto& [named, what] :
       {std::pair("nowhere.dw", "there is no file"), std::pair("more", "is a folder"),
        std::pair("../../outside.dw", "there is no file"),
        std::pair("huge.dw", "bytes; expected 1048576 at the most")}) {
    std::ofstream(folder.path / "huge.dw").put('x');
    fs::resize_file(folder.path / "huge.dw", 100 << 20);
    const std::string error =
        first_error(load(folder.put("a.dw", std::string("include \"") + named + "\"\n" + kGood)));
    EXPECT_NE(error.find("a.dw:1:9: "), std::string::npos) << error;
    EXPECT_NE(error.find(what), std::string::npos) << error;
  }
  folder.put("outside.dw", "");
  const std::string inner = folder.put("more/a.dw", "include \"../outside.dw\"\n" + kGood);
  EXPECT_NE(first_error(load(inner)).find("lies outside the folder"), std::string::npos);
  EXPECT_NE(first_error(load((folder.path / "none.dw").string())).find("there is no file"),
            std::string::npos);
  EXPECT_NE(first_error(load(folder.path.string())).find("is a folder"), std::string::npos);
}

TEST(Text, LineEndsMarksTabsAndLettersOfAllKindsAreTaken) {
  std::string crlf = "\xEF\xBB\xBF";
  for (const char letter : kGood) {
    crlf += letter == '\n' ? "\r\n" : std::string(1, letter);
  }
  EXPECT_EQ(first_error(load_text(crlf, "x.dw")), "");
  EXPECT_EQ(render(load_text(crlf, "x.dw")), render(load_text(kGood, "x.dw")));
  std::string named = kGood + "tenant \"cevichería-ñandú-鮨\" {\n\tshare\t=\t20%\t# ¡todo!\n}\n";
  const Document document = load_text(named, "x.dw");
  EXPECT_EQ(first_error(document), "");
  EXPECT_EQ(document.find("tenant")->label, "cevichería-ñandú-鮨");
}

TEST(Text, RubbishIsRefusedWithItsPlace) {
  EXPECT_TRUE(first_error(load_text(std::string("a\n b\0c", 6), "x.dw"))
                  .starts_with("x.dw:2:3: a NUL byte stands here"));
  EXPECT_TRUE(first_error(load_text("ab\n\xFF\xFE", "x.dw")).starts_with("x.dw:2:1: this is no UTF-8"));
  EXPECT_TRUE(first_error(load_text("\xC0\x80", "x.dw")).starts_with("x.dw:1:1: this is no UTF-8"));
  std::string deep;
  for (int i = 0; i < 10000; ++i) {
    deep += "a {";
  }
  EXPECT_NE(first_error(load_text(deep, "x.dw")).find("blocks stand too deep"), std::string::npos);
  EXPECT_NE(first_error(load_text(std::string(2 << 20, '#'), "x.dw")).find("expected 1048576 at the most"),
            std::string::npos);
  EXPECT_NE(first_error(load_text("", "x.dw")), "");
}

}  // namespace
}  // namespace dapplewharf::config
