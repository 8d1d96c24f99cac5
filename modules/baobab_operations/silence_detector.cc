#include "baobab_operations/silence_detector.h"

#include <algorithm>

namespace baobab {

SilenceDetector::SilenceDetector(SilenceSettings settings)
    : settings_(settings) {}

auto SilenceDetector::Add(StreamId stream, const TargetId& target,
                          Duration interval, TimePoint now) -> void {
  auto& record = streams_[stream];
  record.target_ = target;
  record.interval_ = interval;
  record.last_data_ = now;
  record.life_cycle_.start();
}

auto SilenceDetector::OnData(StreamId stream, TimePoint now) -> bool {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) {
    return false;
  }
  auto& record = found->second;
  record.life_cycle_.process_event(connection_event::Data{});
  record.last_data_ = now;
  return record.life_cycle_.state() == ConnectionState::kActive;
}

auto SilenceDetector::Remove(StreamId stream) -> void {
  streams_.erase(stream);
}

auto SilenceDetector::Tick(TimePoint now) -> std::vector<SilenceAction> {
  std::vector<SilenceAction> actions;
  for (auto& [id, stream] : streams_) {
    if (stream.life_cycle_.state() != ConnectionState::kActive ||
        now - stream.last_data_ <
            settings_.silent_intervals_ * stream.interval_) {
      continue;
    }
    // A probe sent before this connection went silent does not speak for it.
    if (probes_.try_emplace(stream.target_, now).second) {
      actions.push_back({SilenceAction::Kind::kProbe, stream.target_, 0});
    }
    if (probes_.at(stream.target_) == now) {
      stream.life_cycle_.process_event(connection_event::Silence{});
    }
  }
  std::vector<TargetId> late;
  for (const auto& [target, sent] : probes_) {
    if (now - sent >= settings_.probe_timeout_) {
      late.push_back(target);
    }
  }
  for (const auto& target : late) {
    const auto failed = OnProbe(target, false, now);
    actions.insert(actions.end(), failed.begin(), failed.end());
  }
  return actions;
}

auto SilenceDetector::OnProbe(const TargetId& target, bool answered,
                              TimePoint now) -> std::vector<SilenceAction> {
  std::vector<SilenceAction> actions;
  const auto probe = probes_.find(target);
  if (probe == probes_.end()) {
    return actions;
  }
  const auto sent = probe->second;
  probes_.erase(probe);
  // Data after the probe was sent shows that the target lives, whatever
  // became of the probe.
  const bool alive =
      std::any_of(streams_.begin(), streams_.end(), [&](const auto& entry) {
        return entry.second.target_ == target &&
               entry.second.last_data_ > sent && entry.second.last_data_ <= now;
      });
  if (!answered && !alive) {
    actions.push_back({SilenceAction::Kind::kTargetDown, target, 0});
  }
  for (auto& [id, stream] : streams_) {
    if (stream.target_ != target ||
        stream.life_cycle_.state() == ConnectionState::kDead) {
      continue;
    }
    if (answered || alive) {
      stream.life_cycle_.process_event(connection_event::ProbeAnswered{});
    } else {
      stream.life_cycle_.process_event(connection_event::ProbeFailed{});
    }
    if (stream.life_cycle_.state() == ConnectionState::kDead) {
      actions.push_back({SilenceAction::Kind::kResume, target, id});
    }
  }
  return actions;
}

}  // namespace baobab
