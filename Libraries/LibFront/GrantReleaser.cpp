#include <LibFront/GrantReleaser.h>

#include <LibOwner/GrantMessages.h>
#include <algorithm>

namespace Front {

namespace {

bool isIdle(const Engine::EngineStatus &status, const ReleasableGrant &grant)
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

void GrantReleaser::release(const Core::HostId &owner, const Core::GrantId &grant)
{
    m_heldGrants.release(grant);
    m_router.send(owner, Owner::GrantRelease {.grant = grant});
}

void GrantReleaser::releaseWhenIdle(ReleasableGrant grant)
{
    ++m_pendingCount;
    // Status reports lag: one made just after the attempt started may not show it yet.
    m_scheduler.runAfter(m_options.initialRetryDelay, [this, grant = std::move(grant)] {
        checkTarget(grant, m_options.initialRetryDelay);
    });
}

void GrantReleaser::releaseToUnresponsiveOwner(const Core::HostId &owner, const Core::GrantId &grant)
{
    releaseRepeatedly(owner, grant, m_options.initialRetryDelay, m_options.releasesToUnresponsiveOwner);
}

std::size_t GrantReleaser::pendingCount() const
{
    return m_pendingCount;
}

void GrantReleaser::checkTarget(ReleasableGrant grant, Core::Duration delay)
{
    const auto *target = m_directory.find(grant.target);
    if (target == nullptr) {
        --m_pendingCount;
        release(grant.owner, grant.grant);
        return;
    }
    m_engines.status({.target = target->id, .address = target->address},
                     [this, grant = std::move(grant), delay](const auto &status) {
                         if (status.has_value() && isIdle(*status, grant)) {
                             --m_pendingCount;
                             release(grant.owner, grant.grant);
                             return;
                         }
                         m_scheduler.runAfter(delay, [this, grant, delay] {
                             checkTarget(grant, std::min(delay * 2, m_options.maxRetryDelay));
                         });
                     });
}

void GrantReleaser::releaseRepeatedly(const Core::HostId &owner, const Core::GrantId &grant, Core::Duration delay,
                                      std::uint32_t remaining)
{
    release(owner, grant);
    if (remaining > 1) {
        m_scheduler.runAfter(delay, [this, owner, grant, delay, remaining] {
            releaseRepeatedly(owner, grant, std::min(delay * 2, m_options.maxRetryDelay), remaining - 1);
        });
    }
}

}
