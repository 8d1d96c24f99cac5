#include "baobab_base/outcome.h"

namespace baobab {

auto ToString(Outcome outcome) -> std::string_view {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace baobab
