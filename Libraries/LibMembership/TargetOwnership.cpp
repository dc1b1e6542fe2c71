#include <LibMembership/TargetOwnership.h>

#include <LibCore/Rendezvous.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Membership {

namespace {

// An order that changes nothing, by which a target learns a fence and says whether it knows a higher one.
const Core::AdapterVersion NoAdapter {"currantbay-fence", "0"};

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
        takeKnown(target);
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
                learn({.target = claim.target, .owner = from, .fence = claim.fence});
            }
        });
    tick();
}

void TargetOwnership::leave(std::function<void()> done)
{
    m_isLeaving = true;
    m_left = std::move(done);
    listCandidates();
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
            std::exchange(m_left, [] {})();
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
    std::vector<Ownership> mine;
    for (const auto &[target, held] : m_held) {
        if (isEffective(target, held)) {
            mine.push_back({.target = target, .owner = m_leases.self().id, .fence = held.fence});
        }
    }
    return mine;
}

void TargetOwnership::onGained(std::function<void(const OwnershipGain &)> function)
{
    m_gained = std::move(function);
}

void TargetOwnership::onLost(std::function<void(const Core::TargetId &)> function)
{
    m_lost = std::move(function);
}

void TargetOwnership::onAllowanceChanged(std::function<void()> function)
{
    m_allowanceChanged = std::move(function);
}

bool TargetOwnership::isUnloadCovered(const Core::TargetId &target, const Core::AdapterVersion &adapter) const
{
    const auto held = m_held.find(target);
    if (held == m_held.end() || !isEffective(target, held->second)) {
        return false;
    }
    if (isChecking(target)) {
        return true;
    }
    const auto *known = m_rows.find(target);
    return known != nullptr && isSelf(known->row) && contains(known->row.allowance, adapter)
        && !contains(held->second.droppedAllowance, adapter);
}

void TargetOwnership::beginUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    m_unloads[target].push_back(adapter);
}

void TargetOwnership::endUnload(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    auto &unloads = m_unloads[target];
    if (const auto found = std::find(unloads.begin(), unloads.end(), adapter); found != unloads.end()) {
        unloads.erase(found);
    }
}

bool TargetOwnership::hasStopped(const Core::TargetId &target) const
{
    const auto unloads = m_unloads.find(target);
    const bool isSettled = isChecking(target) || unloads == m_unloads.end() || unloads->second.empty();
    return !m_held.contains(target) && isSettled;
}

void TargetOwnership::requestAllowance(const Core::TargetId &target, const Core::AdapterVersion &adapter)
{
    const auto held = m_held.find(target);
    if (held == m_held.end() || isChecking(target)) {
        return;
    }
    auto &wanted = held->second.wantedAllowance;
    if (!contains(wanted, adapter) && wanted.size() < m_options.largestAllowance) {
        wanted.push_back(adapter);
    }
    writeAllowance(target, held->second);
}

bool TargetOwnership::isHeldBack(const Core::TargetId &target, const Core::AdapterVersion &adapter) const
{
    const auto formers = formersOf(target);
    const auto unloads = m_unloads.find(target);
    const bool isOwnOnItsWay = unloads != m_unloads.end() && contains(unloads->second, adapter);
    return (isOwnOnItsWay && !isChecking(target)) || std::any_of(formers.begin(), formers.end(), [&](const FormerHolder &former) {
        return contains(former.allowance, adapter);
    });
}

