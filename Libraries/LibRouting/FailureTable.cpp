#include <LibRouting/FailureTable.h>

#include <array>

namespace Routing {

namespace {

using enum Failure;
using enum RunClass;
using enum NextStep;

// In the order of Failure.
constexpr std::array Rules {
    FailureRule {NotOwner, NotRun, TryNextOwner, 503, "no-target", "no owner has a target for it"},
    FailureRule {OwnerUnresponsive, NotRun, TryNextOwner, 503, "owner-silent", "the target's owner didn't answer"},
    FailureRule {Overloaded, NotRun, TryNextOwnerInZone, 503, "overloaded", "no slot became free in time"},
    FailureRule {LoadFailed, NotRun, TryNextOwner, 503, "load-failed", "the adapter could not be loaded"},
    FailureRule {TargetGone, NotRun, RequestNewGrant, 503, "target-gone", "the target has left"},
    FailureRule {TargetRefused, NotRun, RequestNewGrant, 503, "target-refused",
                 "the target refused before it ran anything"},
    FailureRule {TargetUnreachable, NotRun, RequestNewGrant, 503, "target-unreachable", "the target can't be reached"},
    FailureRule {StreamBroken, MayHaveRun, Resume, 502, "target-broke-off", "the target broke off"},
    FailureRule {StreamIdle, MayHaveRun, Resume, 502, "target-silent", "the target fell silent"},
    FailureRule {MismatchedHead, MayHaveRun, RequestNewGrant, 502, "wrong-answer",
                 "the target answered for something else"},
    FailureRule {InconsistentStream, MayHaveRun, GiveUp, 502, "contradictory-answer", "the answer contradicts itself"},
    FailureRule {NoTarget, NotRun, GiveUp, 503, "no-target", "no target can serve the base model"},
    FailureRule {DeadlinePassed, NotRun, GiveUp, 504, "deadline-passed", "the time for the request is over"},
};

}

const FailureRule &ruleFor(Failure failure)
{
    return Rules.at(static_cast<std::size_t>(failure));
}

}
