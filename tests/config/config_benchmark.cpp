// How long it takes to check a thousand configurations of two hundred lines, and what memory: a measurement,
// no test.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "config/document.h"

using namespace dapplewharf::config;

int main(int count, char** words) {
  if (count != 2) {
    return std::puts("usage: sidecar_bench PROFILE.dw"), 2;
  }
  std::ifstream in(words[1]);
  std::string text((std::istreambuf_iterator<char>(in)), {});
  const std::size_t route = text.find("route ");  // types without one would be faults
  if (route != std::string::npos) {
    text.erase(route, text.find("}\n", route) + 2 - route);
  }
  for (int i = 0; std::count(text.begin(), text.end(), '\n') < 200; ++i) {
    text += "traffic \"more-" + std::to_string(i) +
            "\" {\n  latency_goal = 800ms\n  expiry = 3.2s  # as the first\n  message_goal = 50ms\n}\n";
  }
  const auto folder = std::filesystem::temp_directory_path() / "dapplewharf-sidecar-bench";
  std::filesystem::create_directories(folder);
  for (int i = 0; i < 1000; ++i) {
    std::ofstream(folder / (std::to_string(i) + ".dw")) << text;
  }
  const auto begun = std::chrono::steady_clock::now();
  std::size_t faults = 0;
  for (int i = 0; i < 1000; ++i) {
    faults += load((folder / (std::to_string(i) + ".dw")).string()).diagnostics.size();
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  std::printf("1000 files of %ld lines: %.3f s, %ld KiB at the most, %zu faults\n",
              std::count(text.begin(), text.end(), '\n'), took.count(), used.ru_maxrss, faults);
  std::filesystem::remove_all(folder);
  return 0;
}
