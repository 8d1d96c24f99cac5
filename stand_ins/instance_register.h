#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "baobab_base/time_types.h"

namespace baobab::stand_in {

/// The instance list of the platform: changes become visible after a lag.
class InstanceRegister {
 public:
  /// `initial` is a JSON array of instances, visible at once; each has `id`
  /// and further members that are passed through.
  InstanceRegister(Duration lag, std::string_view initial);

  /// Records a change: a JSON object with `id`; members that it has replace
  /// those of the instance. Returns false if `id` is missing.
  auto Change(std::string_view body, TimePoint now) -> bool;

  /// Returns the answer of `GET /v1/instances` at `now`.
  auto List(TimePoint now) -> std::string;

 private:
  struct Pending {
    TimePoint visible_{};
    std::string change_;
  };

  auto Apply(std::string_view change) -> void;

  Duration lag_;
  std::map<std::string, std::string> instances_;  ///< JSON text by id.
  std::deque<Pending> pending_;
};

}  // namespace baobab::stand_in
