#include <LibFront/GrantReleaser.h>

#include <LibOwner/GrantMessages.h>
#include <algorithm>

namespace Front {

namespace {

bool isIdle(const Engine::EngineStatus &status, const ReturnedGrant &grant)
{
    return status.incarnation != grant.targetIncarnation
        || std::none_of(status.slots.begin(), status.slots.end(), [&](const auto &slot) {
               return slot.adapter == grant.adapter && slot.runningRequests > 0;
           });
}

}

GrantReleaser::GrantReleaser(Core::Scheduler &scheduler, Peer::PeerRouter &router, Owner::HeldGrants &heldGrants,
                             Engine::EngineLink &engines, const Platform::TargetDirectory &directory,
                             GrantReleaserOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_heldGrants(heldGrants)
    , m_engines(engines)
    , m_directory(directory)
    , m_options(options)
{
}

void GrantReleaser::giveBack(const Core::HostId &owner, const Core::GrantId &grant)
{
    m_heldGrants.release(grant);
    m_router.send(owner, Owner::GrantRelease {.grant = grant});
}

void GrantReleaser::giveBackWhenIdle(ReturnedGrant grant)
{
    ++m_waitingCount;
    // Reports lag: one made just after the attempt began may not show it yet.
    m_scheduler.runAfter(m_options.firstPause, [this, grant = std::move(grant)] {
        askTarget(grant, m_options.firstPause);
    });
}

void GrantReleaser::giveBackToSilent(const Core::HostId &owner, const Core::GrantId &grant)
{
    repeat(owner, grant, m_options.firstPause, m_options.releasesToSilentOwner);
}

std::size_t GrantReleaser::waitingCount() const
{
    return m_waitingCount;
}

void GrantReleaser::askTarget(ReturnedGrant grant, Core::Duration pause)
{
    const auto *target = m_directory.find(grant.target);
    if (target == nullptr) {
        --m_waitingCount;
        giveBack(grant.owner, grant.grant);
        return;
    }
    m_engines.status({.target = target->id, .address = target->address},
                     [this, grant = std::move(grant), pause](const auto &status) {
                         if (status.has_value() && isIdle(*status, grant)) {
                             --m_waitingCount;
                             giveBack(grant.owner, grant.grant);
                             return;
                         }
                         m_scheduler.runAfter(pause, [this, grant, pause] {
                             askTarget(grant, std::min(pause * 2, m_options.longestPause));
                         });
                     });
}

void GrantReleaser::repeat(const Core::HostId &owner, const Core::GrantId &grant, Core::Duration pause,
                           std::uint32_t left)
{
    giveBack(owner, grant);
    if (left > 1) {
        m_scheduler.runAfter(pause, [this, owner, grant, pause, left] {
            repeat(owner, grant, std::min(pause * 2, m_options.longestPause), left - 1);
        });
    }
}

}
