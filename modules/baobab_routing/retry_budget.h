#pragma once

namespace baobab {

/// Limits extra requests to a fraction of the requests (token bucket): each
/// request adds `fraction` of a token, each extra request takes one.
class RetryBudget {
 public:
  /// `fraction` is extra requests per request; `burst` is the largest number
  /// of extra requests in a row, and the tokens at the start.
  RetryBudget(double fraction, double burst);

  /// Counts a first attempt.
  auto OnRequest() -> void;

  /// Takes a token for an extra request; false if there is none.
  [[nodiscard]] auto TryTake() -> bool;

  /// Extra requests allowed now.
  [[nodiscard]] auto tokens() const -> double { return tokens_; }

 private:
  double fraction_;
  double burst_;
  double tokens_;
};

}  // namespace baobab
