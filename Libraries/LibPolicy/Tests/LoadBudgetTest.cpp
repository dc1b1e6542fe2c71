#include <LibPolicy/LoadBudget.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <vector>

class LoadBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadBudgetTest);
    CPPUNIT_TEST(lendingHostsNeverExceedTotalRate);
    CPPUNIT_TEST_SUITE_END();

    // Hosts load, lend permits and lose some in transit, in any order. All loads together must stay within the rate of
    // the weight store.
    void lendingHostsNeverExceedTotalRate()
    {
        constexpr std::size_t Hosts = 4;
        constexpr double LoadsPerSecondAndHost = 0.5;
        CPPUNIT_ASSERT(rc::check("all loads together stay within the rate", [] {
            Core::TimePoint now {};
            std::vector<Policy::LoadBudget> hosts(Hosts,
                                                  Policy::LoadBudget({.loadsPerSecond = LoadsPerSecondAndHost}, now));
            double loads = 0;
            for (const auto event : *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4000U))) {
                auto &host = hosts[event % Hosts];
                auto &other = hosts[event / Hosts % Hosts];
                const auto kind = event / (Hosts * Hosts) % 4;
                if (kind == 0) {
                    now += std::chrono::milliseconds(event);
                } else if (kind == 1 && host.lend(now) && event % 3 != 0) {
                    other.receive();
                } else if (kind >= 2 && host.hasPermit(now)) {
                    host.beginLoad(now);
                    ++loads;
                }
                const auto elapsed = std::chrono::duration<double>(now.time_since_epoch()).count();
                RC_ASSERT(loads <= elapsed * LoadsPerSecondAndHost * Hosts + 1e-6);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadBudgetTest);
