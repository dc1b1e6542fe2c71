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

void TargetOwnership::consider(const Platform::Target &target)
{
    if (const auto held = m_held.find(target.id); held != m_held.end()) {
        considerHeld(target, held->second);
        return;
    }
    if (m_liveness.isDeciding()) {
        considerWithoutTable(target);
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
    const auto &known = m_rows.at(target.id);
    const auto &self = m_leases.self().id;
    const bool isWanted = known.row.owner == self || desiredOwner(target.id) == self;
    if (!isClaimedElsewhere(known) && isTakeable(known.row, conditions) && isWanted) {
        claim(target, conditions);
    }
}

void TargetOwnership::considerHeld(const Platform::Target &target, Held &held)
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
        // The lease has lapsed, or the target was taken over without the table: the table has to say it anew.
        claim(target, {});
        return;
    }
    const auto desired = desiredOwner(target.id);
    if (desired.has_value() && *desired != m_leases.self().id && m_handoversLeft > 0) {
        --m_handoversLeft;
        handOver(target.id, *desired);
        return;
    }
    settleReleasedFormers(target.id);
    writeAllowance(target.id, held);
}

// True when a live host has claimed the target without the table, and is going to write it there.
bool TargetOwnership::isClaimedElsewhere(const KnownOwnership &known) const
{
    return known.fence > known.row.fence && known.owner != m_leases.self().id && m_leases.find(known.owner).has_value()
        && !m_leases.isExpired(known.owner);
}

// Only the target itself can decide between two hosts that both try, so it must check fences.
void TargetOwnership::considerWithoutTable(const Platform::Target &target)
{
    const auto &known = m_rows.at(target.id);
    const bool isOrphan = known.owner == m_leases.self().id || m_liveness.isDead(known.owner);
    if (target.fenceChecking != Platform::FenceChecking::Checks || known.owner.isEmpty() || !isOrphan
        || desiredOwner(target.id) != m_leases.self().id) {
        return;
    }
    const auto former = known.owner;
    const auto fence = nextFence(known.fence, m_leases.self().id, m_leases.self().incarnation);
    Log::write(Log::Event::TakeoverWithoutTable, {{"target", target.id.value}, {"former", former.value}});
    hold(target.id, fence, 0, former);
}

bool TargetOwnership::isTakeable(const OwnershipRow &row, std::vector<Platform::RowCondition> &conditions) const
{
    if (row.owner.isEmpty() || row.owner == m_leases.self().id) {
        return true;
    }
    const auto record = m_leases.find(row.owner);
    if (record.has_value() && record->incarnation != row.incarnation) {
        return true;
    }
    if (record.has_value() && !m_leases.isExpired(row.owner)) {
        return false;
    }
    conditions.push_back(m_leases.unchanged(row.owner));
    return true;
}

OwnershipRow TargetOwnership::claimedRow(const Platform::Target &target, std::uint64_t fence)
{
    const auto &row = m_rows.at(target.id).row;
    OwnershipRow next {.owner = m_leases.self().id,
                       .incarnation = m_leases.self().incarnation,
                       .session = m_leases.session(),
                       .fence = fence};
    if (target.fenceChecking == Platform::FenceChecking::Ignores) {
        next.formers = formersOf(target.id);
        if (isSelf(row)) {
            next.allowance = row.allowance;
        } else if (!row.owner.isEmpty()) {
            next.formers.push_back({.host = row.owner, .incarnation = row.incarnation, .allowance = row.allowance});
        }
    }
    return next;
}

void TargetOwnership::claim(const Platform::Target &target, const std::vector<Platform::RowCondition> &conditions)
{
    const auto &known = m_rows.at(target.id);
    const auto held = m_held.find(target.id);
    const bool isUnrecorded = held != m_held.end() && held->second.fence > known.row.fence;
    // A fence that a target has accepted already is written as it is.
    const auto fence = isUnrecorded
        ? held->second.fence
        : nextFence(std::max(known.fence, known.row.fence), m_leases.self().id, m_leases.self().incarnation);
    const auto row = claimedRow(target, fence);
    auto former = held == m_held.end() ? std::nullopt : held->second.former;
    if (held == m_held.end() && !known.row.owner.isEmpty()) {
        const bool isHandedOver = known.row.session == 0 && !known.row.formers.empty();
        former = isHandedOver ? known.row.formers.back().host : known.row.owner;
    }
    m_claims[target.id] = {.row = row, .former = former};
    m_rows.write(target.id, row, conditions, [this, target = target.id](bool isCommitted) {
        if (isCommitted) {
            settleClaim(target);
        }
    });
}

