#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace baobab {

/// An error at a boundary, with the step that failed and the peer it involved.
class StepError : public std::runtime_error {
 public:
  /// `step` names the operation, for example "store.txn"; `peer` is an address,
  /// a file or a target; `reason` says what went wrong.
  StepError(std::string step, std::string peer, const std::string& reason)
      : std::runtime_error(step + " with " + peer + ": " + reason),
        step_(std::move(step)),
        peer_(std::move(peer)) {}

  /// The operation that failed.
  [[nodiscard]] auto step() const -> const std::string& { return step_; }

  /// The address, file or target that the operation involved.
  [[nodiscard]] auto peer() const -> const std::string& { return peer_; }

 private:
  std::string step_;
  std::string peer_;
};

}  // namespace baobab
