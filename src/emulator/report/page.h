// Makes one self-contained HTML page from a folder with report.json and series.json, or with a sweep's
// summary.json. gnuplot draws the plots. The page shows only figures that those files hold.
#pragma once
#include <string>

namespace dapplewharf::emulator {

/// Writes the page for a folder; throws BadInput, or std::runtime_error if gnuplot fails.
/// @param html path of the page.
void write_page(const std::string& folder, const std::string& html);

}  // namespace dapplewharf::emulator
