#include <LibRouting/FailureTable.h>

#include <array>

namespace Routing {

namespace {

using enum Failure;
using enum RunClass;
using enum NextStep;

// Indexed by Failure.
constexpr std::array Rules {
    FailureRule {NotOwner, NotRun, TryNextOwner, 503, "no-target", "no owner has a target that serves the base model"},
    FailureRule {OwnerUnresponsive, NotRun, TryNextOwner, 503, "owner-silent", "the target's owner did not respond"},
    FailureRule {Overloaded, NotRun, TryNextOwnerInZone, 503, "overloaded", "no adapter slot became free in time"},
    FailureRule {LoadFailed, NotRun, TryNextOwner, 503, "load-failed", "the adapter could not be loaded"},
    FailureRule {TargetGone, NotRun, RequestNewGrant, 503, "target-gone", "the target has been removed"},
    FailureRule {TargetRefused, NotRun, RequestNewGrant, 503, "target-refused",
                 "the target refused the request before running it"},
    FailureRule {TargetUnreachable, NotRun, RequestNewGrant, 503, "target-unreachable", "the target cannot be reached"},
    FailureRule {StreamBroken, MayHaveRun, Resume, 502, "target-broke-off", "the target broke the stream off"},
    FailureRule {StreamIdle, MayHaveRun, Resume, 502, "target-silent",
                 "the stream from the target was idle for too long"},
    FailureRule {MismatchedHead, MayHaveRun, RequestNewGrant, 502, "wrong-answer",
                 "the target's response belongs to another request"},
    FailureRule {InconsistentStream, MayHaveRun, GiveUp, 502, "contradictory-answer",
                 "the response contradicts itself"},
    FailureRule {NoTarget, NotRun, GiveUp, 503, "no-target", "no target can serve the base model"},
    FailureRule {DeadlinePassed, NotRun, GiveUp, 504, "deadline-passed", "the request's deadline has passed"},
};

}

const FailureRule &ruleFor(Failure failure)
{
    return Rules.at(static_cast<std::size_t>(failure));
}

}
