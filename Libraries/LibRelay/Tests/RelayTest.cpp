#include <LibCore/VirtualScheduler.h>
#include <LibRelay/SharedRowFeed.h>
#include <LibRelay/SharedWriter.h>
#include <StandIns/MemoryRows.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <set>

using namespace std::chrono_literals;

namespace {

// Counts the calls to the store, which can be made unreachable.
class CountingRows final : public Platform::RowFeed, public Platform::TableService
{
public:
    CountingRows(Core::VirtualScheduler &scheduler, StandIns::MemoryRows &rows)
        : m_scheduler(scheduler)
        , m_rows(rows)
    {
    }
    void readTable(std::string_view table, FeedFunction done) override
    {
        ++calls;
        m_rows.readTable(table, std::move(done));
    }
    void follow(std::string_view table, std::uint64_t after, Core::Duration wait, FeedFunction done) override
    {
        ++calls;
        if (isCutOff) {
            m_scheduler.runAfter(1s, [done = std::move(done)] {
                done({.error = "cut off"});
            });
            return;
        }
        m_rows.follow(table, after, wait, std::move(done));
    }
    void transact(Platform::Transaction transaction, TransactionFunction done) override
    {
        ++calls;
        m_rows.transact(std::move(transaction), std::move(done));
    }
    void read(std::string_view table, std::string_view key, ReadFunction done) override
    {
        m_rows.read(table, key, std::move(done));
    }
    void scan(std::string_view table, std::string_view afterKey, std::size_t limit, ScanFunction done) override
    {
        m_rows.scan(table, afterKey, limit, std::move(done));
    }

    int calls = 0;
    bool isCutOff = false;

private:
    Core::VirtualScheduler &m_scheduler;
    StandIns::MemoryRows &m_rows;
};

struct RelayHost;

// Delivers messages between the hosts of the test, except to and from disconnected ones.
struct Network {
    Core::VirtualScheduler &scheduler;
    std::map<std::string, RelayHost *> hosts;
    std::set<std::string> disconnected;
};

struct RelayHost final : private Peer::PeerTransport {
    RelayHost(Network &network, StandIns::MemoryRows &rows, const std::string &name)
        : network(network)
        , name(name)
        , store(network.scheduler, rows)
        , router(network.scheduler, *this, {.self = {name}, .key = "k"})
        , reader(
              network.scheduler, router, {},
              [this] {
                  std::vector<Relay::ZoneHost> zone;
                  for (const auto &[host, object] : this->network.hosts) {
                      zone.push_back({.host = {host}, .weight = host == "h1" ? 2.0 : 1.0});
                  }
                  return zone;
              },
              [this] {
                  return !store.isCutOff;
              })
        , feed(network.scheduler, router, store, reader)
        , writer(network.scheduler, router, store, reader, {})
    {
        network.hosts[name] = this;
    }

    void start()
    {
        reader.start();
        follow();
    }

    void follow()
    {
        feed.follow("t", version, 1500ms, [this](const Platform::FeedResult &result) {
            if (result.outcome == Platform::FeedOutcome::Read) {
                version = result.version;
                for (const auto &row : result.rows) {
                    seen[row.key] = row.value;
                    ++rowsReceived;
                }
            }
            network.scheduler.runAfter(100ms, [this] {
                follow();
            });
        });
    }

    void send(const Core::HostId &to, std::string bytes) override
    {
        if (network.disconnected.contains(name) || network.disconnected.contains(to.value)) {
            return;
        }
        network.scheduler.runAfter(1ms, [this, to, bytes = std::move(bytes)] {
            network.hosts.at(to.value)->router.receive(bytes);
        });
    }
    void reconnect(const Core::HostId & /*to*/) override
    {
    }

    Network &network;
    std::string name;
    CountingRows store;
    Peer::PeerRouter router;
    Relay::ZoneReader reader;
    Relay::SharedRowFeed feed;
    Relay::SharedWriter writer;
    std::uint64_t version = 0;
    std::map<std::string, std::string> seen;
    int rowsReceived = 0;
};

}

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(oneHostReadsForItsZone);
    CPPUNIT_TEST(unresponsiveReaderIsReplacedWithinTwoSeconds);
    CPPUNIT_TEST(readerWithoutStoreIsReplaced);
    CPPUNIT_TEST(hostReadsStoreAfterMissedNotice);
    CPPUNIT_TEST(hostWaitsForFirstNoticeOfReader);
    CPPUNIT_TEST(renewalsOfZoneShareTransaction);
    CPPUNIT_TEST(rowIsWrittenWithoutReader);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int HostCount = 10;

    Core::VirtualScheduler m_scheduler;
    StandIns::MemoryRows m_rows {m_scheduler};
    Network m_network {.scheduler = m_scheduler, .hosts = {}, .disconnected = {}};
    std::vector<std::unique_ptr<RelayHost>> m_hosts;

