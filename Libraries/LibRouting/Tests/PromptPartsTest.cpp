#include <LibCore/VirtualScheduler.h>
#include <LibRouting/Quarantine.h>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Deadly = 1;
constexpr std::uint64_t Common = 2; // Shared by most requests.
constexpr auto ContactTime = 3s; // Within which hosts must join what they know.

using Parts = std::vector<std::uint64_t>;

// Hosts in three zones that exchange notices. Cut hosts neither send nor receive.
class Hosts
{
public:
    struct Host final : Peer::PeerTransport {
        Host(Hosts &all, std::size_t number)
            : hosts(all)
            , self {.id = {"host-" + std::to_string(number)}, .zone = {std::string(1, "abc"[number % 3])}}
            , router(all.scheduler, *this, {.self = self.id, .incarnation = 1, .key = "key"})
            , quarantine(all.scheduler, router,
                         {.self = self,
                          .live =
                              [this] {
                                  return hosts.list();
                              }},
                         Routing::QuarantineOptions::forPromptParts())
        {
            quarantine.start();
        }
        void send(const Core::HostId &to, std::string bytes) override
        {
            for (const auto &host : hosts.all) {
                if (host->self.id == to && !isCut && !host->isCut) {
                    hosts.scheduler.runAfter(20ms, [receiver = host.get(), bytes = std::move(bytes)] {
                        receiver->router.receive(bytes);
                    });
                    return;
                }
            }
        }
        void reconnect(const Core::HostId & /*to*/) override
        {
        }

        Hosts &hosts;
        Routing::QuarantineHost self;
        bool isCut = false;
        Peer::PeerRouter router;
        Routing::Quarantine quarantine;
    };

    explicit Hosts(std::size_t count)
    {
        while (all.size() < count) {
            add();
        }
    }
    void add()
    {
        all.push_back(std::make_unique<Host>(*this, all.size()));
    }
    std::vector<Routing::QuarantineHost> list() const
    {
        std::vector<Routing::QuarantineHost> listed;
        for (const auto &host : all) {
            listed.push_back(host->self);
        }
        return listed;
    }
    // A replica crashes while the hosts, one after the other, run requests with these parts there.
    void crash(const std::vector<Parts> &requests)
    {
        const Routing::TargetDeath death {.target = {"replica-" + std::to_string(++crashes)}, .incarnation = "1"};
        for (const auto &parts : requests) {
            all.at(next++ % all.size())->quarantine.recordDeath(parts, death);
        }
        scheduler.advance(200ms);
    }
    void complete(const Parts &parts)
    {
        all.at(next++ % all.size())->quarantine.recordCompletion(parts);
        scheduler.advance(200ms);
    }
    std::size_t refusing(const Parts &parts) const
    {
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&parts](const auto &host) {
            return host->quarantine.suspicionOf(parts) == Routing::Suspicion::Refused;
        }));
    }

    Core::VirtualScheduler scheduler;
    std::vector<std::unique_ptr<Host>> all;
    std::size_t next = 0;
    int crashes = 0;
};

}

class PromptPartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptPartsTest);
    CPPUNIT_TEST(partCommonToAllCrashesIsRefusedEverywhere);
    CPPUNIT_TEST(partsThatAreAlwaysTogetherAreRefusedTogether);
    CPPUNIT_TEST(equallySuspectPartsWaitForFurtherCrash);
    CPPUNIT_TEST(partOfOthersIsNotRefusedByForgedPrompts);
    CPPUNIT_TEST(hostsThatMissedNoticesLearnRefusals);
    CPPUNIT_TEST(refusalExpiresThoughHostsLearnItLate);
    CPPUNIT_TEST(completedPartIsNoLongerRefusedWithOthers);
    CPPUNIT_TEST(crashesAtOnceCountAsOne);
    CPPUNIT_TEST_SUITE_END();

    // Requests of one kind crashed one replica after the other, because no two of them were alike.
    void partCommonToAllCrashesIsRefusedEverywhere()
    {
        Hosts hosts(6);
        for (std::uint64_t own = 10; own < 13; ++own) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({Common, Deadly}));
            hosts.crash({{Common, Deadly}, {Common, own}, {own + 10}});
            hosts.complete({Common, own + 20});
        }
        CPPUNIT_ASSERT_EQUAL(hosts.all.size(), hosts.refusing({Common, Deadly, 99}));
        for (const auto &sound : {Parts {Common}, Parts {Common, 10}, Parts {22}, Parts {}}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing(sound));
        }
    }

    // A sound part must not be refused because each request that crashed a replica had it too.
    void partsThatAreAlwaysTogetherAreRefusedTogether()
    {
        Hosts hosts(3);
        for (int i = 0; i < 3; ++i) {
            hosts.crash({{Common, Deadly}});
        }
        CPPUNIT_ASSERT_EQUAL(hosts.all.size(), hosts.refusing({Common, Deadly}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({Common}));
        hosts.crash({{5, Deadly}});
        CPPUNIT_ASSERT_EQUAL(hosts.all.size(), hosts.refusing({6, Deadly}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({Common, 5}));
    }

    // A sound request that was retried beside the guilty one crashed with it each time and was refused for minutes.
    void equallySuspectPartsWaitForFurtherCrash()
    {
        Hosts hosts(3);
        for (int i = 0; i < 3; ++i) {
            hosts.crash({{Deadly}, {7}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({Deadly}) + hosts.refusing({7}));
        hosts.crash({{Deadly}});
        CPPUNIT_ASSERT_EQUAL(hosts.all.size(), hosts.refusing({Deadly}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({7}));
    }

    // One client account could have a part that others use refused by adding it to prompts that crash replicas.
    void partOfOthersIsNotRefusedByForgedPrompts()
    {
        Hosts hosts(6);
        for (std::uint64_t own = 10; own < 20; ++own) {
            hosts.complete({Common});
            hosts.crash({{Common, own}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({Common}));
    }

    // A host behind a cut and a host that starts later went on sending requests that crash replicas.
    void hostsThatMissedNoticesLearnRefusals()
    {
        Hosts hosts(9);
        hosts.all[2]->isCut = true;
        hosts.all[5]->isCut = true;
        hosts.next = 6;
        for (int i = 0; i < 3; ++i) {
            hosts.crash({{Deadly}});
            hosts.next = 0;
        }
        CPPUNIT_ASSERT(hosts.refusing({Deadly}) > 0 && hosts.refusing({Deadly}) <= hosts.all.size() - 2);
        hosts.all[2]->isCut = false;
        hosts.all[5]->isCut = false;
        hosts.add();
        hosts.scheduler.advance(ContactTime);
        CPPUNIT_ASSERT_EQUAL(hosts.all.size(), hosts.refusing({Deadly}));
    }

    // A part was refused for good, because hosts that had learned it later told those that had forgotten it.
    void refusalExpiresThoughHostsLearnItLate()
    {
        Hosts hosts(3);
        for (int i = 0; i < 3; ++i) {
            hosts.crash({{Deadly}});
        }
        hosts.scheduler.advance(5min);
        hosts.add();
        hosts.scheduler.advance(ContactTime);
        CPPUNIT_ASSERT_EQUAL(hosts.all.size(), hosts.refusing({Deadly}));
        hosts.scheduler.advance(5min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({Deadly}));
    }

    // A sound part that was refused together with the deadly one stayed suspect, and a further crash convicted it.
    void completedPartIsNoLongerRefusedWithOthers()
    {
        Hosts hosts(3);
        for (int i = 0; i < 3; ++i) {
            hosts.crash({{Common, Deadly}});
        }
        hosts.complete({Common, 5});
        hosts.scheduler.advance(10s);
        hosts.crash({{Common, 6}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({Common}));
        CPPUNIT_ASSERT_EQUAL(hosts.all.size(), hosts.refusing({Deadly}));
    }

    // A power failure was taken for crashes by whatever was open at several of its replicas.
    void crashesAtOnceCountAsOne()
    {
        Hosts hosts(1);
        for (int replica = 0; replica < 10; ++replica) {
            hosts.all[0]->quarantine.recordDeath(Parts {7}, {.target = {std::to_string(replica)}, .incarnation = "1"});
            hosts.scheduler.advance(5ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), hosts.refusing({7}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPartsTest);
