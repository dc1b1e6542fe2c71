#pragma once

#include <LibCore/Scheduler.h>
#include <LibPlatform/HostList.h>
#include <map>
#include <vector>

namespace Platform {

// What is known of one target.
struct Target {
    Core::TargetId id;
    Core::ZoneId zone;
    MachineKind kind = MachineKind::Engine;
    MachineState state = MachineState::Live;
    std::string address;
    std::string role;
    FenceChecking fenceChecking = FenceChecking::Checks;
};

// The targets of all zones, refreshed from the platform's list. The last list stays in use through an outage.
class TargetDirectory
{
public:
    TargetDirectory(Core::Scheduler &scheduler, HostList &hostList, Core::Duration refreshPeriod);

    // Starts refreshing.
    void start();
    // True once a list has been had.
    [[nodiscard]] bool isFilled() const;
    // The target, or null when it isn't listed.
    [[nodiscard]] const Target *find(const Core::TargetId &id) const;
    // The zone's targets of one kind and role that take new work, in order of their name.
    [[nodiscard]] std::vector<const Target *> available(const Core::ZoneId &zone, MachineKind kind,
                                                        std::string_view role) const;
    // Every listed target, by name.
    [[nodiscard]] const std::map<Core::TargetId, Target> &all() const;
    // True when an entry host was listed once and isn't any more.
    [[nodiscard]] bool isHostGone(const std::string &name) const;
    // Takes a new list in place of the former one.
    void apply(const std::vector<ListedMachine> &machines);

private:
    void refresh();

    Core::Scheduler &m_scheduler;
    HostList &m_hostList;
    Core::Duration m_refreshPeriod;
    bool m_isFilled = false;
    std::map<Core::TargetId, Target> m_targets;
    std::map<std::string, bool> m_entryHosts; // Whether each that was ever listed still is.
};

}
