#include <LibMembership/HostLeases.h>

#include <nlohmann/json.hpp>

namespace Membership {

namespace {

constexpr std::string_view HostTable = "hosts";
constexpr std::string_view ProcessTable = "host-processes"; // Keys as in the table of hosts; values are incarnations.
constexpr std::size_t RowsPerPage = 200;
constexpr std::size_t MaxUnconfirmedRenewals = 64;

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
    m_lastTableResponse = m_scheduler.now();
    // A host that has never run is registered before the row has been read, so that others which start with it see it
    // in their first scans.
    writeProcess(0);
    renew();
    scanOwnZone();
    scanOtherZones();
}

void HostLeases::update(const std::function<void(HostRecord &)> &change)
{
    change(m_self);
    if (!m_processVersion.has_value()) {
        return; // The registration or the renewal that follows it writes the change.
    }
    m_table.transact({.conditions = {processCondition()},
                      .puts = {{.table = std::string(HostTable), .key = ownKey(), .value = toText(m_self)}}},
                     [](const auto &) {});
}

void HostLeases::setTicketSequence(std::uint64_t sequence)
{
    m_self.ticketSequence = sequence;
}

void HostLeases::recordHost(const HostRecord &record)
{
    if (record.id != m_self.id) {
        m_observedHosts.try_emplace(record.id, ObservedHost {.record = record, .lastChange = m_scheduler.now()});
    }
    m_isReady = true;
}

void HostLeases::release(std::function<void()> done)
{
    m_isReleased = true;
    m_leaseHeldUntil = {};
    m_table.read(HostTable, ownKey(), [this, done = std::move(done)](const Platform::ReadResult &read) {
        if (!read.row.has_value() || !isOwnRow(*read.row)) {
            done();
            return;
        }
        // The service may do this seconds later, when the next process of this host has written the row.
        Platform::Transaction transaction {
            .conditions = {{.table = std::string(HostTable), .key = ownKey(), .version = read.row->version}},
            .deletions = {{.table = std::string(HostTable), .key = ownKey()}}};
        if (m_processVersion.has_value()) {
            // A renewal that is done late must not write the row again.
            transaction.conditions.push_back(processCondition());
            transaction.puts.push_back({.table = std::string(ProcessTable), .key = ownKey()});
        }
        m_table.transact(std::move(transaction), [done](const auto &) {
            done();
        });
    });
}

bool HostLeases::isOwnRow(const Platform::Row &row) const
{
    try {
        return hostRecordFromText(row.value).incarnation == m_self.incarnation;
    } catch (const nlohmann::json::exception &) {
        return false;
    }
}

const HostRecord &HostLeases::self() const
{
    return m_self;
}

std::vector<HostRecord> HostLeases::liveHosts() const
{
    std::vector<HostRecord> live {m_self};
    for (const auto &[id, observed] : m_observedHosts) {
        if (!isExpired(observed)) {
            live.push_back(observed.record);
        }
    }
    return live;
}

std::optional<HostRecord> HostLeases::find(const Core::HostId &id) const
{
    if (id == m_self.id) {
        return m_self;
    }
    const auto found = m_observedHosts.find(id);
    return found == m_observedHosts.end() ? std::nullopt : std::optional(found->second.record);
}

std::vector<HostRecord> HostLeases::zonePeers() const
{
    std::vector<HostRecord> peers;
    for (const auto &[id, observed] : m_observedHosts) {
        if (observed.record.zone == m_self.zone) {
            peers.push_back(observed.record);
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
    return !m_isReleased && m_scheduler.now() < m_leaseHeldUntil;
}

std::uint64_t HostLeases::session() const
{
    return m_session;
}

bool HostLeases::isExpired(const Core::HostId &id) const
{
    const auto found = m_observedHosts.find(id);
    return found != m_observedHosts.end() && isExpired(found->second);
}

bool HostLeases::isExpired(const ObservedHost &observed) const
{
    // Rows of other zones are read less often, so that a renewal may show up to one scan period late.
    const auto readPeriod
        = observed.record.zone == m_self.zone ? Core::Duration::zero() : m_options.otherZonesScanPeriod;
    return m_scheduler.now() - observed.lastChange >= observed.record.term + m_options.expiryMargin + readPeriod;
}

bool HostLeases::isReleased(const Core::HostId &id) const
{
    return m_releasedHosts.contains(id);
}

Platform::RowCondition HostLeases::unchangedCondition(const Core::HostId &id) const
{
    const auto found = m_observedHosts.find(id);
    return {.table = std::string(HostTable),
            .key = m_self.zone.value + '/' + id.value,
            .version = found == m_observedHosts.end() ? 0 : found->second.rowVersion};
}

Core::Duration HostLeases::timeSinceTableResponse() const
{
    return m_scheduler.now() - m_lastTableResponse;
}

Platform::RowCondition HostLeases::processCondition() const
{
    return {.table = std::string(ProcessTable), .key = ownKey(), .version = m_processVersion.value_or(0)};
}

std::string HostLeases::ownKey() const
{
    return m_self.zone.value + '/' + m_self.id.value;
}

void HostLeases::renew()
{
    if (m_isReleased) {
        return;
    }
    if (m_processVersion.has_value()) {
        writeRenewal({.conditions = {processCondition()}});
    } else {
        registerProcess();
    }
    m_scheduler.runAfter(m_options.renewalPeriod, [this] {
        renew();
    });
}

void HostLeases::registerProcess()
{
    readProcess([this](const Platform::ReadResult &read) {
        if (m_processVersion.has_value()) {
            writeRenewal({.conditions = {processCondition()}});
            return;
        }
        // Once registered, only a later process of the host can have replaced this one, and this one has ended then.
        if (!read.isAvailable || (m_wasRegistered && read.row.has_value())) {
            return;
        }
        writeProcess(read.row.has_value() ? read.row->version : 0);
    });
}

void HostLeases::writeProcess(std::uint64_t version)
{
    writeRenewal(
        {.conditions = {{.table = std::string(ProcessTable), .key = ownKey(), .version = version}},
         .puts = {{.table = std::string(ProcessTable), .key = ownKey(), .value = std::to_string(m_self.incarnation)}}});
}

void HostLeases::readProcess(std::function<void(const Platform::ReadResult &read)> done)
{
    m_table.read(ProcessTable, ownKey(), [this, done = std::move(done)](const Platform::ReadResult &read) {
        if (m_isReleased) {
            return;
        }
        if (read.row.has_value() && read.row->value == std::to_string(m_self.incarnation)) {
            m_processVersion = read.row->version;
            m_wasRegistered = true;
        }
        done(read);
    });
}

void HostLeases::writeRenewal(Platform::Transaction transaction)
{
    const auto renewal = ++m_self.renewal;
    m_sentRenewals[renewal] = m_scheduler.now();
    if (m_sentRenewals.size() > MaxUnconfirmedRenewals) {
        m_sentRenewals.erase(m_sentRenewals.begin());
    }
    transaction.puts.push_back({.table = std::string(HostTable), .key = ownKey(), .value = toText(m_self)});
    m_table.transact(std::move(transaction), [this, renewal](const Platform::TransactionResult &result) {
        if (result.outcome == Platform::TransactionOutcome::Committed) {
            m_lastTableResponse = m_scheduler.now();
            confirmRenewal(renewal);
            if (!m_processVersion.has_value()) {
                readProcess([](const auto &) {});
            }
        } else if (result.outcome == Platform::TransactionOutcome::Conflicted) {
            m_lastTableResponse = m_scheduler.now();
            m_processVersion.reset();
        }
    });
}

void HostLeases::confirmRenewal(std::uint64_t renewal)
{
    const auto sent = m_sentRenewals.find(renewal);
    if (sent == m_sentRenewals.end() || m_isReleased) {
        return;
    }
    const auto until = sent->second + m_options.term;
    m_sentRenewals.erase(m_sentRenewals.begin(), std::next(sent));
    const auto now = m_scheduler.now();
    if (until <= now) {
        return;
    }
    if (m_leaseHeldUntil <= now) {
        ++m_session;
    }
    m_leaseHeldUntil = std::max(m_leaseHeldUntil, until);
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
        m_scheduler.runAfter(m_options.otherZonesScanPeriod, [this] {
            scanOtherZones();
        });
    });
}

// Reads the rows whose key begins with the prefix, page by page. The function runs after the last page, or after a
// page that couldn't be read.
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
            m_lastTableResponse = m_scheduler.now();
            bool hasMore = result.rows.size() == RowsPerPage;
            for (const auto &row : result.rows) {
                if (!row.key.starts_with(prefix)) {
                    hasMore = false;
                    break;
                }
                applyRow(row);
                found.insert({row.key.substr(row.key.find('/') + 1)});
            }
            if (hasMore) {
                scanPage(prefix, result.rows.back().key, std::move(found), std::move(done));
                return;
            }
            if (prefix.empty()) {
                m_isReady = true;
            } else {
                removeDeletedHosts(found);
            }
            done();
        });
}

void HostLeases::applyRow(const Platform::Row &row)
{
    try {
        const auto record = hostRecordFromText(row.value);
        if (record.id == m_self.id) {
            if (record.incarnation == m_self.incarnation) {
                confirmRenewal(record.renewal);
            }
            return;
        }
        auto &observed = m_observedHosts[record.id];
        if (row.version > observed.rowVersion) {
            observed = {.record = record, .rowVersion = row.version, .lastChange = m_scheduler.now()};
            m_releasedHosts.erase(record.id);
        }
    } catch (const nlohmann::json::exception &) {
        // A malformed row is ignored, so that the host's last valid record expires.
    }
}

void HostLeases::removeDeletedHosts(const std::set<Core::HostId> &found)
{
    for (auto observed = m_observedHosts.begin(); observed != m_observedHosts.end();) {
        const bool isDeleted = observed->second.record.zone == m_self.zone && !found.contains(observed->first);
        if (isDeleted) {
            m_releasedHosts.insert(observed->first);
        }
        observed = isDeleted ? m_observedHosts.erase(observed) : std::next(observed);
    }
}

}
