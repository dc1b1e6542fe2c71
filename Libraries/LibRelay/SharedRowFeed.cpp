#include <LibRelay/SharedRowFeed.h>

#include <algorithm>
#include <utility>

namespace Relay {

namespace {

// Notices kept for a host that is between two calls.
constexpr std::size_t MostNotices = 32;
// How often a call that waits looks whether the reader still speaks.
constexpr auto WatchPeriod = std::chrono::milliseconds(150);

}

SharedRowFeed::SharedRowFeed(Core::Scheduler &scheduler, Peer::PeerRouter &router, Platform::RowFeed &store,
                             const ZoneReader &reader)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_store(store)
    , m_reader(reader)
{
    m_router.onMessage<RowsNotice>([this](const Core::HostId & /*from*/, RowsNotice notice) {
        take(std::move(notice));
    });
}

void SharedRowFeed::readTable(std::string_view table, FeedFunction done)
{
    m_store.readTable(table, std::move(done));
}

void SharedRowFeed::follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done)
{
    const std::string name(table);
    if (!m_reader.reader().has_value()) {
        followStore(name, after, wait, std::move(done));
        return;
    }
    m_tables[name].waiting = Waiting {.after = after, .until = m_scheduler.now() + wait, .done = std::move(done)};
    // Never answers inside the call.
    m_scheduler.runAfter({}, [this, name] {
        serve(name);
        watch(name);
    });
}

void SharedRowFeed::followStore(const std::string &table, std::uint64_t after, Core::Duration wait, FeedFunction done)
{
    m_store.follow(table, after, wait, [this, table, after, done = std::move(done)](Platform::FeedResult result) {
        if (result.outcome == Platform::FeedOutcome::Read && m_reader.isReading()) {
            publish(table, after, result);
        }
        done(std::move(result));
    });
}

void SharedRowFeed::publish(const std::string &table, std::uint64_t after, const Platform::FeedResult &result)
{
    RowsNotice notice {.table = table, .after = after, .version = result.version};
    for (const auto &row : result.rows) {
        notice.rows.push_back({.key = row.key, .version = row.version, .value = row.value, .isRemoved = row.isRemoved});
    }
    for (const auto &host : m_reader.followers()) {
        m_router.send(host, notice);
    }
}

void SharedRowFeed::take(RowsNotice notice)
{
    const auto name = notice.table;
    auto &table = m_tables[name];
    if (!table.notices.empty() && notice.after > table.notices.back().version) {
        // A part is missing; what lies before it can't be joined to this any more.
        table.notices.clear();
    }
    table.notices.push_back(std::move(notice));
    if (table.notices.size() > MostNotices) {
        table.notices.pop_front();
    }
    serve(name);
}

std::optional<Platform::FeedResult> SharedRowFeed::collect(const Table &table, std::uint64_t after)
{
    if (table.notices.empty() || table.notices.front().after > after) {
        return std::nullopt;
    }
    Platform::FeedResult result {.outcome = Platform::FeedOutcome::Read, .version = after};
    for (const auto &notice : table.notices) {
        if (notice.version <= after) {
            continue;
        }
        result.version = std::max(result.version, notice.version);
        for (const auto &row : notice.rows) {
            if (row.version > after) {
                result.rows.push_back(
                    {.key = row.key, .version = row.version, .value = row.value, .isRemoved = row.isRemoved});
            }
        }
    }
    return result;
}

void SharedRowFeed::serve(const std::string &name)
{
    auto &table = m_tables[name];
    if (!table.waiting.has_value()) {
        return;
    }
    const bool isRelied = m_reader.reader().has_value();
    auto changes = isRelied ? collect(table, table.waiting->after) : std::nullopt;
    const bool isOver = m_scheduler.now() >= table.waiting->until;
    const bool isAwaitingFirstNotice = isRelied && table.notices.empty();
    if ((isAwaitingFirstNotice || (changes.has_value() && changes->rows.empty())) && !isOver) {
        return;
    }
    auto waiting = std::move(*table.waiting);
    table.waiting.reset();
    if (changes.has_value()) {
        waiting.done(std::move(*changes));
        return;
    }
    // The reader is silent, or its notices begin too late: the store has the rest.
    followStore(name, waiting.after, std::max(waiting.until - m_scheduler.now(), Core::Duration {}),
                std::move(waiting.done));
}

void SharedRowFeed::watch(const std::string &name)
{
    auto &table = m_tables[name];
    if (!table.waiting.has_value() || std::exchange(table.isWatched, true)) {
        return;
    }
    m_scheduler.runAfter(WatchPeriod, [this, name] {
        m_tables[name].isWatched = false;
        serve(name);
        watch(name);
    });
}

}
