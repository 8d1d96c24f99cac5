#include "stand_ins/instance_register.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "stand_ins/json_fields.h"

namespace baobab::stand_in {

namespace json = boost::json;

InstanceRegister::InstanceRegister(Duration lag, std::string_view initial)
    : lag_(lag) {
  json::error_code error;
  const auto list = json::parse(initial, error);
  if (error || !list.is_array()) {
    return;
  }
  for (const auto& instance : list.get_array()) {
    Apply(json::serialize(instance));
  }
}

auto InstanceRegister::Change(std::string_view body, TimePoint now) -> bool {
  if (TextField(ParseObject(body), "id").empty()) {
    return false;
  }
  pending_.push_back({now + lag_, std::string(body)});
  return true;
}

auto InstanceRegister::Apply(std::string_view change) -> void {
  const auto members = ParseObject(change);
  auto& text = instances_[TextField(members, "id")];
  auto instance = ParseObject(text);
  for (const auto& member : members) {
    instance[member.key()] = member.value();
  }
  text = json::serialize(instance);
}

auto InstanceRegister::List(TimePoint now) -> std::string {
  while (!pending_.empty() && pending_.front().visible_ <= now) {
    Apply(pending_.front().change_);
    pending_.pop_front();
  }
  std::string list;
  for (const auto& [id, text] : instances_) {
    list += (list.empty() ? "" : ",") + text;
  }
  return R"({"instances":[)" + list + "]}";
}

}  // namespace baobab::stand_in
