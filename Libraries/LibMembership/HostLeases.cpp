#include <LibMembership/HostLeases.h>

#include <nlohmann/json.hpp>

namespace Membership {

namespace {

constexpr std::string_view HostTable = "hosts";
constexpr std::size_t MostHosts = 2000;

}

HostLeases::HostLeases(Core::Scheduler &scheduler, Platform::TableService &table, HostRecord self,
                       HostLeasesOptions options)
    : m_scheduler(scheduler)
    , m_table(table)
    , m_self(std::move(self))
    , m_options(options)
{
}

void HostLeases::start()
{
    renew();
    scanHosts();
}

void HostLeases::update(const std::function<void(HostRecord &)> &change)
{
    change(m_self);
    m_table.transact({.puts = {{.table = std::string(HostTable), .key = m_self.id.value, .value = toText(m_self)}}},
                     [](const auto &) {});
}

void HostLeases::setTicketSequence(std::uint64_t sequence)
{
    m_self.ticketSequence = sequence;
}

void HostLeases::learn(const HostRecord &record)
{
    if (record.id != m_self.id) {
        m_seen.try_emplace(record.id, Seen {.record = record, .changedAt = m_scheduler.now()});
    }
    m_isReady = true;
}

const HostRecord &HostLeases::self() const
{
    return m_self;
}

std::vector<HostRecord> HostLeases::liveHosts() const
{
    std::vector<HostRecord> live {m_self};
    for (const auto &[id, seen] : m_seen) {
        if (m_scheduler.now() - seen.changedAt < m_options.term) {
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

bool HostLeases::isReady() const
{
    return m_isReady;
}

void HostLeases::renew()
{
    m_table.transact({.puts = {{.table = std::string(HostTable), .key = m_self.id.value, .value = toText(m_self)}}},
                     [this](const auto &) {
                         m_scheduler.runAfter(m_options.renewalPeriod, [this] {
                             renew();
                         });
                     });
}

void HostLeases::scanHosts()
{
    m_table.scan(HostTable, "", MostHosts, [this](const auto &result) {
        if (result.isAvailable) {
            takeRows(result.rows);
            m_isReady = true;
        }
        m_scheduler.runAfter(m_options.renewalPeriod, [this] {
            scanHosts();
        });
    });
}

void HostLeases::takeRows(const std::vector<Platform::Row> &rows)
{
    for (const auto &row : rows) {
        if (row.key == m_self.id.value) {
            continue;
        }
        auto &seen = m_seen[{row.key}];
        if (row.version <= seen.rowVersion) {
            continue;
        }
        try {
            seen = {.record = hostRecordFromText(row.value), .rowVersion = row.version, .changedAt = m_scheduler.now()};
        } catch (const nlohmann::json::exception &) {
            m_seen.erase({row.key});
        }
    }
}

}
