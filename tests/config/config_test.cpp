// The language, its checker and what is made of it: faulty files with their places, files that include each
// other, forms and meanings that stay. Properties are tried on configurations drawn from the schema itself.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/render.h"
#include "node/configuration.h"

namespace dapplewharf::config {
namespace {

namespace fs = std::filesystem;

std::string text_of(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

struct Folder {
  fs::path path = fs::path(testing::TempDir()) / ("dapplewharf-sidecar-" + std::to_string(getpid()));
  Folder() { fs::remove_all(path), fs::create_directories(path / "more"); }
  ~Folder() { fs::remove_all(path); }
  std::string put(const std::string& name, const std::string& text) const {
    std::ofstream(path / name, std::ios::binary) << text;
    return (path / name).string();
  }
};

const std::string kGood = text_of(fs::path(PROFILES) / "plain.dw");

std::string first_fault(const Document& document) {
  for (const Fault& fault : document.faults) {
    if (!fault.warning) {
      return told(document, fault, false);
    }
  }
  return "";
}

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
    for (const Fault& fault : document.faults) {
      const std::string line = told(document, fault, false);
      all += line + "\n";
      std::string plain = line;
      if (fault.warning) {
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
  EXPECT_GE(document.faults.size(), 5u);
  const auto at = std::find_if(document.faults.begin(), document.faults.end(),
                               [](const Fault& one) { return one.place.line == 2; });
  ASSERT_NE(at, document.faults.end());
  EXPECT_NE(told(document, *at, true).find("\n    \tlisten = 800\n    \t         ^"), std::string::npos)
      << told(document, *at, true);
}

TEST(Include, ACycleNamesEveryFileOnIt) {
  const Folder folder;
  const std::string a = folder.put("a.dw", "include \"more/b.dw\"\n" + kGood);
  folder.put("more/b.dw", "include \"../c.dw\"\n"), folder.put("c.dw", "include \"a.dw\"\n");
  const std::string fault = first_fault(load(a));
  EXPECT_NE(fault.find("c.dw:1:9: files include each other: a.dw -> more/b.dw -> c.dw -> a.dw"),
            std::string::npos)
      << fault;
}

TEST(Include, OneFileByTwoWaysHoldsOnce) {
  const Folder folder;
  const std::string a = folder.put("a.dw", "include \"b.dw\"\ninclude \"c.dw\"\n" + kGood);
  folder.put("b.dw", "include \"d.dw\"\n"), folder.put("c.dw", "include \"./more/../d.dw\"\n");
  folder.put("d.dw", "prices {\n  probe = 0.5\n}\n");
  const Document document = load(a);
  EXPECT_EQ(first_fault(document), "");
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
    const std::string fault =
        first_fault(load(folder.put("a.dw", std::string("include \"") + named + "\"\n" + kGood)));
    EXPECT_NE(fault.find("a.dw:1:9: "), std::string::npos) << fault;
    EXPECT_NE(fault.find(what), std::string::npos) << fault;
  }
  folder.put("outside.dw", "");
  const std::string inner = folder.put("more/a.dw", "include \"../outside.dw\"\n" + kGood);
  EXPECT_NE(first_fault(load(inner)).find("lies outside the folder"), std::string::npos);
  EXPECT_NE(first_fault(load((folder.path / "none.dw").string())).find("there is no file"),
            std::string::npos);
  EXPECT_NE(first_fault(load(folder.path.string())).find("is a folder"), std::string::npos);
}

TEST(Text, LineEndsMarksTabsAndLettersOfAllKindsAreTaken) {
  std::string crlf = "\xEF\xBB\xBF";
  for (const char letter : kGood) {
    crlf += letter == '\n' ? "\r\n" : std::string(1, letter);
  }
  EXPECT_EQ(first_fault(load_text(crlf, "x.dw")), "");
  EXPECT_EQ(render(load_text(crlf, "x.dw")), render(load_text(kGood, "x.dw")));
  std::string named = kGood + "tenant \"cevichería-ñandú-鮨\" {\n\tshare\t=\t20%\t# ¡todo!\n}\n";
  const Document document = load_text(named, "x.dw");
  EXPECT_EQ(first_fault(document), "");
  EXPECT_EQ(document.find("tenant")->label, "cevichería-ñandú-鮨");
}

TEST(Text, RubbishIsRefusedWithItsPlace) {
  EXPECT_TRUE(first_fault(load_text(std::string("a\n b\0c", 6), "x.dw"))
                  .starts_with("x.dw:2:3: a NUL byte stands here"));
  EXPECT_TRUE(first_fault(load_text("ab\n\xFF\xFE", "x.dw")).starts_with("x.dw:2:1: this is no UTF-8"));
  EXPECT_TRUE(first_fault(load_text("\xC0\x80", "x.dw")).starts_with("x.dw:1:1: this is no UTF-8"));
  std::string deep;
  for (int i = 0; i < 10000; ++i) {
    deep += "a {";
  }
  EXPECT_NE(first_fault(load_text(deep, "x.dw")).find("blocks stand too deep"), std::string::npos);
  EXPECT_NE(first_fault(load_text(std::string(2 << 20, '#'), "x.dw")).find("expected 1048576 at the most"),
            std::string::npos);
  EXPECT_NE(first_fault(load_text("", "x.dw")), "");
}

TEST(Scalars, OneAmountHasManyWaysAndOneForm) {
  for (const auto& [left, right] : {std::pair("800ms", "0.8s"), std::pair("90s", "1.5min"),
                                    std::pair("1KiB", "1024B"), std::pair("1.5MiB", "1536KiB")}) {
    EXPECT_DOUBLE_EQ(scalar_of(left).amount, scalar_of(right).amount);
    Value a;
    Value b;
    a.type = scalar_of(left).type, b.type = scalar_of(right).type;
    a.amount = scalar_of(left).amount, b.amount = scalar_of(right).amount;
    EXPECT_EQ(canonical(a), canonical(b));
  }
  EXPECT_EQ(scalar_of("0ms").fault, "");
  EXPECT_NE(scalar_of("-0ms").fault, "");
  EXPECT_EQ(scalar_of("40/s").type, Type::rate);
}

// --- properties, on configurations drawn from the schema ---

std::string drawn_value(const Row& row) {
  using rc::gen::inRange;
  const auto words = words_of(row);
  if (!words.empty()) {
    return *rc::gen::elementOf(words);
  }
  const double at = *inRange(0, 1001) / 1000.0;
  const double amount = row.least + (row.most - row.least) * at;
  switch (row.type) {
    case Type::duration: {
      const double ms = std::max(row.least, std::round(amount * at * at * at));
      return *inRange(0, 2) ? duration_text(ms) : number_text(ms) + "ms";
    }
    case Type::size:
      return std::to_string(static_cast<long>(amount / 1048576) + 8) + "MiB";
    case Type::share:
      return std::to_string(*inRange(1, 10)) + "%";
    case Type::number:
      return number_text(std::max(row.least, std::floor(amount * at * at)));
    case Type::flag:
      return *inRange(0, 2) ? "on" : "off";
    case Type::address:
      return "127.0.0." + std::to_string(*inRange(1, 255)) + ":" + std::to_string(*inRange(1, 65536));
    case Type::list:
      return "[ \"t0\" ]";
    default:
      return "\"" + std::to_string(*inRange(0, 99999)) + "\"";
  }
}

// Any settings of the table, in any order and form, with comments; not always good as a whole.
std::string drawn_configuration() {
  using rc::gen::inRange;
  std::string out;
  const auto blank = [&] {
    for (int n = *inRange(0, 3); n > 0; --n) {
      out += *rc::gen::elementOf(std::vector<std::string>{"\n", "# note\n", "  \t\n", "\n\n"});
    }
  };
  for (const BlockRow& block : blocks()) {
    const int count = std::string(block.name) == "route" ? 0
                      : block.needed                     ? 1
                      : block.repeated                   ? *inRange(0, 4)
                                                         : *inRange(0, 2);
    for (int i = 0; i < count; ++i) {
      blank();
      out += std::string(block.name) +
             (block.labelled ? " \"" + std::string(1, block.name[0]) + std::to_string(i) + "\"" : "") +
             (*inRange(0, 2) ? " {\n" : "{ # what it is\n");
      for (const Row& row : rows()) {
        if (std::string(row.block) != block.name || (*row.without && *inRange(0, 3) == 0)) {
          continue;
        }
        blank();
        out += std::string(static_cast<std::size_t>(*inRange(0, 5)), ' ') + row.name +
               (*inRange(0, 2) ? "=" : "  = ") + drawn_value(row) +
               *rc::gen::elementOf(std::vector<std::string>{"\n", " # why\n", ";\n", "  ;  # so\n"});
      }
      out += "}\n";
    }
  }
  return out;
}

// What a configuration says, whatever its form.
std::string meaning(const std::string& text) {
  std::string out;
  const Document document = load_text(text, "x.dw");
  for (const Block& block : document.blocks) {
    out += std::string(block.row->name) + " " + block.label + "\n";
    for (const Setting& one : block.settings) {
      out += std::string(one.row->name) + " " + canonical(one.value) + "\n";
    }
  }
  for (const Fault& fault : document.faults) {
    out += fault.what.substr(0, fault.what.find("stands at")) + "\n";
  }
  return out;
}
std::size_t comments(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '#'));
}

TEST(Format, IsTheSameTwiceAndKeepsMeaningAndComments) {
  for (const auto& entry : fs::directory_iterator(PROFILES)) {
    const std::string text = text_of(entry.path());
    const std::string once = format(parse(text).items);
    EXPECT_EQ(format(parse(once).items), once);
    EXPECT_EQ(meaning(once), meaning(text));
    EXPECT_EQ(comments(once), comments(text));
  }
  EXPECT_TRUE(rc::check("drawn configurations", [] {
    const std::string text = drawn_configuration();
    const Parsed parsed = parse(text);
    RC_ASSERT(!parsed.fault);
    const std::string once = format(parsed.items);
    RC_ASSERT(format(parse(once).items) == once);
    RC_ASSERT(meaning(once) == meaning(text));
    RC_ASSERT(comments(once) == comments(text));
  }));
}

TEST(Format, BreaksListsThatAreLongAndKeepsTheirComments) {
  std::string text = "route \"a\" { traffic=[ # these\n\"one\",\n# and\n\"two\" ]; pool = \"p\" }\n";
  const std::string once = format(parse(text).items);
  EXPECT_EQ(once,
            "route \"a\" {\n  traffic = [\n    # these\n    \"one\",\n    # and\n    \"two\",\n  ]\n  pool = "
            "\"p\"\n}\n");
  EXPECT_EQ(format(parse(once).items), once);
}

TEST(Render, ThenImportThenRenderIsAlike) {
  for (const auto& entry : fs::directory_iterator(PROFILES)) {
    const Document document = load(entry.path().string());
    ASSERT_EQ(first_fault(document), "") << entry.path();
    const auto json = render(document);
    const Imported back = import(json);
    ASSERT_EQ(back.fault, "");
    EXPECT_TRUE(back.left_out.empty()) << back.left_out.front();
    EXPECT_EQ(render(load_text(back.text, "x.dw")), json);
  }
  EXPECT_TRUE(rc::check("drawn configurations", [] {
    const Document document = load_text(drawn_configuration(), "x.dw");
    RC_PRE(document.good());
    const auto json = render(document);
    RC_ASSERT(render(load_text(import(json).text, "x.dw")) == json);
  }));
}

TEST(Render, IsWhatTheNodeTakes) {
  const Folder folder;
  const std::string file = folder.put("a.dw", kGood);
  const Read direct = read_configuration(Files{"", file, ""}, Source::environment_first);
  ASSERT_TRUE(direct.taken) << direct.fault;
  const Read rendered =
      read_configuration(folder.put("a.json", render(load(file)).dump()), Source::file_only);
  ASSERT_TRUE(rendered.taken) << rendered.fault;
  EXPECT_EQ(direct.taken->env, rendered.taken->env);
  EXPECT_EQ(direct.taken->listen, rendered.taken->listen);
  EXPECT_EQ(direct.taken->descriptors, 1024 - 768);
}

TEST(Import, RefusesWhatIsNoConfigurationAndNamesWhatItLeavesOut) {
  EXPECT_NE(import(nlohmann::json::array()).fault, "");
  EXPECT_NE(import({{"settings", 3}}).fault, "");
  auto json = render(load_text(kGood, "x.dw"));
  json["settings"]["blend"]["whole"] = 0.45;
  EXPECT_EQ(import(json).left_out, std::vector<std::string>{"/settings/blend/whole"});
  json["settings"]["guarantees"]["coldMs"] = -3;  // a figure that no setting can have is not written
  EXPECT_FALSE(load_text(import(json).text, "x.dw").good());
}

TEST(Diff, IsByMeaningAndTellsWhatAReloadTakes) {
  std::string other = kGood;
  other.replace(other.find("800ms"), 5, "0.8s");
  EXPECT_TRUE(differences(load_text(kGood, "a"), load_text(other, "b")).empty());
  other.replace(other.find("3.2s"), 4, "2.5s");
  other.replace(other.find("127.0.0.1:8000"), 14, "127.0.0.1:8009");
  other += "tenant \"new\" {\n  share = 5%\n}\n";
  const auto found = differences(load_text(kGood, "a"), load_text(other, "b"));
  ASSERT_EQ(found.size(), 3u);
  EXPECT_EQ(found[0].name, "sidecar.listen");
  EXPECT_FALSE(found[0].reload);
  EXPECT_EQ(found[1].name, "traffic \"plain\".expiry");
  EXPECT_EQ(found[1].before + found[1].after, "3.2s2.5s");
  EXPECT_TRUE(found[1].reload);
  EXPECT_EQ(found[2].name + found[2].before + found[2].after, "tenant \"new\"there");
}

TEST(Together, TwoSidecarsWithOnePortOrOneNameAreFound) {
  std::string other = kGood;
  std::string third = kGood;
  other.replace(other.find("\"application\""), 13, "\"other\"");
  third.replace(third.find("\"application\""), 13, "\"third\"");
  third.replace(third.find("127.0.0.1:8000"), 14, "0.0.0.0:8000");
  const std::vector<Document> documents{load_text(kGood, "a.dw"), load_text(other, "b.dw"),
                                        load_text(third, "c.dw"), load_text(kGood, "d.dw")};
  const auto clashes = together(documents, 1e9, 1e15);
  ASSERT_EQ(clashes.size(), 4u);
  EXPECT_NE(clashes[0].fault.what.find("claimed at a.dw:"), std::string::npos) << clashes[0].fault.what;
  EXPECT_EQ(clashes[1].document, 2u) << "all addresses hold the port as well";
  EXPECT_NE(clashes[2].fault.what.find("the name 'application'"), std::string::npos);
  EXPECT_EQ(together({documents[0]}, 10, 1e15).size(), 1u);
  EXPECT_TRUE(together({documents[0]}, 10, 1e15).front().fault.warning);
  EXPECT_EQ(together({documents[0]}, 1e9, 1000).size(), 1u);
}

TEST(Operators, FileStandsBesideTheConfigurationWholeOrNotAtAll) {
  const Folder folder;
  const std::string file = folder.put("a.dw", kGood);
  const std::string log = folder.put("operator.dw", "log {\n  format = json\n  decisions = warning\n}\n");
  const Read read = read_configuration(Files{"", file, log}, Source::file_only);
  ASSERT_TRUE(read.taken) << read.fault;
  EXPECT_TRUE(read.taken->log.json);
  EXPECT_EQ(read.taken->log.decisions, "warning");
  const std::string wrong = folder.put("wrong.dw", "limits {\n  tries = 3\n}\n");
  EXPECT_FALSE(read_configuration(Files{"", file, wrong}, Source::file_only).taken)
      << "the platform's to say";
  const std::string half = folder.put("half.dw", "log {\n  format = js");
  const Read refused = read_configuration(Files{"", file, half}, Source::file_only);
  EXPECT_NE(refused.fault.find("half.dw:2:"), std::string::npos) << refused.fault;
  EXPECT_EQ(refused.fault.find('\n'), std::string::npos);
  EXPECT_TRUE(load(OPERATOR_FILE, Use::operators).good());
}

TEST(Platform, NothingGoesBeyondWhatItGrants) {
  const Document document = load_text(kGood, "x.dw");
  auto platform = render(document);
  EXPECT_TRUE(beyond(document, platform).empty());
  platform["settings"]["guarantees"]["stopSendingWithinMs"] = 1000;
  platform["limits"]["sockets"] = 128, platform["limits"]["memory_mb"] = 16;
  const auto found = beyond(document, platform);
  ASSERT_EQ(found.size(), 3u);
  EXPECT_EQ(found[0].what, "'drain_grace' is 1.5s, the platform grants 1s; expected no more");
  EXPECT_EQ(found[1].what, "'descriptors' is 256, the platform grants 128; expected no more");
  EXPECT_EQ(found[2].what, "'memory' is 32MiB, the platform grants 16MiB; expected no more");
  EXPECT_TRUE(beyond(document, nlohmann::json::object()).empty());
  std::string looser = kGood;
  looser.insert(looser.find("  drain_grace"), "  drain_binds_alone = on\n");
  const Document alone = load_text(looser, "x.dw");
  auto granted = render(alone);
  EXPECT_EQ(granted["settings"]["guarantees"]["drainBindsAlone"], true);
  EXPECT_TRUE(beyond(alone, granted).empty());
  granted["settings"]["guarantees"].erase("drainBindsAlone");
  ASSERT_EQ(beyond(alone, granted).size(), 1u) << "absent means that gone binds too";
}

TEST(Page, HasTheTableAndItsExamplesAreGood) {
  const std::string page = text_of(fs::path(DOCS) / "configuration.md");
  EXPECT_NE(page.find(reference()), std::string::npos)
      << "run dapplewharfctl config reference and put it into docs/configuration.md";
  int good = 0;
  int faulty = 0;
  for (std::size_t at = 0; (at = page.find("```dw", at)) != std::string::npos;) {
    const std::size_t begin = page.find('\n', at) + 1;
    const std::size_t end = page.find("```", begin);
    const bool wrong = page.substr(at, begin - at).find("faulty") != std::string::npos;
    const Parsed parsed = parse(page.substr(begin, end - begin));
    EXPECT_EQ(parsed.fault.has_value(), wrong)
        << page.substr(begin, end - begin) << (parsed.fault ? parsed.fault->what : "");
    ++(wrong ? faulty : good);
    at = end + 3;
  }
  EXPECT_GE(good, 6);
  EXPECT_GE(faulty, 3);
}

TEST(Schema, EveryRowHasABlockAndWhatHoldsWithoutItFits) {
  for (const Row& row : rows()) {
    ASSERT_NE(block_of(row.block), nullptr) << row.block;
    EXPECT_FALSE(std::string(row.help).empty());
    EXPECT_NE(explain(std::string(row.block) + "." + row.name), "");
    if (!*row.without || std::string(row.without) == "-") {
      continue;
    }
    const Parsed parsed = parse("x = " + std::string(row.without) + "\n");
    ASSERT_FALSE(parsed.fault) << row.name;
    EXPECT_EQ(parsed.items[0].value->type, row.type) << row.block << "." << row.name;
    const auto words = words_of(row);
    EXPECT_TRUE(words.empty() || std::count(words.begin(), words.end(), parsed.items[0].value->raw))
        << row.name;
  }
}

}  // namespace
}  // namespace dapplewharf::config
