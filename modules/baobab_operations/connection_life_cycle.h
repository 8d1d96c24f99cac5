#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstdint>

namespace baobab {

/// State of the connection that carries a stream.
enum class ConnectionState : std::uint8_t {
  kActive,   ///< Data arrives within the agreed interval.
  kProbing,  ///< Silent; its target is probed on a new connection.
  kDead,     ///< Silent although the target answers, or the target is down.
  kClosed,   ///< The stream ended.
};

/// Events of the life cycle of a connection.
namespace connection_event {
struct Data {};
struct Silence {};
struct ProbeAnswered {};
struct ProbeFailed {};
struct Close {};
}  // namespace connection_event

/// Transition table of a connection. A dead connection stays dead: its stream
/// has moved, so that data that arrives late is dropped.
class ConnectionLifeCycleDef
    : public boost::msm::front::state_machine_def<ConnectionLifeCycleDef> {
 public:
  using no_message_queue = int;
  using no_exception_thrown = int;

  template <ConnectionState kValue>
  struct State : boost::msm::front::state<> {
    template <class Event, class Machine>
    auto on_entry(const Event& /*event*/, Machine& machine) -> void {
      machine.state_ = kValue;
    }
  };
  using Active = State<ConnectionState::kActive>;
  using Probing = State<ConnectionState::kProbing>;
  using Dead = State<ConnectionState::kDead>;
  using Closed = State<ConnectionState::kClosed>;
  using initial_state = Active;

  template <class Source, class Event, class Target>
  using Row = boost::msm::front::Row<Source, Event, Target>;
  struct transition_table
      : boost::mpl::vector<
            //  source   event                            target
            Row<Active, connection_event::Silence, Probing>,
            Row<Active, connection_event::ProbeFailed, Dead>,
            Row<Active, connection_event::Close, Closed>,
            Row<Probing, connection_event::Data, Active>,
            Row<Probing, connection_event::ProbeAnswered, Dead>,
            Row<Probing, connection_event::ProbeFailed, Dead>,
            Row<Probing, connection_event::Close, Closed>> {};

  template <class Machine, class Event>
  auto no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) -> void {}

  /// The current state.
  [[nodiscard]] auto state() const -> ConnectionState { return state_; }

 private:
  ConnectionState state_ = ConnectionState::kActive;
};

/// The life cycle of one connection; call start() once, then process_event.
using ConnectionLifeCycle =
    boost::msm::back::state_machine<ConnectionLifeCycleDef>;

}  // namespace baobab
