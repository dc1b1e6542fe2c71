#include <LibRouting/FailureTable.h>
#include <LibRouting/QuarantineTable.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/TargetAvoidance.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxEntries = 3;
constexpr auto Lifetime = 10s;

// A reference model that keeps all deaths of an entry and recounts them on every query.
struct ReferenceQuarantine {
    struct Entry {
        std::vector<std::pair<std::string, Core::TimePoint>> deaths;
    };
    std::map<std::uint64_t, Entry> entries;

    Core::TimePoint expiry(const Entry &entry) const
    {
        return entry.deaths.back().second + Lifetime;
    }

    void removeExpired(Core::TimePoint now)
    {
        std::erase_if(entries, [&](const auto &entry) {
            return expiry(entry.second) <= now;
        });
    }

    void add(std::uint64_t fingerprint, const std::string &incarnation, Core::TimePoint now)
    {
        removeExpired(now);
        auto &deaths = entries[fingerprint].deaths;
        const bool isKnown = std::any_of(deaths.begin(), deaths.end(), [&](const auto &death) {
            return death.first == incarnation;
        });
        if (!isKnown && deaths.size() < 2) {
            deaths.emplace_back(incarnation, now);
        }
        while (entries.size() > MaxEntries) {
            entries.erase(std::min_element(entries.begin(), entries.end(), [this](const auto &a, const auto &b) {
                return expiry(a.second) < expiry(b.second);
            }));
        }
    }

    Routing::Suspicion suspicionOf(std::uint64_t fingerprint, Core::TimePoint now)
    {
        removeExpired(now);
        const auto found = entries.find(fingerprint);
        if (found == entries.end()) {
            return Routing::Suspicion::None;
        }
        return found->second.deaths.size() == 2 ? Routing::Suspicion::Refused : Routing::Suspicion::Suspect;
    }
};

}

class RoutingDecisionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingDecisionsTest);
    CPPUNIT_TEST(quarantineTableMatchesReferenceModel);
    CPPUNIT_TEST(retryBudgetNeverExceedsShareOfRequests);
    CPPUNIT_TEST(avoidanceDoublesUpToMaxAndEndsOnSuccess);
    CPPUNIT_TEST(everyFailureHasMatchingRule);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        setenv("RC_PARAMS", "seed=1 max_success=300", 0);
    }

private:
    void quarantineTableMatchesReferenceModel()
    {
        CPPUNIT_ASSERT(rc::check("deaths are counted once, entries expire, and the table stays bounded", [] {
            Routing::QuarantineTable table({.lifetime = Lifetime, .maxEntries = MaxEntries});
            ReferenceQuarantine reference;
            Core::TimePoint now {};
            const auto steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step) {
                now += std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
                const auto fingerprint = *rc::gen::inRange<std::uint64_t>(0, 6);
                const auto incarnation = *rc::gen::element<std::string>("x", "y", "z");
                if (*rc::gen::inRange(0, 8) == 0) {
                    if (reference.suspicionOf(fingerprint, now) == Routing::Suspicion::Suspect) {
                        reference.entries.erase(fingerprint);
                    }
                    (void)table.clear(fingerprint, now);
                } else {
                    const std::vector<Routing::TargetDeath> deaths {{{"e"}, incarnation}};
                    reference.add(fingerprint, incarnation, now);
                    table.add(fingerprint, deaths, now);
                }
                for (std::uint64_t any = 0; any < 6; ++any) {
                    RC_ASSERT(table.suspicionOf(any, now) == reference.suspicionOf(any, now));
                }
                RC_ASSERT(table.size() <= MaxEntries);
            }
        }));
    }

    void retryBudgetNeverExceedsShareOfRequests()
    {
        CPPUNIT_ASSERT(rc::check("retries never exceed the saved retries and the share of requests", [] {
            Routing::RetryBudget budget({.retryPercent = 20, .maxSavedRetries = 5});
            int saved = 500;
            for (const auto isRequest : *rc::gen::container<std::vector<bool>>(200, rc::gen::arbitrary<bool>())) {
                if (isRequest) {
                    budget.recordRequest();
                    saved = std::min(saved + 20, 500);
                } else {
                    RC_ASSERT(budget.tryRetry() == (saved >= 100));
                    saved -= saved >= 100 ? 100 : 0;
                }
            }
        }));
    }

    void avoidanceDoublesUpToMaxAndEndsOnSuccess()
    {
        Routing::TargetAvoidance avoidance({.initialPeriod = 1s, .maxPeriod = 4s});
        Core::TimePoint now {};
        for (const auto expected : {1s, 2s, 4s, 4s}) {
            avoidance.recordFailure({"e"}, now);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), avoidance.avoided(now + expected - 1ms).size());
            now += expected;
            CPPUNIT_ASSERT(avoidance.avoided(now).empty());
        }
        avoidance.recordFailure({"e"}, now);
        avoidance.recordSuccess({"e"});
        CPPUNIT_ASSERT(avoidance.avoided(now).empty());
        avoidance.recordFailure({"e"}, now);
        CPPUNIT_ASSERT(avoidance.avoided(now + 1s).empty());
    }

    void everyFailureHasMatchingRule()
    {
        for (auto i = 0; i <= static_cast<int>(Routing::Failure::DeadlinePassed); ++i) {
            const auto failure = static_cast<Routing::Failure>(i);
            const auto &rule = Routing::ruleFor(failure);
            CPPUNIT_ASSERT(rule.failure == failure);
            // A request that may have run must not be sent to another owner as if it had not run.
            CPPUNIT_ASSERT(rule.runClass == Routing::RunClass::NotRun || rule.next != Routing::NextStep::TryNextOwner);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingDecisionsTest);
