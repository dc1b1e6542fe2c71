#include <LibMembership/HostLeases.h>

#include <nlohmann/json.hpp>

namespace Membership {

namespace {

constexpr std::string_view HostTable = "hosts";
constexpr std::size_t RowsPerPage = 200;
constexpr std::size_t MostUnconfirmedRenewals = 64;

}

HostLeases::HostLeases(Core::Scheduler &scheduler, Platform::TableService &table, HostRecord self,
                       HostLeasesOptions options)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_self(std::move(self))
    , m_options(options)
{
    m_self.term = options.term;
}

void HostLeases::start()
{
    m_tableAnsweredAt = m_scheduler.now();
    renew();
    scanOwnZone();
    scanOtherZones();
}

void HostLeases::update(const std::function<void(HostRecord &)> &change)
{
    change(m_self);
    m_table.transact({.puts = {{.table = std::string(HostTable), .key = ownKey(), .value = toText(m_self)}}},
                     [](const auto &) {});
}

void HostLeases::setTicketSequence(std::uint64_t sequence)
{
    m_self.ticketSequence = sequence;
}

void HostLeases::recordHost(const HostRecord &record)
{
    if (record.id != m_self.id) {
        m_seen.try_emplace(record.id, Seen {.record = record, .changedAt = m_scheduler.now()});
    }
    m_isReady = true;
}

void HostLeases::release(std::function<void()> done)
{
    m_isEnded = true;
    m_heldUntil = {};
    m_table.transact({.deletions = {{.table = std::string(HostTable), .key = ownKey()}}},
                     [done = std::move(done)](const auto &) {
                         done();
                     });
}

const HostRecord &HostLeases::self() const
{
    return m_self;
}

std::vector<HostRecord> HostLeases::liveHosts() const
{
    std::vector<HostRecord> live {m_self};
    for (const auto &[id, seen] : m_seen) {
        if (!isExpired(seen)) {
            live.push_back(seen.record);
        }
    }
    return live;
}

std::optional<HostRecord> HostLeases::find(const Core::HostId &id) const
{
    if (id == m_self.id) {
        return m_self;
    }
    const auto found = m_seen.find(id);
    return found == m_seen.end() ? std::nullopt : std::optional(found->second.record);
}

std::vector<HostRecord> HostLeases::zonePeers() const
{
    std::vector<HostRecord> peers;
    for (const auto &[id, seen] : m_seen) {
        if (seen.record.zone == m_self.zone) {
            peers.push_back(seen.record);
        }
    }
    return peers;
}

bool HostLeases::isReady() const
{
    return m_isReady;
}

bool HostLeases::isLeaseHeld() const
{
    return !m_isEnded && m_scheduler.now() < m_heldUntil;
}

std::uint64_t HostLeases::session() const
{
    return m_session;
}

bool HostLeases::isExpired(const Core::HostId &id) const
{
    const auto found = m_seen.find(id);
    return found != m_seen.end() && isExpired(found->second);
}

bool HostLeases::isExpired(const Seen &seen) const
{
    // Rows of other zones are read rarely, so they look unchanged for longer.
    const auto readPeriod = seen.record.zone == m_self.zone ? Core::Duration::zero() : m_options.otherZonesPeriod;
    return m_scheduler.now() - seen.changedAt >= seen.record.term + m_options.expiryMargin + readPeriod;
}

bool HostLeases::isReleased(const Core::HostId &id) const
{
    return m_released.contains(id);
}

Platform::RowCondition HostLeases::unchanged(const Core::HostId &id) const
{
    const auto found = m_seen.find(id);
    return {.table = std::string(HostTable),
            .key = m_self.zone.value + '/' + id.value,
            .version = found == m_seen.end() ? 0 : found->second.rowVersion};
}

Core::Duration HostLeases::timeSinceTableResponse() const
{
    return m_scheduler.now() - m_tableAnsweredAt;
}

std::string HostLeases::ownKey() const
{
    return m_self.zone.value + '/' + m_self.id.value;
}

void HostLeases::renew()
{
    if (m_isEnded) {
        return;
    }
    const auto renewal = ++m_self.renewal;
    m_sentRenewals[renewal] = m_scheduler.now();
    if (m_sentRenewals.size() > MostUnconfirmedRenewals) {
        m_sentRenewals.erase(m_sentRenewals.begin());
    }
    m_table.transact({.puts = {{.table = std::string(HostTable), .key = ownKey(), .value = toText(m_self)}}},
                     [this, renewal](const Platform::TransactionResult &result) {
                         if (result.outcome == Platform::TransactionOutcome::Committed) {
                             m_tableAnsweredAt = m_scheduler.now();
                             confirmRenewal(renewal);
                         }
                     });
    m_scheduler.runAfter(m_options.renewalPeriod, [this] {
        renew();
    });
}

void HostLeases::confirmRenewal(std::uint64_t renewal)
{
    const auto sent = m_sentRenewals.find(renewal);
    if (sent == m_sentRenewals.end() || m_isEnded) {
        return;
    }
    const auto until = sent->second + m_options.term;
    m_sentRenewals.erase(m_sentRenewals.begin(), std::next(sent));
    const auto now = m_scheduler.now();
    if (until <= now) {
        return;
    }
    if (m_heldUntil <= now) {
        ++m_session;
    }
    m_heldUntil = std::max(m_heldUntil, until);
}

void HostLeases::scanOwnZone()
{
    scanPage(m_self.zone.value + '/', m_self.zone.value + '/', {}, [this] {
        m_scheduler.runAfter(m_options.renewalPeriod, [this] {
            scanOwnZone();
        });
    });
}

void HostLeases::scanOtherZones()
{
    scanPage("", "", {}, [this] {
        m_scheduler.runAfter(m_options.otherZonesPeriod, [this] {
            scanOtherZones();
        });
    });
}

// Reads the rows whose key begins with the prefix, page by page. The function runs after the last page, or after a
// page that could not be had.
void HostLeases::scanPage(const std::string &prefix, const std::string &afterKey, std::set<Core::HostId> found,
                          std::function<void()> done)
{
    m_table.scan(
        HostTable, afterKey, RowsPerPage,
        [this, prefix, found = std::move(found), done = std::move(done)](const Platform::ScanResult &result) mutable {
            if (!result.isAvailable) {
                done();
                return;
            }
            m_tableAnsweredAt = m_scheduler.now();
            bool hasMore = result.rows.size() == RowsPerPage;
            for (const auto &row : result.rows) {
                if (!row.key.starts_with(prefix)) {
                    hasMore = false;
                    break;
                }
                takeRow(row);
                found.insert({row.key.substr(row.key.find('/') + 1)});
            }
            if (hasMore) {
                scanPage(prefix, result.rows.back().key, std::move(found), std::move(done));
                return;
            }
            if (prefix.empty()) {
                m_isReady = true;
            } else {
                dropDeleted(found);
            }
            done();
        });
}

void HostLeases::takeRow(const Platform::Row &row)
{
    try {
        const auto record = hostRecordFromText(row.value);
        if (record.id == m_self.id) {
            if (record.incarnation == m_self.incarnation) {
                confirmRenewal(record.renewal);
            }
            return;
        }
        auto &seen = m_seen[record.id];
        if (row.version > seen.rowVersion) {
            seen = {.record = record, .rowVersion = row.version, .changedAt = m_scheduler.now()};
            m_released.erase(record.id);
        }
    } catch (const nlohmann::json::exception &) {
        // A row that can't be read says nothing of its host; the former one lapses.
    }
}

void HostLeases::dropDeleted(const std::set<Core::HostId> &found)
{
    for (auto seen = m_seen.begin(); seen != m_seen.end();) {
        const bool isDeleted = seen->second.record.zone == m_self.zone && !found.contains(seen->first);
        if (isDeleted) {
            m_released.insert(seen->first);
        }
        seen = isDeleted ? m_seen.erase(seen) : std::next(seen);
    }
}

}
