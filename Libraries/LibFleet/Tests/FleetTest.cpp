#include <LibCore/VirtualScheduler.h>
#include <LibFleet/Feed.h>
#include <LibFleet/ReplicaSet.h>
#include <StandIns/MemoryRows.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(changeIsAppliedWithinPollInterval);
    CPPUNIT_TEST(firstFollowCallWaitsForInitialInterval);
    CPPUNIT_TEST(relayedChangesAreAppliedImmediately);
    CPPUNIT_TEST(lostHistoryCausesFullRead);
    CPPUNIT_TEST(feedRecoversAfterOutage);
    CPPUNIT_TEST(changeAfterSilentOutageIsAppliedInTime);
    CPPUNIT_TEST(feedsOfHostShareTheCallsOfAnOutage);
    CPPUNIT_TEST(feedTriesForItselfInLongOutage);
    CPPUNIT_TEST(deletedEntryIsRemoved);
    CPPUNIT_TEST(entryExpiredInOutageIsKeptForGracePeriod);
    CPPUNIT_TEST(unreadableEntryRemovesReplica);
    CPPUNIT_TEST(leavingLastsAsLongAsTheIncarnation);
    CPPUNIT_TEST_SUITE_END();

    using RowsFeed = Fleet::Feed<Platform::FeedResult>;

    Core::VirtualScheduler m_scheduler;
    StandIns::MemoryRows m_rows {m_scheduler};
    std::map<std::string, std::string> m_seen;
    int m_fullReads = 0;
    bool m_isRelayed = false;
    RowsFeed m_feed {m_scheduler,
                     {.name = "test",
                      .pollInterval = 100ms,
                      .isRelayed =
                          [this] {
                              return m_isRelayed;
                          }},
                     [this](auto done) {
                         m_rows.readTable("t", std::move(done));
                     },
                     [this](auto after, auto wait, auto done) {
                         m_rows.follow("t", after, wait, std::move(done));
                     },
                     [this](Platform::FeedResult &&changes, RowsFeed::Extent extent) {
                         if (extent == RowsFeed::Extent::Full) {
                             m_seen.clear();
                             ++m_fullReads;
                         }
                         for (const auto &row : changes.rows) {
                             if (row.isRemoved) {
                                 m_seen.erase(row.key);
                             } else {
                                 m_seen[row.key] = row.value;
                             }
                         }
                     }};

    // A replica was used again when its entry was written, or was back after an outage. Orders went on as well.
    void leavingLastsAsLongAsTheIncarnation()
    {
        Fleet::ReplicaSet replicas;
        const auto now = m_scheduler.now();
        const auto apply = [&replicas, now](const std::vector<Fleet::Replica> &present) {
            replicas.apply({.outcome = Platform::FeedOutcome::Read, .present = present}, true, now, now - 1min);
        };
        const Fleet::Replica replica {.id = {"r"}, .service = "s", .startedAt = 1};
        apply({replica});
        CPPUNIT_ASSERT(replicas.recordLeaving(replica, now));
        CPPUNIT_ASSERT(!replicas.recordLeaving(replica, now));
        CPPUNIT_ASSERT(replicas.available("s").empty() && replicas.find({"r"})->isDraining);
        apply({replica});
        CPPUNIT_ASSERT(replicas.available("s").empty() && replicas.find({"r"})->isDraining);
        apply({});
        replicas.pruneMissing(now + 5min, now - 1min);
        apply({replica});
        CPPUNIT_ASSERT(replicas.available("s").empty());
        auto restarted = replica;
        restarted.startedAt = 2;
        apply({restarted});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), replicas.available("s").size());
        CPPUNIT_ASSERT(!replicas.find({"r"})->isDraining);
        // It is forgotten some time after its entry is gone.
        replicas.pruneMissing(now + 16min, now - 1min);
        CPPUNIT_ASSERT(!replicas.hasSaidItLeaves(replica));
    }

    // Hosts that start together need the initial interval to agree on the host that reads for the others.
    void firstFollowCallWaitsForInitialInterval()
    {
        std::vector<Core::TimePoint> calls;
        RowsFeed feed(
            m_scheduler, {.name = "late", .pollInterval = 100ms, .initialPollInterval = 900ms},
            [this](auto done) {
                m_rows.readTable("t", std::move(done));
            },
            [this, &calls](auto after, auto wait, auto done) {
                calls.push_back(m_scheduler.now());
                m_rows.follow("t", after, wait, std::move(done));
            },
            [](Platform::FeedResult &&, RowsFeed::Extent) {});
        const auto startedAt = m_scheduler.now();
        feed.start();
        m_scheduler.advance(800ms);
        CPPUNIT_ASSERT(feed.isFilled());
        CPPUNIT_ASSERT(calls.empty());
        m_rows.put("t", "k", "1");
        m_scheduler.advance(400ms);
        CPPUNIT_ASSERT(calls.front() - startedAt >= 900ms);
        CPPUNIT_ASSERT(calls.size() >= 2);
    }

    void changeIsAppliedWithinPollInterval()
    {
        m_feed.start();
        m_scheduler.advance(1s);
        m_rows.put("t", "k", "v");
        m_scheduler.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), m_seen["k"]);
        m_rows.remove("t", "k");
        m_scheduler.advance(200ms);
        CPPUNIT_ASSERT(!m_seen.contains("k"));
        CPPUNIT_ASSERT_EQUAL(1, m_fullReads);
    }

    // The reading host already pauses between calls. A second pause on the hosts that it relays to would delay the news
    // that a replica is leaving.
    void relayedChangesAreAppliedImmediately()
    {
        m_isRelayed = true;
        m_feed.start();
        m_scheduler.advance(1s);
        for (int i = 0; i < 10; ++i) {
            m_rows.put("t", "k", std::to_string(i));
            m_scheduler.advance(45ms);
            CPPUNIT_ASSERT_EQUAL(std::to_string(i), m_seen["k"]);
        }
    }

    void lostHistoryCausesFullRead()
    {
        m_feed.start();
        m_scheduler.advance(1s);
        m_rows.isDown = true;
        m_scheduler.advance(1s);
        m_rows.put("t", "k", "v");
        m_rows.forgetHistory();
        m_rows.isDown = false;
        m_scheduler.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), m_seen["k"]);
        CPPUNIT_ASSERT_EQUAL(2, m_fullReads);
    }

    void feedRecoversAfterOutage()
    {
        m_rows.isDown = true;
        m_feed.start();
        m_scheduler.advance(20s);
        CPPUNIT_ASSERT(!m_feed.isFilled());
        CPPUNIT_ASSERT(!m_feed.healthySince().has_value());
        m_rows.isDown = false;
        // A change must take effect within two seconds after the store recovers.
        m_scheduler.advance(2s);
        CPPUNIT_ASSERT(m_feed.isFilled());
        CPPUNIT_ASSERT(m_feed.healthySince().has_value());
    }

    // A store that answers nothing for some seconds leaves each call open until its timeout. Hosts found out two and a
    // half seconds after its return, when a new configuration had to be in force for half a second.
    void changeAfterSilentOutageIsAppliedInTime()
    {
        static constexpr auto CallTimeout = 700ms;
        static constexpr auto ApplyTime = 2000ms;
        for (auto outage = 4000ms; outage < 7000ms; outage += 100ms) {
            Core::VirtualScheduler scheduler;
            StandIns::MemoryRows rows(scheduler);
            bool isSilent = false;
            Core::TimePoint appliedAt {};
            RowsFeed feed(
                scheduler,
                {.name = "silent",
                 .longPollTimeout = 1400ms,
                 .pollInterval = 20ms,
                 .maxRetryDelay = Fleet::retryDelayFor(ApplyTime)},
                [&rows](auto done) {
                    rows.readTable("t", std::move(done));
                },
                [&scheduler, &rows, &isSilent](auto after, auto wait, auto done) {
                    if (!isSilent) {
                        rows.follow("t", after, wait, std::move(done));
                        return;
                    }
                    scheduler.runAfter(wait + CallTimeout, [done] {
                        done({.outcome = Platform::FeedOutcome::Failed, .error = "Timeout was reached"});
                    });
                },
                [&scheduler, &appliedAt](Platform::FeedResult &&changes, RowsFeed::Extent) {
                    if (!changes.rows.empty()) {
                        appliedAt = scheduler.now();
                    }
                });
            feed.start();
            scheduler.advance(1s);
            isSilent = true;
            scheduler.advance(outage);
            isSilent = false;
            rows.put("t", "k", std::to_string(outage.count()));
            const auto changedAt = scheduler.now();
            scheduler.advance(5s);
            CPPUNIT_ASSERT(appliedAt >= changedAt);
            CPPUNIT_ASSERT(appliedAt - changedAt < ApplyTime);
        }
    }

    // Three feeds of one host, which share what they know of an outage.
    struct HostFeeds {
        explicit HostFeeds(Core::VirtualScheduler &scheduler, StandIns::MemoryRows &rows)
        {
            for (const std::string table : {"t", "u", "v"}) {
                feeds.push_back(std::make_unique<RowsFeed>(
                    scheduler, Fleet::FeedOptions {.name = table, .pollInterval = 100ms, .outage = &outage},
                    [this, &rows, table](auto done) {
                        ++calls;
                        rows.readTable(table, std::move(done));
                    },
                    [this, &rows, table](auto after, auto wait, auto done) {
                        ++calls;
                        if (table == brokenTable) {
                            done({.outcome = Platform::FeedOutcome::Failed, .error = "unreadable"});
                        } else {
                            rows.follow(table, after, wait, std::move(done));
                        }
                    },
                    [this, table](Platform::FeedResult &&changes, RowsFeed::Extent) {
                        for (const auto &row : changes.rows) {
                            seen[table] = row.value;
                        }
                    }));
            }
            for (const auto &feed : feeds) {
                feed->start();
            }
        }

        Fleet::PlatformOutage outage;
        std::vector<std::unique_ptr<RowsFeed>> feeds;
        std::string brokenTable;
        int calls = 0;
        std::map<std::string, std::string> seen;
    };

    // Two hundred hosts each tried with three feeds and their lease while the store was away for eight seconds, which
    // were half of the day's calls.
    void feedsOfHostShareTheCallsOfAnOutage()
    {
        HostFeeds host(m_scheduler, m_rows);
        m_scheduler.advance(2s);
        m_rows.isDown = true;
        m_scheduler.advance(2s);
        CPPUNIT_ASSERT(host.outage.isOngoing());
        host.calls = 0;
        m_scheduler.advance(6s);
        // Each for itself, the three feeds would call 15 times at their longest pause.
        CPPUNIT_ASSERT(host.calls <= 7);
        m_rows.isDown = false;
        for (const auto *table : {"t", "u", "v"}) {
            m_rows.put(table, "k", "new");
        }
        m_scheduler.advance(1900ms);
        CPPUNIT_ASSERT(!host.outage.isOngoing());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), host.seen.size());
    }

    void feedTriesForItselfInLongOutage()
    {
        HostFeeds host(m_scheduler, m_rows);
        m_scheduler.advance(2s);
        m_rows.isDown = true;
        m_scheduler.advance(3s);
        // The platform is back but for the calls of the feed that goes on trying.
        host.brokenTable = "t";
        m_rows.isDown = false;
        m_rows.put("u", "k", "new");
        m_scheduler.advance(5500ms);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), host.seen["u"]);
    }

    static Fleet::ReplicaChanges listChanges(const std::vector<std::string> &present,
                                             const std::vector<std::string> &removed)
    {
        Fleet::ReplicaChanges changes {.outcome = Platform::FeedOutcome::Read};
        for (const auto &id : present) {
            changes.present.push_back({.id = {id}, .service = "s"});
        }
        for (const auto &id : removed) {
            changes.removed.push_back({id});
        }
        return changes;
    }

    void deletedEntryIsRemoved()
    {
        Fleet::ReplicaSet replicas;
        const Core::TimePoint start {1h};
        replicas.apply(listChanges({"r1", "r2"}, {}), true, start, start - 1min);
        replicas.apply(listChanges({}, {"r1"}), false, start + 1s, start - 1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), replicas.available("s").size());
        replicas.apply(listChanges({}, {}), true, start + 2s, start - 1min);
        CPPUNIT_ASSERT(replicas.available("s").empty());
    }

    void entryExpiredInOutageIsKeptForGracePeriod()
    {
        Fleet::ReplicaSet replicas;
        const Core::TimePoint start {1h};
        replicas.apply(listChanges({"r1", "r2"}, {}), true, start, start - 1min);
        const auto recoveredAt = start + 10s;
        replicas.apply(listChanges({}, {}), true, recoveredAt, recoveredAt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), replicas.available("s").size());
        replicas.apply(listChanges({"r1"}, {}), false, recoveredAt + 1s, recoveredAt);
        replicas.pruneMissing(recoveredAt + 1500ms, recoveredAt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), replicas.available("s").size());
        replicas.pruneMissing(recoveredAt + 2100ms, recoveredAt);
        CPPUNIT_ASSERT(replicas.find({"r1"}) != nullptr);
        CPPUNIT_ASSERT(replicas.find({"r2"}) == nullptr);
    }

    void unreadableEntryRemovesReplica()
    {
        Fleet::ReplicaSet replicas;
        const Core::TimePoint start {1h};
        replicas.apply(listChanges({"r1"}, {}), true, start, start - 1min);
        replicas.apply(listChanges({}, {"r1", "unknown"}), false, start + 1s, start - 1min);
        CPPUNIT_ASSERT(replicas.all().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
