#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "stand_ins/engine.h"

namespace baobab::stand_in {

/// A parsed chat completion call.
struct ChatCall {
  ChatRequest request_;
  bool stream_ = false;
};

/// Reads the body of `POST /v1/chat/completions`.
[[nodiscard]] auto ReadChatCall(std::string_view body) -> ChatCall;

/// Reads the body of `POST /admin/orders`.
[[nodiscard]] auto ReadOrder(std::string_view body) -> Order;

/// KV cache blocks in the body of `POST /admin/kv/import`, and in the answer
/// of `POST /admin/kv/export`.
struct KvBlocks {
  std::string model_;
  std::vector<std::uint64_t> blocks_;
};

/// Reads KV cache blocks.
[[nodiscard]] auto ReadKvBlocks(std::string_view body) -> KvBlocks;

/// Answers an export: the blocks of the prompt in `body`.
[[nodiscard]] auto ExportAnswer(std::string_view body) -> std::string;

/// Renders one token of a streamed answer as a server-sent event.
[[nodiscard]] auto StreamEvent(const ChatRequest& request,
                               const ChatToken& token) -> std::string;

/// Renders the end-of-stream marker of an answer of `total` tokens, counted
/// from offset zero.
[[nodiscard]] auto StreamEnd(const ChatRequest& request, std::size_t total)
    -> std::string;

/// Renders the whole answer with `text` of `tokens` tokens.
[[nodiscard]] auto WholeAnswer(const ChatRequest& request,
                               const std::string& text, std::size_t tokens)
    -> std::string;

/// HTTP status of a refusal.
[[nodiscard]] auto RefusalStatus(Refusal refusal) -> unsigned;

/// Error body of a refusal.
[[nodiscard]] auto RefusalBody(Refusal refusal) -> std::string;

}  // namespace baobab::stand_in
