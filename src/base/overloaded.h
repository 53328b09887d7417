// A visitor for std::visit made of one lambda for each alternative. Owns nothing. Design:
// docs/architecture.md.
#pragma once

namespace dapplewharf {

/// Without a case for an alternative of the variant the visit does not compile.
template <class... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <class... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

}  // namespace dapplewharf
