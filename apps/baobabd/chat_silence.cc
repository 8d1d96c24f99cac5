// Half-open connections of ChatController: silence, probes, resumption.

#include "chat_controller.h"

namespace baobab {

auto ChatController::OnData(const ChatWork& work, ChatAttempt& attempt)
    -> void {
  const auto now = context_.Now();
  if (attempt.watched_) {
    silence_.OnData(attempt.id_, now);
  } else if (!work.caller_blocked_) {
    // Watched from the first token on: before it a request may wait for a slot.
    silence_.Add(attempt.id_,
                 targets_.selector().table().info(attempt.target_).id_,
                 context_.settings_.stream_interval_, now);
    attempt.watched_ = true;
  }
}

auto ChatController::WatchSilence() -> void {
  OnSilence(silence_.Tick(context_.Now()));
}

auto ChatController::OnSilence(const std::vector<SilenceAction>& actions)
    -> void {
  for (const auto& action : actions) {
    switch (action.kind_) {
      case SilenceAction::Kind::kProbe:
        ProbeSilent(action.target_);
        break;
      case SilenceAction::Kind::kTargetDown:
        if (const auto target =
                targets_.selector().table().FindTarget(action.target_)) {
          targets_.OnUnreachable(*target);
        }
        break;
      case SilenceAction::Kind::kResume:
        ResumeSilent(action.stream_);
        break;
    }
  }
}

auto ChatController::ProbeSilent(const TargetId& target) -> void {
  const auto index = targets_.selector().table().FindTarget(target);
  if (!index) {
    OnSilence(silence_.OnProbe(target, false, context_.Now()));
    return;
  }
  context_.metrics_.Add("baobab_silence_probes_total", "");
  targets_.Probe(*index, [this, target](bool answered) {
    OnSilence(silence_.OnProbe(target, answered, context_.Now()));
  });
}

auto ChatController::ResumeSilent(RouteAttemptId attempt) -> void {
  const auto work = Find(attempt);
  if (!work) {
    silence_.Remove(attempt);
    return;
  }
  context_.targets_.Send(CancelAttempt{attempt});
  DropAttempt(work, attempt, AttemptEnd::kFailed);
  Resume(work, {502, Outcome::kUnknown, "stream", "",
                "the connection to the target went silent", std::nullopt});
}

}  // namespace baobab
