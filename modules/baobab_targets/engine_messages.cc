#include "baobab_targets/engine_messages.h"

#include <boost/json.hpp>
#include <charconv>

namespace baobab {
namespace {

namespace json = boost::json;

auto Parse(std::string_view text) -> std::optional<json::object> {
  boost::system::error_code error;
  auto value = json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

auto Text(const json::object& object, json::string_view key) -> std::string {
  const auto* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string().c_str(),
                           value->get_string().size())
             : std::string();
}

auto Number(const json::object& object, json::string_view key)
    -> std::optional<std::uint64_t> {
  const auto* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

auto Flag(const json::object& object, json::string_view key) -> bool {
  const auto* value = object.if_contains(key);
  return value != nullptr && value->is_bool() && value->get_bool();
}

/// Calls `read` for each object in the array `key`.
template <class Read>
auto ForEachObject(const json::object& object, json::string_view key,
                   Read&& read) -> void {
  const auto* value = object.if_contains(key);
  if (value == nullptr || !value->is_array()) {
    return;
  }
  for (const auto& element : value->get_array()) {
    if (element.is_object()) {
      read(element.get_object());
    }
  }
}

auto Texts(const json::object& object, json::string_view key)
    -> std::vector<std::string> {
  std::vector<std::string> texts;
  const auto* value = object.if_contains(key);
  if (value != nullptr && value->is_array()) {
    for (const auto& element : value->get_array()) {
      if (element.is_string()) {
        texts.emplace_back(element.get_string().c_str());
      }
    }
  }
  return texts;
}

/// Text of a message, whose content is a string or an array of text parts.
auto MessageText(const json::value& message) -> std::string {
  if (!message.is_object()) {
    return {};
  }
  std::string text = Text(message.get_object(), "role") + ":";
  const auto* content = message.get_object().if_contains("content");
  if (content != nullptr && content->is_string()) {
    text += content->get_string().c_str();
  }
  if (content != nullptr && content->is_array()) {
    for (const auto& part : content->get_array()) {
      if (part.is_object()) {
        text += Text(part.get_object(), "text");
      }
    }
  }
  return text;
}

auto DeltaText(const json::object& event) -> std::string {
  const auto* choices = event.if_contains("choices");
  if (choices == nullptr || !choices->is_array() ||
      choices->get_array().empty() || !choices->get_array()[0].is_object()) {
    return {};
  }
  const auto* delta = choices->get_array()[0].get_object().if_contains("delta");
  return delta != nullptr && delta->is_object()
             ? Text(delta->get_object(), "content")
             : std::string();
}

}  // namespace

auto ParseChatRequest(std::string_view body, std::string& error)
    -> std::optional<ChatSummary> {
  const auto request = Parse(body);
  if (!request) {
    error = "the body is not a JSON object";
    return std::nullopt;
  }
  ChatSummary summary;
  summary.model_ = Text(*request, "model");
  summary.adapter_ = Text(*request, "adapter");
  summary.stream_ = Flag(*request, "stream");
  summary.max_tokens_ = Number(*request, "max_tokens").value_or(0);
  if (summary.model_.empty()) {
    error = "the field \"model\" must be a non-empty string";
    return std::nullopt;
  }
  const auto* messages = request->if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    error = "the field \"messages\" must be a non-empty array";
    return std::nullopt;
  }
  for (const auto& message : messages->get_array()) {
    summary.prompt_ += MessageText(message);
    summary.prompt_ += '\n';
  }
  return summary;
}

auto BuildChatBody(std::string_view body, const ChatExtension& extension)
    -> std::string {
  auto request = Parse(body).value_or(json::object{});
  request["stream"] = true;
  request["request_id"] = extension.request_id_;
  request["priority"] = extension.priority_;
  request["resume_offset"] = extension.resume_offset_;
  return json::serialize(request);
}

auto ParseChatChunk(std::string_view data) -> std::optional<ChatChunk> {
  const auto event = Parse(data);
  if (!event) {
    return std::nullopt;
  }
  ChatChunk chunk;
  chunk.request_id_ = Text(*event, "request_id");
  chunk.data_ = data;
  chunk.content_ = DeltaText(*event);
  const auto offset = Number(*event, "offset");
  if (!offset) {
    return std::nullopt;
  }
  chunk.offset_ = *offset;
  const auto* usage = event->if_contains("usage");
  if (usage != nullptr && usage->is_object()) {
    chunk.total_tokens_ = Number(usage->get_object(), "completion_tokens");
  }
  chunk.total_tokens_ = Number(*event, "total_tokens");
  chunk.tokens_ =
      Number(*event, "tokens").value_or(chunk.total_tokens_ ? 0 : 1);
  return chunk;
}

auto BuildChatResponse(std::string_view request_id, std::string_view model,
                       std::string_view content, std::uint64_t tokens)
    -> std::string {
  const auto view = [](std::string_view text) {
    return json::string_view(text.data(), text.size());
  };
  const json::object response = {
      {"id", view(request_id)},
      {"object", "chat.completion"},
      {"model", view(model)},
      {"choices", json::array{json::object{
                      {"index", 0},
                      {"finish_reason", "stop"},
                      {"message", json::object{{"role", "assistant"},
                                               {"content", view(content)}}}}}},
      {"usage", json::object{{"completion_tokens", tokens}}}};
  return json::serialize(response);
}

auto ParseEngineReport(std::string_view body) -> std::optional<EngineReport> {
  const auto object = Parse(body);
  if (!object) {
    return std::nullopt;
  }
  EngineReport report;
  const auto incarnation = Number(*object, "incarnation");
  if (!incarnation) {
    return std::nullopt;
  }
  report.incarnation_ = *incarnation;
  report.draining_ = Flag(*object, "draining");
  report.role_ = Text(*object, "role");
  report.memory_total_mb_ = Number(*object, "memory_total_mb").value_or(0);
  report.memory_used_mb_ = Number(*object, "memory_used_mb").value_or(0);
  report.slots_ = Number(*object, "slots").value_or(0);
  report.load_ = {Number(*object, "running").value_or(0),
                  Number(*object, "waiting").value_or(0)};
  report.honours_fence_ = Flag(*object, "honours_fence");
  report.fence_ = Number(*object, "fence").value_or(0);
  report.adapters_ = Texts(*object, "adapters");
  ForEachObject(*object, "models", [&report](const json::object& model) {
    report.models_.push_back({Text(model, "name"), Text(model, "version"),
                              Number(model, "memory_mb").value_or(0),
                              Text(model, "state")});
  });
  ForEachObject(*object, "finished_orders",
                [&report](const json::object& order) {
                  report.finished_orders_.push_back({Text(order, "order_id"),
                                                     Flag(order, "ok"),
                                                     Text(order, "reason")});
                });
  report.text_ = body;
  return report;
}

auto ParseCacheEvents(std::string_view body)
    -> std::optional<EngineCacheEvents> {
  const auto object = Parse(body);
  const auto last = object ? Number(*object, "last") : std::nullopt;
  if (!last) {
    return std::nullopt;
  }
  EngineCacheEvents result;
  result.incarnation_ = Number(*object, "incarnation").value_or(0);
  result.last_ = *last;
  ForEachObject(*object, "events", [&result](const json::object& event) {
    // Blocks are 64-bit numbers sent as text, since JSON numbers lose digits.
    const auto block = Text(event, "block");
    EngineCacheEvent entry{Number(event, "sequence").value_or(0),
                           Text(event, "kind") == "removed",
                           Text(event, "model"), 0};
    std::from_chars(block.data(), block.data() + block.size(), entry.block_);
    result.events_.push_back(std::move(entry));
  });
  return result;
}

auto BuildOrderBody(const EngineOrder& order) -> std::string {
  json::object body = {{"order_id", order.order_id_},
                       {"fence", order.fence_},
                       {"kind", order.kind_}};
  if (!order.model_.empty()) {
    body["model"] = order.model_;
  }
  if (!order.adapter_.empty()) {
    body["adapter"] = order.adapter_;
  }
  if (!order.value_.empty()) {
    body["value"] = order.value_;
  }
  if (order.memory_mb_ > 0) {
    body["memory_mb"] = order.memory_mb_;
  }
  return json::serialize(body);
}

}  // namespace baobab
