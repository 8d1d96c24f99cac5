#include "baobab_platform/store_messages.h"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

#include "baobab_platform/base64.h"

namespace baobab::platform {
namespace {

namespace json = boost::json;

auto ParseObject(std::string_view text) -> std::optional<json::object> {
  boost::system::error_code error;
  auto value = json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

auto Member(const json::object& object, json::string_view name)
    -> const json::object* {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_object() ? &value->get_object()
                                                : nullptr;
}

/// Absent numbers are zero: the gateway leaves out default values.
auto Number(const json::object& object, json::string_view name)
    -> std::int64_t {
  const auto* value = object.if_contains(name);
  std::int64_t number = 0;
  if (value != nullptr && value->is_string()) {
    const auto& text = value->get_string();
    std::from_chars(text.data(), text.data() + text.size(), number);
  } else if (value != nullptr && value->is_int64()) {
    number = value->get_int64();
  }
  return number;
}

auto Flag(const json::object& object, json::string_view name) -> bool {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

auto Bytes(const json::object& object, json::string_view name)
    -> std::optional<std::string> {
  const auto* value = object.if_contains(name);
  if (value == nullptr) {
    return std::string();
  }
  if (!value->is_string()) {
    return std::nullopt;
  }
  return Base64Decode({value->get_string().data(), value->get_string().size()});
}

auto ToStoredValue(const json::value& value) -> std::optional<StoredValue> {
  if (!value.is_object()) {
    return std::nullopt;
  }
  const auto& object = value.get_object();
  auto key = Bytes(object, "key");
  auto bytes = Bytes(object, "value");
  if (!key || key->empty() || !bytes) {
    return std::nullopt;
  }
  return StoredValue{std::move(*key), std::move(*bytes),
                     Number(object, "create_revision"),
                     Number(object, "mod_revision"), Number(object, "lease")};
}

auto CompareRevision(const KeyRevision& expected) -> json::object {
  return {{"key", Base64Encode(expected.key_)},
          {"target", "MOD"},
          {"result", "EQUAL"},
          {"mod_revision", std::to_string(expected.revision_)}};
}

auto HeaderRevision(const json::object& object) -> std::optional<Revision> {
  const auto* header = Member(object, "header");
  if (header == nullptr) {
    return std::nullopt;
  }
  const auto revision = Number(*header, "revision");
  return revision > 0 ? std::optional(revision) : std::nullopt;
}

auto ToValues(const json::object& object)
    -> std::optional<std::vector<StoredValue>> {
  std::vector<StoredValue> values;
  const auto* list = object.if_contains("kvs");
  if (list == nullptr) {
    return values;
  }
  if (!list->is_array()) {
    return std::nullopt;
  }
  for (const auto& entry : list->get_array()) {
    auto value = ToStoredValue(entry);
    if (!value) {
      return std::nullopt;
    }
    values.push_back(std::move(*value));
  }
  return values;
}

auto ToEvents(const json::object& result)
    -> std::optional<std::vector<WatchEvent>> {
  std::vector<WatchEvent> events;
  const auto* list = result.if_contains("events");
  if (list == nullptr) {
    return events;
  }
  if (!list->is_array()) {
    return std::nullopt;
  }
  for (const auto& entry : list->get_array()) {
    const auto* event = entry.if_object();
    const auto* kv = event == nullptr ? nullptr : event->if_contains("kv");
    auto value = kv == nullptr ? std::nullopt : ToStoredValue(*kv);
    if (!value) {
      return std::nullopt;
    }
    const auto* type = event->if_contains("type");
    const bool deleted =
        type != nullptr && type->is_string() && type->get_string() == "DELETE";
    events.push_back({deleted, std::move(*value)});
  }
  return events;
}

}  // namespace

auto BuildRange(std::string_view key, std::string_view range_end)
    -> std::string {
  json::object body{{"key", Base64Encode(key)}};
  if (!range_end.empty()) {
    body["range_end"] = Base64Encode(range_end);
  }
  return json::serialize(body);
}

auto BuildSwap(const Swap& swap) -> std::string {
  const auto key = Base64Encode(swap.key_);
  json::array compares{CompareRevision({swap.key_, swap.expected_})};
  for (const auto& guard : swap.guards_) {
    compares.push_back(CompareRevision(guard));
  }
  json::object write;
  if (swap.delete_) {
    write["request_delete_range"] = json::object{{"key", key}};
  } else {
    json::object put{{"key", key}, {"value", Base64Encode(swap.value_)}};
    if (swap.lease_ != 0) {
      put["lease"] = std::to_string(swap.lease_);
    }
    write["request_put"] = std::move(put);
  }
  json::object read{{"request_range", json::object{{"key", key}}}};
  return json::serialize(json::object{{"compare", std::move(compares)},
                                      {"success", json::array{write}},
                                      {"failure", json::array{read}}});
}

auto BuildWatch(std::string_view prefix, Revision from) -> std::string {
  return json::serialize(
      json::object{{"create_request",
                    {{"key", Base64Encode(prefix)},
                     {"range_end", Base64Encode(PrefixEnd(prefix))},
                     {"start_revision", std::to_string(from)}}}});
}

auto BuildLease(std::int64_t id, std::chrono::seconds ttl) -> std::string {
  json::object body;
  if (id != 0) {
    body["ID"] = std::to_string(id);
  }
  if (ttl.count() != 0) {
    body["TTL"] = std::to_string(ttl.count());
  }
  return json::serialize(body);
}

auto ParseRange(std::string_view body) -> std::optional<ReadResult> {
  const auto object = ParseObject(body);
  const auto revision = object ? HeaderRevision(*object) : std::nullopt;
  auto values = revision ? ToValues(*object) : std::nullopt;
  // An incomplete read must not look like a complete one.
  if (!values || Flag(*object, "more")) {
    return std::nullopt;
  }
  ReadResult result;
  result.revision_ = *revision;
  result.values_ = std::move(*values);
  return result;
}

auto ParseSwap(std::string_view body) -> std::optional<WriteResult> {
  const auto object = ParseObject(body);
  const auto revision = object ? HeaderRevision(*object) : std::nullopt;
  if (!revision) {
    return std::nullopt;
  }
  WriteResult result;
  if (Flag(*object, "succeeded")) {
    result.effect_ = Effect::kTookEffect;
    result.revision_ = *revision;
    return result;
  }
  result.effect_ = Effect::kDidNotTakeEffect;
  result.compare_failed_ = true;
  const auto* list = object->if_contains("responses");
  if (list == nullptr || !list->is_array() || list->get_array().empty() ||
      !list->get_array()[0].is_object()) {
    return std::nullopt;
  }
  const auto* read =
      Member(list->get_array()[0].get_object(), "response_range");
  auto values = read == nullptr ? std::nullopt : ToValues(*read);
  if (!values) {
    return std::nullopt;
  }
  if (!values->empty()) {
    result.current_ = std::move(values->front());
  }
  return result;
}

auto ParseLease(std::string_view body) -> std::optional<LeaseResult> {
  const auto object = ParseObject(body);
  if (!object) {
    return std::nullopt;
  }
  const auto* wrapped = Member(*object, "result");
  const auto& fields = wrapped == nullptr ? *object : *wrapped;
  if (!HeaderRevision(fields)) {
    return std::nullopt;
  }
  LeaseResult result;
  result.effect_ = Effect::kTookEffect;
  result.id_ = Number(fields, "ID");
  result.ttl_ = std::chrono::seconds(Number(fields, "TTL"));
  return result;
}

auto ParseWatchMessage(std::string_view line) -> std::optional<WatchMessage> {
  const auto object = ParseObject(line);
  const auto* result = object ? Member(*object, "result") : nullptr;
  const auto revision = result ? HeaderRevision(*result) : std::nullopt;
  auto events = revision ? ToEvents(*result) : std::nullopt;
  if (!events) {
    return std::nullopt;
  }
  WatchMessage message;
  message.revision_ = *revision;
  message.created_ = Flag(*result, "created");
  message.cancelled_ = Flag(*result, "canceled");
  message.compact_revision_ = Number(*result, "compact_revision");
  message.events_ = std::move(*events);
  return message;
}

auto ParseErrorText(std::string_view body) -> std::string {
  const auto object = ParseObject(body);
  const auto* message = object ? object->if_contains("message") : nullptr;
  if (message != nullptr && message->is_string()) {
    return std::string(message->get_string());
  }
  constexpr std::size_t kLongest = 200;
  return std::string(body.substr(0, kLongest));
}

}  // namespace baobab::platform
