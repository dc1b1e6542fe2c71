#include <LibRelay/SharedRowFeed.h>

#include <algorithm>
#include <utility>

namespace Relay {

namespace {

// Notices kept for the time between two calls.
constexpr std::size_t MaxNotices = 32;
// How often a pending call checks that the reader is still responsive.
constexpr auto ReaderCheckPeriod = std::chrono::milliseconds(150);

}

SharedRowFeed::SharedRowFeed(Core::Scheduler &scheduler, Peer::PeerRouter &router, Platform::RowFeed &store,
                             const ZoneReader &reader)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_store(store)
    , m_reader(reader)
{
    m_router.onMessage<RowsNotice>([this](const Core::HostId & /*from*/, RowsNotice notice) {
        handleNotice(std::move(notice));
    });
}

void SharedRowFeed::readTable(std::string_view table, FeedFunction done)
{
    m_store.readTable(table, withProof(std::move(done)));
}

Platform::RowFeed::FeedFunction SharedRowFeed::withProof(FeedFunction done)
{
    return [this, sentAt = m_scheduler.now(), done = std::move(done)](Platform::FeedResult result) {
        if (result.outcome == Platform::FeedOutcome::Read) {
            result.provenAt = sentAt;
            if (result.serviceTime.has_value()) {
                m_clock.record(sentAt, *result.serviceTime);
            }
        }
        done(std::move(result));
    };
}

void SharedRowFeed::follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done)
{
    const std::string name(table);
    if (!m_reader.reader().has_value()) {
        followStore(name, after, wait, std::move(done));
        return;
    }
    auto &followed = m_tables[name];
    followed.pending = PendingFollow {
        .after = after, .until = m_scheduler.now() + wait, .provenAt = followed.provenAt, .done = std::move(done)};
    // The callback must not run before this function returns.
    m_scheduler.runAfter({}, [this, name] {
        completeIfReady(name);
        scheduleReaderCheck(name);
    });
}

void SharedRowFeed::followStore(const std::string &table, std::uint64_t after, Core::Duration wait, FeedFunction done)
{
    m_store.follow(table, after, wait,
                   withProof([this, table, after, done = std::move(done)](Platform::FeedResult result) {
                       if (result.outcome == Platform::FeedOutcome::Read && m_reader.isReading()) {
                           publish(table, after, result, *result.provenAt);
                       }
                       done(std::move(result));
                   }));
}

void SharedRowFeed::publish(const std::string &table, std::uint64_t after, const Platform::FeedResult &result,
                            Core::TimePoint sentAt)
{
    RowsNotice notice {.table = table, .after = after, .version = result.version};
    if (result.serviceTime.has_value()) {
        const auto proven = ServiceClock::toService(sentAt, m_scheduler.now(), *result.serviceTime);
        notice.provenAtMilliseconds = static_cast<std::uint64_t>(std::max<std::int64_t>(proven.count(), 0));
    }
    for (const auto &row : result.rows) {
        notice.rows.push_back({.key = row.key, .version = row.version, .value = row.value, .isRemoved = row.isRemoved});
    }
    for (const auto &host : m_reader.followers()) {
        m_router.send(host, notice);
    }
}

void SharedRowFeed::handleNotice(RowsNotice notice)
{
    const auto name = notice.table;
    auto &table = m_tables[name];
    if (!table.notices.empty() && notice.after > table.notices.back().version) {
        // A notice is missing, so that the earlier ones are no longer contiguous with this one.
        table.notices.clear();
    }
    if (const auto proven = std::chrono::milliseconds(notice.provenAtMilliseconds); proven.count() > 0) {
        table.provenAt = std::max(table.provenAt, m_clock.toLocal(proven));
    }
    table.notices.push_back(std::move(notice));
    if (table.notices.size() > MaxNotices) {
        table.notices.pop_front();
    }
    completeIfReady(name);
}

std::optional<Platform::FeedResult> SharedRowFeed::collect(const Table &table, std::uint64_t after)
{
    if (table.notices.empty() || table.notices.front().after > after) {
        return std::nullopt;
    }
    Platform::FeedResult result {.outcome = Platform::FeedOutcome::Read, .version = after, .provenAt = table.provenAt};
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

void SharedRowFeed::completeIfReady(const std::string &name)
{
    auto &table = m_tables[name];
    if (!table.pending.has_value()) {
        return;
    }
    const bool hasReader = m_reader.reader().has_value();
    auto changes = hasReader ? collect(table, table.pending->after) : std::nullopt;
    const bool isTimedOut = m_scheduler.now() >= table.pending->until;
    const bool isAwaitingFirstNotice = hasReader && table.notices.empty();
    const bool isUnchanged = changes.has_value() && changes->rows.empty() && table.provenAt <= table.pending->provenAt;
    if ((isAwaitingFirstNotice || isUnchanged) && !isTimedOut) {
        return;
    }
    auto pending = std::move(*table.pending);
    table.pending.reset();
    if (changes.has_value()) {
        pending.done(std::move(*changes));
        return;
    }
    // The reader is unresponsive, or its notices start too late; the store has all changes.
    followStore(name, pending.after, std::max(pending.until - m_scheduler.now(), Core::Duration {}),
                std::move(pending.done));
}

void SharedRowFeed::scheduleReaderCheck(const std::string &name)
{
    auto &table = m_tables[name];
    if (!table.pending.has_value() || std::exchange(table.isCheckScheduled, true)) {
        return;
    }
    m_scheduler.runAfter(ReaderCheckPeriod, [this, name] {
        m_tables[name].isCheckScheduled = false;
        completeIfReady(name);
        scheduleReaderCheck(name);
    });
}

}
