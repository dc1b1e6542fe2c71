#include <LibHolding/HolderTable.h>

#include <LibCore/Rendezvous.h>
#include <LibLog/Log.h>
#include <algorithm>
#include <set>

namespace Holding {

namespace {

// A claim without an answer is tried again after this; the row tells whether it was carried out after all.
constexpr auto ClaimRetryDelay = std::chrono::milliseconds(2000);
// Of a host that names none, or none that can be used.
constexpr double LeastWeight = 0.01;

}

HolderTable::HolderTable(Core::Scheduler &scheduler, Platform::TableService &table, HolderTableOptions options,
                         ReplicasFunction replicas, WriteFunction write)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_options(std::move(options))
    , m_replicas(std::move(replicas))
    , m_write(std::move(write))
    , m_retryDelay(m_options.retryDelay)
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
                    m_heldUntil = std::max(m_heldUntil, sentAt + m_options.term);
                    m_retryDelay = m_options.retryDelay;
                } else {
                    m_retryDelay = std::min(m_retryDelay * 2, m_options.longestRetryDelay);
                }
                m_scheduler.runAfter(isRenewed ? m_options.renewalPeriod : m_retryDelay, [this] {
                    renew();
                });
            });
}

void HolderTable::apply(const Platform::FeedResult &rows, bool isWhole)
{
    std::set<std::string> keys;
    for (const auto &row : rows.rows) {
        keys.insert(row.key);
        isHostKey(row.key) ? takeHost(row) : takeHolder(row);
    }
    if (isWhole) {
        std::erase_if(m_hosts, [&keys](const auto &host) {
            return !keys.contains(hostKey(host.first));
        });
        std::erase_if(m_holders, [&keys](const auto &holder) {
            return !keys.contains(holderKey(holder.first));
        });
    }
    m_isFilled = true;
}

void HolderTable::takeHost(const Platform::ChangedRow &row)
{
    if (row.isRemoved) {
        std::erase_if(m_hosts, [&row](const auto &host) {
            return hostKey(host.first) == row.key;
        });
        return;
    }
    auto host = hostRowFromText(row.value);
    if (!host.has_value()) {
        Log::write(Log::Event::EntryUnreadable, {{"table", std::string(Table)}, {"key", row.key}});
        return;
    }
    auto &seen = m_hosts[host->host];
    if (row.version > seen.version) {
        seen = {.row = std::move(*host), .version = row.version, .changedAt = m_scheduler.now()};
    }
}

void HolderTable::takeHolder(const Platform::ChangedRow &row)
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
        hold(*holder, row.version);
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

void HolderTable::hold(const HolderRow &row, std::uint64_t version)
{
    m_claims.erase(row.replica);
    auto &held = m_holds[row.replica];
    if (held.fence >= version) {
        return;
    }
    const bool isHandover = !row.formerHolder.isEmpty() && row.formerHolder != m_options.self.host;
    held = {.fence = version,
            .ordersFrom = m_scheduler.now() + (isHandover ? m_options.handoverGap : Core::Duration {})};
    Log::write(
        Log::Event::HoldGained,
        {{"replica", row.replica.value}, {"fence", std::to_string(version)}, {"former", row.formerHolder.value}});
}

void HolderTable::tick()
{
    if (m_isLeaving) {
        return;
    }
    const auto now = m_scheduler.now();
    std::erase_if(m_claims, [now](const auto &claim) {
        return now - claim.second > ClaimRetryDelay;
    });
    if (m_isFilled && now < m_heldUntil) {
        std::size_t claims = 0;
        for (const auto &replica : ownShare()) {
            if (claims < m_options.claimsPerTick && !m_claims.contains(replica)) {
                claim(replica);
                ++claims;
            }
        }
    }
    std::set<Core::TargetId> listed;
    for (const auto &[replica, zone] : m_replicas()) {
        listed.insert(replica);
    }
    std::erase_if(m_holds, [&listed](const auto &held) {
        return !listed.contains(held.first);
    });
    m_scheduler.runAfter(m_options.tickPeriod, [this] {
        tick();
    });
}

