// One self-contained HTML page from a folder with report.json and series.json, or with a sweep's
// summary.json; plots by gnuplot. Owns the page's form; works out no figure that is not in those files.
#pragma once
#include <string>

namespace dapplewharf::emulator {

void write_page(const std::string& folder,
                const std::string& html);  // throws InvalidInput or std::runtime_error

}  // namespace dapplewharf::emulator
