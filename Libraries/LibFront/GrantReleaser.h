#pragma once

#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibOwner/HeldGrants.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>

namespace Front {

// A grant that is to be released, with the target and the adapter that it was given for.
struct ReleasableGrant {
    Core::HostId owner;
    Core::GrantId grant;
    Core::TargetId target;
    std::string targetIncarnation;
    Core::AdapterVersion adapter;
};

struct GrantReleaserOptions {
    Core::Duration initialRetryDelay = std::chrono::milliseconds(200); // Doubles with each retry up to the maximum.
    Core::Duration maxRetryDelay = std::chrono::seconds(8);
    std::uint32_t releasesToUnresponsiveOwner = 5;
};

// Releases grants to their owners. A grant (an owner's permission to run an adapter on a target) whose attempt was
// cancelled is released only after the target has reported that it no longer runs the adapter or has a new incarnation,
// or is no longer listed. Until then the target may still run the attempt, and the owner must not evict the adapter. An
// adapter that other requests use all the time delays the release, which is harmless: their grants pin it anyway.
class GrantReleaser
{
public:
    GrantReleaser(Core::Scheduler &scheduler, Peer::PeerRouter &router, Owner::HeldGrants &heldGrants,
                  Engine::EngineLink &engines, const Platform::TargetDirectory &directory,
                  GrantReleaserOptions options);

    // Releases a grant under which nothing runs.
    void release(const Core::HostId &owner, const Core::GrantId &grant);
    // Releases a grant whose attempt was cancelled, as soon as the target has stopped it.
    void releaseWhenIdle(ReleasableGrant grant);
    // Releases a grant that an owner may have given although its reply didn't arrive. The release is sent several
    // times, since the owner may be unreachable at the moment.
    void releaseToUnresponsiveOwner(const Core::HostId &owner, const Core::GrantId &grant);
    // The number of grants that wait until their target is idle.
    [[nodiscard]] std::size_t pendingCount() const;

private:
    void checkTarget(ReleasableGrant grant, Core::Duration delay);
    void releaseRepeatedly(const Core::HostId &owner, const Core::GrantId &grant, Core::Duration delay,
                           std::uint32_t remaining);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Owner::HeldGrants &m_heldGrants;
    Engine::EngineLink &m_engines;
    const Platform::TargetDirectory &m_directory;
    GrantReleaserOptions m_options;
    std::size_t m_pendingCount = 0;
};

}
