// libFuzzer's way in: any bytes through lexer, parser, checker, formatter, renderer and back. Nothing may
// crash or hang, and what is formatted must read as the same again.
#include <cstdlib>

#include "config/render.h"

using namespace dapplewharf::config;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const Parsed parsed = parse(text);
  if (!parsed.error) {
    const std::string once = format(parsed.items);
    const Parsed again = parse(once);
    if (again.error || format(again.items) != once)
      std::abort();
  }
  const Document document = load_text(text, "x.dw");
  for (const Diagnostic& diagnostic : document.diagnostics)
    (void)format_diagnostic(document, diagnostic, true);
  if (!document.good())
    return 0;
  const auto json = render(document);
  const Imported back = import(json);
  if (!back.error.empty() || render(load_text(back.text, "x.dw")) != json)
    std::abort();
  return 0;
}
