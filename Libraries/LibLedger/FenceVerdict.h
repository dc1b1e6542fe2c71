#pragma once

#include <LibCore/Identifier.h>
#include <LibLedger/CallResult.h>
#include <functional>

namespace Ledger {

// What a service says of an attempt when it is asked to refuse it from then on.
struct FenceVerdict {
    enum class State {
        // The service could not be asked, or its answer was lost; nothing is known.
        Unreachable,
        // The attempt has begun and not ended.
        Running,
        // The attempt ran; the result says how it ended.
        Ran,
        // The attempt has not run and never will: the service refuses it from now on, also when it arrives late.
        Fenced,
    };

    State state = State::Unreachable;
    CallResult result;
};

// Asks the target to fence the attempt. Without a function the service can't be asked.
using FenceFunction = std::function<void(const Core::TargetId &target, const Core::AttemptId &attempt,
                                         std::function<void(const FenceVerdict &)> done)>;

}
