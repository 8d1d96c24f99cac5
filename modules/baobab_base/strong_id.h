#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace baobab {

/// A string identifier that cannot be mixed up with one of another kind.
template <class Tag>
class StrongId {
 public:
  StrongId() = default;

  /// Wraps `value` without checking it.
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  /// Returns the identifier as text.
  [[nodiscard]] auto value() const -> const std::string& { return value_; }

  /// Returns true if no identifier is set.
  [[nodiscard]] auto empty() const -> bool { return value_.empty(); }

  auto operator<=>(const StrongId&) const = default;

  friend auto operator<<(std::ostream& out, const StrongId& id)
      -> std::ostream& {
    return out << id.value_;
  }

 private:
  std::string value_;
};

/// A customer with one contract.
using CustomerId = StrongId<struct CustomerTag>;
/// A model as named in contracts.
using ModelId = StrongId<struct ModelTag>;
/// An adapter of a model.
using AdapterId = StrongId<struct AdapterTag>;
/// A target: a model engine or a plain service instance.
using TargetId = StrongId<struct TargetTag>;
/// An instance on which a daemon runs, as named in its settings.
using InstanceId = StrongId<struct InstanceTag>;
/// A failure domain.
using FailureDomain = StrongId<struct FailureDomainTag>;
/// A region, which holds several failure domains.
using Region = StrongId<struct RegionTag>;

/// Number drawn at random when a process starts; tells two runs of one
/// instance apart.
using Incarnation = std::uint64_t;

/// Modification revision of the configuration service.
using Revision = std::int64_t;

}  // namespace baobab

/// Hashes a StrongId by its text.
template <class Tag>
struct std::hash<baobab::StrongId<Tag>> {
  auto operator()(const baobab::StrongId<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::string>{}(id.value());
  }
};
