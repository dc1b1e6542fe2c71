#pragma once

#include <LibCore/Identifier.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

enum class MachineKind { EntryHost, Engine, Service };
enum class MachineState { Live, Leaving };

// Whether a target refuses an order that carries an outdated fencing token.
enum class FenceChecking { Checks, Ignores };

// One entry of the platform's list of machines.
struct ListedMachine {
    MachineKind kind = MachineKind::Engine;
    MachineState state = MachineState::Live;
    std::string name;
    Core::ZoneId zone;
    std::string address; // Address of its HTTP interface, "host:port".
    std::string role; // The base model of an engine, or the name of an application service.
    FenceChecking fenceChecking = FenceChecking::Checks;
};

// The platform's list of live and leaving machines. The list may be out of date.
class HostList
{
public:
    // Receives the list, or no value if it could not be read.
    using ListFunction = std::function<void(std::optional<std::vector<ListedMachine>>)>;

    virtual ~HostList() = default;
    virtual void list(ListFunction done) = 0;
};

}
