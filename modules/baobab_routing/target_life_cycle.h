#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstdint>

namespace baobab {

/// State of a target as this instance sees it.
enum class TargetState : std::uint8_t {
  kUp,        ///< Takes new work.
  kDraining,  ///< Finishes its work, takes none.
  kDown,      ///< Unreachable; may come back.
  kGone,      ///< Left for good.
};

/// Events of the life cycle of a target.
namespace target_event {
struct Unreachable {};  ///< A probe on a new connection failed.
struct Reachable {};    ///< A probe, an answer or a report arrived.
struct Drain {};        ///< Its report, the instance list or a peer says so.
struct Restarted {};    ///< It reports a new incarnation.
struct Removed {};      ///< The instance list says that it ended.
}  // namespace target_event

/// Transition table of a target. A draining target stays so until it ends or
/// reports a new incarnation: late reports and lists cannot undo a drain.
class TargetLifeCycleDef
    : public boost::msm::front::state_machine_def<TargetLifeCycleDef> {
 public:
  using no_message_queue = int;
  using no_exception_thrown = int;

  template <TargetState kValue>
  struct State : boost::msm::front::state<> {
    template <class Event, class Machine>
    auto on_entry(const Event& /*event*/, Machine& machine) -> void {
      machine.state_ = kValue;
    }
  };
  using Up = State<TargetState::kUp>;
  using Draining = State<TargetState::kDraining>;
  using Down = State<TargetState::kDown>;
  using Gone = State<TargetState::kGone>;
  using initial_state = Up;

  template <class Source, class Event, class Target>
  using Row = boost::msm::front::Row<Source, Event, Target>;
  struct transition_table : boost::mpl::vector<
                                //  source    event                      target
                                Row<Up, target_event::Unreachable, Down>,
                                Row<Up, target_event::Drain, Draining>,
                                Row<Up, target_event::Removed, Gone>,
                                Row<Down, target_event::Reachable, Up>,
                                Row<Down, target_event::Restarted, Up>,
                                Row<Down, target_event::Drain, Draining>,
                                Row<Down, target_event::Removed, Gone>,
                                Row<Draining, target_event::Restarted, Up>,
                                Row<Draining, target_event::Removed, Gone>,
                                Row<Gone, target_event::Restarted, Up>> {};

  template <class Machine, class Event>
  auto no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) -> void {}

  /// The current state.
  [[nodiscard]] auto state() const -> TargetState { return state_; }

 private:
  TargetState state_ = TargetState::kUp;
};

/// The life cycle of one target; call start() once, then process_event.
using TargetLifeCycle = boost::msm::back::state_machine<TargetLifeCycleDef>;

}  // namespace baobab
