#include <LibCore/VirtualScheduler.h>
#include <LibGateway/FeedTimes.h>
#include <LibRelay/SharedRowFeed.h>
#include <StandIns/MemoryRows.h>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace std::chrono_literals;

namespace {

constexpr auto CallTimeout = 700ms; // Of the client of the store, beyond the time that a call waits.
constexpr auto MessageTime = 5ms;

// The store as one host reaches it. While it is silent, calls end by their timeout, including those under way.
class SilencedRows final : public Platform::RowFeed
{
public:
    SilencedRows(Core::VirtualScheduler &scheduler, StandIns::MemoryRows &rows)
        : m_scheduler(scheduler)
        , m_rows(rows)
    {
    }
    void readTable(std::string_view table, FeedFunction done) override
    {
        m_rows.readTable(table, std::move(done));
    }
    void follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done) override
    {
        auto isDone = std::make_shared<bool>(false);
        auto finish = [isDone, done = std::move(done)](Platform::FeedResult result) {
            if (!std::exchange(*isDone, true)) {
                done(std::move(result));
            }
        };
        m_scheduler.runAfter(wait + CallTimeout, [finish] {
            finish({.error = "Timeout was reached"});
        });
        m_rows.follow(table, after, wait, [this, finish](Platform::FeedResult result) {
            if (!isSilent) {
                finish(std::move(result));
            }
        });
    }

    bool isSilent = false;

private:
    Core::VirtualScheduler &m_scheduler;
    StandIns::MemoryRows &m_rows;
};

struct FollowingHost;
using Hosts = std::map<std::string, FollowingHost *>;

// A host that follows a table as the gateway does. The host "a" reads for the others.
struct FollowingHost final : private Peer::PeerTransport {
    FollowingHost(Core::VirtualScheduler &scheduler, Hosts &hosts, StandIns::MemoryRows &rows, const std::string &name,
                  Fleet::FeedOptions options)
        : scheduler(scheduler)
        , hosts(hosts)
        , store(scheduler, rows)
        , router(scheduler, *this, {.self = {name}, .key = "k"})
        , reader(
              scheduler, router, {},
              [&hosts] {
                  std::vector<Relay::ZoneHost> zone;
                  for (const auto &[host, object] : hosts) {
                      zone.push_back({.host = {host}, .weight = host == "a" ? 2.0 : 1.0});
                  }
                  return zone;
              },
              [this] {
                  return feed.healthySince().has_value();
              })
        , shared(scheduler, router, store, reader)
        , feed(
              scheduler, withReader(std::move(options)),
              [this](auto done) {
                  shared.readTable("t", std::move(done));
              },
              [this](auto after, auto wait, auto done) {
                  shared.follow("t", after, wait, std::move(done));
              },
              [this](Platform::FeedResult &&changes, Fleet::Feed<Platform::FeedResult>::Extent) {
                  for (const auto &row : changes.rows) {
                      appliedAt[row.key] = this->scheduler.now();
                  }
              })
    {
        hosts[name] = this;
    }

    Fleet::FeedOptions withReader(Fleet::FeedOptions options)
    {
        options.isRelayed = [this] {
            return reader.reader().has_value();
        };
        options.onLost = [this] {
            reader.announceHealth();
        };
        return options;
    }

    void send(const Core::HostId &to, std::string bytes) override
    {
        scheduler.runAfter(MessageTime, [this, to, bytes = std::move(bytes)] {
            hosts.at(to.value)->router.receive(bytes);
        });
    }
    void reconnect(const Core::HostId & /*to*/) override
    {
    }

    Core::VirtualScheduler &scheduler;
    Hosts &hosts;
    SilencedRows store;
    Peer::PeerRouter router;
    Relay::ZoneReader reader;
    Relay::SharedRowFeed shared;
    Fleet::Feed<Platform::FeedResult> feed;
    std::map<std::string, Core::TimePoint> appliedAt;
};

}

// The platform turns away the host that reads for its zone, without an error, just before a change.
class FeedTimesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedTimesTest);
    CPPUNIT_TEST(configurationIsAppliedInTimeWhenReaderIsTurnedAway);
    CPPUNIT_TEST(leavingIsAppliedInTimeWhenReaderIsTurnedAway);
    CPPUNIT_TEST(longerBoundsMakeFewerCalls);
    CPPUNIT_TEST_SUITE_END();

    // The longest time after which the followers had applied the change, over all phases of the reader's calls.
    static Core::Duration longestDelay(const Fleet::FeedOptions &options)
    {
        Core::Duration longest {};
        for (auto phase = 0ms; phase < 2500ms; phase += 50ms) {
            Core::VirtualScheduler scheduler;
            StandIns::MemoryRows rows(scheduler);
            Hosts hosts;
            rows.put("t", "first", "1");
            FollowingHost a(scheduler, hosts, rows, "a", options);
            FollowingHost b(scheduler, hosts, rows, "b", options);
            FollowingHost c(scheduler, hosts, rows, "c", options);
            for (const auto &[name, host] : hosts) {
                host->reader.start();
                host->feed.start();
            }
            scheduler.advance(5s + phase);
            a.store.isSilent = true;
            rows.put("t", "change", "2");
            const auto changedAt = scheduler.now();
            scheduler.advance(6s);
            for (const auto *host : {&b, &c}) {
                CPPUNIT_ASSERT(host->appliedAt.contains("change"));
                longest = std::max(longest, host->appliedAt.at("change") - changedAt);
            }
        }
        return longest;
    }

    void configurationIsAppliedInTimeWhenReaderIsTurnedAway()
    {
        for (const auto bound : {2000ms, 3000ms, 4000ms}) {
            CPPUNIT_ASSERT(longestDelay(Gateway::configurationFeedOptions({.apply = bound, .drain = bound})) < bound);
        }
    }

    void leavingIsAppliedInTimeWhenReaderIsTurnedAway()
    {
        for (const auto bound : {2000ms, 3000ms, 4000ms}) {
            CPPUNIT_ASSERT(longestDelay(Gateway::replicaFeedOptions({.apply = bound, .drain = bound})) < bound);
        }
    }

    void longerBoundsMakeFewerCalls()
    {
        const auto tight = Gateway::configurationFeedOptions({.apply = 2000ms, .drain = 2000ms});
        const auto loose = Gateway::configurationFeedOptions({.apply = 4000ms, .drain = 4000ms});
        CPPUNIT_ASSERT(tight.longPollTimeout < loose.longPollTimeout);
        CPPUNIT_ASSERT(tight.maxRetryDelay < loose.maxRetryDelay);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedTimesTest);
