#pragma once

#include <LibCore/Scheduler.h>
#include <LibEngine/EngineLink.h>
#include <LibOwner/HeldGrants.h>
#include <LibPeer/PeerRouter.h>
#include <LibPlatform/TargetDirectory.h>

namespace Front {

// A grant that is to go back to its owner.
struct ReturnedGrant {
    Core::HostId owner;
    Core::GrantId grant;
    Core::TargetId target;
    std::string targetIncarnation;
    Core::AdapterVersion adapter;
};

struct GrantReleaserOptions {
    Core::Duration firstPause = std::chrono::milliseconds(200); // Doubles up to the longest.
    Core::Duration longestPause = std::chrono::seconds(8);
    std::uint32_t releasesToSilentOwner = 5;
};

// Gives grants back. One whose attempt broke off goes back only when the target itself reports that it no longer
// runs the adapter, or has a new incarnation, or is no longer listed: until then the target may still serve the
// attempt, and its owner must not evict the adapter. A popular adapter is pinned by others' grants all the same.
class GrantReleaser
{
public:
    GrantReleaser(Core::Scheduler &scheduler, Peer::PeerRouter &router, Owner::HeldGrants &heldGrants,
                  Engine::EngineLink &engines, const Platform::TargetDirectory &directory,
                  GrantReleaserOptions options);

    // Gives back a grant that surely runs nothing.
    void giveBack(const Core::HostId &owner, const Core::GrantId &grant);
    // Gives back a grant whose attempt was cancelled, when the target has stopped it.
    void giveBackWhenIdle(ReturnedGrant grant);
    // Gives back a grant that an owner may have given without its answer arriving; says so several times, since
    // the owner may be out of reach now.
    void giveBackToSilent(const Core::HostId &owner, const Core::GrantId &grant);
    // Grants that wait for their target's report.
    [[nodiscard]] std::size_t waitingCount() const;

private:
    void askTarget(ReturnedGrant grant, Core::Duration pause);
    void repeat(const Core::HostId &owner, const Core::GrantId &grant, Core::Duration pause, std::uint32_t left);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Owner::HeldGrants &m_heldGrants;
    Engine::EngineLink &m_engines;
    const Platform::TargetDirectory &m_directory;
    GrantReleaserOptions m_options;
    std::size_t m_waitingCount = 0;
};

}
