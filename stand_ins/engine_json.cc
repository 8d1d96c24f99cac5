#include "stand_ins/engine_json.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "stand_ins/json_fields.h"

namespace baobab::stand_in {

namespace json = boost::json;

namespace {

auto Prompt(const json::object& body) -> std::string {
  std::string prompt;
  const auto* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return prompt;
  }
  for (const auto& message : messages->get_array()) {
    if (message.is_object()) {
      prompt += TextField(message.get_object(), "role") + ":" +
                TextField(message.get_object(), "content") + "\n";
    }
  }
  return prompt;
}

auto ErrorCode(Refusal refusal) -> const char* {
  switch (refusal) {
    case Refusal::kModelMissing:
      return "model_not_loaded";
    case Refusal::kAdapterMissing:
      return "adapter_not_loaded";
    case Refusal::kQueueFull:
      return "queue_full";
    case Refusal::kBadOffset:
      return "resume_offset_beyond_end";
    case Refusal::kNone:
      break;
  }
  return "none";
}

auto Usage(std::size_t completion_tokens) -> json::object {
  return {{"completion_tokens", completion_tokens}};
}

auto RenderEvent(std::size_t id, const json::object& event) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: " + json::serialize(event) +
         "\n\n";
}

}  // namespace

auto ReadChatCall(std::string_view body) -> ChatCall {
  const auto object = ParseObject(body);
  ChatCall call;
  call.stream_ = FlagField(object, "stream");
  auto& request = call.request_;
  request.request_id_ = TextField(object, "request_id");
  request.model_ = TextField(object, "model");
  request.adapter_ = TextField(object, "adapter");
  request.prompt_ = Prompt(object);
  request.max_tokens_ = static_cast<std::size_t>(std::clamp<std::int64_t>(
      NumberField(object, "max_tokens", 64), 1, 1 << 20));
  request.priority_ = NumberField(object, "priority");
  request.resume_offset_ = static_cast<std::size_t>(
      std::max<std::int64_t>(0, NumberField(object, "resume_offset")));
  return call;
}

auto ReadOrder(std::string_view body) -> Order {
  const auto object = ParseObject(body);
  Order order;
  order.order_id_ = TextField(object, "order_id");
  order.fence_ = NumberField(object, "fence");
  order.kind_ = TextField(object, "kind");
  const auto value = TextField(object, "value");
  order.model_ = order.kind_ == "cancel" ? value : TextField(object, "model");
  order.adapter_ = TextField(object, "adapter");
  order.version_ = value.empty() ? "1" : value;
  order.role_ = value;
  order.memory_mb_ = NumberField(object, "memory_mb");
  return order;
}

auto ReadKvBlocks(std::string_view body) -> KvBlocks {
  const auto object = ParseObject(body);
  KvBlocks result;
  result.model_ = TextField(object, "model");
  if (const auto* list = object.if_contains("blocks");
      list != nullptr && list->is_array()) {
    for (const auto& block : list->get_array()) {
      if (block.is_string()) {
        result.blocks_.push_back(
            std::stoull("0" + std::string(block.get_string())));
      }
    }
  }
  return result;
}

auto ExportAnswer(std::string_view body) -> std::string {
  const auto model = TextField(ParseObject(body), "model");
  json::array blocks;
  for (const auto block : BlockHashes(model, Prompt(ParseObject(body)))) {
    blocks.push_back(json::value(std::to_string(block)));
  }
  return json::serialize(
      json::object{{"model", model}, {"blocks", std::move(blocks)}});
}

auto StreamEvent(const ChatRequest& request, const ChatToken& token)
    -> std::string {
  json::object choice{{"index", 0},
                      {"delta", {{"content", token.text_}}},
                      {"finish_reason", nullptr}};
  return RenderEvent(token.offset_, {{"id", request.request_id_},
                                     {"object", "chat.completion.chunk"},
                                     {"request_id", request.request_id_},
                                     {"model", request.model_},
                                     {"offset", token.offset_},
                                     {"tokens", 1},
                                     {"choices", json::array{choice}}});
}

auto StreamEnd(const ChatRequest& request, std::size_t total) -> std::string {
  json::object choice{
      {"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}};
  return RenderEvent(total, {{"id", request.request_id_},
                             {"object", "chat.completion.chunk"},
                             {"request_id", request.request_id_},
                             {"model", request.model_},
                             {"offset", total},
                             {"tokens", 0},
                             {"total_tokens", total},
                             {"choices", json::array{choice}},
                             {"usage", Usage(total)}}) +
         "data: [DONE]\n\n";
}

auto WholeAnswer(const ChatRequest& request, const std::string& text,
                 std::size_t tokens) -> std::string {
  json::object choice{{"index", 0},
                      {"message", {{"role", "assistant"}, {"content", text}}},
                      {"finish_reason", "stop"}};
  return json::serialize(json::object{{"id", request.request_id_},
                                      {"object", "chat.completion"},
                                      {"model", request.model_},
                                      {"choices", json::array{choice}},
                                      {"usage", Usage(tokens)}});
}

auto RefusalStatus(Refusal refusal) -> unsigned {
  switch (refusal) {
    case Refusal::kModelMissing:
    case Refusal::kAdapterMissing:
      return 404;
    case Refusal::kBadOffset:
      return 400;
    default:
      return 429;
  }
}

auto RefusalBody(Refusal refusal) -> std::string {
  return json::serialize(
      json::object{{"error", {{"code", ErrorCode(refusal)}}}});
}

}  // namespace baobab::stand_in
