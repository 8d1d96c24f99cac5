#pragma once

#include <string>

#include "baobab_base/metrics_registry.h"

namespace baobab::gateway {

/// Formats a metric label as name="value". Does not escape `value`.
[[nodiscard]] inline auto Label(const std::string& name,
                                const std::string& value) -> std::string {
  return name + "=\"" + value + "\"";
}

}  // namespace baobab::gateway
