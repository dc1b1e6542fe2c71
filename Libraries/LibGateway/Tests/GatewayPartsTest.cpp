#include <LibGateway/EventSplitter.h>
#include <LibGateway/FleetView.h>
#include <LibGateway/ServiceRetryBudget.h>
#include <LibHolding/NoticeSeries.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

class GatewayPartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayPartsTest);
    CPPUNIT_TEST(onlyCompleteEventsAreOutput);
    CPPUNIT_TEST(resumedStreamContinuesAfterLastEvent);
    CPPUNIT_TEST(missingEventIsReportedAsGap);
    CPPUNIT_TEST(retriesOfAllHostsStayWithinBudget);
    CPPUNIT_TEST(outdatedAdapterVersionIsNotUsed);
    CPPUNIT_TEST(localObservationOverridesOlderEntry);
    CPPUNIT_TEST(busyReplicaIsAvoidedThroughExchangedLoad);
    CPPUNIT_TEST(holderNoticeOverridesExchangedLoad);
    CPPUNIT_TEST(noticesOfChangesAddUp);
    CPPUNIT_TEST(missedNoticeIsMadeUpForByCompleteOne);
    CPPUNIT_TEST(adapterThatLeftMemoryLoadsAtReplicaThatHadIt);
    CPPUNIT_TEST(useIsReportedWhenItChanges);
    CPPUNIT_TEST_SUITE_END();

    const Core::TimePoint m_now {1h};
    Fleet::ReplicaSet m_replicas;
    Fleet::ReleaseTable m_releases;
    Gateway::FleetView m_view {m_replicas,
                               m_releases,
                               {.ownZone = {"a"}},
                               [](const auto &) {
                                   return true;
                               },
                               [] {
                                   return std::size_t(1);
                               }};

    void onlyCompleteEventsAreOutput()
    {
        const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
        for (std::size_t size = 1; size < stream.size(); ++size) {
            Gateway::EventSplitter splitter;
            std::string output;
            for (std::size_t at = 0; at < stream.size(); at += size) {
                CPPUNIT_ASSERT(splitter.split(std::string_view(stream).substr(at, size), output)
                               == Gateway::EventSplitter::Sequence::Consecutive);
            }
            CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), output);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *splitter.lastId());
        }
    }

    void resumedStreamContinuesAfterLastEvent()
    {
        Gateway::EventSplitter splitter;
        std::string output;
        (void)splitter.split("id: 1\n\nid: 2\n\nid: 3", output);
        splitter.dropPartial();
        CPPUNIT_ASSERT(splitter.split("id: 2\n\nid: 3\n\n", output) == Gateway::EventSplitter::Sequence::Consecutive);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\n\nid: 2\n\nid: 3\n\n"), output);
    }

    void missingEventIsReportedAsGap()
    {
        Gateway::EventSplitter splitter;
        std::string output;
        CPPUNIT_ASSERT(splitter.split("id: 1\n\nid: 3\n\n", output) == Gateway::EventSplitter::Sequence::Gap);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\n\n"), output);
    }

    // Every request is retried at once. The retries of all hosts together must stay within the shared budget.
    void retriesOfAllHostsStayWithinBudget()
    {
        constexpr std::size_t Hosts = 7;
        constexpr int RequestsPerStep = 3;
        std::vector<Gateway::ServiceRetryBudget> hosts(Hosts, Gateway::ServiceRetryBudget({.ratio = 0.2, .extra = 54}));
        std::vector<std::pair<Core::TimePoint, int>> retries;
        Core::TimePoint now {1h};
        for (int step = 0; step < 400; ++step) {
            int granted = 0;
            for (auto &host : hosts) {
                for (int i = 0; i < RequestsPerStep; ++i) {
                    host.countRequest("s", now);
                    granted += host.tryRetry("s", Hosts, now) ? 1 : 0;
                }
            }
            retries.emplace_back(now, granted);
            now += 100ms;
        }
        const double requestsInWindow = 100.0 * Hosts * RequestsPerStep;
        for (std::size_t first = 0; first < retries.size(); ++first) {
            int inWindow = 0;
            for (std::size_t i = first; i < retries.size() && retries[i].first < retries[first].first + 10s; ++i) {
                inWindow += retries[i].second;
            }
            CPPUNIT_ASSERT(inWindow <= 0.2 * requestsInWindow + 54);
        }
    }

    static Gateway::CallerRequest request()
    {
        return {.attemptId = "1", .model = "m", .adapter = "a1", .promptTokens = 100};
    }

    static Fleet::ReplicaChanges changesWithReplica(std::uint64_t adapterVersion)
    {
        Fleet::Replica replica {.id = {"r"}, .service = "s", .address = "10.0.0.1:1", .zone = {"a"}, .slots = 4};
        replica.models.push_back({.model = "m"});
        if (adapterVersion > 0) {
            replica.models.front().adapters.push_back({.adapter = "a1", .version = adapterVersion});
        }
        Fleet::ReplicaChanges changes {.outcome = Platform::FeedOutcome::Read};
        changes.present.push_back(replica);
        return changes;
    }

    void outdatedAdapterVersionIsNotUsed()
    {
        m_replicas.apply(changesWithReplica(1), true, m_now, m_now - 1min);
        m_view.refresh(m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), *m_view.residentVersion({"r"}, "m/a1"));
        m_releases.apply({.model = "m", .adapter = "a1", .version = 2});
        CPPUNIT_ASSERT(!m_view.residentVersion({"r"}, "m/a1").has_value());
        CPPUNIT_ASSERT(m_view.choose(request(), "s", {}, m_now) != nullptr);
    }

    // The list shows the state of a replica a second ago. It must not override a load that this host has just seen
    // complete.
    void localObservationOverridesOlderEntry()
    {
        m_replicas.apply(changesWithReplica(0), true, m_now, m_now - 1min);
        m_view.refresh(m_now);
        m_view.setResident({"r"}, "m/a1", 1, m_now);
        m_view.refresh(m_now + 100ms);
        CPPUNIT_ASSERT(m_view.residentVersion({"r"}, "m/a1").has_value());
        m_view.refresh(m_now + 2s);
        CPPUNIT_ASSERT(!m_view.residentVersion({"r"}, "m/a1").has_value());
    }

    // Two replicas that have the adapter and to which this host has sent nothing.
    static Fleet::ReplicaChanges changesWithTwoReplicas()
    {
        auto changes = changesWithReplica(1);
        changes.present.push_back(changes.present.front());
        changes.present.back().id = {"other"};
        changes.present.back().address = "10.0.0.2:1";
        return changes;
    }

    void busyReplicaIsAvoidedThroughExchangedLoad()
    {
        m_replicas.apply(changesWithTwoReplicas(), true, m_now, m_now - 1min);
        m_view.refresh(m_now);
        const auto first = m_view.choose(request(), "s", {}, m_now)->id;
        m_view.applyExchangedLoad({.replica = first, .active = 30, .waitingTokens = 20000}, m_now);
        CPPUNIT_ASSERT(m_view.choose(request(), "s", {}, m_now)->id != first);
        m_view.refresh(m_now + 3s);
        CPPUNIT_ASSERT_EQUAL(first.value, m_view.choose(request(), "s", {}, m_now + 3s)->id.value);
    }

    void holderNoticeOverridesExchangedLoad()
    {
        m_replicas.apply(changesWithTwoReplicas(), true, m_now, m_now - 1min);
        m_view.refresh(m_now);
        const auto first = m_view.choose(request(), "s", {}, m_now)->id;
        m_view.applyNotice({.load = {.replica = first}, .adapters = {{.adapter = "m/a1", .version = 1}}}, m_now);
        m_view.applyExchangedLoad({.replica = first, .active = 30, .waitingTokens = 20000}, m_now + 100ms);
        CPPUNIT_ASSERT_EQUAL(first.value, m_view.choose(request(), "s", {}, m_now + 100ms)->id.value);
    }

    // A replica's state with the given adapters, all of version 1.
    static Holding::ReplicaNotice stateWith(const std::vector<std::string> &adapters)
    {
        Holding::ReplicaNotice notice {.load = {.replica = {"r"}}};
        for (const auto &adapter : adapters) {
            notice.adapters.push_back({.adapter = adapter, .version = 1});
        }
        return notice;
    }

    void expectResident(const std::set<std::string> &expected)
    {
        for (const std::string adapter : {"m/a1", "m/a2", "m/a3"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(adapter, expected.contains(adapter),
                                         m_view.residentVersion({"r"}, adapter).has_value());
        }
    }

    void noticesOfChangesAddUp()
    {
        m_replicas.apply(changesWithReplica(0), true, m_now, m_now - 1min);
        m_view.refresh(m_now);
        Holding::NoticeSeries series(7);
        series.advance(stateWith({"m/a1"}));
        m_view.applyNotice(series.complete(), m_now);
        expectResident({"m/a1"});
        series.advance(stateWith({"m/a1", "m/a2"}));
        m_view.applyNotice(series.difference(), m_now + 75ms);
        expectResident({"m/a1", "m/a2"});
        // Only the load has changed.
        series.advance(stateWith({"m/a1", "m/a2"}));
        m_view.applyNotice(series.difference(), m_now + 150ms);
        expectResident({"m/a1", "m/a2"});
        series.advance(stateWith({"m/a2", "m/a3"}));
        m_view.applyNotice(series.difference(), m_now + 225ms);
        expectResident({"m/a2", "m/a3"});
    }

    void missedNoticeIsMadeUpForByCompleteOne()
    {
        m_replicas.apply(changesWithReplica(0), true, m_now, m_now - 1min);
        m_view.refresh(m_now);
        Holding::NoticeSeries series(7);
        series.advance(stateWith({"m/a1"}));
        m_view.applyNotice(series.complete(), m_now);
        series.advance(stateWith({"m/a1", "m/a2"})); // This notice is lost.
        series.advance(stateWith({"m/a2", "m/a3"}));
        m_view.applyNotice(series.difference(), m_now + 150ms);
        expectResident({"m/a1"});
        series.advance(stateWith({"m/a2", "m/a3"}));
        m_view.applyNotice(series.difference(), m_now + 225ms);
        expectResident({"m/a1"});
        m_view.applyNotice(series.complete(), m_now + 300ms);
        expectResident({"m/a2", "m/a3"});
    }

    // Both replicas had the adapter, and the first one is crowded. Without the memory of that, a new copy costs so much
    // that the request would wait behind the others.
    void adapterThatLeftMemoryLoadsAtReplicaThatHadIt()
    {
        const Placement::ReplicaChooserOptions options {.ownZone = {"a"}};
        Gateway::FleetView view(
            m_replicas, m_releases, options,
            [](const auto &) {
                return true;
            },
            [] {
                return std::size_t(1);
            });
        m_replicas.apply(changesWithTwoReplicas(), true, m_now, m_now - 1min);
        view.refresh(m_now);
        const auto first = view.choose(request(), "s", {}, m_now)->id;
        const Core::TargetId second {first.value == "r" ? "other" : "r"};
        view.applyNotice({.load = {.replica = second}}, m_now);
        CPPUNIT_ASSERT(!view.residentVersion(second, "m/a1").has_value());
        view.applyExchangedLoad({.replica = first, .waitingTokens = 3000}, m_now);
        CPPUNIT_ASSERT_EQUAL(second.value, view.choose(request(), "s", {}, m_now)->id.value);
    }

    void useIsReportedWhenItChanges()
    {
        m_replicas.apply(changesWithReplica(1), true, m_now, m_now - 1min);
        m_view.refresh(m_now);
        m_view.recordAttemptStarted({"r"}, request(), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_view.collectUse(m_now).size());
        CPPUNIT_ASSERT(m_view.collectUse(m_now + 75ms).empty());
        m_view.recordResponseStarted({"r"}, request());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_view.collectUse(m_now + 150ms).size());
        // A holder forgets a use that isn't repeated.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_view.collectUse(m_now + 650ms).size());
        m_view.recordAttemptEnded({"r"}, request(), true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_view.collectUse(m_now + 700ms).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_view.collectUse(m_now + 775ms).size());
        CPPUNIT_ASSERT(m_view.collectUse(m_now + 5s).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayPartsTest);
