#include "load_generator.h"

#include <boost/json.hpp>
#include <random>

#include "stand_ins/json_fields.h"

namespace baobab::load {

namespace json = boost::json;

namespace {

constexpr std::size_t kLargestAnswer = std::size_t{1} << 20;
constexpr Duration kDeadline = std::chrono::seconds(60);

/// Prompt bytes and answer tokens of the two kinds of completions.
constexpr std::size_t kShortTokens = 32;
constexpr std::size_t kLongTokens = 256;
constexpr std::size_t kLongPromptBytes = 8192;

/// Long prompts share one of this many beginnings, as re-plan checks do.
constexpr std::uint64_t kVoyages = 16;

auto TokensOf(WorkKind kind) -> std::size_t {
  return kind == WorkKind::kLong ? kLongTokens : kShortTokens;
}

}  // namespace

LoadGenerator::LoadGenerator(boost::asio::io_context& context,
                             LoadSettings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed_),
      pool_(std::make_shared<ConnectionPool>(context, 256,
                                             std::chrono::seconds(30))),
      arrival_timer_(context),
      entry_timer_(context) {}

auto LoadGenerator::Start() -> void {
  next_arrival_ = clock_.Now();
  end_ = next_arrival_ + settings_.duration_;
  LookUpEntry();
}

auto LoadGenerator::LookUpEntry() -> void {
  std::uniform_int_distribution<std::size_t> pick(
      0, settings_.daemons_.size() - 1);
  Request request;
  request.daemon_ = settings_.daemons_[pick(random_)];
  WholeEvents events;
  events.on_response_ = [this](const TargetResponse& response) {
    OnEntry(response);
  };
  events.on_failure_ = [this](const AttemptFailure& /*failure*/) {
    OnEntry({});
  };
  StartWholeExchange(pool_, Message(request, "GET", "/v1/entry", ""),
                     kLargestAnswer, std::move(events));
}

auto LoadGenerator::OnEntry(const TargetResponse& response) -> void {
  const auto answer = stand_in::ParseObject(response.body_);
  const auto* list = answer.if_contains("addresses");
  std::vector<TargetEndpoint> found;
  if (list != nullptr && list->is_array()) {
    for (const auto& entry : list->get_array()) {
      const auto* text = entry.if_string();
      if (text == nullptr) {
        continue;
      }
      const std::string_view address(text->data(), text->size());
      if (const auto endpoint = ParseEndpoint(address)) {
        found.push_back(*endpoint);
      }
    }
  }
  const bool first = entry_.empty();
  const bool failed = found.empty();
  if (!failed) {
    entry_ = std::move(found);
  }
  if (first && !entry_.empty()) {
    next_arrival_ = clock_.Now();
    end_ = next_arrival_ + settings_.duration_;
    ScheduleNext();
  }
  if (clock_.Now() >= end_) {
    return;
  }
  constexpr std::int64_t kRetryMs = 200;
  entry_timer_.expires_after(std::chrono::milliseconds(
      failed ? kRetryMs
             : stand_in::NumberField(answer, "max_age_ms", kRetryMs)));
  entry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      LookUpEntry();
    }
  });
}

auto LoadGenerator::ScheduleNext() -> void {
  std::exponential_distribution<double> gap(settings_.rate_);
  next_arrival_ += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(random_)));
  if (next_arrival_ >= end_) {
    entry_timer_.cancel();
    return;
  }
  arrival_timer_.expires_at(next_arrival_);
  arrival_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      SendNow();
      ScheduleNext();
    }
  });
}

auto LoadGenerator::DrawKind() -> WorkKind {
  std::discrete_distribution<int> draw(settings_.mix_.begin(),
                                       settings_.mix_.end());
  return static_cast<WorkKind>(draw(random_));
}

auto LoadGenerator::SendNow() -> void {
  std::uniform_int_distribution<std::size_t> pick(0, entry_.size() - 1);
  Request request;
  request.kind_ = DrawKind();
  request.planned_ = next_arrival_;
  request.number_ = next_number_++;
  request.daemon_ = entry_[pick(random_)];
  ++results_[static_cast<std::size_t>(request.kind_)].sent_;
  ++shares_[request.daemon_];
  switch (request.kind_) {
    case WorkKind::kBooking:
      SendBooking(request);
      break;
    case WorkKind::kLookup:
      SendLookup(request);
      break;
    default:
      SendChat(request);
      break;
  }
}

auto LoadGenerator::Message(const Request& request, std::string method,
                            std::string path, std::string body) const
    -> TargetRequest {
  TargetRequest message;
  message.endpoint_ = request.daemon_;
  message.method_ = std::move(method);
  message.path_ = std::move(path);
  message.headers_ = {
      {"Authorization", "Bearer " + settings_.key_},
      {"Content-Type", "application/json"},
      {"X-Request-Id", "load-" + std::to_string(request.number_)}};
  message.body_ = std::move(body);
  message.timeouts_.head_ = kDeadline;
  message.timeouts_.body_ = kDeadline;
  message.timeouts_.total_ = kDeadline;
  return message;
}

