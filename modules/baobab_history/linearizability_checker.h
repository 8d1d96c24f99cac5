#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace baobab::history {

/// A sequential specification. `Step` returns the state after `operation`
/// with its recorded result, or nothing if that result is not possible in
/// `state`. `Digest` returns equal strings for equal states.
template <class M>
concept SequentialModel = requires(const M& model,
                                   const typename M::State& state,
                                   const typename M::Operation& op) {
  { model.Initial() } -> std::same_as<typename M::State>;
  { model.Step(state, op) } -> std::same_as<std::optional<typename M::State>>;
  { model.Digest(state) } -> std::convertible_to<std::string>;
};

/// End of an operation whose result was never seen.
inline constexpr std::int64_t kNeverEnded =
    std::numeric_limits<std::int64_t>::max();

/// An operation with the interval in which it took effect, in microseconds of
/// one clock. One that never ended may have taken effect at any later time or
/// not at all.
template <class Operation>
struct Interval {
  Operation operation_;
  std::int64_t start_ = 0;
  std::int64_t end_ = kNeverEnded;
};

/// Result of a check.
enum class Verdict : std::uint8_t {
  kLinearizable,
  kNotLinearizable,
  kTooLarge,  ///< The search exceeded its bound; nothing was decided.
};

/// Searches for an order of the operations that respects their intervals and
/// the model (Wing and Gong's search with Lowe's memory of visited states).
template <SequentialModel Model>
class LinearizabilityChecker {
 public:
  using Operation = typename Model::Operation;
  using History = std::vector<Interval<Operation>>;

  /// `max_states` bounds the number of visited search states.
  explicit LinearizabilityChecker(Model model = {},
                                  std::size_t max_states = 2'000'000)
      : model_(std::move(model)), max_states_(max_states) {}

  /// Decides whether `history` is linearizable.
  [[nodiscard]] auto Check(History history) -> Verdict {
    history_ = std::move(history);
    std::stable_sort(
        history_.begin(), history_.end(),
        [](const auto& a, const auto& b) { return a.start_ < b.start_; });
    placed_.assign(history_.size(), false);
    visited_.clear();
    if (Search(model_.Initial())) {
      return Verdict::kLinearizable;
    }
    return visited_.size() >= max_states_ ? Verdict::kTooLarge
                                          : Verdict::kNotLinearizable;
  }

 private:
  // A frame of the depth-first search: the state reached and the next
  // operation to try from it.
  struct Frame {
    typename Model::State state_;
    std::size_t next_ = 0;
    std::size_t placed_operation_ = 0;  // the operation that led here
  };

  // Only operations that start before every unplaced operation has ended may
  // come next.
  [[nodiscard]] auto EarliestEnd() const -> std::int64_t {
    auto earliest = kNeverEnded;
    for (std::size_t i = 0; i < history_.size(); ++i) {
      if (!placed_[i]) {
        earliest = std::min(earliest, history_[i].end_);
      }
    }
    return earliest;
  }

  [[nodiscard]] auto FirstVisit(const typename Model::State& state) -> bool {
    std::string key(placed_.size(), '0');
    for (std::size_t i = 0; i < placed_.size(); ++i) {
      key[i] = placed_[i] ? '1' : '0';
    }
    key += model_.Digest(state);
    return visited_.insert(std::move(key)).second;
  }

  [[nodiscard]] auto Search(typename Model::State initial) -> bool {
    std::vector<Frame> stack;
    stack.push_back({std::move(initial)});
    while (!stack.empty()) {
      const auto earliest_end = EarliestEnd();
      if (earliest_end == kNeverEnded) {
        return true;  // only operations without a result are left
      }
      if (visited_.size() >= max_states_) {
        return false;
      }
      if (!Advance(stack, earliest_end)) {
        if (stack.size() > 1) {
          placed_[stack.back().placed_operation_] = false;
        }
        stack.pop_back();
      }
    }
    return false;
  }

  // Places the next operation that is possible from the top frame; returns
  // false when there is none.
  [[nodiscard]] auto Advance(std::vector<Frame>& stack,
                             std::int64_t earliest_end) -> bool {
    while (stack.back().next_ < history_.size()) {
      const auto candidate = stack.back().next_++;
      if (history_[candidate].start_ > earliest_end) {
        return false;
      }
      if (placed_[candidate]) {
        continue;
      }
      auto next =
          model_.Step(stack.back().state_, history_[candidate].operation_);
      if (!next) {
        continue;
      }
      placed_[candidate] = true;
      if (FirstVisit(*next)) {
        stack.push_back({std::move(*next), 0, candidate});
        return true;
      }
      placed_[candidate] = false;
    }
    return false;
  }

  Model model_;
  std::size_t max_states_;
  History history_;
  std::vector<bool> placed_;
  std::unordered_set<std::string> visited_;
};

}  // namespace baobab::history
