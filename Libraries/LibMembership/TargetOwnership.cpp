#include <LibMembership/TargetOwnership.h>

#include <LibCore/Rendezvous.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Membership {

namespace {

// Unloading this adapter, which doesn't exist, changes nothing. It sends the target this host's fence, and the outcome
// shows whether the target knows a higher one.
const Core::AdapterVersion FenceProbeAdapter {"currantbay-fence", "0"};

bool contains(const std::vector<Core::AdapterVersion> &adapters, const Core::AdapterVersion &adapter)
{
    return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

}

TargetOwnership::TargetOwnership(Core::Scheduler &scheduler, Platform::TableService &table, Peer::PeerRouter &router,
                                 Engine::EngineLink &engines, HostLeases &leases,
                                 const Platform::TargetDirectory &directory, TargetOwnershipOptions options)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_engines(engines)
    , m_leases(leases)
    , m_directory(directory)
    , m_options(options)
    , m_rows(scheduler, table, leases.self().zone, options.scanPeriod)
    , m_liveness(scheduler, router, leases, {})
{
}

void TargetOwnership::start()
{
    m_rows.onChange([this](const Core::TargetId &target) {
        handleRowChange(target);
    });
    m_router.onMessage<Handover>([this](const Core::HostId & /*from*/, const Handover &handover) {
        for (const auto &target : handover.targets) {
            m_rows.read(target);
        }
    });
    m_liveness.start(
        [this] {
            return tablelessClaims();
        },
        [this](const Core::HostId &from, const std::vector<TablelessClaim> &claims) {
            for (const auto &claim : claims) {
                recordOwnership({.target = claim.target, .owner = from, .fence = claim.fence});
            }
        });
    tick();
}

void TargetOwnership::leave(std::function<void()> done)
{
    m_isLeaving = true;
    m_onHandedOver = std::move(done);
    updateCandidates();
    ++m_handoversRunning;
    std::vector<Core::TargetId> targets;
    for (const auto &[target, held] : m_held) {
        targets.push_back(target);
    }
    for (const auto &target : targets) {
        handOver(target, desiredOwner(target).value_or(Core::HostId {}));
    }
    m_scheduler.runAfter({}, [this] {
        if (--m_handoversRunning == 0) {
            std::exchange(m_onHandedOver, [] {})();
        }
    });
}

std::optional<Ownership> TargetOwnership::ownerOf(const Core::TargetId &target) const
{
    const auto *listed = m_directory.find(target);
    if (listed != nullptr && listed->zone != m_leases.self().zone) {
        return likelyOwner(*listed);
    }
    const auto *known = m_rows.find(target);
    if (known == nullptr || known->owner.isEmpty()) {
        return std::nullopt;
    }
    return Ownership {.target = target, .owner = known->owner, .fence = known->fence};
}

std::vector<Ownership> TargetOwnership::owned() const
{
    std::vector<Ownership> ownedHere;
    for (const auto &[target, held] : m_held) {
        if (isEffective(target, held)) {
            ownedHere.push_back({.target = target, .owner = m_leases.self().id, .fence = held.fence});
        }
    }
    return ownedHere;
}

void TargetOwnership::onGained(std::function<void(const OwnershipGain &)> function)
{
    m_onGained = std::move(function);
}

void TargetOwnership::onLost(std::function<void(const Core::TargetId &)> function)
{
    m_onLost = std::move(function);
}

void TargetOwnership::onEvictionPermissionChanged(std::function<void()> function)
{
    m_onEvictionPermissionChanged = std::move(function);
}

bool TargetOwnership::isUnloadSafe(const Core::TargetId &target, const Core::AdapterVersion &adapter) const
{
    const auto held = m_held.find(target);
    if (held == m_held.end() || !isEffective(target, held->second)) {
        return false;
    }
    if (checksFences(target)) {
        return true;
    }
    const auto *known = m_rows.find(target);
    return known != nullptr && isSelf(known->row) && contains(known->row.evictionAllowlist, adapter)
        && !contains(held->second.revokedEvictions, adapter);
}

void TargetOwnership::beginUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    m_unloads[target].push_back(adapter);
}

void TargetOwnership::endUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    std::erase(m_unloads[target], adapter);
}

bool TargetOwnership::hasStopped(const Core::TargetId &target) const
{
    const auto unloads = m_unloads.find(target);
    const bool isFreeOfUnloads = checksFences(target) || unloads == m_unloads.end() || unloads->second.empty();
    return !m_held.contains(target) && isFreeOfUnloads;
}

