#include <LibSettings/DaemonSettings.h>
#include <cppunit/extensions/HelperMacros.h>

class DaemonSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonSettingsTest);
    CPPUNIT_TEST(readsSettingsWithComments);
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
            "peers": ["127.0.0.1:9081"],
            "limits": {"leaveMilliseconds": 0},
            "callers": [{"customer": "noor", "token": "t"}]
        })");
        CPPUNIT_ASSERT_EQUAL(std::string("mct-a-1"), settings.hostId);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9081"), settings.peers.at(0));
        CPPUNIT_ASSERT(settings.leaveGrace == Core::Duration::zero());
        CPPUNIT_ASSERT_EQUAL(std::string("noor"), settings.callers.front().name);
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
