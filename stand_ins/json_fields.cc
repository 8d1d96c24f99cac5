#include "stand_ins/json_fields.h"

#include <boost/json/parse.hpp>
#include <charconv>

namespace baobab::stand_in {

namespace json = boost::json;

auto TextField(const json::object& object, std::string_view name)
    -> std::string {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

auto NumberField(const json::object& object, std::string_view name,
                 std::int64_t otherwise) -> std::int64_t {
  const auto* value = object.if_contains(name);
  if (value == nullptr) {
    return otherwise;
  }
  if (value->is_string()) {
    const auto& text = value->get_string();
    std::int64_t number = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
  }
  json::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  return error ? otherwise : number;
}

auto RealField(const json::object& object, std::string_view name,
               double otherwise) -> double {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_number() ? value->to_number<double>()
                                                : otherwise;
}

auto FlagField(const json::object& object, std::string_view name) -> bool {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

auto ParseObject(std::string_view text) -> json::object {
  json::error_code error;
  auto value = json::parse(text, error);
  return !error && value.is_object() ? value.get_object() : json::object();
}

}  // namespace baobab::stand_in
