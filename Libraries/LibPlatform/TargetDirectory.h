#pragma once

#include <LibCore/Scheduler.h>
#include <LibPlatform/HostList.h>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Platform {

// One listed target: a replica of a model engine or of an application service.
struct Target {
    Core::TargetId id;
    Core::ZoneId zone;
    MachineKind kind = MachineKind::Engine;
    MachineState state = MachineState::Live;
    std::string address;
    std::string role;
    FenceChecking fenceChecking = FenceChecking::Checks;
};

// The incarnation and leaving state that a target has reported.
struct TargetReport {
    Core::TargetId target;
    std::string incarnation;
    bool isLeaving = false;
};

// The targets of all zones, refreshed periodically from the platform's list. If the list can't be read, the last one
// stays in use.
class TargetDirectory
{
public:
    TargetDirectory(Core::Scheduler &scheduler, HostList &hostList, Core::Duration refreshPeriod);

    // Starts the periodic refresh.
    void start();
    // True once a list has been read.
    [[nodiscard]] bool isFilled() const;
    // Returns the target, or null if it isn't listed.
    [[nodiscard]] const Target *find(const Core::TargetId &id) const;
    // The live targets of a zone with this kind and role, sorted by name. Leaving targets take no new work and are left
    // out.
    [[nodiscard]] std::vector<const Target *> available(const Core::ZoneId &zone, MachineKind kind,
                                                        std::string_view role) const;
    // All listed targets, keyed by name.
    [[nodiscard]] const std::map<Core::TargetId, Target> &all() const;
    // The zone's targets in the form of list entries, with the state that this directory holds.
    [[nodiscard]] std::vector<ListedMachine> listedIn(const Core::ZoneId &zone) const;
    // True if an entry host was listed before and is missing from the current list.
    [[nodiscard]] bool isHostGone(const std::string &name) const;
    // Replaces the current list. An incarnation that has once been seen leaving stays leaving, even if the new list is
    // out of date and shows it as live.
    void apply(const std::vector<ListedMachine> &machines);
    // Records a report from a target, received directly or through a peer. Returns true if it sets or clears the
    // leaving state. Late reports of a previous incarnation are ignored.
    bool recordReport(const TargetReport &report);
    // Sets the function to run when an incarnation of a target is first seen leaving.
    void onLeaving(std::function<void(const Core::TargetId &)> leaving);

private:
    // The incarnations of a target and their leaving state. It outlives the target's entry in the list.
    struct IncarnationState {
        std::string incarnation; // The latest one reported; empty before the first report.
        std::set<std::string> previousIncarnations;
        bool isLeaving = false; // Never reset while the incarnation lasts.
        bool isListedLeaving = false; // According to the last list.
        // The list showed the target as leaving when this incarnation was first reported, and may have meant the
        // previous incarnation.
        bool isListedStateUncertain = false;
    };

    void refresh();
    void applyListedState(Target &target);
    void markLeaving(const Core::TargetId &target);
    void dropUnlistedTargets();

    Core::Scheduler &m_scheduler;
    HostList &m_hostList;
    Core::Duration m_refreshPeriod;
    bool m_isFilled = false;
    std::map<Core::TargetId, Target> m_targets;
    std::map<Core::TargetId, IncarnationState> m_incarnationStates;
    std::function<void(const Core::TargetId &)> m_onLeaving;
    std::map<std::string, bool> m_entryHosts; // All hosts ever listed; true if on the current list.
};

}
