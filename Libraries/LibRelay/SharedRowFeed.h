#pragma once

#include <LibPlatform/RowFeed.h>
#include <LibRelay/ZoneReader.h>
#include <deque>
#include <map>
#include <memory>

namespace Relay {

// Rows of the store that one host reads for its zone and passes on. A host whose reader falls silent, or that has
// missed a part, reads the store itself at once.
class SharedRowFeed final : public Platform::RowFeed
{
public:
    SharedRowFeed(Core::Scheduler &scheduler, Peer::PeerRouter &router, Platform::RowFeed &store,
                  const ZoneReader &reader);

    // Always reads the store.
    void readTable(std::string_view table, FeedFunction done) override;
    void follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done) override;

private:
    struct Waiting {
        std::uint64_t after = 0;
        Core::TimePoint until {};
        FeedFunction done;
    };
    struct Table {
        std::deque<RowsNotice> notices; // Each begins where the one before it ends.
        std::optional<Waiting> waiting;
        bool isWatched = false;
    };

    void followStore(const std::string &table, std::uint64_t after, Core::Duration wait, FeedFunction done);
    void publish(const std::string &table, std::uint64_t after, const Platform::FeedResult &result);
    void take(RowsNotice notice);
    // Answers what waits if there are changes, if its time is over, or by the store if the reader is silent.
    void serve(const std::string &name);
    void watch(const std::string &name);
    // What the notices hold beyond the version; without a value they don't reach back to it.
    [[nodiscard]] static std::optional<Platform::FeedResult> collect(const Table &table, std::uint64_t after);

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    Platform::RowFeed &m_store;
    const ZoneReader &m_reader;
    std::map<std::string, Table> m_tables;
};

}
