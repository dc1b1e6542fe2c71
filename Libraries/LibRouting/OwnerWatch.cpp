#include <LibRouting/OwnerWatch.h>

#include <LibRouting/RoutingMessages.h>

namespace Routing {

OwnerWatch::OwnerWatch(Core::Scheduler &scheduler, Peer::PeerRouter &router, OwnerWatchOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_options(options)
{
}

void OwnerWatch::start()
{
    m_router.onCall<OwnerProbe, OwnerProbeReply>(
        [](const Core::HostId & /*from*/, const OwnerProbe & /*probe*/, const auto &reply) {
            reply(OwnerProbeReply {});
        });
}

OwnerWatch::WatchId OwnerWatch::watch(const Core::HostId &owner, std::function<void()> onUnresponsive)
{
    const auto id = ++m_lastId;
    const auto [entry, isNew] = m_watched.try_emplace(owner);
    entry->second.watchers.emplace(id, std::move(onUnresponsive));
    if (isNew) {
        m_scheduler.runAfter(m_options.probePeriod, [this, owner] {
            probe(owner);
        });
    }
    return WatchId(id);
}

void OwnerWatch::unwatch(WatchId id)
{
    for (auto &[owner, watched] : m_watched) {
        watched.watchers.erase(static_cast<std::uint64_t>(id));
    }
}

void OwnerWatch::probe(const Core::HostId &owner)
{
    if (const auto found = m_watched.find(owner); found == m_watched.end() || found->second.watchers.empty()) {
        m_watched.erase(owner);
        return;
    }
    m_router.call<OwnerProbeReply>(owner, OwnerProbe {}, m_options.probeTimeout, [this, owner](const auto &reply) {
        if (reply.has_value()) {
            m_scheduler.runAfter(m_options.probePeriod, [this, owner] {
                probe(owner);
            });
            return;
        }
        const auto watchers = std::move(m_watched.at(owner).watchers);
        m_watched.erase(owner);
        for (const auto &[id, onUnresponsive] : watchers) {
            onUnresponsive();
        }
    });
}

}
