#include <LibSettings/DaemonSettings.h>
#include <cppunit/extensions/HelperMacros.h>

class DaemonSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonSettingsTest);
    CPPUNIT_TEST(readsSettingsWithComments);
    CPPUNIT_TEST(readsThePolicy);
    CPPUNIT_TEST(reportsEveryMistakeAtOnce);
    CPPUNIT_TEST_SUITE_END();

    void readsSettingsWithComments()
    {
        const auto settings = Settings::parseDaemonSettings(R"({
            // An entry host of the first zone.
            "host": {"id": "mct-a-1", "zone": "mct-a"},
            "listen": {"callers": "127.0.0.1:8080", "peers": "127.0.0.1:9080"},
            "platform": {"address": "127.0.0.1:9000"},
            "peerKey": "secret",
            "callers": [{"customer": "noor", "token": "t"}],
            "peers": ["127.0.0.1:9081"],
            "limits": {"streamSilenceMilliseconds": 300, "leaveMilliseconds": 0}
        })");
        CPPUNIT_ASSERT_EQUAL(std::string("mct-a-1"), settings.hostId);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9081"), settings.peers.at(0));
        CPPUNIT_ASSERT(settings.leaveGrace == Core::Duration::zero());
        CPPUNIT_ASSERT_EQUAL(std::string("noor"), settings.callers.front().name);
        CPPUNIT_ASSERT(settings.streamSilence == std::chrono::milliseconds(300));
    }

    void readsThePolicy()
    {
        const auto settings = Settings::parseDaemonSettings(R"({
            "host": {"id": "mct-a-1", "zone": "mct-a"},
            "listen": {"callers": "127.0.0.1:8080", "peers": "127.0.0.1:9080"},
            "platform": {"address": "127.0.0.1:9000"}, "peerKey": "secret",
            "policy": {"weighting": "batch-efficiency",
                       "weightStore": {"loadsPerThousandSeconds": 4500, "loadsAtFullSpeed": 16, "hosts": 6}}
        })");
        CPPUNIT_ASSERT_EQUAL(std::string("batch-efficiency"), settings.weighting);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.5, settings.storeLoadsPerSecond, 1e-9);
        CPPUNIT_ASSERT_EQUAL(16U, settings.storeLoadsAtFullSpeed);
        CPPUNIT_ASSERT_EQUAL(6U, settings.storeHosts);
    }

    void reportsEveryMistakeAtOnce()
    {
        try {
            (void)Settings::parseDaemonSettings(R"({
                "host": {"id": "", "zone": 3},
                "listen": {"callers": "localhost", "peers": "127.0.0.1:99999"},
                "platform": {"address": "127.0.0.1:9000"},
                "peerKey": "secret", "colour": "red",
                "peers": ["127.0.0.1:9081", 7],
                "limits": {"bodyBytes": -1, "leaveMilliseconds": 600001}
            })");
            CPPUNIT_FAIL("wrong settings were accepted");
        } catch (const Settings::InvalidSettings &error) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), error.mistakes().size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonSettingsTest);
