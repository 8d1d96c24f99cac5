#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobab::stand_in {

/// Returns the string member `name`, or an empty string.
[[nodiscard]] auto TextField(const boost::json::object& object,
                             std::string_view name) -> std::string;

/// Returns the member `name` as an integer, whether written as a number or, as
/// the etcd JSON gateway does, as a string; `otherwise` if absent.
[[nodiscard]] auto NumberField(const boost::json::object& object,
                               std::string_view name,
                               std::int64_t otherwise = 0) -> std::int64_t;

/// Returns the member `name` as a real number; `otherwise` if absent.
[[nodiscard]] auto RealField(const boost::json::object& object,
                             std::string_view name, double otherwise) -> double;

/// Returns the boolean member `name`; false if absent.
[[nodiscard]] auto FlagField(const boost::json::object& object,
                             std::string_view name) -> bool;

/// Parses a JSON object; an empty object if `text` is not one.
[[nodiscard]] auto ParseObject(std::string_view text) -> boost::json::object;

}  // namespace baobab::stand_in
