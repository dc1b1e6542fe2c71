#include <LibSettings/GatewaySettings.h>
#include <LibSettings/SettingsReader.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

class GatewaySettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewaySettingsTest);
    CPPUNIT_TEST(durationsMayBeFractions);
    CPPUNIT_TEST(durationsOutOfRangeAreRefused);
    CPPUNIT_TEST_SUITE_END();

    static std::string settingsWith(const std::string &members)
    {
        return R"({"mode": "gateway", "host": {"id": "h", "zone": "a"}, "listen": {"callers": "127.0.0.1:1",)"
               R"("readiness": "127.0.0.1:2", "peers": "127.0.0.1:3"}, "platform": {"address": "127.0.0.1:4"},)"
               R"("peerKey": "k", )"
            + members + '}';
    }

    // A deployment whose grace period is 7.5 s couldn't be started.
    void durationsMayBeFractions()
    {
        const auto settings = Settings::parseGatewaySettings(
            settingsWith(R"("limits": {"stopGraceSeconds": 7.5}, "changes": {"applyMilliseconds": 1500.5,)"
                         R"("drainMilliseconds": 2000.25}, "accounts": {"revokeMilliseconds": 3000.5},)"
                         R"("orders": {"gapMilliseconds": 0.5}, "retries": {"windowSeconds": 2.5})"));
        CPPUNIT_ASSERT(settings.stopGrace == 7500ms);
        CPPUNIT_ASSERT(settings.changeApplyTime == 1500500us);
        CPPUNIT_ASSERT(settings.drainTime == 2000250us);
        CPPUNIT_ASSERT(settings.revocationBound == 3000500us);
        CPPUNIT_ASSERT(settings.orderGap == 500us);
        CPPUNIT_ASSERT(settings.retryWindow == 2500ms);
    }

    void durationsOutOfRangeAreRefused()
    {
        for (const auto *members :
             {R"("limits": {"stopGraceSeconds": 0.5})", R"("limits": {"stopGraceSeconds": 1e300})",
              R"("limits": {"stopGraceSeconds": "8"})", R"("orders": {"gapMilliseconds": -0.5})",
              R"("accounts": {"revokeMilliseconds": 2999.5})"}) {
            CPPUNIT_ASSERT_THROW_MESSAGE(members, (void)Settings::parseGatewaySettings(settingsWith(members)),
                                         Settings::InvalidSettings);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);
