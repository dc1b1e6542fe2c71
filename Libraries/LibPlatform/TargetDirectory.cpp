#include <LibPlatform/TargetDirectory.h>

namespace Platform {

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
