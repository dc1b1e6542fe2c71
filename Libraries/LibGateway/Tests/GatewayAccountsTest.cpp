#include <LibCore/HttpStatus.h>
#include <LibGateway/Gateway.h>
#include <LibGateway/Tests/ForwardingHarness.h>
#include <StandIns/MemoryRows.h>
#include <cppunit/extensions/HelperMacros.h>
#include <ranges>

using namespace std::chrono_literals;

namespace {

constexpr auto Self = "h1";
constexpr auto Other = "h2";

// A replica without models, and a configuration that every call proves.
class OneServiceSource final : public Fleet::DeploymentSource
{
public:
    OneServiceSource(Core::Scheduler &scheduler, const Routes::RouteConfiguration &configuration)
        : m_scheduler(scheduler)
        , m_configuration(configuration)
    {
    }

    void readReplicas(ReplicasFunction done) override
    {
        followReplicas(0, 1ms, std::move(done));
    }
    void followReplicas(std::uint64_t /*after*/, Core::Duration wait, ReplicasFunction done) override
    {
        m_scheduler.runAfter(wait, [done = std::move(done)] {
            done({.outcome = Platform::FeedOutcome::Read,
                  .version = 1,
                  .present = {{.id = {"r1"}, .service = "s", .address = "r1", .zone = {"a"}, .slots = 16}}});
        });
    }
    void readConfiguration(ConfigurationFunction done) override
    {
        followConfiguration(0, 1ms, std::move(done));
    }
    void followConfiguration(std::uint64_t /*after*/, Core::Duration wait, ConfigurationFunction done) override
    {
        m_scheduler.runAfter(wait, [this, done = std::move(done)] {
            done({.outcome = Platform::FeedOutcome::Read,
                  .version = 1,
                  .configuration = m_configuration,
                  .provenAt = m_scheduler.now()});
        });
    }

private:
    Core::Scheduler &m_scheduler;
    const Routes::RouteConfiguration &m_configuration;
};

class NoOrders final : public Fleet::OrderLink
{
    void order(const Fleet::Replica & /*replica*/, const Fleet::ReplicaOrder & /*order*/,
               OrderFunction /*done*/) override
    {
    }
    void report(const Fleet::Replica & /*replica*/, ReportFunction /*done*/) override
    {
    }
};

// Delivers messages to a function.
class FunctionTransport final : public Peer::PeerTransport
{
public:
    explicit FunctionTransport(std::function<void(const Core::HostId &to, std::string bytes)> deliver)
        : m_deliver(std::move(deliver))
    {
    }
    void send(const Core::HostId &to, std::string bytes) override
    {
        m_deliver(to, std::move(bytes));
    }
    void reconnect(const Core::HostId & /*to*/) override
    {
    }

private:
    std::function<void(const Core::HostId &to, std::string bytes)> m_deliver;
};

// A caller whose key is that of the account.
class AccountCaller final : public Tests::CallerEnd
{
public:
    explicit AccountCaller(std::string account)
        : m_request {.method = std::move(account), .headers = {{"host", "h.example"}}}
    {
    }
    [[nodiscard]] const Net::ServerRequest &request() const override
    {
        return m_request;
    }

private:
    Net::ServerRequest m_request;
};

class AccountProtocol final : public Tests::PlainProtocol
{
    [[nodiscard]] Gateway::CallerRequest readRequest(const Net::ServerRequest &request) const override
    {
        return {.attemptId = "caller-1", .host = "h.example", .target = "/x", .accountKey = "key-of-" + request.method};
    }
};

Routes::ClientAccount account(const std::string &name, double rate = 0)
{
    return {.name = name, .keys = {"key-of-" + name, "second-" + name}, .ratePerSecond = rate, .burst = rate};
}

// An account for which the host is asked first.
std::string accountLentBy(const std::string &host)
{
    const std::vector<Accounts::LenderCandidate> hosts {{.host = {Self}, .zone = {"a"}},
                                                        {.host = {Other}, .zone = {"b"}}};
    for (int number = 0;; ++number) {
        const auto name = "account-" + std::to_string(number);
        if (Accounts::AllowanceExchange::lenders(name, hosts).front().value == host) {
            return name;
        }
    }
}

}

