#include <LibPlatform/TargetDirectory.h>

#include <utility>

namespace Platform {

namespace {

constexpr std::size_t MaxUnlistedStates = 1000;

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
        applyListedState(target);
    }
    dropUnlistedTargets();
}

void TargetDirectory::applyListedState(Target &target)
{
    const auto found = m_incarnationStates.find(target.id);
    if (found == m_incarnationStates.end() && target.state == MachineState::Live) {
        return;
    }
    auto &state = m_incarnationStates[target.id];
    state.isListedLeaving = target.state == MachineState::Leaving;
    state.isListedStateUncertain = state.isListedStateUncertain && state.isListedLeaving;
    if (state.isListedLeaving && !state.isListedStateUncertain) {
        markLeaving(target.id);
    } else if (state.isLeaving) {
        target.state = MachineState::Leaving;
    }
}

bool TargetDirectory::recordReport(const TargetReport &report)
{
    auto &state = m_incarnationStates[report.target];
    if (state.previousIncarnations.contains(report.incarnation)) {
        return false;
    }
    bool hasChanged = false;
    if (state.incarnation != report.incarnation) {
        // The first report of a target doesn't mean a restart: if the list already showed the target as leaving, that
        // was this incarnation.
        const bool isRestart = !state.incarnation.empty();
        if (isRestart) {
            hasChanged = std::exchange(state.isLeaving, false);
            state.isListedStateUncertain = state.isListedLeaving;
            state.previousIncarnations.insert(state.incarnation);
        }
        state.incarnation = report.incarnation;
        const auto found = m_targets.find(report.target);
        if (isRestart && !state.isListedLeaving && found != m_targets.end()) {
            found->second.state = MachineState::Live;
        }
    }
    if (report.isLeaving && !state.isLeaving) {
        markLeaving(report.target);
        hasChanged = true;
    }
    return hasChanged;
}

void TargetDirectory::onLeaving(std::function<void(const Core::TargetId &)> leaving)
{
    m_onLeaving = std::move(leaving);
}

void TargetDirectory::markLeaving(const Core::TargetId &target)
{
    if (const auto found = m_targets.find(target); found != m_targets.end()) {
        found->second.state = MachineState::Leaving;
    }
    if (!std::exchange(m_incarnationStates[target].isLeaving, true) && m_onLeaving) {
        m_onLeaving(target);
    }
}

// Drops the state of unlisted targets once there are many of them. The state is kept until then because a later read
// may return an older list that still contains the target.
void TargetDirectory::dropUnlistedTargets()
{
    if (m_incarnationStates.size() > m_targets.size() * 2 + MaxUnlistedStates) {
        std::erase_if(m_incarnationStates, [this](const auto &entry) {
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
