#include <LibRouting/FailureTable.h>

#include <array>

namespace Routing {

namespace {

using enum Failure;
using enum RunClass;
using enum NextStep;

// In the order of Failure.
constexpr std::array Rules {
    FailureRule {NotOwner, SurelyNotRun, AskNextOwner, 503, "no-target", "no owner has a target for it"},
    FailureRule {OwnerSilent, SurelyNotRun, AskNextOwner, 503, "owner-silent", "the target's owner didn't answer"},
    FailureRule {Overloaded, SurelyNotRun, AskNextOwnerOfZone, 503, "overloaded", "no slot became free in time"},
    FailureRule {LoadFailed, SurelyNotRun, AskNextOwner, 503, "load-failed", "the adapter could not be loaded"},
    FailureRule {TargetGone, SurelyNotRun, AskAgain, 503, "target-gone", "the target has left"},
    FailureRule {TargetRefused, SurelyNotRun, AskAgain, 503, "target-refused",
                 "the target refused before it ran anything"},
    FailureRule {TargetUnreachable, SurelyNotRun, AskAgain, 503, "target-unreachable", "the target can't be reached"},
    FailureRule {StreamBroken, MayHaveRun, Resume, 502, "target-broke-off", "the target broke off"},
    FailureRule {StreamSilent, MayHaveRun, Resume, 502, "target-silent", "the target fell silent"},
    FailureRule {WrongHead, MayHaveRun, AskAgain, 502, "wrong-answer", "the target answered for something else"},
    FailureRule {Contradiction, MayHaveRun, GiveUp, 502, "contradictory-answer", "the answer contradicts itself"},
    FailureRule {NoTarget, SurelyNotRun, GiveUp, 503, "no-target", "no target can serve the base model"},
    FailureRule {DeadlinePassed, SurelyNotRun, GiveUp, 504, "deadline-passed", "the time for the request is over"},
};

}

const FailureRule &ruleFor(Failure failure)
{
    return Rules.at(static_cast<std::size_t>(failure));
}

}
