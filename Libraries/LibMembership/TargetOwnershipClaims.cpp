#include <LibMembership/TargetOwnership.h>

#include <LibLog/Log.h>
#include <algorithm>

namespace Membership {

namespace {

bool contains(const std::vector<Core::AdapterVersion> &adapters, const Core::AdapterVersion &adapter)
{
    return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

}

void TargetOwnership::updateOwnership(const Platform::Target &target)
{
    if (const auto held = m_held.find(target.id); held != m_held.end()) {
        updateHeldTarget(target, held->second);
        return;
    }
    if (m_liveness.isTableUnreachable()) {
        takeOverWithoutTable(target);
        return;
    }
    if (!m_leases.isLeaseHeld()) {
        return;
    }
    if (!m_rows.canWrite(target.id)) {
        m_rows.read(target.id);
        return;
    }
    std::vector<Platform::RowCondition> conditions;
    const auto &known = m_rows.findOrCreate(target.id);
    const auto &self = m_leases.self().id;
    const bool isDesiredOwner = known.row.owner == self || desiredOwner(target.id) == self;
    if (!isClaimedByLiveHost(known) && isClaimable(known.row, conditions) && isDesiredOwner) {
        claim(target, conditions);
    }
}

void TargetOwnership::updateHeldTarget(const Platform::Target &target, HeldTarget &held)
{
    confirmIfDue(target.id, held);
    if (!m_leases.isLeaseHeld()) {
        return;
    }
    if (!m_rows.canWrite(target.id)) {
        m_rows.read(target.id);
        return;
    }
    if (held.session != m_leases.session()) {
        // The lease wasn't held for a time, or the target was taken over without the table. Either way the table must
        // record the ownership again.
        claim(target, {});
        return;
    }
    const auto desired = desiredOwner(target.id);
    if (desired.has_value() && *desired != m_leases.self().id && m_handoversLeft > 0) {
        --m_handoversLeft;
        handOver(target.id, *desired);
        return;
    }
    confirmReleasedHolders(target.id);
    writeEvictionAllowlist(target.id, held);
}

// True when another live host has claimed the target without the table and will record the claim there.
bool TargetOwnership::isClaimedByLiveHost(const KnownOwnership &known) const
{
    return known.fence > known.row.fence && known.owner != m_leases.self().id && m_leases.find(known.owner).has_value()
        && !m_leases.isExpired(known.owner);
}

// Without the table only the target itself can decide between two hosts that claim it, so it must check fences.
void TargetOwnership::takeOverWithoutTable(const Platform::Target &target)
{
    const auto &known = m_rows.findOrCreate(target.id);
    const bool isOwnerGone = known.owner == m_leases.self().id || m_liveness.isUnresponsive(known.owner);
    if (target.fenceChecking != Platform::FenceChecking::Checks || known.owner.isEmpty() || !isOwnerGone
        || desiredOwner(target.id) != m_leases.self().id) {
        return;
    }
    const auto previousOwner = known.owner;
    const auto fence = nextFence(known.fence, m_leases.self().id, m_leases.self().incarnation);
    Log::write(Log::Event::TakeoverWithoutTable, {{"target", target.id.value}, {"former", previousOwner.value}});
    holdTarget(target.id, fence, 0, previousOwner);
}

bool TargetOwnership::isClaimable(const OwnershipRow &row, std::vector<Platform::RowCondition> &conditions) const
{
    if (row.owner.isEmpty() || row.owner == m_leases.self().id) {
        return true;
    }
    const auto record = m_leases.find(row.owner);
    // Another process of the owner has ended the one that the row names, unless the record is older than the row. The
    // condition on the lease row shows that too.
    const bool isRestarted = record.has_value() && record->incarnation != row.incarnation;
    if (record.has_value() && !isRestarted && !m_leases.isExpired(row.owner)) {
        return false;
    }
    conditions.push_back(m_leases.unchangedCondition(row.owner));
    return true;
}

OwnershipRow TargetOwnership::makeClaimedRow(const Platform::Target &target, std::uint64_t fence)
{
    const auto &row = m_rows.findOrCreate(target.id).row;
    OwnershipRow next {.owner = m_leases.self().id,
                       .incarnation = m_leases.self().incarnation,
                       .session = m_leases.session(),
                       .fence = fence};
    if (target.fenceChecking == Platform::FenceChecking::Ignores) {
        next.previousHolders = unconfirmedHoldersOf(target.id);
        if (isSelf(row)) {
            next.evictionAllowlist = row.evictionAllowlist;
        } else if (!row.owner.isEmpty()) {
            next.previousHolders.push_back(
                {.host = row.owner, .incarnation = row.incarnation, .evictionAllowlist = row.evictionAllowlist});
        }
    }
    return next;
}

void TargetOwnership::claim(const Platform::Target &target, const std::vector<Platform::RowCondition> &conditions)
{
    const auto &known = m_rows.findOrCreate(target.id);
    const auto held = m_held.find(target.id);
    const bool isFenceUnrecorded = held != m_held.end() && held->second.fence > known.row.fence;
    // A fence that the target may have accepted already is recorded unchanged.
    const auto fence = isFenceUnrecorded
        ? held->second.fence
        : nextFence(std::max(known.fence, known.row.fence), m_leases.self().id, m_leases.self().incarnation);
    const auto row = makeClaimedRow(target, fence);
    auto previousOwner = held == m_held.end() ? std::nullopt : held->second.previousOwner;
    if (held == m_held.end() && !known.row.owner.isEmpty()) {
        const bool isHandedOver = known.row.session == 0 && !known.row.previousHolders.empty();
        previousOwner = isHandedOver ? known.row.previousHolders.back().host : known.row.owner;
    }
    m_claims[target.id] = {.row = row, .previousOwner = previousOwner};
    m_rows.write(target.id, row, conditions, [this, target = target.id](bool isCommitted) {
        if (isCommitted) {
            completeClaim(target);
        }
    });
}

// Called when the claim is known to be committed, either from the table's response or because the row was read back.
void TargetOwnership::completeClaim(const Core::TargetId &target)
{
    const auto claim = m_claims.extract(target);
    if (claim.empty() || claim.mapped().row.session != m_leases.session()) {
        return;
    }
    const auto &[row, previousOwner] = claim.mapped();
    Log::write(Log::Event::OwnershipClaimed, {{"target", target.value}, {"fence", std::to_string(row.fence)}});
    holdTarget(target, row.fence, row.session, previousOwner);
}

void TargetOwnership::handOver(const Core::TargetId &target, const Core::HostId &to)
{
    const bool canWrite = m_rows.canWrite(target) && m_leases.isLeaseHeld();
    const auto *known = m_directory.find(target);
    if (known == nullptr || (!canWrite && !m_isLeaving)) {
        return;
    }
    const auto recipient = m_leases.find(to);
    auto row = makeClaimedRow(*known, m_held.at(target).fence);
    row.owner = recipient.has_value() ? to : Core::HostId {};
    row.incarnation = recipient.has_value() ? recipient->incarnation : 0;
    row.session = 0;
    row.fence = nextFence(row.fence, row.owner, row.incarnation);
    row.previousHolders.push_back({.host = m_leases.self().id,
                                   .incarnation = m_leases.self().incarnation,
                                   .evictionAllowlist = std::exchange(row.evictionAllowlist, {})});
    dropTarget(target);
    if (!canWrite) {
        return;
    }
    ++m_handoversRunning;
    m_rows.write(target, row, {}, [this, target, to](bool isCommitted) {
        if (isCommitted && !to.isEmpty()) {
            m_router.send(to, Handover {.targets = {target}});
        }
        if (--m_handoversRunning == 0 && m_isLeaving) {
            std::exchange(m_onHandedOver, [] {})();
        }
    });
}

void TargetOwnership::writeEvictionAllowlist(const Core::TargetId &target, HeldTarget &held)
{
    if (held.requestedEvictions.empty() || !m_rows.canWrite(target) || !m_leases.isLeaseHeld()
        || held.session != m_leases.session()) {
        return;
    }
    auto row = m_rows.findOrCreate(target).row;
    auto requested = std::exchange(held.requestedEvictions, {});
    std::erase_if(requested, [&](const auto &adapter) {
        return contains(row.evictionAllowlist, adapter) && !contains(held.revokedEvictions, adapter);
    });
    if (!isSelf(row) || row.fence != held.fence || requested.empty()) {
        return;
    }
    // The oldest entries are removed to make room, except those with an unload that may still be in transit.
    const auto oldAllowlist = row.evictionAllowlist;
    for (const auto &adapter : oldAllowlist) {
        if (contains(requested, adapter)) {
            std::erase(row.evictionAllowlist, adapter);
        } else if (row.evictionAllowlist.size() + requested.size() > m_options.maxEvictionAllowlistSize
                   && !contains(m_unloads[target], adapter)) {
            std::erase(row.evictionAllowlist, adapter);
            held.revokedEvictions.push_back(adapter);
        }
    }
    row.evictionAllowlist.insert(row.evictionAllowlist.end(), requested.begin(), requested.end());
    row.previousHolders = unconfirmedHoldersOf(target);
    m_rows.write(target, row, {}, [this, target](bool isCommitted) {
        if (const auto current = m_held.find(target); isCommitted && current != m_held.end()) {
            current->second.revokedEvictions.clear();
            m_onEvictionPermissionChanged();
        }
    });
}

// A previous holder whose lease row was deleted has shut down in order. Reads may lag, so a transaction verifies that
// the row is still absent.
void TargetOwnership::confirmReleasedHolders(const Core::TargetId &target)
{
    for (const auto &previousHolder : unconfirmedHoldersOf(target)) {
        if (m_directory.isHostGone(previousHolder.host.value)) {
            confirmStopped(target, previousHolder.host);
        } else if (m_leases.isReleased(previousHolder.host) && m_rows.canWrite(target)) {
            auto row = m_rows.findOrCreate(target).row;
            std::erase(row.previousHolders, previousHolder);
            m_rows.write(target, row, {m_leases.unchangedCondition(previousHolder.host)}, [this](bool isCommitted) {
                if (isCommitted) {
                    m_onEvictionPermissionChanged();
                }
            });
        }
    }
}

std::vector<PreviousHolder> TargetOwnership::unconfirmedHoldersOf(const Core::TargetId &target) const
{
    const auto *known = m_rows.find(target);
    if (known == nullptr) {
        return {};
    }
    auto previousHolders = known->row.previousHolders;
    if (const auto held = m_held.find(target); held != m_held.end()) {
        std::erase_if(previousHolders, [&](const PreviousHolder &previousHolder) {
            const auto &stopped = held->second.stoppedHolders;
            // Earlier incarnations of this host have ended, and this one tracks its own orders.
            const bool isSelf = previousHolder.host == m_leases.self().id;
            return isSelf || std::find(stopped.begin(), stopped.end(), previousHolder) != stopped.end();
        });
    }
    return previousHolders;
}

}