// The claim is known to have taken effect, by its answer or by being read back.
void TargetOwnership::settleClaim(const Core::TargetId &target)
{
    const auto claim = m_claims.extract(target);
    if (claim.empty() || claim.mapped().row.session != m_leases.session()) {
        return;
    }
    const auto &[row, former] = claim.mapped();
    Log::write(Log::Event::OwnershipClaimed, {{"target", target.value}, {"fence", std::to_string(row.fence)}});
    hold(target, row.fence, row.session, former);
}

void TargetOwnership::handOver(const Core::TargetId &target, const Core::HostId &to)
{
    const bool canWrite = m_rows.canWrite(target) && m_leases.isLeaseHeld();
    const auto *known = m_directory.find(target);
    if (known == nullptr || (!canWrite && !m_isLeaving)) {
        return;
    }
    const auto recipient = m_leases.find(to);
    auto row = claimedRow(*known, m_held.at(target).fence);
    row.owner = recipient.has_value() ? to : Core::HostId {};
    row.incarnation = recipient.has_value() ? recipient->incarnation : 0;
    row.session = 0;
    row.fence = nextFence(row.fence, row.owner, row.incarnation);
    row.formers.push_back({.host = m_leases.self().id,
                           .incarnation = m_leases.self().incarnation,
                           .allowance = std::exchange(row.allowance, {})});
    lose(target);
    if (!canWrite) {
        return;
    }
    ++m_handoversRunning;
    m_rows.write(target, row, {}, [this, target, to](bool isCommitted) {
        if (isCommitted && !to.isEmpty()) {
            m_router.send(to, Handover {.targets = {target}});
        }
        if (--m_handoversRunning == 0 && m_isLeaving) {
            std::exchange(m_left, [] {})();
        }
    });
}

void TargetOwnership::writeAllowance(const Core::TargetId &target, Held &held)
{
    if (held.wantedAllowance.empty() || !m_rows.canWrite(target) || !m_leases.isLeaseHeld()
        || held.session != m_leases.session()) {
        return;
    }
    auto row = m_rows.at(target).row;
    auto wanted = std::exchange(held.wantedAllowance, {});
    std::erase_if(wanted, [&](const auto &adapter) {
        return contains(row.allowance, adapter) && !contains(held.droppedAllowance, adapter);
    });
    if (!isSelf(row) || row.fence != held.fence || wanted.empty()) {
        return;
    }
    // The oldest make room, but for those whose unload may still be on its way.
    const auto former = row.allowance;
    for (const auto &adapter : former) {
        if (contains(wanted, adapter)) {
            std::erase(row.allowance, adapter);
        } else if (row.allowance.size() + wanted.size() > m_options.largestAllowance
                   && !contains(m_unloads[target], adapter)) {
            std::erase(row.allowance, adapter);
            held.droppedAllowance.push_back(adapter);
        }
    }
    row.allowance.insert(row.allowance.end(), wanted.begin(), wanted.end());
    row.formers = formersOf(target);
    m_rows.write(target, row, {}, [this, target](bool isCommitted) {
        if (const auto current = m_held.find(target); isCommitted && current != m_held.end()) {
            current->second.droppedAllowance.clear();
            m_allowanceChanged();
        }
    });
}

// A former holder whose lease row is gone has ended in order. Only a transaction can tell that from a lagging read.
void TargetOwnership::settleReleasedFormers(const Core::TargetId &target)
{
    for (const auto &former : formersOf(target)) {
        if (m_directory.isHostGone(former.host.value)) {
            confirmStopped(target, former.host);
        } else if (m_leases.isReleased(former.host) && m_rows.canWrite(target)) {
            auto row = m_rows.at(target).row;
            std::erase(row.formers, former);
            m_rows.write(target, row, {m_leases.unchanged(former.host)}, [this](bool isCommitted) {
                if (isCommitted) {
                    m_allowanceChanged();
                }
            });
        }
    }
}

std::vector<FormerHolder> TargetOwnership::formersOf(const Core::TargetId &target) const
{
    const auto *known = m_rows.find(target);
    if (known == nullptr) {
        return {};
    }
    auto formers = known->row.formers;
    if (const auto held = m_held.find(target); held != m_held.end()) {
        std::erase_if(formers, [&](const FormerHolder &former) {
            const auto &settled = held->second.settledFormers;
            // Another incarnation of this host has ended, and this one knows its own orders.
            const bool isSelf = former.host == m_leases.self().id;
            return isSelf || std::find(settled.begin(), settled.end(), former) != settled.end();
        });
    }
    return formers;
}

}
