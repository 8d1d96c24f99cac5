#pragma once

// MSM tables hold up to 20 rows by default; this one is smaller.
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <cstdint>

namespace baobab {

/// State of one operation at its owner.
enum class OperationState : std::uint8_t {
  kNew,        ///< Accepted; no byte has been handed to a target.
  kSending,    ///< Bytes may have reached a target; no answer yet.
  kCompleted,  ///< Answered; final.
  kNotRun,     ///< Certainly not executed; may be tried again here.
  kUnknown,    ///< May have been executed; final, never sent again.
};

/// Events of the life cycle of an operation.
namespace operation_event {
struct Send {};         ///< The request is about to be handed to a target.
struct Answer {};       ///< The target answered the current attempt.
struct NotExecuted {};  ///< No byte can have left, or the target rejected it.
struct Lost {};         ///< It failed after bytes may have left.
}  // namespace operation_event

/// Transition table of an operation. Events that a state does not name leave
/// it unchanged: late answers, second failures and sends of final operations.
class OperationLifeCycleDef
    : public boost::msm::front::state_machine_def<OperationLifeCycleDef> {
 public:
  // One machine per operation is kept for hours; without the queues it takes
  // a few bytes. Actions raise no events, so none can be deferred.
  using no_message_queue = int;
  using no_exception_thrown = int;

  template <OperationState kValue>
  struct State : boost::msm::front::state<> {
    template <class Event, class Machine>
    auto on_entry(const Event& /*event*/, Machine& machine) -> void {
      machine.state_ = kValue;
    }
  };
  using New = State<OperationState::kNew>;
  using Sending = State<OperationState::kSending>;
  using Completed = State<OperationState::kCompleted>;
  using NotRun = State<OperationState::kNotRun>;
  using Unknown = State<OperationState::kUnknown>;
  using initial_state = New;

  template <class Source, class Event, class Target>
  using Row = boost::msm::front::Row<Source, Event, Target>;
  struct transition_table
      : boost::mpl::vector<
            //  source   event                        target
            Row<New, operation_event::Send, Sending>,
            Row<New, operation_event::NotExecuted, NotRun>,
            Row<Sending, operation_event::Answer, Completed>,
            Row<Sending, operation_event::NotExecuted, NotRun>,
            Row<Sending, operation_event::Lost, Unknown>,
            Row<NotRun, operation_event::Send, Sending>> {};

  template <class Machine, class Event>
  auto no_transition(const Event& /*event*/, Machine& /*machine*/,
                     int /*state*/) -> void {}

  /// The current state.
  [[nodiscard]] auto state() const -> OperationState { return state_; }

 private:
  OperationState state_ = OperationState::kNew;
};

/// The life cycle of one operation; call start() once, then process_event.
using OperationLifeCycle =
    boost::msm::back::state_machine<OperationLifeCycleDef>;

}  // namespace baobab
