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
    CPPUNIT_TEST(aReplyComesWhenTheAdapterIsThere);
    CPPUNIT_TEST(aSlowLoadIsWaitedFor);
    CPPUNIT_TEST(waitersForOneAdapterShareItsLoad);
    CPPUNIT_TEST(anAdapterInUseIsNotReplaced);
    CPPUNIT_TEST(anIdleAdapterIsReplaced);
    CPPUNIT_TEST(urgentRequestsComeFirstWhenPlacesAreShort);
    CPPUNIT_TEST(withoutAPlaceOthersAreAskedSoon);
    CPPUNIT_TEST(aNewHolderEvictsNothingThatMayBeInUse);
    CPPUNIT_TEST(capacityHoldsWhenAnswersAreLostOrLate);
    CPPUNIT_TEST(aLoadedAdapterIsKeptForTheRequestThatAskedForIt);
    CPPUNIT_TEST(whileAnOrderWaitsForRunsOthersAreSentElsewhere);
    CPPUNIT_TEST(aFinishedLoadIsUsableWhileAnOrderWaitsForRuns);
    CPPUNIT_TEST(aSlowLoadIsNotUnloadedBeforeItHasArrived);
    CPPUNIT_TEST(anUnloadSentAgainWhileItWaitsFreesNoPlace);
    CPPUNIT_TEST(whatASilentHostUsesIsKeptForARun);
    CPPUNIT_TEST(aLeavingReplicaKeepsNobodyWaiting);
    CPPUNIT_TEST(lostAnswersDontStopLoads);
    CPPUNIT_TEST(aReplicaIsUsableAsSoonAsItsEntryShowsTheModel);
    CPPUNIT_TEST(nobodyWaitsForAReplicaThatCantBeReached);
    CPPUNIT_TEST(aCalmReplicaIsRarelyAskedForItsReport);
    CPPUNIT_TEST(withoutTheRightToOrderItRefusesAtOnce);
    CPPUNIT_TEST(waitingCostsNoTime);
    CPPUNIT_TEST_SUITE_END();

    Core::VirtualScheduler m_scheduler;
    Holding::FakeReplica m_fake {m_scheduler};
    bool m_hasRight = true;
    Fleet::ReleaseTable m_releases;
    Routes::EngineSettings m_engine;

    std::unique_ptr<Holding::ReplicaController> controller()
    {
        m_engine = {.slots = 64, .weightMemory = 1000, .adapterSlots = Slots};
        m_engine.models.push_back({.name = "m", .size = 100, .adapterSize = 1});
        Fleet::Replica replica {.id = {"r"}, .service = "s", .address = "127.0.0.1:1"};
        replica.models.push_back({.model = "m"});
        auto made = std::make_unique<Holding::ReplicaController>(
            m_scheduler, m_fake, Holding::ReplicaControllerOptions {.self = {"h"}},
            [this](const Core::TargetId &) -> std::optional<std::uint64_t> {
                return m_hasRight ? std::optional<std::uint64_t>(7) : std::nullopt;
            },
            m_releases, replica, m_engine);
        run(*made, 100ms);
        return made;
    }

    void run(Holding::ReplicaController &made, Core::Duration duration)
    {
        for (Core::Duration passed {}; passed < duration; passed += 50ms) {
            made.tick();
            m_scheduler.advance(50ms);
        }
    }

    static Holding::AdapterRequest request(const std::string &adapter, int priority = 0, std::uint64_t version = 0)
    {
        return {.replica = {"r"}, .model = "m", .adapter = adapter, .version = version, .priority = priority};
    }

    struct Answer {
        bool isGiven = false;
        Holding::AdapterReply reply;
        bool wasThere = false;
    };

    void ask(Holding::ReplicaController &made, const Holding::AdapterRequest &wanted, Answer &answer)
    {
        made.request(wanted, [this, &answer, name = wanted.adapter](const Holding::AdapterReply &reply) {
            answer = {.isGiven = true, .reply = reply, .wasThere = m_fake.isThere(name)};
        });
    }

    static bool isReady(const Answer &answer)
    {
        return answer.isGiven && answer.reply.outcome == static_cast<std::uint8_t>(Holding::AdapterOutcome::Ready);
    }

    void use(Holding::ReplicaController &made, const std::vector<std::string> &adapters)
    {
        Holding::ReplicaUse use {.replica = {"r"}};
        for (const auto &adapter : adapters) {
            use.adapters.push_back("m/" + adapter);
            if (m_fake.adapters.contains(adapter)) {
                m_fake.adapters.at(adapter).runs = 1;
            }
        }
        made.recordUse({"front"}, use);
    }

    // Has the adapters "a0", "a1" and so on loaded, and lets the time pass.
    void fillPlaces(Holding::ReplicaController &made, Core::Duration duration, std::size_t count = Slots)
    {
        std::vector<Answer> answers(count);
        for (std::size_t i = 0; i < count; ++i) {
            ask(made, request("a" + std::to_string(i)), answers[i]);
        }
        run(made, duration);
        CPPUNIT_ASSERT(std::all_of(answers.begin(), answers.end(), &isReady));
    }

    void aReplyComesWhenTheAdapterIsThere()
    {
        const auto made = controller();
        Answer answer;
        ask(*made, request("a1"), answer);
        run(*made, 200ms);
        CPPUNIT_ASSERT(!answer.isGiven);
        run(*made, 200ms);
        CPPUNIT_ASSERT(isReady(answer) && answer.wasThere);
    }

    void aSlowLoadIsWaitedFor()
    {
        m_fake.loadTime = 700ms;
        const auto made = controller();
        Answer answer;
        ask(*made, request("a1"), answer);
        run(*made, 1s);
        CPPUNIT_ASSERT(isReady(answer) && answer.wasThere);
    }

    void waitersForOneAdapterShareItsLoad()
    {
        const auto made = controller();
        std::vector<Answer> answers(5);
        for (auto &answer : answers) {
            ask(*made, request("a1"), answer);
        }
        run(*made, 500ms);
        CPPUNIT_ASSERT(std::all_of(answers.begin(), answers.end(), &isReady));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_fake.loads.size());
    }

    // A release of a popular adapter: the replacement would wait for its runs, and every other load with it.
    void anAdapterInUseIsNotReplaced()
    {
        const auto made = controller();
        Answer first;
        ask(*made, request("a1"), first);
        run(*made, 500ms);
        use(*made, {"a1"});
        m_releases.apply({.model = "m", .adapter = "a1", .version = 2});
        Answer newer;
        ask(*made, request("a1", 0, 2), newer);
        CPPUNIT_ASSERT(newer.isGiven && !isReady(newer));
        Answer other;
        ask(*made, request("a2"), other);
        run(*made, 500ms);
        CPPUNIT_ASSERT(isReady(other));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_fake.adapters.at("a1").version);
    }

    void anIdleAdapterIsReplaced()
    {
        const auto made = controller();
        Answer first;
        ask(*made, request("a1"), first);
        run(*made, 1s);
        m_releases.apply({.model = "m", .adapter = "a1", .version = 2});
        run(*made, 1s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_fake.adapters.at("a1").version);
    }

    // A surge of distinct adapters on few replicas: places become free one by one.
    void urgentRequestsComeFirstWhenPlacesAreShort()
    {
        const auto made = controller();
        fillPlaces(*made, 1s);
        use(*made, {"a0", "a1", "a2"});
        Answer calm;
        Answer urgent;
        auto calmRequest = request("calm", 2);
        auto urgentRequest = request("urgent", 0);
        calmRequest.isLastTry = urgentRequest.isLastTry = true;
        ask(*made, calmRequest, calm);
        ask(*made, urgentRequest, urgent);
        run(*made, 100ms);
        m_fake.adapters.at("a1").runs = 0;
        use(*made, {"a0", "a2"});
        run(*made, 650ms);
        CPPUNIT_ASSERT(isReady(urgent));
        CPPUNIT_ASSERT(!isReady(calm));
    }

    // The same surge while other replicas have places: waiting here for a run to end makes the answer late.
    void withoutAPlaceOthersAreAskedSoon()
    {
        const auto made = controller();
        fillPlaces(*made, 600ms);
        CPPUNIT_ASSERT_EQUAL(0U, made->load().loadDelayMilliseconds);
        use(*made, {"a0", "a1", "a2"});
        CPPUNIT_ASSERT(made->load().loadDelayMilliseconds >= 400);
        Answer answer;
        ask(*made, request("b0"), answer);
        run(*made, 250ms);
        CPPUNIT_ASSERT(answer.isGiven && !isReady(answer));
    }

    void aNewHolderEvictsNothingThatMayBeInUse()
    {
        for (const auto *name : {"a0", "a1", "a2"}) {
            m_fake.adapters[name] = {.runs = 1};
        }
        const auto made = controller();
        Answer answer;
        ask(*made, request("new"), answer);
        run(*made, 150ms);
        use(*made, {"a0", "a1", "a2"});
        run(*made, 400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_fake.adapters.size());
        CPPUNIT_ASSERT(!isReady(answer));
    }

    void capacityHoldsWhenAnswersAreLostOrLate()
    {
        for (const auto lateBy : {Core::Duration {}, Core::Duration(900ms), Core::Duration(3s)}) {
            m_fake.adapters.clear();
            m_fake.count = 0;
            m_fake.lateBy = lateBy;
            const auto made = controller();
            std::vector<Answer> answers(60);
            for (std::size_t i = 0; i < answers.size(); ++i) {
                m_fake.isLosingAnswers = i % 3 == 1;
                ask(*made, request("a" + std::to_string(i)), answers[i]);
                run(*made, 250ms);
            }
            m_fake.isLosingAnswers = false;
            run(*made, 5s);
            Answer last;
            ask(*made, request("last"), last);
            run(*made, 1s);
            CPPUNIT_ASSERT(m_fake.most <= Slots);
            CPPUNIT_ASSERT(isReady(last) && last.wasThere);
        }
    }

    // A surge of distinct adapters: the one just loaded was the least recently used, and unloading it waited for the
    // run of the request that it had been loaded for.
    void aLoadedAdapterIsKeptForTheRequestThatAskedForIt()
    {
        const auto made = controller();
        fillPlaces(*made, 600ms, 2);
        use(*made, {"a0", "a1"});
        m_fake.loadTime = 290ms;
        made->request(request("new"), [this](const Holding::AdapterReply &) {
            m_fake.adapters.at("new").runs = 1;
        });
        Answer other;
        ask(*made, request("other"), other);
        for (int i = 0; i < 8; ++i) {
            use(*made, {"a0", "a1"});
            run(*made, 50ms);
        }
        CPPUNIT_ASSERT_EQUAL(1U, m_fake.adapters.at("new").runs);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_fake.waits);
    }

    // A zone is cut off: requests run there of which this host isn't told.
    void whileAnOrderWaitsForRunsOthersAreSentElsewhere()
    {
        const auto made = controller();
        fillPlaces(*made, 1s);
        for (auto &[name, copy] : m_fake.adapters) {
            copy.runs = 1;
        }
        Answer first;
        ask(*made, request("b0"), first);
        run(*made, 400ms);
        CPPUNIT_ASSERT(first.isGiven && !isReady(first));
        Answer second;
        ask(*made, request("b1"), second);
        run(*made, 200ms);
        CPPUNIT_ASSERT(second.isGiven && !isReady(second));
        for (auto &[name, copy] : m_fake.adapters) {
            copy.runs = 0;
        }
        run(*made, 200ms);
        Answer third;
        ask(*made, request("b2"), third);
        run(*made, 500ms);
        CPPUNIT_ASSERT(isReady(third) && third.wasThere);
        CPPUNIT_ASSERT(m_fake.most <= Slots);
    }

    void aFinishedLoadIsUsableWhileAnOrderWaitsForRuns()
    {
        const auto made = controller();
        fillPlaces(*made, 1s);
        m_fake.adapters.at("a1").runs = 1;
        Answer loaded;
        Answer waiting;
        ask(*made, request("b0"), loaded); // In place of a0.
        ask(*made, request("b1"), waiting); // Unloading a1 waits for its run.
        run(*made, 600ms);
        CPPUNIT_ASSERT(isReady(loaded) && loaded.wasThere);
        CPPUNIT_ASSERT(!isReady(waiting));
    }

    // A quarter of the replicas comes back at once: loads take seconds, and an unload waits for a run meanwhile.
    void aSlowLoadIsNotUnloadedBeforeItHasArrived()
    {
        const auto made = controller();
        fillPlaces(*made, 1s);
        m_fake.adapters.at("a1").runs = 1;
        m_fake.loadTime = 3s;
        std::vector<Answer> answers(8);
        for (std::size_t i = 0; i < answers.size(); ++i) {
            ask(*made, request("b" + std::to_string(i)), answers[i]);
            run(*made, 350ms);
            if (i == 3) {
                m_fake.adapters.at("a1").runs = 0;
            }
        }
        run(*made, 4s);
        CPPUNIT_ASSERT(m_fake.most <= Slots);
    }

    // A run of more than eight seconds of which nobody tells: the unload that waits for it is sent again, and accepted
    // again. Nothing else is before it is done, so that no place can be given away twice.
    void anUnloadSentAgainWhileItWaitsFreesNoPlace()
    {
        const auto made = controller();
        fillPlaces(*made, 1s);
        for (auto &[name, copy] : m_fake.adapters) {
            copy.runs = 1;
        }
        std::vector<Answer> answers(30);
        for (std::size_t i = 0; i < answers.size(); ++i) {
            ask(*made, request("b" + std::to_string(i)), answers[i]);
            run(*made, 500ms);
        }
        CPPUNIT_ASSERT(m_fake.repeatedWaits > 0);
        CPPUNIT_ASSERT_EQUAL(Slots, m_fake.most);
        for (auto &[name, copy] : m_fake.adapters) {
            copy.runs = 0;
        }
        run(*made, 3s);
        Answer last;
        ask(*made, request("last"), last);
        run(*made, 1s);
        CPPUNIT_ASSERT(isReady(last) && last.wasThere);
        CPPUNIT_ASSERT_EQUAL(Slots, m_fake.most);
    }

    void whatASilentHostUsesIsKeptForARun()
    {
        const auto made = controller();
        fillPlaces(*made, 600ms);
        use(*made, {"a0", "a1"});
        run(*made, 2s);
        Answer first;
        ask(*made, request("b0"), first); // In place of a2, though a0 and a1 haven't been used for longer.
        run(*made, 500ms);
        CPPUNIT_ASSERT(isReady(first));
        Answer second;
        ask(*made, request("b1"), second);
        run(*made, 700ms);
        CPPUNIT_ASSERT(isReady(second));
        CPPUNIT_ASSERT(m_fake.isThere("a0") && m_fake.isThere("a1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_fake.waits);
    }

    // A request that waited for its load reached the replica long after the replica had begun to leave.
    void aLeavingReplicaKeepsNobodyWaiting()
    {
        m_fake.loadTime = 800ms;
        const auto made = controller();
        Answer answer;
        ask(*made, request("a1"), answer);
        run(*made, 300ms);
        CPPUNIT_ASSERT(!answer.isGiven);
        auto leaving = made->replica();
        leaving.isDraining = true;
        made->update(leaving, m_engine);
        CPPUNIT_ASSERT(answer.isGiven && !isReady(answer));
    }

    // Some orders get no answer, and are carried out at once or seconds later, while many adapters are asked for.
    void lostAnswersDontStopLoads()
    {
        for (const bool isCountCheckedFirst : {false, true}) {
            for (const auto lateBy : {Core::Duration {}, Core::Duration(3s)}) {
                m_fake.adapters.clear();
                m_fake.count = 0;
                m_fake.lateBy = lateBy;
                m_fake.isCountCheckedFirst = isCountCheckedFirst;
                m_fake.loseEvery = 3;
                const auto made = controller();
                std::vector<Answer> answers(20);
                for (std::size_t i = 0; i < answers.size(); ++i) {
                    ask(*made, request("a" + std::to_string(i)), answers[i]);
                    run(*made, 350ms);
                }
                run(*made, 500ms);
                CPPUNIT_ASSERT(std::all_of(answers.begin(), answers.end(), &isReady));
                CPPUNIT_ASSERT(m_fake.most <= Slots);
                m_fake.loseEvery = 0;
                run(*made, 5s);
                CPPUNIT_ASSERT(m_fake.most <= Slots);
            }
        }
    }

    // A fifth of the replicas comes back empty: hosts chose them by their entries, and their holders refused.
    void aReplicaIsUsableAsSoonAsItsEntryShowsTheModel()
    {
        const auto made = controller();
        auto restarted = made->replica();
        restarted.startedAt = 2;
        restarted.models.clear();
        made->update(restarted, m_engine);
        Answer before;
        ask(*made, request("a1"), before);
        CPPUNIT_ASSERT(before.isGiven && !isReady(before));
        restarted.models.push_back({.model = "m"});
        made->update(restarted, m_engine);
        Answer after;
        ask(*made, request("a1"), after);
        CPPUNIT_ASSERT(!after.isGiven);
        run(*made, 600ms);
        CPPUNIT_ASSERT(isReady(after));
    }

    // A fifth of the replicas crashes: their entries stay for seconds, and each request waited for a second.
    void nobodyWaitsForAReplicaThatCantBeReached()
    {
        const auto made = controller();
        m_fake.isUnreachable = true;
        Answer first;
        Answer second;
        ask(*made, request("a1"), first);
        ask(*made, request("a2"), second);
        run(*made, 100ms);
        CPPUNIT_ASSERT(first.isGiven && !isReady(first));
        CPPUNIT_ASSERT(second.isGiven && !isReady(second));
        m_fake.isUnreachable = false;
        run(*made, 600ms);
        Answer third;
        ask(*made, request("a3"), third);
        run(*made, 600ms);
        CPPUNIT_ASSERT(isReady(third));
    }

    void aCalmReplicaIsRarelyAskedForItsReport()
    {
        const auto made = controller();
        Answer answer;
        ask(*made, request("a1"), answer);
        run(*made, 1s);
        m_fake.reportCalls = 0;
        run(*made, 10s);
        CPPUNIT_ASSERT(m_fake.reportCalls >= 3 && m_fake.reportCalls <= 5);
        m_fake.isUnreachable = true;
        Answer refused;
        ask(*made, request("a2"), refused);
        run(*made, 100ms);
        m_fake.reportCalls = 0;
        run(*made, 2s);
        CPPUNIT_ASSERT(m_fake.reportCalls >= 5);
    }

    void withoutTheRightToOrderItRefusesAtOnce()
    {
        const auto made = controller();
        m_hasRight = false;
        Answer answer;
        ask(*made, request("a1"), answer);
        CPPUNIT_ASSERT(answer.isGiven && !isReady(answer));
    }

    // A load that is overdue must not make the controller wake again and again.
    void waitingCostsNoTime()
    {
        m_fake.loadTime = 10s;
        const auto made = controller();
        Answer answer;
        ask(*made, request("a1"), answer);
        run(*made, 900ms);
        CPPUNIT_ASSERT(m_fake.orderCalls < 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaControllerTest);
