#include <LibCore/VirtualScheduler.h>
#include <LibRelay/LoadExchange.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <set>

using namespace std::chrono_literals;

namespace {

struct SpreadHost;

// Carries messages between the hosts of two zones, "a1" to "a4" and "b1" to "b4", and counts them.
struct SpreadNetwork {
    Core::VirtualScheduler scheduler;
    std::map<std::string, std::unique_ptr<SpreadHost>> hosts;
    std::set<std::string> silent;
    std::map<std::string, int> received;

    [[nodiscard]] std::vector<Relay::ZoneHost> zone(char name) const
    {
        std::vector<Relay::ZoneHost> members;
        for (int i = 1; i <= 4; ++i) {
            members.push_back({.host = {name + std::to_string(i)}, .weight = static_cast<double>(5 - i)});
        }
        return members;
    }
};

struct SpreadHost final : private Peer::PeerTransport {
    SpreadHost(SpreadNetwork &network, const std::string &name)
        : network(network)
        , name(name)
        , router(network.scheduler, *this, {.self = {name}, .key = "k"})
        , reader(
              network.scheduler, router, {},
              [this] {
                  return this->network.zone(this->name.front());
              },
              [] {
                  return true;
              })
        , spread(
              network.scheduler, router, reader, {},
              [this] {
                  return std::vector<Holding::ReplicaLoad> {{.replica = {"r-" + this->name}, .active = active}};
              },
              [this] {
                  return Relay::ZoneReader::candidates(this->network.zone(this->name.front() == 'a' ? 'b' : 'a'));
              },
              [this](const Holding::ReplicaLoad &load) {
                  known[load.replica.value] = load.active;
              })
    {
    }

    void send(const Core::HostId &to, std::string bytes) override
    {
        if (network.silent.contains(name) || network.silent.contains(to.value)) {
            return;
        }
        ++network.received[to.value];
        network.scheduler.runAfter(1ms, [this, to, bytes = std::move(bytes)] {
            network.hosts.at(to.value)->router.receive(bytes);
        });
    }
    void reconnect(const Core::HostId & /*to*/) override
    {
    }

    SpreadNetwork &network;
    std::string name;
    Peer::PeerRouter router;
    Relay::ZoneReader reader;
    Relay::LoadExchange spread;
    unsigned active = 0;
    std::map<std::string, unsigned> known; // Requests that run, by replica.
};

}

class LoadExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadExchangeTest);
    CPPUNIT_TEST(everyHostLearnsEveryLoadWithinASecond);
    CPPUNIT_TEST(aSilentReaderIsReplaced);
    CPPUNIT_TEST(anOrdinaryHostReceivesLittle);
    CPPUNIT_TEST_SUITE_END();

    SpreadNetwork m_network;

    void start()
    {
        for (const char *name : {"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"}) {
            m_network.hosts[name] = std::make_unique<SpreadHost>(m_network, name);
        }
        for (const auto &[name, host] : m_network.hosts) {
            host->reader.start();
            host->spread.start();
        }
        m_network.scheduler.advance(2s);
    }

    // A host that never sends anything to a replica knows all the same that it is crowded.
    void everyHostLearnsEveryLoadWithinASecond()
    {
        start();
        m_network.hosts.at("b3")->active = 40;
        m_network.scheduler.advance(1s);
        for (const auto &[name, host] : m_network.hosts) {
            // A holder knows its own replica's load by itself.
            if (name != "b3") {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 40U, host->known["r-b3"]);
            }
        }
    }

    void aSilentReaderIsReplaced()
    {
        start();
        m_network.silent.insert("b1");
        m_network.scheduler.advance(2s);
        m_network.hosts.at("b4")->active = 7;
        m_network.scheduler.advance(1s);
        CPPUNIT_ASSERT_EQUAL(7U, m_network.hosts.at("a4")->known["r-b4"]);
        CPPUNIT_ASSERT_EQUAL(7U, m_network.hosts.at("b3")->known["r-b4"]);
    }

    void anOrdinaryHostReceivesLittle()
    {
        start();
        m_network.received.clear();
        m_network.scheduler.advance(10s);
        // Four digests and three to four beats a second.
        CPPUNIT_ASSERT(m_network.received["a4"] <= 80);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadExchangeTest);