public:
    void setUp() override
    {
        for (int i = 1; i <= HostCount; ++i) {
            m_hosts.push_back(std::make_unique<RelayHost>(m_network, m_rows, "h" + std::to_string(i)));
        }
        m_rows.put("t", "first", "1");
        for (const auto &host : m_hosts) {
            host->start();
        }
        m_scheduler.advance(4s);
        clearCalls();
    }

private:
    void clearCalls()
    {
        for (const auto &host : m_hosts) {
            host->store.calls = 0;
        }
    }

    [[nodiscard]] int calls() const
    {
        int total = 0;
        for (const auto &host : m_hosts) {
            total += host->store.calls;
        }
        return total;
    }

    void expectEverywhere(const std::string &key, const std::string &value, const std::string &except = "")
    {
        for (const auto &host : m_hosts) {
            CPPUNIT_ASSERT_MESSAGE(host->name, host->name == except || host->seen[key] == value);
        }
    }

    void oneHostReadsForItsZone()
    {
        for (int i = 0; i < 20; ++i) {
            m_rows.put("t", "k", std::to_string(i));
            m_scheduler.advance(500ms);
            expectEverywhere("k", std::to_string(i));
        }
        CPPUNIT_ASSERT(m_hosts.front()->store.calls >= 10);
        CPPUNIT_ASSERT_EQUAL(m_hosts.front()->store.calls, calls());
        for (const auto &host : m_hosts) {
            CPPUNIT_ASSERT_EQUAL(21, host->rowsReceived);
        }
    }

    // A change that is committed at the moment when the reader becomes unresponsive has to take effect on all hosts
    // within two seconds.
    void unresponsiveReaderIsReplacedWithinTwoSeconds()
    {
        m_network.disconnected.insert("h1");
        m_rows.put("t", "k", "new");
        m_scheduler.advance(1900ms);
        expectEverywhere("k", "new");
        m_scheduler.advance(3s);
        clearCalls();
        m_scheduler.advance(5s);
        // The disconnected host reads for itself, and one other host reads for the zone.
        const auto readers = std::count_if(m_hosts.begin(), m_hosts.end(), [](const auto &host) {
            return host->store.calls > 0;
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2), static_cast<std::ptrdiff_t>(readers));
    }

    void readerWithoutStoreIsReplaced()
    {
        m_hosts.front()->store.isCutOff = true;
        m_scheduler.advance(500ms);
        m_rows.put("t", "k", "new");
        m_scheduler.advance(1900ms);
        expectEverywhere("k", "new", "h1");
    }

    void hostReadsStoreAfterMissedNotice()
    {
        m_network.disconnected.insert("h5");
        m_rows.put("t", "missed", "1");
        m_scheduler.advance(300ms);
        m_network.disconnected.clear();
        m_rows.put("t", "later", "2");
        m_scheduler.advance(1900ms);
        expectEverywhere("missed", "1");
        expectEverywhere("later", "2");
    }

    // When all hosts start at the same time, only the reader calls the store; the others wait for its first notice.
    void hostWaitsForFirstNoticeOfReader()
    {
        auto &last = *m_hosts.back();
        std::string received;
        bool isDone = false;
        last.feed.follow("other", 0, 1400ms, [&](const Platform::FeedResult &result) {
            isDone = true;
            received = result.rows.empty() ? "" : result.rows.front().value;
        });
        m_scheduler.advance(500ms);
        CPPUNIT_ASSERT(!isDone);
        CPPUNIT_ASSERT_EQUAL(0, last.store.calls);
        m_hosts.front()->feed.follow("other", 0, 700ms, [](const Platform::FeedResult &) {});
        m_rows.put("other", "k", "v");
        m_scheduler.advance(100ms);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), received);
        CPPUNIT_ASSERT_EQUAL(0, last.store.calls);
        // Without a notice within the wait it reads the store itself.
        last.feed.follow("third", 0, 700ms, [](const Platform::FeedResult &) {});
        m_scheduler.advance(1s);
        CPPUNIT_ASSERT(last.store.calls > 0);
    }

    void renewalsOfZoneShareTransaction()
    {
        int written = 0;
        clearCalls();
        for (const auto &host : m_hosts) {
            host->writer.write({.table = "own", .key = host->name, .value = "1"}, [&written](bool isWritten) {
                written += isWritten ? 1 : 0;
            });
        }
        m_scheduler.advance(600ms);
        CPPUNIT_ASSERT_EQUAL(HostCount, written);
        CPPUNIT_ASSERT(calls() <= 4);
    }

    void rowIsWrittenWithoutReader()
    {
        m_network.disconnected.insert("h1");
        bool isWritten = false;
        m_hosts.back()->writer.write({.table = "own", .key = "k", .value = "1"}, [&isWritten](bool result) {
            isWritten = result;
        });
        m_scheduler.advance(2s);
        CPPUNIT_ASSERT(isWritten);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
