#include <LibCore/VirtualScheduler.h>
#include <LibHolding/ReplicaController.h>
#include <LibHolding/Tests/FakeReplica.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Slots = 3;

}

class ReplicaControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaControllerTest);
    CPPUNIT_TEST(replyIsSentWhenAdapterIsLoaded);
    CPPUNIT_TEST(slowLoadIsAwaited);
    CPPUNIT_TEST(replySaysThatSlowLoadIsInProgress);
    CPPUNIT_TEST(waitersForSameAdapterShareLoad);
    CPPUNIT_TEST(adapterInUseIsNotReplaced);
    CPPUNIT_TEST(idleAdapterIsReplaced);
    CPPUNIT_TEST(urgentRequestGetsFirstFreeSlot);
    CPPUNIT_TEST(requestFailsEarlyWithoutFreeSlot);
    CPPUNIT_TEST(newHolderKeepsAdaptersInUse);
    CPPUNIT_TEST(capacityIsKeptWhenResponsesAreLostOrOrdersDelayed);
    CPPUNIT_TEST(loadedAdapterIsKeptForItsRequest);
    CPPUNIT_TEST(requestsFailEarlyWhileUnloadWaits);
    CPPUNIT_TEST(completedLoadIsUsableWhileUnloadWaits);
    CPPUNIT_TEST(slowLoadIsNotUnloadedBeforeCompletion);
    CPPUNIT_TEST(repeatedUnloadFreesNoSlot);
    CPPUNIT_TEST(adaptersOfUnresponsiveHostAreKept);
    CPPUNIT_TEST(drainingReplicaFailsWaitingRequests);
    CPPUNIT_TEST(loadsContinueWhenResponsesAreLost);
    CPPUNIT_TEST(lateOrderOfPreviousHolderTakesNoSlotTwice);
    CPPUNIT_TEST(oneOfSeveralUnansweredOrdersFreesNoOtherSlot);
    CPPUNIT_TEST(oneOfSeveralUnansweredUnloadsFreesNoOtherSlot);
    CPPUNIT_TEST(missingAdapterIsNotLoadedBeyondCapacity);
    CPPUNIT_TEST(restartedReplicaIsUsableOnceItsEntryShowsModel);
    CPPUNIT_TEST(requestsFailEarlyWhenReplicaIsUnreachable);
    CPPUNIT_TEST(reportsAreReadLessOftenInSteadyState);
    CPPUNIT_TEST(requestFailsAtOnceWithoutFence);
    CPPUNIT_TEST(leaseThatExpiresBetweenChecksSendsNoOrder);
    CPPUNIT_TEST(leaseThatExpiresWhileConnectingSendsNoOrder);
    CPPUNIT_TEST(overdueLoadCausesFewOrders);
    CPPUNIT_TEST_SUITE_END();

    Core::VirtualScheduler m_scheduler;
    Holding::FakeReplica m_fake {m_scheduler};
    bool m_hasFence = true;
    std::size_t m_fenceReads = 0;
    std::size_t m_expiresAfterRead = 0; // The lease expires after this many reads of the fence; zero for never.
    Fleet::ReleaseTable m_releases;
    Routes::EngineSettings m_engine;

    bool isLeaseExpired() const
    {
        return m_expiresAfterRead != 0 && m_fenceReads > m_expiresAfterRead;
    }

    std::unique_ptr<Holding::ReplicaController> controller()
    {
        m_engine = {.slots = 64, .weightMemory = 1000, .adapterSlots = Slots};
        m_engine.models.push_back({.name = "m", .size = 100, .adapterSize = 1});
        Fleet::Replica replica {.id = {"r"}, .service = "s", .address = "127.0.0.1:1"};
        replica.models.push_back({.model = "m"});
        auto replicaController = std::make_unique<Holding::ReplicaController>(
            m_scheduler, m_fake, Holding::ReplicaControllerOptions {.self = {"h"}},
            [this](const Core::TargetId &) -> std::optional<std::uint64_t> {
                ++m_fenceReads;
                return m_hasFence && !isLeaseExpired() ? std::optional<std::uint64_t>(7) : std::nullopt;
            },
            m_releases, replica, m_engine);
        run(*replicaController, 100ms);
        return replicaController;
    }

    void run(Holding::ReplicaController &replicaController, Core::Duration duration)
    {
        for (Core::Duration passed {}; passed < duration; passed += 50ms) {
            replicaController.tick();
            m_scheduler.advance(50ms);
        }
    }

    static Holding::AdapterRequest request(const std::string &adapter, int priority = 0, std::uint64_t version = 0)
    {
        return {.replica = {"r"}, .model = "m", .adapter = adapter, .version = version, .priority = priority};
    }

    struct Result {
        bool isDone = false;
        Holding::AdapterReply reply;
        bool wasLoaded = false;
    };

    void ask(Holding::ReplicaController &replicaController, const Holding::AdapterRequest &adapterRequest,
             Result &result)
    {
        replicaController.request(adapterRequest,
                                  [this, &result, name = adapterRequest.adapter](const Holding::AdapterReply &reply) {
                                      result = {.isDone = true, .reply = reply, .wasLoaded = m_fake.isLoaded(name)};
                                  });
    }

    static bool isReady(const Result &result)
    {
        return result.isDone && result.reply.outcome == static_cast<std::uint8_t>(Holding::AdapterOutcome::Ready);
    }

    void use(Holding::ReplicaController &replicaController, const std::vector<std::string> &adapters)
    {
        Holding::ReplicaUse use {.replica = {"r"}};
        for (const auto &adapter : adapters) {
            use.adapters.push_back("m/" + adapter);
            if (m_fake.adapters.contains(adapter)) {
                m_fake.adapters.at(adapter).activeRequests = 1;
            }
        }
        replicaController.recordUse({"front"}, use);
    }

    // Loads the adapters "a0", "a1" and so on, and advances the time.
    void fillSlots(Holding::ReplicaController &replicaController, Core::Duration duration, std::size_t count = Slots)
    {
        std::vector<Result> results(count);
        for (std::size_t i = 0; i < count; ++i) {
            ask(replicaController, request("a" + std::to_string(i)), results[i]);
        }
        run(replicaController, duration);
        CPPUNIT_ASSERT(std::all_of(results.begin(), results.end(), &isReady));
    }

    void replyIsSentWhenAdapterIsLoaded()
    {
        const auto replicaController = controller();
        Result result;
        ask(*replicaController, request("a1"), result);
        run(*replicaController, 200ms);
        CPPUNIT_ASSERT(!result.isDone);
        run(*replicaController, 200ms);
        CPPUNIT_ASSERT(isReady(result) && result.wasLoaded);
    }

    void slowLoadIsAwaited()
    {
        m_fake.loadTime = 700ms;
        const auto replicaController = controller();
        Result result;
        ask(*replicaController, request("a1"), result);
        run(*replicaController, 1s);
        CPPUNIT_ASSERT(isReady(result) && result.wasLoaded);
    }

    // Hosts took the load for failed and had the adapter loaded at a second replica as well, which slowed down all
    // loads.
    void replySaysThatSlowLoadIsInProgress()
    {
        m_fake.loadTime = 1500ms;
        const auto replicaController = controller();
        Result first;
        ask(*replicaController, request("a1"), first);
        run(*replicaController, 1100ms);
        CPPUNIT_ASSERT(first.isDone);
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint8_t>(Holding::AdapterOutcome::Loading), first.reply.outcome);
        Result second;
        ask(*replicaController, request("a1"), second);
        run(*replicaController, 600ms);
        CPPUNIT_ASSERT(isReady(second) && second.wasLoaded);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fake.loads.size());
    }

    void waitersForSameAdapterShareLoad()
    {
        const auto replicaController = controller();
        std::vector<Result> results(5);
        for (auto &result : results) {
            ask(*replicaController, request("a1"), result);
        }
        run(*replicaController, 500ms);
        CPPUNIT_ASSERT(std::all_of(results.begin(), results.end(), &isReady));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fake.loads.size());
    }

    // After the release of a new version of a popular adapter, its replacement would wait for running requests and
    // block all other loads.
    void adapterInUseIsNotReplaced()
    {
        const auto replicaController = controller();
        Result first;
        ask(*replicaController, request("a1"), first);
        run(*replicaController, 500ms);
        use(*replicaController, {"a1"});
        m_releases.apply({.model = "m", .adapter = "a1", .version = 2});
        Result newer;
        ask(*replicaController, request("a1", 0, 2), newer);
        CPPUNIT_ASSERT(newer.isDone && !isReady(newer));
        Result other;
        ask(*replicaController, request("a2"), other);
        run(*replicaController, 500ms);
        CPPUNIT_ASSERT(isReady(other));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_fake.adapters.at("a1").version);
    }

    void idleAdapterIsReplaced()
    {
        const auto replicaController = controller();
        Result first;
        ask(*replicaController, request("a1"), first);
        run(*replicaController, 1s);
        m_releases.apply({.model = "m", .adapter = "a1", .version = 2});
        run(*replicaController, 1s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_fake.adapters.at("a1").version);
    }

    // In a surge of distinct adapters on few replicas, slots become free one at a time.
    void urgentRequestGetsFirstFreeSlot()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 1s);
        use(*replicaController, {"a0", "a1", "a2"});
        Result normal;
        Result urgent;
        auto normalRequest = request("calm", 2);
        auto urgentRequest = request("urgent", 0);
        normalRequest.isLastTry = urgentRequest.isLastTry = true;
        ask(*replicaController, normalRequest, normal);
        ask(*replicaController, urgentRequest, urgent);
        run(*replicaController, 100ms);
        m_fake.adapters.at("a1").activeRequests = 0;
        use(*replicaController, {"a0", "a2"});
        run(*replicaController, 650ms);
        CPPUNIT_ASSERT(isReady(urgent));
        CPPUNIT_ASSERT(!isReady(normal));
    }

    // In the same surge, while other replicas have free slots, waiting for a running request would delay the response.
    void requestFailsEarlyWithoutFreeSlot()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 600ms);
        CPPUNIT_ASSERT_EQUAL(0U, replicaController->load().loadDelayMilliseconds);
        use(*replicaController, {"a0", "a1", "a2"});
        CPPUNIT_ASSERT(replicaController->load().loadDelayMilliseconds >= 400);
        Result result;
        ask(*replicaController, request("b0"), result);
        run(*replicaController, 250ms);
        CPPUNIT_ASSERT(result.isDone && !isReady(result));
    }

    void newHolderKeepsAdaptersInUse()
    {
        for (const auto *name : {"a0", "a1", "a2"}) {
            m_fake.adapters[name] = {.activeRequests = 1};
        }
        const auto replicaController = controller();
        Result result;
        ask(*replicaController, request("new"), result);
        run(*replicaController, 150ms);
        use(*replicaController, {"a0", "a1", "a2"});
        run(*replicaController, 400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_fake.adapters.size());
        CPPUNIT_ASSERT(!isReady(result));
    }

    void capacityIsKeptWhenResponsesAreLostOrOrdersDelayed()
    {
        for (const auto executionDelay : {Core::Duration {}, Core::Duration(900ms), Core::Duration(3s)}) {
            m_fake.adapters.clear();
            m_fake.count = 0;
            m_fake.executionDelay = executionDelay;
            const auto replicaController = controller();
            std::vector<Result> results(60);
            for (std::size_t i = 0; i < results.size(); ++i) {
                m_fake.isDroppingResponses = i % 3 == 1;
                ask(*replicaController, request("a" + std::to_string(i)), results[i]);
                run(*replicaController, 250ms);
            }
            m_fake.isDroppingResponses = false;
            run(*replicaController, 5s);
            Result last;
            ask(*replicaController, request("last"), last);
            run(*replicaController, 1s);
            CPPUNIT_ASSERT(m_fake.maxAdapters <= Slots);
            CPPUNIT_ASSERT(isReady(last) && last.wasLoaded);
        }
    }

    // In a surge of distinct adapters, a newly loaded adapter was evicted as the least recently used one. Its unload
    // then waited for the request that it had been loaded for.
    void loadedAdapterIsKeptForItsRequest()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 600ms, 2);
        use(*replicaController, {"a0", "a1"});
        m_fake.loadTime = 290ms;
        replicaController->request(request("new"), [this](const Holding::AdapterReply &) {
            m_fake.adapters.at("new").activeRequests = 1;
        });
        Result other;
        ask(*replicaController, request("other"), other);
        for (int i = 0; i < 8; ++i) {
            use(*replicaController, {"a0", "a1"});
            run(*replicaController, 50ms);
        }
        CPPUNIT_ASSERT_EQUAL(1U, m_fake.adapters.at("new").activeRequests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_fake.delayedOrders);
    }

    // While a zone is partitioned off, requests run on the replica that this host doesn't know of.
    void requestsFailEarlyWhileUnloadWaits()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 1s);
        for (auto &[name, loaded] : m_fake.adapters) {
            loaded.activeRequests = 1;
        }
        Result first;
        ask(*replicaController, request("b0"), first);
        run(*replicaController, 400ms);
        CPPUNIT_ASSERT(first.isDone && !isReady(first));
        Result second;
        ask(*replicaController, request("b1"), second);
        run(*replicaController, 200ms);
        CPPUNIT_ASSERT(second.isDone && !isReady(second));
        for (auto &[name, loaded] : m_fake.adapters) {
            loaded.activeRequests = 0;
        }
        run(*replicaController, 200ms);
        Result third;
        ask(*replicaController, request("b2"), third);
        run(*replicaController, 500ms);
        CPPUNIT_ASSERT(isReady(third) && third.wasLoaded);
        CPPUNIT_ASSERT(m_fake.maxAdapters <= Slots);
    }

    void completedLoadIsUsableWhileUnloadWaits()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 1s);
        m_fake.adapters.at("a1").activeRequests = 1;
        Result loaded;
        Result waiting;
        ask(*replicaController, request("b0"), loaded); // Replaces a0.
        ask(*replicaController, request("b1"), waiting); // The unload of a1 waits for its request.
        run(*replicaController, 600ms);
        CPPUNIT_ASSERT(isReady(loaded) && loaded.wasLoaded);
        CPPUNIT_ASSERT(!isReady(waiting));
    }

    // When a quarter of the replicas restarts at the same time, loads take seconds, and an unload may wait for a
    // running request in the meantime.
    void slowLoadIsNotUnloadedBeforeCompletion()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 1s);
        m_fake.adapters.at("a1").activeRequests = 1;
        m_fake.loadTime = 3s;
        std::vector<Result> results(8);
        for (std::size_t i = 0; i < results.size(); ++i) {
            ask(*replicaController, request("b" + std::to_string(i)), results[i]);
            run(*replicaController, 350ms);
            if (i == 3) {
                m_fake.adapters.at("a1").activeRequests = 0;
            }
        }
        run(*replicaController, 4s);
        CPPUNIT_ASSERT(m_fake.maxAdapters <= Slots);
    }

    // A request runs for more than eight seconds without a use notice. The unload that waits for it is sent again and
    // accepted again. The replica accepts no other order before the unload is done, so that a slot is never used twice.
    void repeatedUnloadFreesNoSlot()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 1s);
        for (auto &[name, loaded] : m_fake.adapters) {
            loaded.activeRequests = 1;
        }
        std::vector<Result> results(30);
        for (std::size_t i = 0; i < results.size(); ++i) {
            ask(*replicaController, request("b" + std::to_string(i)), results[i]);
            run(*replicaController, 500ms);
        }
        CPPUNIT_ASSERT(m_fake.repeatedDelayedOrders > 0);
        CPPUNIT_ASSERT_EQUAL(Slots, m_fake.maxAdapters);
        for (auto &[name, loaded] : m_fake.adapters) {
            loaded.activeRequests = 0;
        }
        run(*replicaController, 3s);
        Result last;
        ask(*replicaController, request("last"), last);
        run(*replicaController, 1s);
        CPPUNIT_ASSERT(isReady(last) && last.wasLoaded);
        CPPUNIT_ASSERT_EQUAL(Slots, m_fake.maxAdapters);
    }

    void adaptersOfUnresponsiveHostAreKept()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 600ms);
        use(*replicaController, {"a0", "a1"});
        run(*replicaController, 2s);
        Result first;
        ask(*replicaController, request("b0"), first); // Replaces a2, although a0 and a1 are the least recently used.
        run(*replicaController, 500ms);
        CPPUNIT_ASSERT(isReady(first));
        Result second;
        ask(*replicaController, request("b1"), second);
        run(*replicaController, 700ms);
        CPPUNIT_ASSERT(isReady(second));
        CPPUNIT_ASSERT(m_fake.isLoaded("a0") && m_fake.isLoaded("a1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_fake.delayedOrders);
    }

    // A request that waited for its load was sent to the replica long after the replica had started to drain.
    void drainingReplicaFailsWaitingRequests()
    {
        m_fake.loadTime = 800ms;
        const auto replicaController = controller();
        Result result;
        ask(*replicaController, request("a1"), result);
        run(*replicaController, 300ms);
        CPPUNIT_ASSERT(!result.isDone);
        auto draining = replicaController->replica();
        draining.isDraining = true;
        replicaController->update(draining, m_engine);
        CPPUNIT_ASSERT(result.isDone && !isReady(result));
    }

    // While many adapters are requested, some orders get no response and are executed either at once or seconds later.
    void loadsContinueWhenResponsesAreLost()
    {
        for (const bool isCountCheckedFirst : {false, true}) {
            for (const auto executionDelay : {Core::Duration {}, Core::Duration(3s)}) {
                m_fake.adapters.clear();
                m_fake.count = 0;
                m_fake.executionDelay = executionDelay;
                m_fake.isCountCheckedFirst = isCountCheckedFirst;
                m_fake.dropEvery = 3;
                const auto replicaController = controller();
                std::vector<Result> results(20);
                for (std::size_t i = 0; i < results.size(); ++i) {
                    ask(*replicaController, request("a" + std::to_string(i)), results[i]);
                    run(*replicaController, 350ms);
                }
                run(*replicaController, 500ms);
                CPPUNIT_ASSERT(std::all_of(results.begin(), results.end(), &isReady));
                CPPUNIT_ASSERT(m_fake.maxAdapters <= Slots);
                // The connection on which an order had no response may be dead.
                CPPUNIT_ASSERT(m_fake.freshConnections > 0);
                m_fake.dropEvery = 0;
                run(*replicaController, 5s);
                CPPUNIT_ASSERT(m_fake.maxAdapters <= Slots);
            }
        }
    }

    // A load that the previous holder ordered is executed while an order of the new holder is unanswered. The refusal
    // of the retry shows that some order was executed, not that it was the new holder's.
    void lateOrderOfPreviousHolderTakesNoSlotTwice()
    {
        m_fake.adapters["a0"] = {};
        m_fake.adapters["a1"] = {};
        m_fake.count = 5;
        m_fake.isDroppingResponses = true;
        m_fake.executionDelay = 110ms;
        m_fake.order({.id = {"r"}},
                     {.verb = Fleet::OrderVerb::Load, .model = "m", .adapter = "late", .expectedOrderCount = 5},
                     [](Fleet::OrderOutcome, const std::string &) {});
        const auto replicaController = controller();
        m_scheduler.advance(9ms);
        m_fake.executionDelay = 10s;
        Result result;
        ask(*replicaController, request("b0"), result);
        m_scheduler.advance(1ms);
        m_fake.isDroppingResponses = false;
        run(*replicaController, 3s);
        CPPUNIT_ASSERT(m_fake.isLoaded("late"));
        CPPUNIT_ASSERT_EQUAL(Slots, m_fake.maxAdapters);
        Result other;
        ask(*replicaController, request("b1"), other);
        run(*replicaController, 1s);
        CPPUNIT_ASSERT(isReady(other) && other.wasLoaded);
        CPPUNIT_ASSERT_EQUAL(Slots, m_fake.maxAdapters);
    }

    // A load and two unloads had no answer, and the load was carried out late. The count had risen, so the later unload
    // was taken for carried out too once a replacement had ended, and the replica was ordered to load beyond its slots.
    void oneOfSeveralUnansweredOrdersFreesNoOtherSlot()
    {
        const auto replicaController = controller();
        fillSlots(*replicaController, 1s, 2);
        m_fake.isDroppingResponses = true;
        m_fake.executionDelay = 5s;
        std::vector<Result> results(5);
        ask(*replicaController, request("b0"), results[0]);
        run(*replicaController, 3900ms);
        m_fake.executionDelay = 10min;
        ask(*replicaController, request("b1"), results[1]);
        run(*replicaController, 850ms);
        ask(*replicaController, request("b2"), results[2]);
        run(*replicaController, 100ms);
        m_fake.isDroppingResponses = false;
        m_fake.adapters["a0"].activeRequests = 1;
        m_releases.apply({.model = "m", .adapter = "a0", .version = 2});
        run(*replicaController, 300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fake.delayedOrders);
        m_fake.adapters["a0"].activeRequests = 0;
        run(*replicaController, 300ms);
        ask(*replicaController, request("b3"), results[3]);
        run(*replicaController, 1150ms);
        ask(*replicaController, request("b4"), results[4]);
        run(*replicaController, 2s);
        CPPUNIT_ASSERT(m_fake.isLoaded("b3") && m_fake.isLoaded("b4"));
        CPPUNIT_ASSERT_EQUAL(Slots, m_fake.maxAdapters);
    }

    // Two unloads without an answer expected the same count, and one of them was done late. While a replacement was
    // taken to wait for running requests, both places were filled, and the replica crashed.
    void oneOfSeveralUnansweredUnloadsFreesNoOtherSlot()
    {
        for (const auto lateUnload : {0, 1}) {
            m_fake.adapters.clear();
            m_fake.count = 0;
            m_fake.maxAdapters = 0;
            m_fake.delayedOrders = 0;
            const auto replicaController = controller();
            fillSlots(*replicaController, 1500ms);
            m_fake.adapters["a0"].activeRequests = 1;
            m_releases.apply({.model = "m", .adapter = "a0", .version = static_cast<std::uint64_t>(lateUnload) + 2});
            run(*replicaController, 300ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fake.delayedOrders);
            m_fake.adapters["a0"].activeRequests = 0;
            std::vector<Result> results(8);
            m_fake.isDroppingResponses = true;
            for (int unload = 0; unload < 2; ++unload) {
                const Core::Duration late = unload == 0 ? 4500ms : 2000ms;
                m_fake.executionDelay = unload == lateUnload ? late : Core::Duration(10min);
                const auto index = static_cast<std::size_t>(unload);
                ask(*replicaController, request("b" + std::to_string(unload)), results[index]);
                run(*replicaController, 2500ms);
            }
            m_fake.isDroppingResponses = false;
            run(*replicaController, 1200ms);
            for (std::size_t i = 2; i < results.size(); ++i) {
                ask(*replicaController, request("b" + std::to_string(i)), results[i]);
                run(*replicaController, 100ms);
            }
            run(*replicaController, 4s);
            CPPUNIT_ASSERT(std::any_of(results.begin() + 2, results.end(), &isReady));
            CPPUNIT_ASSERT(m_fake.maxAdapters <= Slots);
        }
    }

    // The holder's list of adapters is older than the last orders of the previous holder. A request reports an adapter
    // as missing, whose place another adapter has taken.
    void missingAdapterIsNotLoadedBeyondCapacity()
    {
        for (const auto *name : {"a0", "a1", "a2"}) {
            m_fake.adapters[name] = {};
        }
        m_fake.count = 24;
        const auto replicaController = controller();
        run(*replicaController, 1s);
        m_fake.adapters.erase("a0");
        m_fake.adapters["b0"] = {};
        m_fake.count = 26;
        m_fake.isCountCheckedFirst = true;
        auto missing = request("a0");
        missing.isReportedMissing = true;
        Result first;
        ask(*replicaController, missing, first);
        run(*replicaController, 3s);
        CPPUNIT_ASSERT(m_fake.maxAdapters <= Slots);
        Result second;
        ask(*replicaController, request("a0"), second);
        run(*replicaController, 1s);
        CPPUNIT_ASSERT(isReady(second) && second.wasLoaded);
        CPPUNIT_ASSERT_EQUAL(Slots, m_fake.maxAdapters);
    }

    // After a fifth of the replicas had restarted without models, hosts chose them by their entries while their holders
    // still refused to load adapters.
    void restartedReplicaIsUsableOnceItsEntryShowsModel()
    {
        const auto replicaController = controller();
        auto restarted = replicaController->replica();
        restarted.startedAt = 2;
        restarted.models.clear();
        replicaController->update(restarted, m_engine);
        Result before;
        ask(*replicaController, request("a1"), before);
        CPPUNIT_ASSERT(before.isDone && !isReady(before));
        restarted.models.push_back({.model = "m"});
        replicaController->update(restarted, m_engine);
        Result after;
        ask(*replicaController, request("a1"), after);
        CPPUNIT_ASSERT(!after.isDone);
        run(*replicaController, 600ms);
        CPPUNIT_ASSERT(isReady(after));
    }

    // After a fifth of the replicas had crashed, their entries stayed for seconds, and each request waited for one
    // second.
    void requestsFailEarlyWhenReplicaIsUnreachable()
    {
        const auto replicaController = controller();
        m_fake.isUnreachable = true;
        Result first;
        Result second;
        ask(*replicaController, request("a1"), first);
        ask(*replicaController, request("a2"), second);
        run(*replicaController, 100ms);
        CPPUNIT_ASSERT(first.isDone && !isReady(first));
        CPPUNIT_ASSERT(second.isDone && !isReady(second));
        m_fake.isUnreachable = false;
        run(*replicaController, 600ms);
        Result third;
        ask(*replicaController, request("a3"), third);
        run(*replicaController, 600ms);
        CPPUNIT_ASSERT(isReady(third));
    }

    void reportsAreReadLessOftenInSteadyState()
    {
        const auto replicaController = controller();
        Result result;
        ask(*replicaController, request("a1"), result);
        run(*replicaController, 1s);
        m_fake.reportCalls = 0;
        run(*replicaController, 10s);
        CPPUNIT_ASSERT(m_fake.reportCalls >= 3 && m_fake.reportCalls <= 5);
        m_fake.isUnreachable = true;
        Result refused;
        ask(*replicaController, request("a2"), refused);
        run(*replicaController, 100ms);
        m_fake.reportCalls = 0;
        run(*replicaController, 2s);
        CPPUNIT_ASSERT(m_fake.reportCalls >= 5);
    }

    void requestFailsAtOnceWithoutFence()
    {
        const auto replicaController = controller();
        m_hasFence = false;
        Result result;
        ask(*replicaController, request("a1"), result);
        CPPUNIT_ASSERT(result.isDone && !isReady(result));
    }

    // The lease expired between the check and the order, whose fence was then an undefined number. A replica that had
    // seen it would have refused all later orders.
    void leaseThatExpiresBetweenChecksSendsNoOrder()
    {
        std::size_t ordersAfterExpiry = 0;
        m_fake.onOrder = [this, &ordersAfterExpiry] {
            ordersAfterExpiry += isLeaseExpired() ? 1 : 0;
        };
        for (std::size_t reads = 1; reads < 12; ++reads) {
            m_expiresAfterRead = 0;
            const auto replicaController = controller();
            m_expiresAfterRead = m_fenceReads + reads;
            Result result;
            ask(*replicaController, request("a" + std::to_string(reads)), result);
            run(*replicaController, 400ms);
        }
        CPPUNIT_ASSERT(m_fake.orderCalls > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), ordersAfterExpiry);
    }

    // A host that is suspended, or whose connection takes long, sends the order when the lease has expired meanwhile.
    void leaseThatExpiresWhileConnectingSendsNoOrder()
    {
        m_fake.connectTime = 80ms;
        const auto replicaController = controller();
        Result result;
        ask(*replicaController, request("a1"), result);
        while (m_fake.orderCalls == 0) {
            run(*replicaController, 10ms);
        }
        m_hasFence = false;
        run(*replicaController, 400ms);
        CPPUNIT_ASSERT(m_fake.loads.empty());
    }

    // A load that takes longer than expected must not make the controller repeat its order in a tight loop.
    void overdueLoadCausesFewOrders()
    {
        m_fake.loadTime = 10s;
        const auto replicaController = controller();
        Result result;
        ask(*replicaController, request("a1"), result);
        run(*replicaController, 900ms);
        CPPUNIT_ASSERT(m_fake.orderCalls < 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaControllerTest);
