#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace baobab::gateway {

/// Bounds the memory for parts of responses that cannot be passed on yet:
/// complete bodies and incomplete events.
///
/// Handles targets that send bytes without end: a response that exceeds its
/// share, or the memory of all, ends as a failure of its target. Sums the bytes
/// of all responses of an instance; each response reports its size through a
/// BufferBudget::Share.
class BufferBudget {
 public:
  /// Largest part of the memory of an instance that all responses may use.
  static constexpr std::size_t kMemoryDivisor = 4;
  /// Largest part of the budget that one response may use.
  static constexpr std::size_t kShareDivisor = 4;
  /// Upper bound on the share of one response. Bodies and events of the sites
  /// have at most some kilobytes.
  static constexpr std::size_t kMaxShareBytes = std::size_t{8} << 20;

  /// `memory_bytes` is the memory that the instance may use.
  explicit BufferBudget(std::size_t memory_bytes)
      : total_(memory_bytes / kMemoryDivisor) {}

  [[nodiscard]] auto used() const -> std::size_t { return used_; }
  [[nodiscard]] auto max_share() const -> std::size_t {
    return std::min(kMaxShareBytes, total_ / kShareDivisor);
  }

  /// The bytes that one response holds. Released with the object.
  class Share {
   public:
    Share() = default;
    explicit Share(BufferBudget& budget) : budget_(&budget) {}
    ~Share() { Release(); }
    Share(const Share&) = delete;
    auto operator=(const Share&) -> Share& = delete;
    Share(Share&& other) noexcept
        : budget_(other.budget_), bytes_(other.bytes_) {
      other.bytes_ = 0;
    }
    auto operator=(Share&& other) noexcept -> Share& {
      if (this != &other) {
        Release();
        budget_ = other.budget_;
        bytes_ = std::exchange(other.bytes_, 0);
      }
      return *this;
    }

    /// Records that the response now holds `bytes`. Returns false, without
    /// recording it, if that exceeds the share or the budget.
    [[nodiscard]] auto Resize(std::size_t bytes) -> bool {
      if (budget_ == nullptr) {
        return true;
      }
      if (bytes > bytes_ &&
          (bytes > budget_->max_share() ||
           budget_->used_ - bytes_ + bytes > budget_->total_)) {
        return false;
      }
      budget_->used_ = budget_->used_ - bytes_ + bytes;
      bytes_ = bytes;
      return true;
    }

   private:
    auto Release() -> void {
      if (budget_ != nullptr) {
        budget_->used_ -= bytes_;
        bytes_ = 0;
      }
    }

    BufferBudget* budget_ = nullptr;
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t total_;
  std::size_t used_ = 0;
};

}  // namespace baobab::gateway