void TargetOwnership::requestEvictionPermission(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    const auto held = m_held.find(target);
    // Only one adapter is requested at a time, because the next owner can't place an adapter that is recorded here
    // until this host is known to have stopped.
    if (held == m_held.end() || checksFences(target) || !held->second.requestedEvictions.empty()
        || !m_rows.canWrite(target)) {
        return;
    }
    held->second.requestedEvictions = {adapter};
    writeEvictionAllowlist(target, held->second);
}

bool TargetOwnership::mayStillBeEvicted(const Core::TargetId &target, const Core::AdapterVersion &adapter) const
{
    const auto holders = unconfirmedHoldersOf(target);
    const auto unloads = m_unloads.find(target);
    const bool hasOwnPendingUnload = unloads != m_unloads.end() && contains(unloads->second, adapter);
    return (hasOwnPendingUnload && !checksFences(target))
        || std::any_of(holders.begin(), holders.end(), [&](const PreviousHolder &previousHolder) {
               return contains(previousHolder.evictionAllowlist, adapter);
           });
}

std::vector<Core::HostId> TargetOwnership::unconfirmedPreviousHolders(const Core::TargetId &target) const
{
    std::vector<Core::HostId> hosts;
    for (const auto &previousHolder : unconfirmedHoldersOf(target)) {
        hosts.push_back(previousHolder.host);
    }
    return hosts;
}

bool TargetOwnership::mayLoad(const Core::TargetId &target) const
{
    const auto held = m_held.find(target);
    if (held == m_held.end() || !isEffective(target, held->second)) {
        return false;
    }
    const auto *known = m_rows.find(target);
    const bool hasAllowlist = known != nullptr && isSelf(known->row) && !known->row.evictionAllowlist.empty();
    return checksFences(target) || m_leases.isLeaseHeld() || hasAllowlist;
}

void TargetOwnership::confirmStopped(const Core::TargetId &target, const Core::HostId &previousHolder)
{
    const auto held = m_held.find(target);
    if (held == m_held.end()) {
        return;
    }
    for (const auto &holder : unconfirmedHoldersOf(target)) {
        if (holder.host == previousHolder) {
            held->second.stoppedHolders.push_back(holder);
        }
    }
    m_onEvictionPermissionChanged();
}

bool TargetOwnership::recordOwnership(const Ownership &ownership)
{
    return m_rows.recordOwnership(ownership);
}

void TargetOwnership::tick()
{
    if (m_directory.isFilled() && m_leases.isReady() && !m_isLeaving) {
        updateCandidates();
        m_rows.scanIfDue();
        dropUnlistedTargets();
        m_handoversLeft = m_options.handoversPerTick;
        for (const auto &[id, target] : m_directory.all()) {
            if (target.kind == Platform::MachineKind::Engine && target.zone == m_leases.self().zone) {
                updateOwnership(target);
            }
        }
    }
    m_scheduler.runAfter(m_options.tickPeriod, [this] {
        tick();
    });
}

void TargetOwnership::dropUnlistedTargets()
{
    std::vector<Core::TargetId> unlisted;
    for (const auto &[target, held] : m_held) {
        if (m_directory.find(target) == nullptr) {
            unlisted.push_back(target);
        }
    }
    for (const auto &target : unlisted) {
        dropTarget(target);
    }
}

void TargetOwnership::updateCandidates()
{
    if (m_liveness.isTableUnreachable()) {
        m_candidates = m_liveness.availableHosts();
        return;
    }
    m_candidates.clear();
    for (const auto &host : m_leases.liveHosts()) {
        if (host.zone == m_leases.self().zone && !host.isLeaving) {
            m_candidates.push_back(host.id);
        }
    }
}

void TargetOwnership::holdTarget(const Core::TargetId &target, std::uint64_t fence, std::uint64_t session,
                                 const std::optional<Core::HostId> &previousOwner)
{
    auto &held = m_held[target];
    const bool isNewFence = held.fence != fence;
    held.fence = fence;
    held.session = session;
    held.previousOwner = previousOwner;
    if (isNewFence) {
        held.confirmedUntil = {};
        held.nextConfirmation = {};
        held.isConfirming = false;
    }
    if (checksFences(target)) {
        confirmIfDue(target, held);
    } else {
        reportGain(target, held);
    }
}

void TargetOwnership::dropTarget(const Core::TargetId &target)
{
    m_claims.erase(target);
    if (m_held.erase(target) > 0) {
        Log::write(Log::Event::OwnershipLost, {{"target", target.value}});
        m_onLost(target);
    }
}