auto LoadGenerator::Prompt(const Request& request) const -> std::string {
  std::string prompt;
  if (request.kind_ == WorkKind::kLong) {
    prompt = "voyage " + std::to_string(request.number_ % kVoyages) + " ";
    prompt.resize(kLongPromptBytes, '.');
  }
  return prompt + " request " + std::to_string(settings_.seed_) + "/" +
         std::to_string(request.number_);
}

auto LoadGenerator::SendChat(const Request& request) -> void {
  struct Stream {
    ChatAnswerCheck check_;
    unsigned status_ = 0;
    bool started_ = false;
  };
  const auto prompt = Prompt(request);
  const auto tokens = TokensOf(request.kind_);
  const auto stream =
      std::make_shared<Stream>(Stream{ChatAnswerCheck(prompt, tokens)});
  const auto body = json::serialize(json::object{
      {"model", settings_.models_[request.number_ % settings_.models_.size()]},
      {"max_tokens", tokens},
      {"stream", true},
      {"messages",
       json::array{json::object{{"role", "user"}, {"content", prompt}}}}});
  ExchangeEvents events;
  events.on_head_ = [stream](const TargetResponseHead& head) {
    stream->status_ = head.status_;
  };
  events.on_data_ = [this, stream, request](std::string_view bytes) {
    stream->check_.Feed(bytes);
    if (!stream->started_ && stream->check_.started()) {
      stream->started_ = true;
      results_[static_cast<std::size_t>(request.kind_)].first_token_.Record(
          clock_.Now() - request.planned_);
    }
  };
  events.on_end_ = [this, stream, request] {
    Finish(request, stream->check_.Finish(stream->status_));
  };
  events.on_failure_ = [this, request](const AttemptFailure& failure) {
    Fail(request, failure);
  };
  TargetExchange::Start(pool_,
                        Message(request, "POST", "/v1/chat/completions", body),
                        std::move(events));
}

auto LoadGenerator::SendBooking(const Request& request) -> void {
  WholeEvents events;
  events.on_response_ = [this, request](const TargetResponse& response) {
    const auto key =
        stand_in::TextField(stand_in::ParseObject(response.body_), "key");
    if (key.empty()) {
      Finish(request, VerdictOfProblem(response.body_));
    } else {
      Book(request, key);
    }
  };
  // A key that was not used books nothing.
  events.on_failure_ = [this, request](const AttemptFailure& /*failure*/) {
    Finish(request, Verdict::kNotRun);
  };
  StartWholeExchange(pool_, Message(request, "POST", "/v1/operation-keys", ""),
                     kLargestAnswer, std::move(events));
}

auto LoadGenerator::Book(const Request& request, const std::string& key)
    -> void {
  auto message = Message(
      request, "POST", "/v1/services/" + settings_.booking_service_ + "/book",
      R"({"number":)" + std::to_string(request.number_) + "}");
  message.headers_.emplace_back("Idempotency-Key", key);
  WholeEvents events;
  events.on_response_ = [this, request, key](const TargetResponse& response) {
    Finish(request, CheckBooking(response.head_.status_, response.body_, key));
  };
  events.on_failure_ = [this, request](const AttemptFailure& failure) {
    Fail(request, failure);
  };
  StartWholeExchange(pool_, std::move(message), kLargestAnswer,
                     std::move(events));
}

auto LoadGenerator::SendLookup(const Request& request) -> void {
  const auto path = "/slots/" + std::to_string(request.number_);
  WholeEvents events;
  events.on_response_ = [this, request, path](const TargetResponse& response) {
    Finish(request, CheckLookup(response.head_.status_, response.body_, path));
  };
  events.on_failure_ = [this, request](const AttemptFailure& failure) {
    Fail(request, failure);
  };
  StartWholeExchange(
      pool_,
      Message(request, "GET",
              "/v1/services/" + settings_.lookup_service_ + path, ""),
      kLargestAnswer, std::move(events));
}

auto LoadGenerator::Finish(const Request& request, Verdict verdict) -> void {
  auto& result = results_[static_cast<std::size_t>(request.kind_)];
  ++result.verdicts_[static_cast<std::size_t>(verdict)];
  if (verdict == Verdict::kWhole) {
    result.latency_.Record(clock_.Now() - request.planned_);
  }
}

auto LoadGenerator::Fail(const Request& request, const AttemptFailure& failure)
    -> void {
  Finish(request, failure.outcome_ == Outcome::kNotRun ? Verdict::kNotRun
                                                       : Verdict::kUnknown);
}

}  // namespace baobab::load
