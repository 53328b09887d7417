// Random numbers of the emulator. Each purpose draws from its own named stream, so that an additional draw
// for one purpose does not change the draws for another.
#pragma once
#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace dapplewharf::emulator {

/// A pseudo-random sequence that is given by a seed and a name.
class RandomStream {
 public:
  RandomStream(std::uint64_t seed, std::string_view name) : source_(XXH64(name.data(), name.size(), seed)) {}
  /// A number from 0, less than 1.
  double next_fraction() { return static_cast<double>(source_() >> 11) * 0x1.0p-53; }
  double uniform(double low, double high) { return low + (high - low) * next_fraction(); }
  double exponential(double mean) { return -mean * std::log(1 - next_fraction()); }
  /// The standard normal distribution.
  double normal() {
    const double radius = std::sqrt(-2 * std::log(1 - next_fraction()));
    return radius * std::cos(6.283185307179586 * next_fraction());
  }
  /// The log-normal distribution with a mean of 1.
  /// @param deviation the standard deviation of the logarithm.
  double log_normal_factor(double deviation) {
    return std::exp(deviation * normal() - deviation * deviation / 2);
  }
  /// A number from 0, less than `count`.
  std::size_t index(std::size_t count) {
    return static_cast<std::size_t>(next_fraction() * static_cast<double>(count));
  }

 private:
  pcg64 source_;
};

/// A number from 0, less than 1, that depends only on the arguments and not on earlier draws.
/// @param which tells the draws with one seed apart.
inline double stable_fraction(std::uint64_t seed, std::uint64_t which) {
  return static_cast<double>(XXH64(&which, sizeof which, seed) >> 11) * 0x1.0p-53;
}

/// A number from 0, less than 1, for a request; simulated and live runs get the same.
/// @param which tells the draws for one request apart.
inline double request_fraction(std::string_view id, std::uint64_t which) {
  return static_cast<double>(XXH64(id.data(), id.size(), which) >> 11) * 0x1.0p-53;
}

}  // namespace dapplewharf::emulator
