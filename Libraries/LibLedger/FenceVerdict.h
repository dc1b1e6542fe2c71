#pragma once

#include <LibCore/Identifier.h>
#include <LibLedger/CallResult.h>
#include <functional>

namespace Ledger {

// A service's response to the request to fence an attempt, i.e. to refuse it from then on.
struct FenceVerdict {
    enum class State {
        // The service was unreachable or its response was lost. Nothing is known about the attempt.
        Unreachable,
        // The attempt has started but not ended.
        Running,
        // The attempt ran and has ended with the given result.
        Ran,
        // The attempt has not run and never will. The service refuses it from now on, even if it arrives late.
        Fenced,
    };

    State state = State::Unreachable;
    CallResult result;
};

// Asks the target to fence the attempt. It is null if the service doesn't support fencing.
using FenceFunction = std::function<void(const Core::TargetId &target, const Core::AttemptId &attempt,
                                         std::function<void(const FenceVerdict &)> done)>;

}