// A gateway with accounts, without a network. Another host is in the table of hosts if a test puts it there, and lends
// what it is asked for unless it is silent.
class GatewayAccountsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayAccountsTest);
    CPPUNIT_TEST(lenderIsToldTheZoneOfTheHost);
    CPPUNIT_TEST(loneHostLends);
    CPPUNIT_TEST(borrowerKnowsItsLoansOnly);
    CPPUNIT_TEST(silentLendersLeaveTheHostWithoutOne);
    CPPUNIT_TEST(unlimitedAccountHasCountsOnly);
    CPPUNIT_TEST(refusalsForOtherReasonsAreCounted);
    CPPUNIT_TEST(onlyActiveAccountsAreCounted);
    CPPUNIT_TEST(overviewChangesNothing);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a lender that can't notice that the zone of its borrowers is cut off.
    void lenderIsToldTheZoneOfTheHost()
    {
        const auto name = startBorrower();
        request(name);
        CPPUNIT_ASSERT(!m_zones.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("zone-1"), m_zones.front());
    }

    void loneHostLends()
    {
        start({account("acme", 1)});
        CPPUNIT_ASSERT(overviewOf("acme").allowance->lenders == std::vector<Core::HostId> {{Self}});
        m_scheduler.advance(3s);
        Core::Duration longestRefusal {};
        for (int number = 0; number < 20; ++number) {
            request("acme");
            longestRefusal = std::max(longestRefusal, overviewOf("acme").allowance->borrowed.refusedFor);
        }
        CPPUNIT_ASSERT(longestRefusal > 100ms && longestRefusal < 1s);
        const auto described = overviewOf("acme");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), described.keyCount);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(20), described.counts.served + described.counts.refused429);
        CPPUNIT_ASSERT(described.counts.served >= 5 && described.counts.refused429 >= 5);
        CPPUNIT_ASSERT(described.allowance->lent.has_value());
        CPPUNIT_ASSERT(described.allowance->lent->level <= 1 && described.allowance->lent->perSecond > 0);
        CPPUNIT_ASSERT(described.allowance->borrowed.usedPerSecond > 0);
    }

    void borrowerKnowsItsLoansOnly()
    {
        const auto name = startBorrower();
        m_surplus = 5;
        request(name);
        const auto described = overviewOf(name);
        CPPUNIT_ASSERT((described.allowance->lenders == std::vector<Core::HostId> {{Other}, {Self}}));
        CPPUNIT_ASSERT(!described.allowance->lent.has_value());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, described.allowance->borrowed.unused, 0.001);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), described.counts.served);
        // A loan whose lease has ended is no longer usable.
        m_scheduler.advance(1s);
        CPPUNIT_ASSERT_EQUAL(0.0, overviewOf(name).allowance->borrowed.unused);
    }

    void silentLendersLeaveTheHostWithoutOne()
    {
        const auto name = startBorrower();
        request(name);
        CPPUNIT_ASSERT(!overviewOf(name).allowance->borrowed.isWithoutLender);
        m_isOtherSilent = true;
        m_scheduler.advance(1s);
        for (int number = 0; number < 10; ++number) {
            request(name);
        }
        const auto described = overviewOf(name);
        CPPUNIT_ASSERT(described.allowance->borrowed.isWithoutLender);
        CPPUNIT_ASSERT(described.counts.refused503 > 0);
    }

    void unlimitedAccountHasCountsOnly()
    {
        start({account("acme")});
        request("acme");
        CPPUNIT_ASSERT(!overviewOf("acme").allowance.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), overviewOf("acme").counts.served);
    }

    // Guards against an account that seems to be served while its requests end without a response.
    void refusalsForOtherReasonsAreCounted()
    {
        start({account("acme")});
        m_answer = Core::HttpStatus::ServiceUnavailable;
        request("acme");
        m_answer = Core::HttpStatus::InternalServerError;
        request("acme");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), overviewOf("acme").counts.refused503);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), overviewOf("acme").counts.served);
    }

    // Guards against counters that grow with every account that a configuration has ever had.
    void onlyActiveAccountsAreCounted()
    {
        std::vector<Routes::ClientAccount> accounts;
        for (int number = 0; number < 5000; ++number) {
            accounts.push_back(account("account-" + std::to_string(number), 100));
        }
        start(accounts);
        m_scheduler.advance(1s);
        request("account-4999");
        request("unknown");
        CPPUNIT_ASSERT_EQUAL(std::size_t(5000), m_gateway->accountOverview().accounts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), overviewOf("account-4999").counts.served);

        replaceAccounts({account("account-1", 100)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_gateway->accountOverview().accounts.size());
        replaceAccounts({account("account-4999", 100)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), overviewOf("account-4999").counts.served);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), *m_gateway->accountOverview().configuration);
    }

    void overviewChangesNothing()
    {
        const auto name = startBorrower();
        request(name);
        m_scheduler.advance(700ms);
        const auto state = [this] {
            return std::tuple(m_metrics.toPrometheusText(), m_gateway->router().sentMessages(),
                              m_gateway->allowanceCounts().asked, m_zones.size(), m_transport.transfers.size());
        };
        const auto before = state();
        for (int number = 0; number < 3; ++number) {
            (void)m_gateway->accountOverview();
        }
        CPPUNIT_ASSERT(before == state());
        // What had lapsed is still returned to the lender.
        m_returned = 0;
        request(name);
        CPPUNIT_ASSERT(m_returned > 0);
    }

    void start(std::vector<Routes::ClientAccount> accounts)
    {
        m_scheduler.advance(1h);
        m_configuration.version = 1;
        m_configuration.routes = {{.name = "r",
                                   .host = "h.example",
                                   .prefix = "/",
                                   .timeout = 1500ms,
                                   .objective = 300ms,
                                   .services = {{.service = "s"}}}};
        m_configuration.services = {{.name = "s", .maxConnections = 100}};
        m_configuration.accounts = std::move(accounts);
        m_gateway = std::make_unique<Gateway::Gateway>(
            Gateway::GatewayDependencies {.scheduler = m_scheduler,
                                          .client = m_transport,
                                          .table = m_rows,
                                          .rows = m_rows,
                                          .orders = m_orders,
                                          .protocol = m_protocol,
                                          .transport = m_toOther,
                                          .metrics = m_metrics,
                                          .makeSource =
                                              [this](Platform::RowFeed & /*rows*/) {
                                                  return std::make_unique<OneServiceSource>(m_scheduler,
                                                                                            m_configuration);
                                              }},
            Gateway::GatewayOptions {.holding = {.self = {.host = {Self}, .zone = {"zone-1"}, .incarnation = 1}},
                                     .peerKey = "key"});
        m_gateway->start();
        m_scheduler.advance(200ms);
    }

    // Starts the gateway with another host, which lends for the account that is returned.
    std::string startBorrower()
    {
        const Holding::HostRow row {.host = {Other}, .zone = {"zone-2"}, .incarnation = 2};
        m_rows.put(std::string(Holding::HolderTable::Table), Holding::hostKey(row.host), Holding::toText(row));
        m_other.onCall<Accounts::AllowanceRequest, Accounts::AllowanceReply>(
            [this](const auto & /*from*/, const Accounts::AllowanceRequest &asked, const auto &reply) {
                m_zones.push_back(asked.zone);
                m_returned += asked.returned;
                if (!m_isOtherSilent) {
                    reply({.isLender = true, .amount = asked.least + m_surplus});
                }
            });
        auto name = accountLentBy(Other);
        start({account(name, 100)});
        m_scheduler.advance(1s);
        return name;
    }

    void replaceAccounts(std::vector<Routes::ClientAccount> accounts)
    {
        ++m_configuration.version;
        m_configuration.accounts = std::move(accounts);
        m_scheduler.advance(3s);
    }

    // Sends a request of the account and lets the replica answer it.
    void request(const std::string &name)
    {
        m_gateway->handleRequest(std::make_shared<AccountCaller>(name));
        for (const auto end = m_scheduler.now() + 300ms; m_scheduler.now() < end; m_scheduler.advance(20ms)) {
            for (; m_answered < m_transport.transfers.size(); ++m_answered) {
                const auto transfer = m_transport.transfers[m_answered];
                transfer.head(m_answer, {{"Attempt", "caller-1"}});
                transfer.done({.status = m_answer});
            }
        }
    }

    [[nodiscard]] Gateway::AccountOverview::Account overviewOf(const std::string &name) const
    {
        const auto overview = m_gateway->accountOverview();
        CPPUNIT_ASSERT_EQUAL(std::string(Self), overview.host.value);
        const auto found = std::ranges::find(overview.accounts, name, &Gateway::AccountOverview::Account::name);
        CPPUNIT_ASSERT(found != overview.accounts.end());
        return *found;
    }

    Core::VirtualScheduler m_scheduler;
    Tests::ManualTransport m_transport {m_scheduler};
    std::size_t m_answered = 0; // Transfers that the replica has answered.
    long m_answer = 200; // Status of the replica's responses.
    StandIns::MemoryRows m_rows {m_scheduler};
    NoOrders m_orders;
    AccountProtocol m_protocol;
    Metrics::Registry m_metrics;
    Routes::RouteConfiguration m_configuration;
    std::unique_ptr<Gateway::Gateway> m_gateway;
    FunctionTransport m_toSelf {[this](const auto & /*to*/, auto bytes) {
        m_gateway->router().receive(bytes);
    }};
    Peer::PeerRouter m_other {m_scheduler, m_toSelf, {.self = {Other}, .incarnation = 2, .key = "key"}};
    FunctionTransport m_toOther {[this](const auto & /*to*/, auto bytes) {
        m_scheduler.runAfter(2ms, [this, bytes = std::move(bytes)] {
            m_other.receive(bytes);
        });
    }};
    bool m_isOtherSilent = false;
    double m_surplus = 1; // Units that the other host lends beyond what is needed.
    double m_returned = 0; // Units that the host has returned to it.
    std::vector<std::string> m_zones; // The zones that the other host was told.
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayAccountsTest);
