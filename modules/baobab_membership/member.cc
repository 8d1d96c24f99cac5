#include "baobab_membership/member.h"

namespace baobab::membership {

auto ToString(MemberState state) -> std::string_view {
  switch (state) {
    case MemberState::kStarting:
      return "starting";
    case MemberState::kReady:
      return "ready";
    case MemberState::kDraining:
      break;
  }
  return "draining";
}

auto ToString(Liveness liveness) -> std::string_view {
  switch (liveness) {
    case Liveness::kAlive:
      return "alive";
    case Liveness::kSuspect:
      return "suspect";
    case Liveness::kDead:
      return "dead";
    case Liveness::kLeft:
      break;
  }
  return "left";
}

}  // namespace baobab::membership
