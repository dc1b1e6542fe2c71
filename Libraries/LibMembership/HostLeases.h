#pragma once

#include <LibCore/Scheduler.h>
#include <LibMembership/HostRecord.h>
#include <LibPlatform/TableService.h>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Membership {

struct HostLeasesOptions {
    Core::Duration renewalPeriod = std::chrono::milliseconds(1000);
    Core::Duration term = std::chrono::milliseconds(5000);
};

// This host's lease row in the table service, and what it sees of the others' rows. Another host's lease counts
// as lapsed when this host has itself seen the row unchanged for the whole term; wall clocks are never compared.
class HostLeases
{
public:
    HostLeases(Core::Scheduler &scheduler, Platform::TableService &table, HostRecord self, HostLeasesOptions options);

    void start();
    // Changes what the own row says from the next renewal on, which is sent at once.
    void update(const std::function<void(HostRecord &)> &change);

    // Says in the own row, from the next renewal on, which ticket sequence is in force here.
    void setTicketSequence(std::uint64_t sequence);
    // Takes another host's record from a peer, for a host that can't read the rows; a row read later replaces it.
    void learn(const HostRecord &record);

    [[nodiscard]] const HostRecord &self() const;
    // Hosts whose lease hasn't lapsed, this one included, by id.
    [[nodiscard]] std::vector<HostRecord> liveHosts() const;
    // The last record seen of a host, lapsed or not.
    [[nodiscard]] std::optional<HostRecord> find(const Core::HostId &id) const;
    // True once the other hosts' rows have been read.
    [[nodiscard]] bool isReady() const;

private:
    struct Seen {
        HostRecord record;
        std::uint64_t rowVersion = 0;
        Core::TimePoint changedAt {};
    };

    void renew();
    void scanHosts();
    void takeRows(const std::vector<Platform::Row> &rows);

    Core::Scheduler &m_scheduler;
    Platform::TableService &m_table;
    HostRecord m_self;
    HostLeasesOptions m_options;
    std::map<Core::HostId, Seen> m_seen;
    bool m_isReady = false;
};

}
