// A visitor for std::visit that is composed of lambdas, one for each alternative of a variant. See
// docs/architecture.md.
#pragma once

namespace dapplewharf {

/// The visit does not compile if an alternative of the variant has no lambda.
template <class... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
template <class... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

}  // namespace dapplewharf
