// A helper for bounded histories of samples.
#pragma once
#include <cstddef>
#include <deque>

namespace dapplewharf {

/// Appends a sample and drops the oldest ones beyond `limit`.
template <class Sample>
void keep_last(std::deque<Sample>& samples, const Sample& sample, std::size_t limit) {
  samples.push_back(sample);
  if (samples.size() > limit) {
    samples.pop_front();
  }
}

}  // namespace dapplewharf