void TargetOwnership::handleRowChange(const Core::TargetId &target)
{
    const auto &known = m_rows.findOrCreate(target);
    const auto held = m_held.find(target);
    if (held != m_held.end() && known.fence > held->second.fence && known.owner != m_leases.self().id) {
        dropTarget(target);
    }
    if (const auto claim = m_claims.find(target); claim != m_claims.end() && claim->second.row.fence == known.row.fence
        && isSelf(known.row) && m_leases.isLeaseHeld()) {
        completeClaim(target);
        return;
    }
    const auto *listed = m_directory.find(target);
    const bool isHandedOver = held == m_held.end() && known.row.owner == m_leases.self().id
        && known.row.incarnation == m_leases.self().incarnation && known.row.session == 0;
    if (isHandedOver && listed != nullptr && m_rows.canWrite(target) && m_leases.isLeaseHeld() && !m_isLeaving) {
        claim(*listed, {});
    }
}

void TargetOwnership::confirmIfDue(const Core::TargetId &target, HeldTarget &held)
{
    const auto *known = m_directory.find(target);
    const auto now = m_scheduler.now();
    if (known == nullptr || !checksFences(target) || held.isConfirming || now < held.nextConfirmation) {
        return;
    }
    held.isConfirming = true;
    held.nextConfirmation = now + m_options.confirmationPeriod;
    m_engines.unload({.target = target, .address = known->address}, {.adapter = FenceProbeAdapter, .fence = held.fence},
                     [this, target, fence = held.fence, now](Engine::OrderOutcome outcome) {
                         handleConfirmation(target, fence, now, outcome);
                     });
}

void TargetOwnership::handleConfirmation(const Core::TargetId &target, std::uint64_t fence, Core::TimePoint sentAt,
                                         Engine::OrderOutcome outcome)
{
    const auto found = m_held.find(target);
    if (found == m_held.end() || found->second.fence != fence) {
        return;
    }
    auto &held = found->second;
    held.isConfirming = false;
    if (outcome == Engine::OrderOutcome::StaleFence) {
        // Another host owns the target. The next claim must use a higher fence than the refused one.
        m_rows.recordOwnership({.target = target, .owner = {}, .fence = fence});
        dropTarget(target);
        m_rows.scanNow();
        return;
    }
    if (outcome != Engine::OrderOutcome::Done && outcome != Engine::OrderOutcome::Busy) {
        held.nextConfirmation = {};
        return;
    }
    held.confirmedUntil = sentAt + m_options.confirmationTerm;
    if (isEffective(target, held)) {
        reportGain(target, held);
    }
}

void TargetOwnership::reportGain(const Core::TargetId &target, HeldTarget &held)
{
    recordOwnership({.target = target, .owner = m_leases.self().id, .fence = held.fence});
    if (!std::exchange(held.isGainReported, true)) {
        m_onGained({.target = target, .fence = held.fence, .previousOwner = held.previousOwner});
    }
}

bool TargetOwnership::isSelf(const OwnershipRow &row) const
{
    return row.owner == m_leases.self().id && row.incarnation == m_leases.self().incarnation;
}

bool TargetOwnership::isEffective(const Core::TargetId &target, const HeldTarget &held) const
{
    return !checksFences(target) || m_scheduler.now() < held.confirmedUntil;
}

bool TargetOwnership::checksFences(const Core::TargetId &target) const
{
    const auto *known = m_directory.find(target);
    return known == nullptr || known->fenceChecking == Platform::FenceChecking::Checks;
}

std::optional<Core::HostId> TargetOwnership::desiredOwner(const Core::TargetId &target) const
{
    std::vector<Core::RendezvousCandidate> candidates;
    for (const auto &host : m_candidates) {
        if (!m_isLeaving || host != m_leases.self().id) {
            candidates.push_back({.name = host.value});
        }
    }
    auto ranked = Core::rankByRendezvous(target.value, candidates);
    return ranked.empty() ? std::nullopt : std::optional(Core::HostId {std::move(ranked.front())});
}

// Ownership rows of other zones aren't read, so the result may be wrong. A host that gets a request for a target that
// it doesn't own replies that it isn't the owner.
std::optional<Ownership> TargetOwnership::likelyOwner(const Platform::Target &target) const
{
    std::vector<Core::RendezvousCandidate> candidates;
    for (const auto &host : m_leases.liveHosts()) {
        if (host.zone == target.zone && !host.isLeaving) {
            candidates.push_back({.name = host.id.value});
        }
    }
    auto ranked = Core::rankByRendezvous(target.id.value, candidates);
    if (ranked.empty()) {
        return std::nullopt;
    }
    return Ownership {.target = target.id, .owner = {std::move(ranked.front())}};
}

std::vector<TablelessClaim> TargetOwnership::tablelessClaims() const
{
    std::vector<TablelessClaim> claims;
    for (const auto &[target, held] : m_held) {
        if (held.session == 0 && isEffective(target, held)) {
            claims.push_back({.target = target, .fence = held.fence});
        }
    }
    return claims;
}

}
