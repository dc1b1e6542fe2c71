#include <LibGateway/FleetView.h>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace std::chrono_literals;

namespace {

// One host's view of the replicas of a service with engines and of a plain service.
struct View {
    View()
    {
        fleet.registerMetrics(metrics);
        fleet.setMemory([](const std::string &service) {
            return service == "s" ? 20000U : 0U;
        });
    }

    Fleet::ReplicaSet replicas;
    Fleet::ReleaseTable releases;
    Metrics::Registry metrics;
    Gateway::FleetView fleet {replicas,
                              releases,
                              {.ownZone = {"a"}},
                              [](const Core::TargetId &) {
                                  return true;
                              },
                              [] {
                                  return std::size_t(3);
                              },
                              7};

    // What the view tells others, as bytes.
    std::string use(Core::TimePoint now)
    {
        msgpack::sbuffer bytes;
        msgpack::pack(bytes, fleet.collectUse(now));
        return {bytes.data(), bytes.size()};
    }
};

}

// Two views that see the same, of which only the first is asked to explain.
class FleetExplanationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetExplanationTest);
    CPPUNIT_TEST(explanationTellsTheChoiceAndChangesNothing);
    CPPUNIT_TEST(everyExclusionIsNamed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned Replicas = 8;

    std::mt19937 m_random {1};
    Core::TimePoint m_now {1h};
    std::array<View, 2> m_views;
    std::array<std::uint64_t, Replicas> m_startedAt {};
    std::vector<std::pair<Core::TargetId, Gateway::CallerRequest>> m_running;
    unsigned m_requests = 0;
    unsigned m_passedOver = 0;
    unsigned m_refused = 0;

    unsigned upTo(unsigned end)
    {
        return static_cast<unsigned>(m_random() % end);
    }

    // Even replicas are engines of service s, the others are of the plain service p.
    [[nodiscard]] Fleet::Replica replica(unsigned number) const
    {
        Fleet::Replica replica {.id = {"r" + std::to_string(number)},
                                .service = number % 2 == 0 ? "s" : "p",
                                .address = "10.0.0." + std::to_string(number),
                                .zone = {number % 3 == 0 ? "b" : "a"},
                                .slots = 8,
                                .startedAt = m_startedAt[number]};
        if (number % 2 == 0) {
            replica.models.push_back({.model = "m"});
        }
        return replica;
    }

    void forBoth(const std::function<void(View &)> &change)
    {
        for (auto &view : m_views) {
            change(view);
        }
    }

    void list()
    {
        Fleet::ReplicaChanges changes {.outcome = Platform::FeedOutcome::Read};
        for (unsigned number = 0; number < Replicas; ++number) {
            changes.present.push_back(replica(number));
        }
        forBoth([&](View &view) {
            view.replicas.apply(changes, true, m_now, m_now - 1min);
            view.fleet.refresh(m_now);
        });
    }

    [[nodiscard]] Holding::ReplicaNotice anyNotice(const Core::TargetId &id)
    {
        Holding::ReplicaNotice notice {.load = {.replica = id,
                                                .active = upTo(5),
                                                .waitingTokens = upTo(3000),
                                                .recentlySent = upTo(4),
                                                .limitedSenders = 3,
                                                .usedTokens = upTo(15000),
                                                .returnSigns = {.wanted = upTo(6)}},
                                       .number = ++m_requests};
        if (upTo(2) == 0) {
            notice.adapters.push_back({.adapter = "m/a" + std::to_string(upTo(3)), .version = 1});
        }
        return notice;
    }

    void endSomeAttempts()
    {
        while (!m_running.empty() && upTo(8) != 0) {
            const auto ended = m_running[upTo(static_cast<unsigned>(m_running.size()))];
            std::erase_if(m_running, [&ended](const auto &running) {
                return running.second.attemptId == ended.second.attemptId;
            });
            forBoth([&ended](View &view) {
                view.fleet.recordAttemptEnded(ended.first, ended.second, true);
            });
        }
    }

    // Anything that changes how a replica is seen.
    void happen()
    {
        const auto number = upTo(Replicas);
        const auto target = replica(number);
        const Gateway::CallerRequest plain {.attemptId = "x"};
        switch (upTo(9)) {
        case 0:
            m_startedAt[number] += upTo(6) == 0 ? 1 : 0;
            list();
            break;
        case 1:
            forBoth([&, pause = std::chrono::milliseconds(upTo(900))](View &view) {
                view.fleet.recordPause(target, pause, m_now);
            });
            break;
        case 2:
            forBoth([&, limit = upTo(6) / 3 * 2](View &view) {
                view.fleet.recordLimit(target, limit == 0 ? std::nullopt : std::optional<double>(limit), m_now, m_now);
            });
            break;
        case 3:
            forBoth([&, outcome = Placement::AttemptOutcome(upTo(3))](View &view) {
                view.fleet.recordOutcome(target, outcome, m_now - 100ms, m_now);
            });
            break;
        case 4:
        case 5:
            forBoth([&, notice = anyNotice(target.id)](View &view) {
                view.fleet.applyNotice(notice, m_now);
            });
            break;
        case 6:
            forBoth([&, isRejected = upTo(4) == 0](View &view) {
                if (!isRejected) {
                    return;
                }
                view.fleet.recordNoRoom(target.id, plain, m_now);
            });
            break;
        case 7:
            forBoth([&, late = upTo(3) / 2 * 300ms](View &view) {
                view.fleet.recordTimeliness(target.id, plain, late, 300ms, m_now);
            });
            break;
        default:
            m_now += std::chrono::milliseconds(upTo(upTo(20) == 0 ? 30000 : 120));
            endSomeAttempts();
        }
    }

    [[nodiscard]] Gateway::CallerRequest anyRequest()
    {
        Gateway::CallerRequest request {.attemptId = "q" + std::to_string(++m_requests)};
        if (upTo(2) == 0) {
            request.model = "m";
            request.adapter = upTo(3) == 0 ? "" : "a" + std::to_string(upTo(3));
            request.promptTokens = upTo(2000);
            request.outputTokens = 200;
        }
        return request;
    }

    // Places a request in both views. The first one explains it before, as often as there are calls.
    void place(unsigned calls)
    {
        const auto request = anyRequest();
        const std::string service = request.model.empty() ? "p" : "s";
        std::optional<std::string> explained;
        for (unsigned call = 0; call < calls; ++call) {
            const auto explanation = m_views[0].fleet.explain(request, service, m_now);
            CPPUNIT_ASSERT_EQUAL(std::size_t(Replicas / 2), explanation.replicas.size());
            explained
                = explanation.choice.has_value() ? explanation.replicas[*explanation.choice].state.replica.value : "";
            m_passedOver += explanation.passedOver.has_value() ? 1 : 0;
        }
        std::vector<std::string> chosen;
        forBoth([&](View &view) {
            view.fleet.recordDemand(request, m_now);
            const auto *replica = view.fleet.choose(request, service, {}, m_now);
            chosen.push_back(replica == nullptr ? "" : replica->id.value);
            if (replica != nullptr) {
                view.fleet.recordAttemptStarted(replica->id, request, m_now);
            }
        });
        CPPUNIT_ASSERT_EQUAL(chosen[1], chosen[0]);
        if (!chosen[0].empty()) {
            m_running.emplace_back(Core::TargetId {chosen[0]}, request);
        }
        CPPUNIT_ASSERT_EQUAL(chosen[0], explained.value_or(chosen[0]));
        m_refused += chosen[0].empty() ? 1 : 0;
    }

    // Guards against an explanation that names another replica than a request gets, and against one that leaves a
    // trace: in the demand, the limits of returned replicas, the metrics or what other hosts are told.
    void explanationTellsTheChoiceAndChangesNothing()
    {
        constexpr int Steps = 20000;
        list();
        m_now += 20s;
        for (int step = 0; step < Steps; ++step) {
            happen();
            place(upTo(3));
            if (step % 5 == 0) {
                CPPUNIT_ASSERT(m_views[1].use(m_now) == m_views[0].use(m_now));
                CPPUNIT_ASSERT_EQUAL(m_views[1].metrics.toPrometheusText(), m_views[0].metrics.toPrometheusText());
            }
        }
        const auto seen = std::to_string(m_passedOver) + " passed over, " + std::to_string(m_refused) + " refused";
        CPPUNIT_ASSERT_MESSAGE("the random history is too uniform: " + seen, m_passedOver > 20 && m_refused > 20);
    }

    [[nodiscard]] Gateway::Exclusion exclusionOf(unsigned number, const Gateway::CallerRequest &request) const
    {
        const auto target = replica(number);
        const auto explanation = m_views[0].fleet.explain(request, target.service, m_now);
        const auto found = std::ranges::find(explanation.replicas, target.id, [](const auto &entry) {
            return entry.state.replica;
        });
        CPPUNIT_ASSERT(found != explanation.replicas.end());
        CPPUNIT_ASSERT_EQUAL(found->exclusion == Gateway::Exclusion::None, found->cost.has_value());
        return found->exclusion;
    }

    // Guards against a reason that sends an operator to the wrong place.
    void everyExclusionIsNamed()
    {
        using Gateway::Exclusion;
        list();
        auto &fleet = m_views[0].fleet;
        const Gateway::CallerRequest plain {.attemptId = "q"};
        CPPUNIT_ASSERT(exclusionOf(1, plain) == Exclusion::None);
        fleet.recordLimit(replica(1), 0.0, m_now, m_now);
        for (int sent = 0; sent < 8; ++sent) {
            fleet.recordAttemptStarted(replica(1).id, plain, m_now);
        }
        CPPUNIT_ASSERT(exclusionOf(1, plain) == Exclusion::AtRequestLimit);
        fleet.recordPause(replica(1), 1s, m_now);
        CPPUNIT_ASSERT(exclusionOf(1, plain) == Exclusion::Paused);
        m_now += 1100ms;
        CPPUNIT_ASSERT(exclusionOf(1, plain) == Exclusion::FullAfterPause);
        CPPUNIT_ASSERT(exclusionOf(2, {.attemptId = "q", .model = "other"}) == Exclusion::ModelNotLoaded);
        CPPUNIT_ASSERT(fleet.recordLeaving(replica(3), m_now));
        CPPUNIT_ASSERT(exclusionOf(3, plain) == Exclusion::Leaving);
        for (int rejected = 0; rejected < 12; ++rejected) {
            m_now += 200ms;
            fleet.recordNoRoom(replica(5).id, plain, m_now);
        }
        unsigned notAdmitted = 0;
        for (int number = 0; number < 50; ++number) {
            notAdmitted += exclusionOf(5, {.attemptId = std::to_string(number)}) == Exclusion::NotAdmitted ? 1 : 0;
        }
        CPPUNIT_ASSERT(notAdmitted > 10 && notAdmitted < 50);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetExplanationTest);
