// Named streams of chance from one seed, so that a draw added in one place moves none in another. No
// decisions.
#pragma once
#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace dapplewharf::emulator {

class RandomStream {
 public:
  RandomStream(std::uint64_t seed, std::string_view name) : source_(XXH64(name.data(), name.size(), seed)) {}
  double next_fraction() { return static_cast<double>(source_() >> 11) * 0x1.0p-53; }  // from 0, under 1
  double uniform(double low, double high) { return low + (high - low) * next_fraction(); }
  double exponential(double mean) { return -mean * std::log(1 - next_fraction()); }
  double normal() {
    const double radius = std::sqrt(-2 * std::log(1 - next_fraction()));
    return radius * std::cos(6.283185307179586 * next_fraction());
  }
  // Log-normal with a mean of 1.
  double log_normal_factor(double deviation) {
    return std::exp(deviation * normal() - deviation * deviation / 2);
  }
  std::size_t index(std::size_t count) {
    return static_cast<std::size_t>(next_fraction() * static_cast<double>(count));
  }

 private:
  pcg64 source_;
};

// A draw that belongs to a thing and not to the moment it is made in: the same whatever came before.
inline double stable_fraction(std::uint64_t seed, std::uint64_t which) {
  return static_cast<double>(XXH64(&which, sizeof which, seed) >> 11) * 0x1.0p-53;
}

// A draw that belongs to an attachment, the same in both drivers.
inline double request_fraction(std::string_view id, std::uint64_t which) {
  return static_cast<double>(XXH64(id.data(), id.size(), which) >> 11) * 0x1.0p-53;
}

}  // namespace dapplewharf::emulator
