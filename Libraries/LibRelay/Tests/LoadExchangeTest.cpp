#include <LibCore/VirtualScheduler.h>
#include <LibRelay/LoadExchange.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <set>

using namespace std::chrono_literals;

namespace {

struct ExchangeHost;

// Delivers messages between the hosts of two zones, "a1" to "a4" and "b1" to "b4", and counts them.
struct ExchangeNetwork {
    Core::VirtualScheduler scheduler;
    std::map<std::string, std::unique_ptr<ExchangeHost>> hosts;
    std::set<std::string> disconnected;
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

struct ExchangeHost final : private Peer::PeerTransport {
    ExchangeHost(ExchangeNetwork &network, const std::string &name)
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
        , exchange(
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
        if (network.disconnected.contains(name) || network.disconnected.contains(to.value)) {
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

    ExchangeNetwork &network;
    std::string name;
    Peer::PeerRouter router;
    Relay::ZoneReader reader;
    Relay::LoadExchange exchange;
    unsigned active = 0;
    std::map<std::string, unsigned> known; // Running requests by replica.
};

}

class LoadExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadExchangeTest);
    CPPUNIT_TEST(everyHostLearnsEveryLoadWithinOneSecond);
    CPPUNIT_TEST(unresponsiveReaderIsReplaced);
    CPPUNIT_TEST(followerReceivesFewMessages);
    CPPUNIT_TEST_SUITE_END();

    ExchangeNetwork m_network;

    void start()
    {
        for (const char *name : {"a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"}) {
            m_network.hosts[name] = std::make_unique<ExchangeHost>(m_network, name);
        }
        for (const auto &[name, host] : m_network.hosts) {
            host->reader.start();
            host->exchange.start();
        }
        m_network.scheduler.advance(2s);
    }

    // A host also has to learn the load of replicas to which it sends no requests.
    void everyHostLearnsEveryLoadWithinOneSecond()
    {
        start();
        m_network.hosts.at("b3")->active = 40;
        m_network.scheduler.advance(1s);
        for (const auto &[name, host] : m_network.hosts) {
            // The holder itself receives no message about its own replica.
            if (name != "b3") {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 40U, host->known["r-b3"]);
            }
        }
    }

    void unresponsiveReaderIsReplaced()
    {
        start();
        m_network.disconnected.insert("b1");
        m_network.scheduler.advance(2s);
        m_network.hosts.at("b4")->active = 7;
        m_network.scheduler.advance(1s);
        CPPUNIT_ASSERT_EQUAL(7U, m_network.hosts.at("a4")->known["r-b4"]);
        CPPUNIT_ASSERT_EQUAL(7U, m_network.hosts.at("b3")->known["r-b4"]);
    }

    void followerReceivesFewMessages()
    {
        start();
        m_network.received.clear();
        m_network.scheduler.advance(10s);
        // Four digests and three to four heartbeats per second.
        CPPUNIT_ASSERT(m_network.received["a4"] <= 80);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadExchangeTest);
