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

// The request is refused. It has not run.
struct RefuseAction {
    WaitingRequest request;
    GrantOutcome outcome = GrantOutcome::Overloaded;
    std::string reason;
    Core::Duration retryAfter {};
};

// Orders the target to load the adapter. The caller reports the result with Dispatcher::finishLoad().
struct LoadAction {
    Core::TargetId target;
    Core::AdapterVersion adapter;
};

// Orders the target to unload the adapter. The caller reports the result with Dispatcher::finishUnload().
struct UnloadAction {
    Core::TargetId target;
    Core::AdapterVersion adapter;
};

using DispatchAction = std::variant<GrantAction, RefuseAction, LoadAction, UnloadAction>;

}
