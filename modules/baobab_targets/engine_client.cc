#include "baobab_targets/engine_client.h"

#include <charconv>
#include <optional>
#include <utility>

#include "baobab_targets/sse_parser.h"

namespace baobab {
namespace {

constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxErrorBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxReportBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxCacheBytes = std::size_t{64} * 1024 * 1024;

/// State of one completion stream.
struct ChatStream {
  ChatEvents events_;
  SseParser parser_{kMaxEventBytes};
  std::string peer_;
  unsigned status_ = 0;
  std::string error_body_;
  bool ended_ = false;  // the end marker arrived
  bool failed_ = false;
  std::weak_ptr<TargetExchange> exchange_;
};

auto Fail(const std::shared_ptr<ChatStream>& stream, AttemptFailure failure)
    -> void {
  if (std::exchange(stream->failed_, true)) {
    return;
  }
  if (const auto exchange = stream->exchange_.lock()) {
    exchange->Cancel();
  }
  stream->events_.on_failure_(
      {std::move(failure), stream->status_, std::move(stream->error_body_)});
}

auto FailDecode(const std::shared_ptr<ChatStream>& stream, std::string reason)
    -> void {
  AttemptFailure failure;
  failure.step_ = "decode";
  failure.peer_ = stream->peer_;
  failure.reason_ = std::move(reason);
  Fail(stream, std::move(failure));
}

auto OnEvent(const std::shared_ptr<ChatStream>& stream, const SseEvent& event)
    -> void {
  if (stream->failed_ || stream->ended_) {
    return;
  }
  if (event.data_ == "[DONE]") {
    stream->ended_ = true;
    return;
  }
  auto chunk = ParseChatChunk(event.data_);
  if (!chunk) {
    FailDecode(stream, "the stream holds an event that is not a chunk");
    return;
  }
  stream->events_.on_chunk_(std::move(*chunk));
}

auto ParseCount(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t count = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), count);
  return parsed.ec == std::errc() ? std::optional(count) : std::nullopt;
}

auto OnHead(const std::shared_ptr<ChatStream>& stream,
            const TargetResponseHead& head) -> void {
  const auto running = ParseCount(head.Header("X-Engine-Running"));
  const auto waiting = ParseCount(head.Header("X-Engine-Waiting"));
  if (running && waiting && stream->events_.on_load_) {
    stream->events_.on_load_({*running, *waiting});
  }
}

auto OnData(const std::shared_ptr<ChatStream>& stream, std::string_view bytes)
    -> void {
  if (stream->failed_) {
    return;
  }
  if (stream->status_ != 200) {
    if (stream->error_body_.size() + bytes.size() > kMaxErrorBytes) {
      FailDecode(stream, "an error response exceeds " +
                             std::to_string(kMaxErrorBytes) + " bytes");
      return;
    }
    stream->error_body_ += bytes;
    return;
  }
  const bool fits = stream->parser_.Feed(
      bytes, [&stream](const SseEvent& event) { OnEvent(stream, event); });
  if (!fits) {
    FailDecode(stream, "a stream event exceeds " +
                           std::to_string(kMaxEventBytes) + " bytes");
  }
}

auto OnEnd(const std::shared_ptr<ChatStream>& stream) -> void {
  if (stream->failed_) {
    return;
  }
  if (stream->status_ == 200) {
    if (stream->ended_) {
      stream->events_.on_end_();
    } else {
      FailDecode(stream, "the stream ended without its end marker");
    }
    return;
  }
  AttemptFailure failure;
  const bool rejected = (stream->status_ >= 400 && stream->status_ < 500) ||
                        stream->status_ == 503;
  failure.outcome_ = rejected ? Outcome::kNotRun : Outcome::kUnknown;
  failure.step_ = "receive";
  failure.peer_ = stream->peer_;
  failure.reason_ = "status " + std::to_string(stream->status_);
  Fail(stream, std::move(failure));
}

}  // namespace

auto EngineClient::Post(const TargetEndpoint& endpoint, std::string path,
                        std::string body) -> TargetRequest {
  TargetRequest request;
  request.endpoint_ = endpoint;
  request.method_ = "POST";
  request.path_ = std::move(path);
  request.headers_ = {{"Content-Type", "application/json"}};
  request.body_ = std::move(body);
  request.timeouts_ = timeouts_;
  return request;
}

auto EngineClient::StartChat(const TargetEndpoint& endpoint, std::string body,
                             bool new_connection, ChatEvents events)
    -> std::shared_ptr<TargetExchange> {
  auto request = Post(endpoint, "/v1/chat/completions", std::move(body));
  request.new_connection_ = new_connection;
  auto stream = std::make_shared<ChatStream>();
  stream->events_ = std::move(events);
  stream->peer_ = endpoint.ToString();
  ExchangeEvents inner;
  inner.on_head_ = [stream](const TargetResponseHead& head) {
    stream->status_ = head.status_;
    OnHead(stream, head);
  };
  inner.on_data_ = [stream](std::string_view bytes) { OnData(stream, bytes); };
  inner.on_end_ = [stream] { OnEnd(stream); };
  inner.on_failure_ = [stream](const AttemptFailure& failure) {
    Fail(stream, failure);
  };
  auto exchange =
      TargetExchange::Start(pool_, std::move(request), std::move(inner));
  stream->exchange_ = exchange;
  return exchange;
}

auto EngineClient::FetchReport(const TargetEndpoint& endpoint,
                               bool new_connection,
                               const CallEvents<EngineReport>& events) -> void {
  TargetRequest request;
  request.endpoint_ = endpoint;
  request.path_ = "/admin/report";
  request.timeouts_ = timeouts_;
  request.timeouts_.head_ = timeouts_.connect_;
  request.new_connection_ = new_connection;
  WholeEvents whole;
  whole.on_failure_ = events.on_failure_;
  whole.on_response_ =
      [events, peer = endpoint.ToString()](const TargetResponse& response) {
        auto report = response.head_.status_ == 200
                          ? ParseEngineReport(response.body_)
                          : std::nullopt;
        if (report) {
          events.on_result_(std::move(*report));
          return;
        }
        AttemptFailure failure;
        failure.step_ = "decode";
        failure.peer_ = peer;
        failure.reason_ =
            "no report, status " + std::to_string(response.head_.status_);
        events.on_failure_(failure);
      };
  StartWholeExchange(pool_, std::move(request), kMaxReportBytes,
                     std::move(whole));
}

auto EngineClient::SendOrder(const TargetEndpoint& endpoint,
                             const EngineOrder& order, WholeEvents events)
    -> void {
  StartWholeExchange(pool_,
                     Post(endpoint, "/admin/orders", BuildOrderBody(order)),
                     kMaxReportBytes, std::move(events));
}

auto EngineClient::FetchCacheEvents(const TargetEndpoint& endpoint,
                                    std::uint64_t after, WholeEvents events)
    -> void {
  TargetRequest request;
  request.endpoint_ = endpoint;
  request.path_ = "/admin/cache_events?after=" + std::to_string(after);
  request.timeouts_ = timeouts_;
  StartWholeExchange(pool_, std::move(request), kMaxReportBytes,
                     std::move(events));
}

auto EngineClient::MoveCache(const TargetEndpoint& endpoint, bool import,
                             std::string body, WholeEvents events) -> void {
  auto request =
      Post(endpoint, import ? "/admin/kv/import" : "/admin/kv/export",
           std::move(body));
  StartWholeExchange(pool_, std::move(request), kMaxCacheBytes,
                     std::move(events));
}

}  // namespace baobab