std::vector<Core::TargetId> HolderTable::ownShare() const
{
    const auto live = liveHosts();
    const auto replicas = m_replicas();
    std::map<Core::HostId, double> heldCounts;
    for (const auto &holdable : replicas) {
        if (const auto holder = holderOf(holdable.replica); holder.has_value()) {
            heldCounts[*holder] += 1;
        } else if (isNamed(holdable.replica)) {
            heldCounts[m_options.self.host] += 1;
        }
    }
    std::vector<Core::TargetId> share;
    for (const auto &[replica, zone] : replicas) {
        if (holderOf(replica).has_value()) {
            continue;
        }
        if (isNamed(replica)) {
            share.push_back(replica);
            continue;
        }
        const auto isOfZone = [&zone = zone](const HostRow &host) {
            return host.zone == zone;
        };
        const bool hasZoneHost = std::any_of(live.begin(), live.end(), isOfZone);
        const HostRow *best = nullptr;
        std::pair<double, std::uint64_t> lowest;
        for (const auto &host : live) {
            // The load that the host would have, and a hash that decides between equals.
            const std::pair<double, std::uint64_t> rank {
                (heldCounts[host.host] + 1) / std::max(host.weight, LeastWeight),
                Core::stableHash(host.host.value, Core::stableHash(replica.value))};
            if ((!hasZoneHost || isOfZone(host)) && (best == nullptr || rank < lowest)) {
                best = &host;
                lowest = rank;
            }
        }
        heldCounts[best->host] += 1;
        if (best->host == m_options.self.host && m_scheduler.now() - m_startedAt >= m_options.settleTime) {
            share.push_back(replica);
        }
    }
    return share;
}

bool HolderTable::isNamed(const Core::TargetId &replica) const
{
    const auto found = m_holders.find(replica);
    if (found == m_holders.end()) {
        return false;
    }
    const auto &row = found->second.row;
    return (row.holder.isEmpty() ? row.formerHolder : row.holder) == m_options.self.host;
}

bool HolderTable::isLive(const SeenHost &host) const
{
    return m_scheduler.now() - host.changedAt < m_options.term + m_options.lapseMargin;
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
        return found->second.row.formerHolder == m_options.self.host
            || m_scheduler.now() - found->second.changedAt >= m_options.returnTime;
    }
    // A holder that renews while the claim is on its way makes the claim fail.
    const auto host = m_hosts.find(holder);
    conditions.push_back({.table = std::string(Table),
                          .key = hostKey(holder),
                          .version = host == m_hosts.end() ? 0 : host->second.version});
    return host == m_hosts.end() || !isLive(host->second);
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
                   .formerHolder = {}};
    if (const auto found = m_holders.find(replica); found != m_holders.end()) {
        const auto &former = found->second.row;
        const bool isOtherHost = !former.holder.isEmpty() && former.holder != m_options.self.host;
        row.formerHolder = isOtherHost ? former.holder : former.formerHolder;
    }
    transaction.puts.push_back({.table = std::string(Table), .key = holderKey(replica), .value = toText(row)});
    m_claims[replica] = m_scheduler.now();
    m_table.transact(std::move(transaction), [this, row](const Platform::TransactionResult &result) {
        if (result.outcome == Platform::TransactionOutcome::Committed && !m_isLeaving) {
            auto &seen = m_holders[row.replica];
            if (result.version > seen.version) {
                seen = {.row = row, .version = result.version, .changedAt = m_scheduler.now()};
            }
            hold(row, result.version);
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
        const HolderRow row {.replica = replica, .holder = {}, .formerHolder = m_options.self.host};
        transaction.conditions.push_back(
            {.table = std::string(Table), .key = holderKey(replica), .version = held.fence});
        transaction.puts.push_back({.table = std::string(Table), .key = holderKey(replica), .value = toText(row)});
    }
    transaction.deletions.push_back({.table = std::string(Table), .key = hostKey(m_options.self.host)});
    m_holds.clear();
    m_table.transact(std::move(transaction), [done = std::move(done)](const Platform::TransactionResult &) {
        done();
    });
}

std::optional<std::uint64_t> HolderTable::orderFence(const Core::TargetId &replica) const
{
    const auto held = m_holds.find(replica);
    const auto now = m_scheduler.now();
    if (m_isLeaving || held == m_holds.end() || now >= m_heldUntil || now < held->second.ordersFrom) {
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
    // A row that names this host is of an earlier process, whose right to give orders has to be claimed anew.
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
