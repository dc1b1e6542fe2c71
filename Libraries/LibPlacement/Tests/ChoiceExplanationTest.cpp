#include <LibPlacement/ReplicaChooser.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace {

Placement::Candidate anyCandidate(std::size_t index)
{
    const auto upTo = [](int end) {
        return static_cast<unsigned>(*rc::gen::inRange(0, end));
    };
    return {.replica = {"id" + std::to_string(index)},
            .home = "10.0.0." + std::to_string(index),
            .zone = {*rc::gen::element<std::string>("a", "b")},
            .residency = *rc::gen::element(Placement::Residency::Resident, Placement::Residency::Resident,
                                           Placement::Residency::Absent, Placement::Residency::Unloadable),
            .isCached = *rc::gen::arbitrary<bool>(),
            .slots = 8,
            .active = upTo(12),
            .usedLimit = upTo(10) / 8.0,
            .waitingTokens = upTo(9000),
            .loadDelay = std::chrono::milliseconds(upTo(300)),
            .penalty = std::chrono::milliseconds(upTo(900)),
            .isBlocked = upTo(8) == 0,
            .speed = *rc::gen::element(0.5, 1.0, 1.3),
            .usualResponse = std::chrono::milliseconds(upTo(200)),
            .usedTokens = upTo(30000),
            .memoryTokens = *rc::gen::element<std::uint64_t>(0, 24000)};
}

}

class ChoiceExplanationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChoiceExplanationTest);
    CPPUNIT_TEST(cheapestComparedCandidateIsTheChoice);
    CPPUNIT_TEST(partsNameTheCauses);
    CPPUNIT_TEST_SUITE_END();

    Placement::ReplicaChooser m_chooser {{.ownZone = {"a"}}};

    // Guards against an explanation whose costs aren't those by which a replica is chosen.
    void cheapestComparedCandidateIsTheChoice()
    {
        const auto isSame = rc::check([this] {
            std::vector<Placement::Candidate> candidates;
            const auto count = *rc::gen::inRange<std::size_t>(0, 30);
            for (std::size_t i = 0; i < count; ++i) {
                candidates.push_back(anyCandidate(i));
            }
            const auto request = std::to_string(*rc::gen::inRange(0, 100000));
            const Placement::PlacementRequest placement {.key = *rc::gen::element<std::string_view>("", "m/a1", "m/a2"),
                                                         .request = request,
                                                         .demand = *rc::gen::element(0.0, 3.0, 40.0),
                                                         .isStream = *rc::gen::arbitrary<bool>(),
                                                         .promptTokens = *rc::gen::element<std::uint64_t>(0, 4000),
                                                         .totalTokens = 5000};
            const auto costs = m_chooser.explain(placement, candidates);
            RC_ASSERT(costs.size() == count);
            std::optional<std::size_t> cheapest;
            for (std::size_t i = 0; i < count; ++i) {
                if (costs[i].isCompared
                    && (!cheapest.has_value() || costs[i].cost.total() < costs[*cheapest].cost.total())) {
                    cheapest = i;
                }
            }
            RC_ASSERT(m_chooser.choose(placement, candidates) == cheapest);
        });
        CPPUNIT_ASSERT(isSame);
    }

    // Guards against a cost that is shown under another cause.
    void partsNameTheCauses()
    {
        const std::vector<Placement::Candidate> candidates {{.replica = {"r"},
                                                             .home = "h",
                                                             .zone = {"b"},
                                                             .residency = Placement::Residency::Unloadable,
                                                             .slots = 4,
                                                             .active = 4,
                                                             .waitingTokens = 2000,
                                                             .loadDelay = 40ms,
                                                             .penalty = 7ms,
                                                             .isBlocked = true,
                                                             .speed = 0.5}};
        const auto cost = m_chooser.explain({.key = "m/a", .request = "q", .promptTokens = 400}, candidates)[0].cost;
        CPPUNIT_ASSERT(cost.work == 208ms);
        CPPUNIT_ASSERT(cost.slowness == 20ms);
        CPPUNIT_ASSERT(cost.failures == 7ms);
        CPPUNIT_ASSERT(cost.zone == 25ms);
        CPPUNIT_ASSERT(cost.queue == 400ms);
        CPPUNIT_ASSERT(cost.crowding == 160ms);
        CPPUNIT_ASSERT(cost.load == 100ms);
        CPPUNIT_ASSERT(cost.unloadable == 10s);
        CPPUNIT_ASSERT(cost.blocked == 30s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChoiceExplanationTest);
