#include <LibHolding/HolderTable.h>

#include <LibCore/Rendezvous.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <set>

namespace Holding {

namespace {

// Time until a claim without a response is retried. By then the row shows whether it was committed.
constexpr auto ClaimRetryDelay = std::chrono::milliseconds(2000);
// Minimum weight, for hosts whose row has no usable weight.
constexpr double MinWeight = 0.01;

}

HolderTable::HolderTable(Core::Scheduler &scheduler, Platform::TableService &table, HolderTableOptions options,
                         ReplicasFunction replicas, WriteFunction write)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_options(std::move(options))
    , m_replicas(std::move(replicas))
    , m_write(std::move(write))
    , m_goneRows(m_options.goneRows)
    , m_retryDelay(m_options.initialRetryDelay)
{
}

void HolderTable::start()
{
    m_startedAt = m_scheduler.now();
    renew();
    m_scheduler.runAfter(m_options.tickPeriod, [this] {
        tick();
    });
}

void HolderTable::removeRowsOfGone(GoneFunction isGone)
{
    m_isGone = std::move(isGone);
}

void HolderTable::renew()
{
    if (m_isLeaving) {
        return;
    }
    ++m_options.self.renewal;
    const auto sentAt = m_scheduler.now();
    m_write({.table = std::string(Table), .key = hostKey(m_options.self.host), .value = toText(m_options.self)},
            [this, sentAt](bool isRenewed) {
                if (isRenewed) {
                    const bool hadExpired = m_scheduler.now() >= m_leaseExpiresAt;
                    m_leaseExpiresAt = std::max(m_leaseExpiresAt, sentAt + m_options.term);
                    m_retryDelay = m_options.initialRetryDelay;
                    if (hadExpired) {
                        ++m_leaseSession;
                        claimDueReplicas();
                    }
                } else {
                    m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
                }
                m_scheduler.runAfter(isRenewed ? m_options.renewalPeriod : m_retryDelay, [this] {
                    renew();
                });
            });
}

void HolderTable::apply(const Platform::FeedResult &rows, bool isFull)
{
    std::set<std::string> keys;
    for (const auto &row : rows.rows) {
        keys.insert(row.key);
        isHostKey(row.key) ? applyHost(row) : applyHolder(row);
    }
    if (isFull) {
        eraseHosts([&keys](const Core::HostId &host) {
            return !keys.contains(hostKey(host));
        });
        std::erase_if(m_holders, [&keys](const auto &holder) {
            return !keys.contains(holderKey(holder.first));
        });
    }
    m_rowsSince = m_rowsSince.value_or(m_scheduler.now());
}

void HolderTable::eraseHosts(const std::function<bool(const Core::HostId &)> &isErased)
{
    std::erase_if(m_hosts, [this, &isErased](const auto &host) {
        const bool isMissing = isErased(host.first);
        if (isMissing) {
            m_missingSince[host.first] = m_scheduler.now();
        }
        return isMissing;
    });
}

void HolderTable::applyHost(const Platform::ChangedRow &row)
{
    if (row.isRemoved) {
        eraseHosts([&row](const Core::HostId &host) {
            return hostKey(host) == row.key;
        });
        return;
    }
    auto host = hostRowFromText(row.value);
    if (!host.has_value()) {
        Log::write(Log::Event::EntryUnreadable, {{"table", std::string(Table)}, {"key", row.key}});
        return;
    }
    m_missingSince.erase(host->host);
    auto &seen = m_hosts[host->host];
    if (row.version > seen.version) {
        seen = {.row = std::move(*host), .version = row.version, .changedAt = m_scheduler.now()};
    }
}

void HolderTable::applyHolder(const Platform::ChangedRow &row)
{
    if (row.isRemoved) {
        std::erase_if(m_holders, [&row](const auto &holder) {
            return holderKey(holder.first) == row.key;
        });
        return;
    }
    auto holder = holderRowFromText(row.value);
    if (!holder.has_value()) {
        Log::write(Log::Event::EntryUnreadable, {{"table", std::string(Table)}, {"key", row.key}});
        return;
    }
    auto &seen = m_holders[holder->replica];
    if (row.version < seen.version) {
        return;
    }
    if (row.version > seen.version) {
        seen = {.row = *holder, .version = row.version, .changedAt = m_scheduler.now()};
    }
    if (isOwn(*holder)) {
        // A claim without a response. If it isn't known when it was sent, the replica is claimed again.
        const auto claimed = m_claims.find(holder->replica);
        startHolding(*holder, row.version, claimed == m_claims.end() ? 0 : claimed->second.leaseSession);
    } else if (const auto held = m_holds.find(holder->replica);
               held != m_holds.end() && held->second.fence < row.version) {
        m_holds.erase(held);
        Log::write(Log::Event::HoldLost, {{"replica", holder->replica.value}, {"holder", holder->holder.value}});
    }
}

bool HolderTable::isOwn(const HolderRow &row) const
{
    return row.holder == m_options.self.host && row.incarnation == m_options.self.incarnation;
}

void HolderTable::startHolding(const HolderRow &row, std::uint64_t version, std::uint64_t leaseSession)
{
    m_claims.erase(row.replica);
    auto &held = m_holds[row.replica];
    if (held.fence >= version) {
        return;
    }
    const bool isContinued = held.fence != 0;
    const bool isHandover = !row.previousHolder.isEmpty() && row.previousHolder != m_options.self.host;
    const auto allowedAt = m_scheduler.now() + (isHandover ? m_options.handoverGap : Core::Duration {});
    held = {.fence = version,
            .ordersAllowedAt = isContinued ? held.ordersAllowedAt : allowedAt,
            .leaseSession = leaseSession};
    Log::write(
        Log::Event::HoldGained,
        {{"replica", row.replica.value}, {"fence", std::to_string(version)}, {"former", row.previousHolder.value}});
}

void HolderTable::tick()
{
    if (m_isLeaving) {
        return;
    }
    const auto now = m_scheduler.now();
    std::erase_if(m_claims, [now](const auto &claim) {
        return now - claim.second.sentAt > ClaimRetryDelay;
    });
    std::set<Core::TargetId> listed;
    for (const auto &[replica, zone] : m_replicas()) {
        listed.insert(replica);
    }
    // Before the claims, so that a replica that is gone isn't claimed again because its row was read again.
    std::erase_if(m_holds, [&listed](const auto &held) {
        return !listed.contains(held.first);
    });
    claimDueReplicas();
    removeGoneRow();
    m_scheduler.runAfter(m_options.tickPeriod, [this] {
        tick();
    });
}

void HolderTable::claimDueReplicas()
{
    if (!m_rowsSince.has_value() || m_scheduler.now() >= m_leaseExpiresAt) {
        return;
    }
    auto due = replicasToClaim();
    for (const auto &[replica, held] : m_holds) {
        if (held.leaseSession != m_leaseSession) {
            due.push_back(replica);
        }
    }
    std::size_t claims = 0;
    for (const auto &replica : due) {
        if (claims < m_options.claimsPerTick && !m_claims.contains(replica)) {
            claim(replica);
            ++claims;
        }
    }
}

void HolderTable::removeGoneRow()
{
    if (!m_isGone) {
        return;
    }
    std::vector<GoneRow> gone;
    for (const auto &[replica, seen] : m_holders) {
        if (m_isGone(replica)) {
            gone.push_back({.replica = replica, .version = seen.version});
        }
    }
    const auto now = m_scheduler.now();
    const auto replica = m_goneRows.next(gone, now);
    const bool isRemoving = m_removalSentAt.has_value() && now - *m_removalSentAt <= ClaimRetryDelay;
    Platform::Transaction transaction;
    if (!replica.has_value() || isRemoving || now >= m_leaseExpiresAt || !isRemover(*replica, transaction.conditions)) {
        return;
    }
    // The store may do this late, when the replica has come back and has a new row.
    transaction.deletions.push_back({.table = std::string(Table), .key = holderKey(*replica)});
    m_removalSentAt = now;
    m_table.transact(std::move(transaction),
                     [this, replica = *replica,
                      version = m_holders.at(*replica).version](const Platform::TransactionResult &result) {
                         if (result.outcome != Platform::TransactionOutcome::Unknown) {
                             m_removalSentAt.reset();
                         }
                         const auto removed = m_holders.find(replica);
                         if (result.outcome == Platform::TransactionOutcome::Committed && removed != m_holders.end()
                             && removed->second.version == version) {
                             m_holders.erase(removed);
                         }
                     });
}

bool HolderTable::isRemover(const Core::TargetId &replica, std::vector<Platform::RowCondition> &conditions) const
{
    const auto &seen = m_holders.at(replica);
    const auto &holder = seen.row.holder;
    conditions.push_back({.table = std::string(Table), .key = holderKey(replica), .version = seen.version});
    if (holder == m_options.self.host) {
        return !m_holds.contains(replica) && !m_claims.contains(replica);
    }
    if (!holder.isEmpty()) {
        if (mayHoldLease(seen)) {
            return false;
        }
        // The removal has to fail if the holder renews its lease in the meantime.
        const auto host = m_hosts.find(holder);
        conditions.push_back({.table = std::string(Table),
                              .key = hostKey(holder),
                              .version = host == m_hosts.end() ? 0 : host->second.version});
    }
    return std::ranges::none_of(m_hosts, [this](const auto &host) {
        return host.first < m_options.self.host && isLive(host.second);
    });
}

std::vector<Core::TargetId> HolderTable::replicasToClaim() const
{
    const auto live = liveHosts();
    const auto replicas = m_replicas();
    std::map<Core::HostId, double> heldCounts;
    for (const auto &claimable : replicas) {
        if (const auto holder = holderOf(claimable.replica); holder.has_value()) {
            heldCounts[*holder] += 1;
        } else if (isLastHolder(claimable.replica)) {
            heldCounts[m_options.self.host] += 1;
        }
    }
    std::vector<Core::TargetId> toClaim;
    for (const auto &[replica, zone] : replicas) {
        if (mayHaveHolder(replica)) {
            continue;
        }
        if (isLastHolder(replica)) {
            toClaim.push_back(replica);
            continue;
        }
        const auto isOfZone = [&zone = zone](const HostRow &host) {
            return host.zone == zone;
        };
        const bool hasZoneHost = std::any_of(live.begin(), live.end(), isOfZone);
        const HostRow *lowestHost = nullptr;
        std::pair<double, std::uint64_t> lowestRank;
        for (const auto &host : live) {
            // The load of the host after the claim; the hash breaks ties.
            const std::pair<double, std::uint64_t> rank {
                (heldCounts[host.host] + 1) / std::max(host.weight, MinWeight),
                Core::stableHash(host.host.value, Core::stableHash(replica.value))};
            if ((!hasZoneHost || isOfZone(host)) && (lowestHost == nullptr || rank < lowestRank)) {
                lowestHost = &host;
                lowestRank = rank;
            }
        }
        heldCounts[lowestHost->host] += 1;
        if (lowestHost->host == m_options.self.host && m_scheduler.now() - m_startedAt >= m_options.discoveryTime) {
            toClaim.push_back(replica);
        }
    }
    return toClaim;
}

bool HolderTable::isLastHolder(const Core::TargetId &replica) const
{
    const auto found = m_holders.find(replica);
    if (found == m_holders.end()) {
        return false;
    }
    const auto &row = found->second.row;
    return (row.holder.isEmpty() ? row.previousHolder : row.holder) == m_options.self.host;
}

bool HolderTable::isLive(const SeenHost &host) const
{
    return m_scheduler.now() - host.changedAt < m_options.term + m_options.expiryMargin;
}

bool HolderTable::mayHoldLease(const SeenHolder &holder) const
{
    const auto host = m_hosts.find(holder.row.holder);
    if (host != m_hosts.end()) {
        return isLive(host->second);
    }
    // Each renewal writes the row anew, so that no lease is valid once the row has been missing for the whole term.
    const auto missing = m_missingSince.find(holder.row.holder);
    const auto missingSince = missing == m_missingSince.end() ? m_rowsSince.value_or(m_startedAt) : missing->second;
    return m_scheduler.now() - std::max(missingSince, holder.changedAt) < m_options.term + m_options.expiryMargin;
}

bool HolderTable::mayHaveHolder(const Core::TargetId &replica) const
{
    const auto found = m_holders.find(replica);
    const bool isOfOther = found != m_holders.end() && !found->second.row.holder.isEmpty()
        && found->second.row.holder != m_options.self.host;
    return m_holds.contains(replica) || (isOfOther && mayHoldLease(found->second));
}

bool HolderTable::isClaimable(const Core::TargetId &replica, std::vector<Platform::RowCondition> &conditions) const
{
    const auto found = m_holders.find(replica);
    conditions.push_back({.table = std::string(Table),
                          .key = holderKey(replica),
                          .version = found == m_holders.end() ? 0 : found->second.version});
    if (found == m_holders.end()) {
        return true;
    }
    const auto &holder = found->second.row.holder;
    if (holder == m_options.self.host) {
        return true;
    }
    if (holder.isEmpty()) {
        return found->second.row.previousHolder == m_options.self.host
            || m_scheduler.now() - found->second.changedAt >= m_options.returnGracePeriod;
    }
    // The claim has to fail if the holder renews its lease in the meantime.
    const auto host = m_hosts.find(holder);
    conditions.push_back({.table = std::string(Table),
                          .key = hostKey(holder),
                          .version = host == m_hosts.end() ? 0 : host->second.version});
    return !mayHoldLease(found->second);
}

void HolderTable::claim(const Core::TargetId &replica)
{
    Platform::Transaction transaction;
    if (!isClaimable(replica, transaction.conditions)) {
        return;
    }
    HolderRow row {.replica = replica,
                   .holder = m_options.self.host,
                   .incarnation = m_options.self.incarnation,
                   .previousHolder = {}};
    if (const auto found = m_holders.find(replica); found != m_holders.end()) {
        const auto &previous = found->second.row;
        const bool isOtherHost = !previous.holder.isEmpty() && previous.holder != m_options.self.host;
        row.previousHolder = isOtherHost ? previous.holder : previous.previousHolder;
    }
    transaction.puts.push_back({.table = std::string(Table), .key = holderKey(replica), .value = toText(row)});
    m_claims[replica] = {.sentAt = m_scheduler.now(), .leaseSession = m_leaseSession};
    m_table.transact(std::move(transaction), [this, row, session = m_leaseSession](const auto &result) {
        if (result.outcome == Platform::TransactionOutcome::Committed && !m_isLeaving) {
            auto &seen = m_holders[row.replica];
            if (result.version > seen.version) {
                seen = {.row = row, .version = result.version, .changedAt = m_scheduler.now()};
            }
            startHolding(row, result.version, session);
        } else if (result.outcome != Platform::TransactionOutcome::Unknown) {
            m_claims.erase(row.replica);
        }
    });
}

void HolderTable::leave(std::function<void()> done)
{
    m_isLeaving = true;
    Platform::Transaction transaction;
    for (const auto &[replica, held] : m_holds) {
        const HolderRow row {.replica = replica, .holder = {}, .previousHolder = m_options.self.host};
        transaction.conditions.push_back(
            {.table = std::string(Table), .key = holderKey(replica), .version = held.fence});
        transaction.puts.push_back({.table = std::string(Table), .key = holderKey(replica), .value = toText(row)});
    }
    m_holds.clear();
    const auto pending = std::make_shared<int>(2);
    const auto end = [pending, done = std::move(done)] {
        if (--*pending == 0) {
            done();
        }
    };
    // Two transactions, so that a renewal which changes the version of the host's row doesn't keep the replicas.
    m_table.transact(std::move(transaction), [end](const Platform::TransactionResult &) {
        end();
    });
    const auto own = m_hosts.find(m_options.self.host);
    const bool isSeen = own != m_hosts.end() && own->second.row.incarnation == m_options.self.incarnation;
    removeOwnRow(isSeen ? own->second.version : 0, [this, end](const Platform::TransactionResult &result) {
        if (result.outcome == Platform::TransactionOutcome::Conflicted) {
            // The last renewal has not been seen yet.
            readAndRemoveOwnRow(end);
        } else {
            end();
        }
    });
}

void HolderTable::removeOwnRow(std::uint64_t version, Platform::TableService::TransactionFunction done)
{
    // The store may do this seconds later, when the next process of this host has written the row.
    const auto key = hostKey(m_options.self.host);
    m_table.transact({.conditions = {{.table = std::string(Table), .key = key, .version = version}},
                      .deletions = {{.table = std::string(Table), .key = key}}},
                     std::move(done));
}

void HolderTable::readAndRemoveOwnRow(std::function<void()> done)
{
    m_table.read(Table, hostKey(m_options.self.host), [this, done = std::move(done)](const Platform::ReadResult &read) {
        const auto host = read.row.has_value() ? hostRowFromText(read.row->value) : std::nullopt;
        if (!host.has_value() || host->incarnation != m_options.self.incarnation) {
            done();
            return;
        }
        removeOwnRow(read.row->version, [done](const Platform::TransactionResult &) {
            done();
        });
    });
}

std::optional<std::uint64_t> HolderTable::orderFence(const Core::TargetId &replica) const
{
    const auto held = m_holds.find(replica);
    const auto now = m_scheduler.now();
    if (m_isLeaving || held == m_holds.end() || now >= m_leaseExpiresAt || now < held->second.ordersAllowedAt
        || held->second.leaseSession != m_leaseSession) {
        return std::nullopt;
    }
    return held->second.fence;
}

std::vector<Core::TargetId> HolderTable::held() const
{
    std::vector<Core::TargetId> replicas;
    for (const auto &[replica, held] : m_holds) {
        replicas.push_back(replica);
    }
    return replicas;
}

std::optional<Core::HostId> HolderTable::holderOf(const Core::TargetId &replica) const
{
    if (m_holds.contains(replica)) {
        return m_options.self.host;
    }
    const auto found = m_holders.find(replica);
    // A row that names this host was written by an earlier process; the replica has to be claimed again.
    if (found == m_holders.end() || found->second.row.holder.isEmpty()
        || found->second.row.holder == m_options.self.host) {
        return std::nullopt;
    }
    const auto host = m_hosts.find(found->second.row.holder);
    if (host == m_hosts.end() || !isLive(host->second)) {
        return std::nullopt;
    }
    return found->second.row.holder;
}

std::vector<HostRow> HolderTable::liveHosts() const
{
    std::vector<HostRow> live;
    bool isSelfSeen = false;
    for (const auto &[id, host] : m_hosts) {
        if (id == m_options.self.host || isLive(host)) {
            live.push_back(host.row);
            isSelfSeen = isSelfSeen || id == m_options.self.host;
        }
    }
    if (!isSelfSeen) {
        live.push_back(m_options.self);
    }
    return live;
}

std::size_t HolderTable::liveHostCount() const
{
    const auto others = std::count_if(m_hosts.begin(), m_hosts.end(), [this](const auto &host) {
        return host.first != m_options.self.host && isLive(host.second);
    });
    return static_cast<std::size_t>(others) + 1;
}

std::optional<std::string> HolderTable::peerAddress(const Core::HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? std::nullopt : std::optional(found->second.row.peerAddress);
}

}
