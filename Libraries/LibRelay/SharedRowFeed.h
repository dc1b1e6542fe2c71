#pragma once

#include <LibPlatform/RowFeed.h>
#include <LibRelay/ServiceClock.h>
#include <LibRelay/ZoneReader.h>
#include <deque>
#include <map>
#include <memory>

namespace Relay {

// Follows the rows of the table store through the reader of the zone, which reads them once and forwards them to the
// other hosts. A host whose reader becomes unresponsive, or that has missed a notice, reads the store directly at once.
class SharedRowFeed final : public Platform::RowFeed
{
public:
    SharedRowFeed(Core::Scheduler &scheduler, Peer::PeerRouter &router, Platform::RowFeed &store,
                  const ZoneReader &reader);

    // Always reads the store directly.
    void readTable(std::string_view table, FeedFunction done) override;
    void follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done) override;

private:
    struct PendingFollow {
        std::uint64_t after = 0;
        Core::TimePoint until {};
        std::optional<Core::TimePoint> provenAt; // Of the table when the call began.
        FeedFunction done;
    };
    struct Table {
        std::deque<RowsNotice> notices; // Contiguous: each starts at the version where the previous one ends.
        std::optional<PendingFollow> pending;
        bool isCheckScheduled = false;
        std::optional<Core::TimePoint> provenAt; // The notices include all changes acknowledged before.
    };

    void followStore(const std::string &table, std::uint64_t after, Core::Duration wait, FeedFunction done);
    void publish(const std::string &table, std::uint64_t after, const Platform::FeedResult &result,
                 Core::TimePoint sentAt);
    // Calls the function with the result of a call to the store that is made now, and when its rows are proven.
    [[nodiscard]] FeedFunction withProof(FeedFunction done);
    void handleNotice(RowsNotice notice);
    // Completes the pending call if there are changes, a later proof that there are none, or its wait has ended.
    // Without a responsive reader it continues the call at the store.
    void completeIfReady(const std::string &name);
    void scheduleReaderCheck(const std::string &name);
    // The changes after the version; no value if the notices start after it.
    [[nodiscard]] static std::optional<Platform::FeedResult> collect(const Table &table, std::uint64_t after);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Platform::RowFeed &m_store;
    const ZoneReader &m_reader;
    ServiceClock m_clock;
    std::map<std::string, Table> m_tables;
};

}
