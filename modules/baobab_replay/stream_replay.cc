#include "baobab_replay/stream_replay.h"

#include <algorithm>
#include <chrono>

namespace baobab::replay {
namespace {

constexpr std::size_t kTargets = 2;
constexpr auto kTick = std::chrono::milliseconds(100);
constexpr auto kProbeTime = std::chrono::milliseconds(2);
constexpr auto kSettle = std::chrono::minutes(2);

auto TargetName(std::size_t target) -> TargetId {
  return TargetId("engine-" + std::to_string(target));
}

}  // namespace

StreamReplay::StreamReplay(const Trace& trace)
    : events_(trace.seed_, LinkFaults{}),
      interval_(trace.settings_.Milliseconds("interval_ms")),
      detector_(SilenceSettings{}) {
  for (const auto* name : {"complete", "unfinished", "wrong_tokens", "resumes",
                           "worst_silence_ms"}) {
    measures_[name] = 0;
  }
  events_.After(kTick, [this](TimePoint now) { Tick(now); });
}

auto StreamReplay::Apply(const TraceEvent& event) -> void {
  events_.RunUntil(event.at_);
  const auto& fields = event.fields_;
  if (event.type_ == "target") {
    const auto target = fields.Text("target") == "engine-0" ? 0U : 1U;
    down_[target] = fields.Text("state") == "down";
    return;
  }
  const auto id = fields.Text("id");
  if (event.type_ == "stream") {
    auto& stream = streams_[id];
    stream.tokens_ = static_cast<std::uint64_t>(fields.Number("tokens"));
    stream.last_token_ = event.at_;
    Connect(id, event.at_);
  } else if (event.type_ == "silence") {
    auto& connection = connections_.at(streams_.at(id).connection_);
    connection.silent_ = true;
    connection.late_ = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(fields.Number("late_ms", 0)));
  } else if (event.type_ == "cut") {
    auto& stream = streams_.at(id);
    connections_.at(stream.connection_).closed_ = true;
    stream.assembler_.OnClosed(stream.connection_);
    detector_.Remove(stream.connection_);
    Resume(id, event.at_);
  } else {
    fields.Fail("unknown event \"" + event.type_ + "\"");
  }
}

auto StreamReplay::Finish() -> Measures {
  events_.RunUntil(events_.now() + kSettle);
  for (const auto& [id, stream] : streams_) {
    ++measures_[stream.assembler_.complete() ? "complete" : "unfinished"];
  }
  return measures_;
}

auto StreamReplay::Connect(const std::string& id, TimePoint now) -> void {
  auto& stream = streams_.at(id);
  stream.connection_ = next_connection_++;
  connections_[stream.connection_] = {id};
  stream.assembler_.AddAttempt(stream.connection_);
  detector_.Add(stream.connection_, TargetName(stream.target_), interval_, now);
  events_.After(interval_, [this, connection = stream.connection_,
                            offset = stream.assembler_.offset()](TimePoint) {
    Produce(connection, offset);
  });
}

// The engine produces one token per interval, whether or not they arrive.
auto StreamReplay::Produce(StreamId connection, std::uint64_t offset) -> void {
  const auto& state = connections_.at(connection);
  const auto& stream = streams_.at(state.stream_);
  if (offset > stream.tokens_ || state.closed_ || down_[stream.target_]) {
    return;
  }
  if (!state.silent_) {
    Deliver(connection, offset, events_.now());
  } else if (state.late_ > Duration::zero()) {
    events_.After(state.late_, [this, connection, offset](TimePoint now) {
      Deliver(connection, offset, now);
    });
  }
  events_.After(interval_, [this, connection, offset](TimePoint) {
    Produce(connection, offset + 1);
  });
}

// Delivers the token at `offset`, or the end mark behind the last token.
auto StreamReplay::Deliver(StreamId connection, std::uint64_t offset,
                           TimePoint now) -> void {
  const auto& id = connections_.at(connection).stream_;
  auto& stream = streams_.at(id);
  if (!detector_.OnData(connection, now)) {
    return;
  }
  if (offset < stream.tokens_) {
    const auto payload = id + ":" + std::to_string(offset);
    if (stream.assembler_.OnChunk(connection, {offset, 1, payload}) ==
        StreamResult::kAccepted) {
      PassOn(payload, offset, now);
    }
  } else if (stream.assembler_.OnEnd(connection, stream.tokens_) ==
             StreamResult::kComplete) {
    detector_.Remove(connection);
    measures_["wrong_tokens"] += stream.passed_on_ == stream.tokens_ ? 0 : 1;
  }
}

auto StreamReplay::PassOn(const std::string& payload, std::uint64_t offset,
                          TimePoint now) -> void {
  const auto id = payload.substr(0, payload.rfind(':'));
  auto& stream = streams_.at(id);
  measures_["wrong_tokens"] += offset == stream.passed_on_ ? 0 : 1;
  ++stream.passed_on_;
  const double silence =
      std::chrono::duration<double, std::milli>(now - stream.last_token_)
          .count();
  measures_["worst_silence_ms"] =
      std::max(measures_["worst_silence_ms"], silence);
  stream.last_token_ = now;
}

auto StreamReplay::Resume(const std::string& id, TimePoint now) -> void {
  auto& stream = streams_.at(id);
  stream.assembler_.DropAttempts();
  if (down_[stream.target_]) {
    stream.target_ = (stream.target_ + 1) % kTargets;
  }
  ++measures_["resumes"];
  Connect(id, now);
}

auto StreamReplay::Tick(TimePoint now) -> void {
  for (const auto& action : detector_.Tick(now)) {
    Handle(action, now);
  }
  events_.After(kTick, [this](TimePoint at) { Tick(at); });
}

auto StreamReplay::Handle(const SilenceAction& action, TimePoint now) -> void {
  if (action.kind_ == SilenceAction::Kind::kProbe) {
    const std::size_t target = action.target_ == TargetName(0) ? 0 : 1;
    events_.After(
        kProbeTime, [this, target, name = action.target_](TimePoint at) {
          for (const auto& next : detector_.OnProbe(name, !down_[target], at)) {
            Handle(next, at);
          }
        });
  } else if (action.kind_ == SilenceAction::Kind::kResume) {
    detector_.Remove(action.stream_);
    Resume(connections_.at(action.stream_).stream_, now);
  }
}

}  // namespace baobab::replay
