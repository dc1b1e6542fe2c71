#pragma once

#include <LibCore/Scheduler.h>
#include <LibPeer/PeerRouter.h>
#include <functional>
#include <map>

namespace Routing {

struct OwnerWatchOptions {
    Core::Duration probePeriod = std::chrono::milliseconds(1000);
    // A single probe without a reply marks the owner unresponsive: a connection that lost the probe may also have
    // lost the waiting request.
    Core::Duration probeTimeout = std::chrono::milliseconds(1500);
};

// Distinguishes an unresponsive owner from one that is only keeping a request queued. Sends one probe per period to
// each watched owner, however many requests wait for it, and notifies the watchers when a probe gets no reply, so that
// they can ask another owner.
class OwnerWatch
{
public:
    enum class WatchId : std::uint64_t { None = 0 };

    OwnerWatch(Core::Scheduler &scheduler, Peer::PeerRouter &router, OwnerWatchOptions options);

    // Starts replying to the probes of other hosts.
    void start();
    // Calls the function once if the owner becomes unresponsive.
    WatchId watch(const Core::HostId &owner, std::function<void()> onUnresponsive);
    void unwatch(WatchId id);

private:
    struct WatchedOwner {
        std::map<std::uint64_t, std::function<void()>> watchers;
    };

    void probe(const Core::HostId &owner);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    OwnerWatchOptions m_options;
    std::uint64_t m_lastId = 0;
    std::map<Core::HostId, WatchedOwner> m_watched;
};

}
