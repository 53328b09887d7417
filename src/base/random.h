// The random number generator of a node and the hash functions of consistent hashing. Both give the same
// values on all platforms.
#pragma once
#include <cstdint>
#include <string>

namespace dapplewharf {

/// The PCG-XSH-RR generator, with 64 bits of state and 32 bits of output.
struct RandomGenerator {
  std::uint64_t state;
  explicit RandomGenerator(std::uint64_t seed) : state(seed + 1442695040888963407ULL) { next(); }
  std::uint32_t next() {
    const std::uint64_t old = state;
    state = old * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto shifted = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto rotation = static_cast<std::uint32_t>(old >> 59);
    return (shifted >> rotation) | (shifted << ((32 - rotation) & 31));
  }
  /// A number from 0, less than 1.
  double next_fraction() { return next() / 4294967296.0; }
};

/// The finaliser of SplitMix64.
inline std::uint64_t hash(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// FNV-1a, followed by the finaliser of SplitMix64.
inline std::uint64_t hash(const std::string& text) {
  std::uint64_t sum = 0xcbf29ce484222325ULL;
  for (const char letter : text) {
    sum = (sum ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
  }
  return hash(sum);
}

}  // namespace dapplewharf