std::vector<Core::HostId> TargetOwnership::unsettledFormers(const Core::TargetId &target) const
{
    std::vector<Core::HostId> hosts;
    for (const auto &former : formersOf(target)) {
        hosts.push_back(former.host);
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
    const bool hasAllowance = known != nullptr && isSelf(known->row) && !known->row.allowance.empty();
    return isChecking(target) || m_leases.isLeaseHeld() || hasAllowance;
}

void TargetOwnership::settleFormer(const Core::TargetId &target, const Core::HostId &former)
{
    const auto held = m_held.find(target);
    if (held == m_held.end()) {
        return;
    }
    for (const auto &holder : formersOf(target)) {
        if (holder.host == former) {
            held->second.settledFormers.push_back(holder);
        }
    }
    m_allowanceChanged();
}

bool TargetOwnership::learn(const Ownership &ownership)
{
    return m_rows.learn(ownership);
}

void TargetOwnership::tick()
{
    if (m_directory.isFilled() && m_leases.isReady() && !m_isLeaving) {
        listCandidates();
        m_rows.scanIfDue();
        dropUnlisted();
        m_handoversLeft = m_options.handoversPerTick;
        for (const auto &[id, target] : m_directory.all()) {
            if (target.kind == Platform::MachineKind::Engine && target.zone == m_leases.self().zone) {
                consider(target);
            }
        }
    }
    m_scheduler.runAfter(m_options.tickPeriod, [this] {
        tick();
    });
}

void TargetOwnership::dropUnlisted()
{
    std::vector<Core::TargetId> unlisted;
    for (const auto &[target, held] : m_held) {
        if (m_directory.find(target) == nullptr) {
            unlisted.push_back(target);
        }
    }
    for (const auto &target : unlisted) {
        lose(target);
    }
}

void TargetOwnership::listCandidates()
{
    if (m_liveness.isDeciding()) {
        m_candidates = m_liveness.alive();
        return;
    }
    m_candidates.clear();
    for (const auto &host : m_leases.liveHosts()) {
        if (host.zone == m_leases.self().zone && !host.isLeaving) {
            m_candidates.push_back(host.id);
        }
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
        && !m_leases.isLapsed(known.owner);
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
    if (record.has_value() && !m_leases.isLapsed(row.owner)) {
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
            settleFormer(target, former.host);
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

void TargetOwnership::hold(const Core::TargetId &target, std::uint64_t fence, std::uint64_t session,
                           const std::optional<Core::HostId> &former)
{
    auto &held = m_held[target];
    const bool isNewFence = held.fence != fence;
    held.fence = fence;
    held.session = session;
    held.former = former;
    if (isNewFence) {
        held.confirmedUntil = {};
        held.nextConfirmation = {};
        held.isConfirming = false;
    }
    if (isChecking(target)) {
        confirmIfDue(target, held);
    } else {
        tellGain(target, held);
    }
}

void TargetOwnership::lose(const Core::TargetId &target)
{
    m_claims.erase(target);
    if (m_held.erase(target) > 0) {
        Log::write(Log::Event::OwnershipLost, {{"target", target.value}});
        m_lost(target);
    }
}

void TargetOwnership::takeKnown(const Core::TargetId &target)
{
    const auto &known = m_rows.at(target);
    const auto held = m_held.find(target);
    if (held != m_held.end() && known.fence > held->second.fence && known.owner != m_leases.self().id) {
        lose(target);
    }
    if (const auto claim = m_claims.find(target); claim != m_claims.end() && claim->second.row.fence == known.row.fence
        && isSelf(known.row) && m_leases.isLeaseHeld()) {
        settleClaim(target);
        return;
    }
    const auto *listed = m_directory.find(target);
    const bool isHandedOver = held == m_held.end() && known.row.owner == m_leases.self().id
        && known.row.incarnation == m_leases.self().incarnation && known.row.session == 0;
    if (isHandedOver && listed != nullptr && m_rows.canWrite(target) && m_leases.isLeaseHeld() && !m_isLeaving) {
        claim(*listed, {});
    }
}

void TargetOwnership::confirmIfDue(const Core::TargetId &target, Held &held)
{
    const auto *known = m_directory.find(target);
    const auto now = m_scheduler.now();
    if (known == nullptr || !isChecking(target) || held.isConfirming || now < held.nextConfirmation) {
        return;
    }
    held.isConfirming = true;
    held.nextConfirmation = now + m_options.confirmPeriod;
    m_engines.unload({.target = target, .address = known->address}, {.adapter = NoAdapter, .fence = held.fence},
                     [this, target, fence = held.fence, now](Engine::OrderOutcome outcome) {
                         takeConfirmation(target, fence, now, outcome);
                     });
}

void TargetOwnership::takeConfirmation(const Core::TargetId &target, std::uint64_t fence, Core::TimePoint askedAt,
                                       Engine::OrderOutcome outcome)
{
    const auto found = m_held.find(target);
    if (found == m_held.end() || found->second.fence != fence) {
        return;
    }
    auto &held = found->second;
    held.isConfirming = false;
    if (outcome == Engine::OrderOutcome::StaleFence) {
        // Another host has the target. The next claim must go above what this one tried.
        m_rows.learn({.target = target, .owner = {}, .fence = fence});
        lose(target);
        m_rows.scanSoon();
        return;
    }
    if (outcome != Engine::OrderOutcome::Done && outcome != Engine::OrderOutcome::Busy) {
        held.nextConfirmation = {};
        return;
    }
    held.confirmedUntil = askedAt + m_options.confirmTerm;
    if (isEffective(target, held)) {
        tellGain(target, held);
    }
}

void TargetOwnership::tellGain(const Core::TargetId &target, Held &held)
{
    learn({.target = target, .owner = m_leases.self().id, .fence = held.fence});
    if (!std::exchange(held.isGained, true)) {
        m_gained({.target = target, .fence = held.fence, .former = held.former});
    }
}

bool TargetOwnership::isSelf(const OwnershipRow &row) const
{
    return row.owner == m_leases.self().id && row.incarnation == m_leases.self().incarnation;
}

bool TargetOwnership::isEffective(const Core::TargetId &target, const Held &held) const
{
    return !isChecking(target) || m_scheduler.now() < held.confirmedUntil;
}

bool TargetOwnership::isChecking(const Core::TargetId &target) const
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

// Rows of other zones aren't read here; a host that is asked wrongly says that it isn't the owner.
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
