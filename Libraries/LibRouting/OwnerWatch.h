#pragma once

#include <LibCore/Scheduler.h>
#include <LibPeer/PeerRouter.h>
#include <functional>
#include <map>

namespace Routing {

struct OwnerWatchOptions {
    Core::Duration period = std::chrono::milliseconds(1000);
    // How long a probe's answer may take. A connection that lost a probe may have lost the request that waits
    // too, so that one missing answer counts as silence.
    Core::Duration patience = std::chrono::milliseconds(1500);
};

// Tells a silent owner from one that lets a request wait: probes each owner that something waits for, once a
// period however many wait. What waited is asked again elsewhere.
class OwnerWatch
{
public:
    enum class WatchId : std::uint64_t { None = 0 };

    OwnerWatch(Core::Scheduler &scheduler, Peer::PeerRouter &router, OwnerWatchOptions options);

    // Answers other hosts' probes.
    void start();
    // Runs the function once should the owner fall silent.
    WatchId watch(const Core::HostId &owner, std::function<void()> onSilent);
    void unwatch(WatchId id);

private:
    struct Watched {
        std::map<std::uint64_t, std::function<void()>> watchers;
    };

    void probe(const Core::HostId &owner);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    OwnerWatchOptions m_options;
    std::uint64_t m_lastId = 0;
    std::map<Core::HostId, Watched> m_watched;
};

}
