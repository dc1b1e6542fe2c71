#include <LibGateway/Tests/ForwardingHarness.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// A plain service with too little room for the requests of several accounts.
class FairAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairAdmissionTest);
    CPPUNIT_TEST(accountAtManyTimesItsRateLeavesRoomToOthers);
    CPPUNIT_TEST(withoutAccountsOnlyTheShareDecides);
    CPPUNIT_TEST(attemptsOfARequestGetTheSameDecision);
    CPPUNIT_TEST_SUITE_END();

    using Harness = Tests::ForwardingHarness;

    enum class Accounts { None, Named };

    // One server that answers 60 requests a second, one after another, and has room for twelve that wait.
    class Server
    {
    public:
        explicit Server(Accounts accounts)
            : m_accounts(accounts)
        {
            host.list({Harness::replica("r1")});
        }

        // Sends requests of four accounts for the time, of which each but the last sends 15 a second.
        void play(double lastPerSecond, Core::Duration duration)
        {
            m_callers.clear();
            std::array<double, 4> due {};
            for (const auto end = host.scheduler.now() + duration; host.scheduler.now() < end;) {
                host.scheduler.advance(10ms);
                for (std::size_t account = 0; account < due.size(); ++account) {
                    due[account] += (account + 1 < due.size() ? 15 : lastPerSecond) / 100;
                    for (; due[account] >= 1; --due[account]) {
                        send(account);
                    }
                }
            }
        }

        // The part of the requests of all accounts but the last that were answered since the last call of play().
        [[nodiscard]] double answeredPart() const
        {
            const auto answered = std::count_if(m_callers.begin(), m_callers.end(), [](const auto &caller) {
                return caller->status == 200;
            });
            return static_cast<double>(answered) / static_cast<double>(m_callers.size());
        }

        Harness host;

    private:
        void send(std::size_t account)
        {
            Gateway::RequestAccount own;
            if (m_accounts == Accounts::Named) {
                own.name = "account " + std::to_string(account);
            }
            const auto transfer = host.transport.transfers.size();
            auto caller = host.start({.timeout = 1500ms, .objective = 150ms, .maxAttempts = 1},
                                     {.attemptId = std::to_string(++m_requests)}, own);
            if (account < 3) {
                m_callers.push_back(std::move(caller));
            }
            if (host.transport.transfers.size() > transfer) {
                answer(transfer);
            }
        }

        void answer(std::size_t transfer)
        {
            constexpr auto MaxQueue = 200ms;
            const auto now = host.scheduler.now();
            if (m_freeAt - now > MaxQueue) {
                host.answer(transfer, 503, {{"Not-Run", "yes"}});
                return;
            }
            m_freeAt = std::max(m_freeAt, now) + Core::Duration(1s) / 60;
            host.scheduler.runAfter(m_freeAt - now, [this, transfer] {
                if (host.transport.transfers[transfer].isOpen) {
                    host.answer(transfer, 200, {{"Length", "yes"}});
                }
            });
        }

        Accounts m_accounts;
        unsigned m_requests = 0;
        Core::TimePoint m_freeAt {};
        std::vector<std::shared_ptr<Tests::CallerEnd>> m_callers;
    };

    // Guards against an account that takes the room of the others, as it does where requests have no accounts.
    void accountAtManyTimesItsRateLeavesRoomToOthers()
    {
        constexpr std::string_view LeftOut = "currantbay_account_fairness_left_out_total";
        const auto play = [](Server &server) {
            server.play(10, 20s);
            server.play(150, 6500ms);
            return server.answeredPart();
        };
        Server plain(Accounts::None);
        Server fair(Accounts::Named);
        const auto before = play(plain);
        const auto after = play(fair);
        CPPUNIT_ASSERT_LESS(0.35, before);
        CPPUNIT_ASSERT_GREATER(0.55, after);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), plain.host.metrics.countOf(LeftOut));
        CPPUNIT_ASSERT(fair.host.metrics.countOf(LeftOut) > 0);
    }

    // Guards against changes where the configuration has no accounts.
    void withoutAccountsOnlyTheShareDecides()
    {
        Server server(Accounts::None);
        auto &host = server.host;
        Placement::AdmissionShare share;
        for (int step = 0; step < 5; ++step) {
            host.scheduler.advance(200ms);
            const auto now = host.scheduler.now();
            host.fleet.recordNoRoom({"r1"}, {}, now);
            share.recordRejection(now);
            for (int number = 0; number < 2000; ++number) {
                const auto id = std::to_string(number);
                const auto sent = host.transport.transfers.size();
                host.start({.timeout = 1500ms, .objective = 150ms}, {.attemptId = id});
                CPPUNIT_ASSERT_EQUAL(share.admits(id, now), host.transport.transfers.size() > sent);
            }
        }
    }

    // Guards against a request that is left out at first and sent later, or the other way round, because the share or
    // the rates of the accounts have changed in between.
    void attemptsOfARequestGetTheSameDecision()
    {
        Server server(Accounts::Named);
        server.play(150, 10s);
        auto &fleet = server.host.fleet;
        const auto now = server.host.scheduler.now();
        for (int number = 0; number < 200; ++number) {
            const Gateway::RequestAccount account {.name = "account 3"};
            Gateway::CallerRequest request {.attemptId = std::to_string(number)};
            request.admission = fleet.accountAdmission(request, "s", account, now);
            fleet.recordAccountRequest(request, "s", account, now);
            const auto *first = fleet.choose(request, "s", {}, now);
            fleet.recordNoRoom({"r1"}, request, now + number * 1ms);
            CPPUNIT_ASSERT_EQUAL(request.admission->replicasWithoutRoom.empty(), first != nullptr);
            CPPUNIT_ASSERT(first == fleet.choose(request, "s", {}, now + 500ms));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairAdmissionTest);
