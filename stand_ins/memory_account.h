#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace baobab::stand_in {

/// Accelerator memory of one engine, in MB. It accepts every allocation, and
/// counts those that go beyond the capacity, so that a test of the daemon can
/// see them.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::int64_t capacity_mb)
      : capacity_mb_(capacity_mb) {}

  /// Adds `megabytes` under `name`; adds up if the name is already present.
  auto Allocate(const std::string& name, std::int64_t megabytes) -> void {
    allocations_[name] += megabytes;
    used_mb_ += megabytes;
    peak_mb_ = peak_mb_ < used_mb_ ? used_mb_ : peak_mb_;
    overcommits_ += used_mb_ > capacity_mb_ ? 1 : 0;
  }

  /// Releases everything under `name`.
  auto Release(const std::string& name) -> void {
    const auto found = allocations_.find(name);
    if (found != allocations_.end()) {
      used_mb_ -= found->second;
      allocations_.erase(found);
    }
  }

  /// Size of the memory.
  [[nodiscard]] auto capacity_mb() const -> std::int64_t {
    return capacity_mb_;
  }

  /// Memory in use.
  [[nodiscard]] auto used_mb() const -> std::int64_t { return used_mb_; }

  /// Largest memory that was ever in use.
  [[nodiscard]] auto peak_mb() const -> std::int64_t { return peak_mb_; }

  /// Number of allocations that went beyond the capacity.
  [[nodiscard]] auto overcommits() const -> std::uint64_t {
    return overcommits_;
  }

 private:
  std::int64_t capacity_mb_;
  std::int64_t used_mb_ = 0;
  std::int64_t peak_mb_ = 0;
  std::uint64_t overcommits_ = 0;
  std::map<std::string, std::int64_t> allocations_;
};

}  // namespace baobab::stand_in
