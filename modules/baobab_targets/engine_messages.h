#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobab {

/// One event of a completion stream, with its place in tokens.
struct ChatChunk {
  std::string request_id_;
  std::uint64_t offset_ = 0;  ///< Index of the first token in this chunk.
  std::uint64_t tokens_ = 0;  ///< Number of tokens in this chunk.
  std::string content_;       ///< Text of the tokens.
  std::string data_;          ///< The JSON text as received.
  /// Set on the end-of-stream marker: number of tokens of the whole response.
  std::optional<std::uint64_t> total_tokens_;
};

/// Extension fields of a completion request.
struct ChatExtension {
  std::string request_id_;
  int priority_ = 0;  ///< Higher runs earlier.
  std::uint64_t resume_offset_ = 0;
};

/// What a caller's completion request says.
struct ChatSummary {
  std::string model_;
  std::string adapter_;
  bool stream_ = false;
  std::uint64_t max_tokens_ = 0;  ///< 0 if not given.
  std::string prompt_;  ///< "role:text" of each message, one per line.
};

/// Reads a caller's completion request. Returns nothing, with the reason in
/// `error`, if it is not a valid request.
[[nodiscard]] auto ParseChatRequest(std::string_view body, std::string& error)
    -> std::optional<ChatSummary>;

/// Returns the caller's request with the extension fields set and streaming
/// turned on. `body` must have passed ParseChatRequest.
[[nodiscard]] auto BuildChatBody(std::string_view body,
                                 const ChatExtension& extension) -> std::string;

/// Reads the data of one stream event. Returns nothing if it is malformed.
[[nodiscard]] auto ParseChatChunk(std::string_view data)
    -> std::optional<ChatChunk>;

/// Builds the single JSON response of a caller that did not ask for a stream.
[[nodiscard]] auto BuildChatResponse(std::string_view request_id,
                                     std::string_view model,
                                     std::string_view content,
                                     std::uint64_t tokens) -> std::string;

/// A copy of a model as an engine reports it.
struct EngineModel {
  std::string name_;
  std::string version_;
  std::uint64_t memory_mb_ = 0;
  std::string state_;  ///< loading, loaded or unloading.
};

/// An order that an engine reports as ended.
struct FinishedOrder {
  std::string order_id_;
  bool ok_ = false;
  std::string reason_;
};

/// Running and waiting requests, from a report or from response headers.
struct EngineLoad {
  std::uint64_t running_ = 0;
  std::uint64_t waiting_ = 0;
};

/// An engine's report (GET /admin/report).
struct EngineReport {
  std::uint64_t incarnation_ = 0;
  bool draining_ = false;
  std::string role_;
  std::uint64_t memory_total_mb_ = 0;
  std::uint64_t memory_used_mb_ = 0;
  std::uint64_t slots_ = 0;
  EngineLoad load_;
  bool honours_fence_ = false;
  std::uint64_t fence_ = 0;
  std::vector<EngineModel> models_;
  std::vector<std::string> adapters_;
  std::vector<FinishedOrder> finished_orders_;
  std::string text_;  ///< The JSON text as received.
};

/// Reads a report. Returns nothing if it is malformed.
[[nodiscard]] auto ParseEngineReport(std::string_view body)
    -> std::optional<EngineReport>;

/// One change of an engine's prefix cache.
struct EngineCacheEvent {
  std::uint64_t sequence_ = 0;  ///< Consecutive per incarnation.
  bool removed_ = false;
  std::string model_;
  std::uint64_t block_ = 0;  ///< Hash of the prompt up to the block's end.
};

/// Answer of GET /admin/cache_events.
struct EngineCacheEvents {
  std::uint64_t incarnation_ = 0;
  std::uint64_t last_ = 0;  ///< Number to ask for events after.
  std::vector<EngineCacheEvent> events_;
};

/// Reads cache events. Returns nothing if they are malformed.
[[nodiscard]] auto ParseCacheEvents(std::string_view body)
    -> std::optional<EngineCacheEvents>;

/// An order to an engine (POST /admin/orders).
struct EngineOrder {
  std::string order_id_;
  std::uint64_t fence_ = 0;
  /// load, unload, load_adapter, unload_adapter, set_role, set_version, cancel.
  std::string kind_;
  std::string model_;
  std::string adapter_;
  std::string value_;  ///< Version, role or request id, by kind.
  std::uint64_t memory_mb_ = 0;
};

/// Returns the JSON body of `order`.
[[nodiscard]] auto BuildOrderBody(const EngineOrder& order) -> std::string;

}  // namespace baobab
