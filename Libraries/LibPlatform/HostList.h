#pragma once

#include <LibCore/Identifier.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

enum class MachineKind { EntryHost, Engine, Service };
enum class MachineState { Live, Leaving };

// Whether a target refuses an order that carries an old fencing number.
enum class FenceChecking { Checks, Ignores };

// One machine of the platform's list.
struct ListedMachine {
    MachineKind kind = MachineKind::Engine;
    MachineState state = MachineState::Live;
    std::string name;
    Core::ZoneId zone;
    std::string address; // "host:port" of its HTTP interface.
    std::string role; // The base model of an engine, or the name of an application service.
    FenceChecking fenceChecking = FenceChecking::Checks;
};

// The platform's list of live and leaving machines. It lags.
class HostList
{
public:
    // Without a value the list could not be had.
    using ListFunction = std::function<void(std::optional<std::vector<ListedMachine>>)>;

    virtual ~HostList() = default;
    virtual void list(ListFunction done) = 0;
};

}
