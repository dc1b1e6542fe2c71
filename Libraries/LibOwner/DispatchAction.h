#pragma once

#include <LibOwner/GrantMessages.h>
#include <LibOwner/WaitingQueue.h>
#include <variant>

namespace Owner {

// The request may run on the target.
struct GrantAction {
    WaitingRequest request;
    Core::TargetId target;
};

// The request is refused; it has not run.
struct RefuseAction {
    WaitingRequest request;
    GrantOutcome outcome = GrantOutcome::Overloaded;
    std::string reason;
    Core::Duration retryAfter {};
};

// The target is to be ordered to load the adapter. The order's end is to be reported by finishLoad().
struct LoadAction {
    Core::TargetId target;
    Core::AdapterVersion adapter;
};

// The target is to be ordered to drop the adapter. The order's end is to be reported by finishUnload().
struct UnloadAction {
    Core::TargetId target;
    Core::AdapterVersion adapter;
};

using DispatchAction = std::variant<GrantAction, RefuseAction, LoadAction, UnloadAction>;

}
