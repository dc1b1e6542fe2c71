#include <LibPlatform/TargetDirectory.h>

#include <utility>

namespace Platform {

namespace {

constexpr std::size_t MostUnlistedPresences = 1000;

}

TargetDirectory::TargetDirectory(Core::Scheduler &scheduler, HostList &hostList, Core::Duration refreshPeriod)
    : m_scheduler(scheduler)
    , m_hostList(hostList)
    , m_refreshPeriod(refreshPeriod)
{
}

void TargetDirectory::start()
{
    refresh();
}

bool TargetDirectory::isFilled() const
{
    return m_isFilled;
}

const Target *TargetDirectory::find(const Core::TargetId &id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second;
}

std::vector<const Target *> TargetDirectory::available(const Core::ZoneId &zone, MachineKind kind,
                                                       std::string_view role) const
{
    std::vector<const Target *> matching;
    for (const auto &[id, target] : m_targets) {
        if (target.zone == zone && target.kind == kind && target.role == role && target.state == MachineState::Live) {
            matching.push_back(&target);
        }
    }
    return matching;
}

const std::map<Core::TargetId, Target> &TargetDirectory::all() const
{
    return m_targets;
}

std::vector<ListedMachine> TargetDirectory::listedIn(const Core::ZoneId &zone) const
{
    std::vector<ListedMachine> machines;
    for (const auto &[id, target] : m_targets) {
        if (target.zone == zone) {
            machines.push_back({.kind = target.kind,
                                .state = target.state,
                                .name = id.value,
                                .zone = target.zone,
                                .address = target.address,
                                .role = target.role,
                                .fenceChecking = target.fenceChecking});
        }
    }
    return machines;
}

bool TargetDirectory::isHostGone(const std::string &name) const
{
    const auto found = m_entryHosts.find(name);
    return found != m_entryHosts.end() && !found->second;
}

void TargetDirectory::apply(const std::vector<ListedMachine> &machines)
{
    std::map<Core::TargetId, Target> targets;
    for (auto &[name, isListed] : m_entryHosts) {
        isListed = false;
    }
    for (const auto &machine : machines) {
        if (machine.kind == MachineKind::EntryHost) {
            m_entryHosts[machine.name] = true;
            continue;
        }
        const Core::TargetId id {machine.name};
        targets[id] = {.id = id,
                       .zone = machine.zone,
                       .kind = machine.kind,
                       .state = machine.state,
                       .address = machine.address,
                       .role = machine.role,
                       .fenceChecking = machine.fenceChecking};
    }
    m_targets = std::move(targets);
    m_isFilled = true;
    for (auto &[id, target] : m_targets) {
        takeListedState(target);
    }
    dropUnlisted();
}

void TargetDirectory::takeListedState(Target &target)
{
    const auto found = m_presences.find(target.id);
    if (found == m_presences.end() && target.state == MachineState::Live) {
        return;
    }
    auto &presence = m_presences[target.id];
    presence.isListedLeaving = target.state == MachineState::Leaving;
    presence.isListInDoubt = presence.isListInDoubt && presence.isListedLeaving;
    if (presence.isListedLeaving && !presence.isListInDoubt) {
        markLeaving(target.id);
    } else if (presence.isLeaving) {
        target.state = MachineState::Leaving;
    }
}

bool TargetDirectory::recordReport(const TargetReport &report)
{
    auto &presence = m_presences[report.target];
    if (presence.formerIncarnations.contains(report.incarnation)) {
        return false;
    }
    bool isNews = false;
    if (presence.incarnation != report.incarnation) {
        // A target that was listed as leaving before it was first heard of is still that one.
        const bool isRestart = !presence.incarnation.empty();
        if (isRestart) {
            isNews = std::exchange(presence.isLeaving, false);
            presence.isListInDoubt = presence.isListedLeaving;
            presence.formerIncarnations.insert(presence.incarnation);
        }
        presence.incarnation = report.incarnation;
        const auto found = m_targets.find(report.target);
        if (isRestart && !presence.isListedLeaving && found != m_targets.end()) {
            found->second.state = MachineState::Live;
        }
    }
    if (report.isLeaving && !presence.isLeaving) {
        markLeaving(report.target);
        isNews = true;
    }
    return isNews;
}

void TargetDirectory::onLeaving(std::function<void(const Core::TargetId &)> leaving)
{
    m_leaving = std::move(leaving);
}

void TargetDirectory::markLeaving(const Core::TargetId &target)
{
    if (const auto found = m_targets.find(target); found != m_targets.end()) {
        found->second.state = MachineState::Leaving;
    }
    if (!std::exchange(m_presences[target].isLeaving, true) && m_leaving) {
        m_leaving(target);
    }
}

// Forgets machines that are gone, but not at once: an older list may still name one.
void TargetDirectory::dropUnlisted()
{
    if (m_presences.size() > m_targets.size() * 2 + MostUnlistedPresences) {
        std::erase_if(m_presences, [this](const auto &entry) {
            return !m_targets.contains(entry.first);
        });
    }
}

void TargetDirectory::refresh()
{
    m_hostList.list([this](const std::optional<std::vector<ListedMachine>> &machines) {
        if (machines.has_value()) {
            apply(*machines);
        }
        m_scheduler.runAfter(m_refreshPeriod, [this] {
            refresh();
        });
    });
}

}
