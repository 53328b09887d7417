// The node's only source of chance, and the hash of the ring. No decisions.
#pragma once
#include <cstdint>
#include <string>

namespace dapplewharf {

// PCG-XSH-RR: 64 bits of state, 32 of output.
struct RandomGenerator {
  std::uint64_t state;
  explicit RandomGenerator(std::uint64_t seed) : state(seed + 1442695040888963407ULL) { next(); }
  std::uint32_t next() {
    const std::uint64_t old = state;
    state = old * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto mixed = static_cast<std::uint32_t>(((old >> 18) ^ old) >> 27);
    const auto turn = static_cast<std::uint32_t>(old >> 59);
    return (mixed >> turn) | (mixed << ((32 - turn) & 31));
  }
  double next_fraction() { return next() / 4294967296.0; }
};

inline std::uint64_t hash(std::uint64_t word) {  // the finaliser of SplitMix64
  word += 0x9e3779b97f4a7c15ULL;
  word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
  word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
  return word ^ (word >> 31);
}

inline std::uint64_t hash(const std::string& word) {  // FNV-1a
  std::uint64_t sum = 0xcbf29ce484222325ULL;
  for (const char letter : word) {
    sum = (sum ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
  }
  return hash(sum);
}

}  // namespace dapplewharf
