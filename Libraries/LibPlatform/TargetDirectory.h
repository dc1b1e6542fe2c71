#pragma once

#include <LibCore/Scheduler.h>
#include <LibPlatform/HostList.h>
#include <functional>
#include <map>
#include <set>
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

// What a target says of itself at one time.
struct TargetReport {
    Core::TargetId target;
    std::string incarnation;
    bool isLeaving = false;
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
    // The zone's targets as the list gave them.
    [[nodiscard]] std::vector<ListedMachine> listedIn(const Core::ZoneId &zone) const;
    // True when an entry host was listed once and isn't any more.
    [[nodiscard]] bool isHostGone(const std::string &name) const;
    // Takes a new list in place of the former one. A target that was once seen leaving stays so for that
    // incarnation, whatever an older list says.
    void apply(const std::vector<ListedMachine> &machines);
    // Takes what a target said of itself, or what a peer passed on of that. Returns true when it is news. What
    // comes late of an incarnation that has been replaced changes nothing.
    bool recordReport(const TargetReport &report);
    // Runs the function when a target is first seen leaving by an incarnation.
    void onLeaving(std::function<void(const Core::TargetId &)> leaving);

private:
    // What is known of a target beside the list.
    struct Presence {
        std::string incarnation; // The newest that was heard of; empty before the first report.
        std::set<std::string> formerIncarnations;
        bool isLeaving = false; // For as long as the incarnation lasts.
        bool isListedLeaving = false; // By the last list.
        // The list said leaving when the incarnation was new, which may still mean the former one.
        bool isListInDoubt = false;
    };

    void refresh();
    void takeListedState(Target &target);
    void markLeaving(const Core::TargetId &target);
    void dropUnlisted();

    Core::Scheduler &m_scheduler;
    HostList &m_hostList;
    Core::Duration m_refreshPeriod;
    bool m_isFilled = false;
    std::map<Core::TargetId, Target> m_targets;
    std::map<Core::TargetId, Presence> m_presences;
    std::function<void(const Core::TargetId &)> m_leaving;
    std::map<std::string, bool> m_entryHosts; // Whether each that was ever listed still is.
};

}
