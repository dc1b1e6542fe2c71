#include <LibCore/VirtualScheduler.h>
#include <LibLedger/ClaimRow.h>
#include <LibLedger/GroupWriter.h>
#include <StandIns/MemoryTable.h>
#include <Tests/Scenario/World.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

namespace {

using std::chrono::milliseconds;

// A table service that counts its transactions.
class CountingTable final : public Platform::TableService
{
public:
    explicit CountingTable(Core::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    void transact(Platform::Transaction transaction, TransactionFunction done) override
    {
        ++transactionCount;
        m_scheduler.runAfter(milliseconds(3), [this, transaction = std::move(transaction), done = std::move(done)] {
            const bool isCommitted = rows.transact(transaction);
            done({.outcome
                  = isCommitted ? Platform::TransactionOutcome::Committed : Platform::TransactionOutcome::Conflicted});
        });
    }
    void read(std::string_view /*table*/, std::string_view /*key*/, ReadFunction /*done*/) override
    {
    }
    void scan(std::string_view /*table*/, std::string_view /*afterKey*/, std::size_t /*most*/,
              ScanFunction /*done*/) override
    {
    }

    StandIns::MemoryTable rows;
    int transactionCount = 0;

private:
    Core::Scheduler &m_scheduler;
};

// Faults that may be injected between two steps. heal() undoes all of them.
const std::vector<std::function<void(Scenario::World &, const std::string &host, const std::string &service)>> Faults {
    [](auto &world, const auto & /*host*/, const auto & /*service*/) {
        world.platform().setDown(true);
    },
    [](auto &world, const auto & /*host*/, const auto & /*service*/) {
        world.platform().loseAnswers(2);
    },
    [](auto &world, const auto & /*host*/, const auto & /*service*/) {
        world.platform().delayWrites(2, milliseconds(6000));
    },
    [](auto &world, const auto & /*host*/, const auto & /*service*/) {
        world.platform().setReadLag(milliseconds(900));
    },
    [](auto &world, const auto &host, const auto & /*service*/) {
        world.restartHost(host);
    },
    [](auto &world, const auto &host, const auto & /*service*/) {
        world.killHost(host);
    },
    [](auto &world, const auto &host, const auto & /*service*/) {
        world.host(host).process->freeze();
    },
    [](auto &world, const auto & /*host*/, const auto &service) {
        world.services().at(service).answersToLose = 1;
    },
    [](auto &world, const auto & /*host*/, const auto &service) {
        world.services().at(service).isSilent = true;
    },
    [](auto &world, const auto & /*host*/, const auto &service) {
        world.services().kill(service);
    },
    [](auto &world, const auto &host, const auto &service) {
        world.network().cut(service, host);
    },
    [](auto &world, const auto &host, const auto &service) {
        world.network().cut(host, service);
    },
    [](auto &world, const auto &host, const auto & /*service*/) {
        world.network().cut(host, "a1");
    },
    [](auto &world, const auto &host, const auto & /*service*/) {
        world.network().cut("platform", host);
    },
    [](auto &world, const auto & /*host*/, const auto &service) {
        world.services().at(service).runTime = milliseconds(1500);
    },
    [](auto &world, const auto &host, const auto & /*service*/) {
        world.network().setDelay("platform", host, milliseconds(700));
    },
};

const std::vector<std::string> Hosts {"a1", "a2", "b1"};
const std::vector<std::string> Services {"s1", "s2"};

void heal(Scenario::World &world)
{
    world.platform().setDown(false);
    world.platform().loseAnswers(0);
    world.platform().setReadLag({});
    world.network().mendAll();
    for (const auto &name : Hosts) {
        world.network().setDelay("platform", name, {});
        auto &process = *world.host(name).process;
        process.thaw();
        if (process.state() == Scenario::ProcessState::Dead) {
            world.restartHost(name);
        }
    }
    for (const auto &name : Services) {
        auto &service = world.services().at(name);
        service.isSilent = false;
        service.answersToLose = 0;
        service.runTime = milliseconds(5);
        if (service.process->state() == Scenario::ProcessState::Dead) {
            world.services().restart(name);
        }
    }
}

void build(Scenario::World &world)
{
    world.addHost("a1", "a");
    world.addHost("a2", "a");
    world.addHost("b1", "b");
    world.addService("s1", "a");
    world.addService("s2", "b");
    world.run(std::chrono::seconds(3));
    const Ticket::ServiceRouteState route {
        .name = "seats", .service = "seats", .idempotentMethods = {"GET"}, .fencePath = "/attempts"};
    world.submitTicket("a1", {.number = 1, .submittedBy = "op", .objects = {route}}, [](const auto &) {});
    world.run(std::chrono::seconds(6));
}

void join(Scenario::World &world, const std::string &name, const std::string &host, const std::string &key)
{
    world.callService(name, host,
                      {.customer = {"noor"},
                       .method = "POST",
                       .path = "/seats/join",
                       .route = "seats",
                       .body = key,
                       .key = key,
                       .timeout = std::chrono::seconds(8)});
}

// A reference implementation that runs each key once and stores the response.
class ReferenceService
{
public:
    std::string call(const std::string &key)
    {
        auto &response = m_responses[key];
        if (response.empty()) {
            response = key + " run 1";
        }
        return response;
    }

private:
    std::map<std::string, std::string> m_responses;
};

}

class LedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(rowTextPreservesEveryByte);
    CPPUNIT_TEST(conflictingGroupIsSplitUntilConflictIsIsolated);
    CPPUNIT_TEST(responsesMatchReferenceServiceUnderFaults);
    CPPUNIT_TEST_SUITE_END();

    void rowTextPreservesEveryByte()
    {
        std::string body;
        for (int byte = 0; byte < 256; ++byte) {
            body += static_cast<char>(byte);
        }
        const Ledger::ClaimRow row {.state = Ledger::ClaimState::Done,
                                    .attempt = {"attempt-1"},
                                    .host = {"a1"},
                                    .incarnation = ~0ULL,
                                    .target = {"s1"},
                                    .fingerprint = "f",
                                    .result = {.status = 200, .contentType = "text/plain", .body = body}};
        CPPUNIT_ASSERT(Ledger::claimRowFromText(toText(row)) == row);
        const Ledger::ClaimKey left {.service = "a", .customer = {"b1:c"}, .key = "d"};
        const Ledger::ClaimKey right {.service = "a", .customer = {"b"}, .key = "c1:d"};
        CPPUNIT_ASSERT(left.toRowKey() != right.toRowKey());
    }

    void conflictingGroupIsSplitUntilConflictIsIsolated()
    {
        Core::VirtualScheduler scheduler;
        CountingTable table(scheduler);
        Metrics::Registry metrics;
        Ledger::GroupWriter writer(scheduler, table, metrics, {.table = "ledger", .saturationThreshold = 20});
        table.rows.transact({.puts = {{"ledger", "5", "taken"}}});
        std::map<int, Platform::TransactionOutcome> outcomes;
        for (int i = 0; i < 16; ++i) {
            writer.write({.key = std::to_string(i), .version = 0, .value = "new"}, [&outcomes, i](auto outcome) {
                outcomes[i] = outcome;
            });
        }
        scheduler.advance(std::chrono::seconds(1));
        for (int i = 0; i < 16; ++i) {
            const auto expected
                = i == 5 ? Platform::TransactionOutcome::Conflicted : Platform::TransactionOutcome::Committed;
            CPPUNIT_ASSERT(outcomes.at(i) == expected);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("taken"), table.rows.read("ledger", "5")->value);
        // One transaction for the group, and two for the halves at each of four levels.
        CPPUNIT_ASSERT_EQUAL(1 + 2 * 4, table.transactionCount);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT(!writer.isSaturated());
            writer.write({.key = "0", .value = "again"}, [](auto) {});
        }
        CPPUNIT_ASSERT(writer.isSaturated());
        scheduler.advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT(!writer.isSaturated());
    }

    // Makes calls at random hosts during random faults, up to two of them at once. Guards against a call that runs
    // twice or gets another call's response: every response must equal that of the reference service. After the faults
    // each key must get a response, and the invariants of the simulation check that no call ran twice.
    void responsesMatchReferenceServiceUnderFaults()
    {
        const bool hasPassed = rc::check("responses equal those of a reference service", [] {
            Scenario::World world(*rc::gen::inRange<std::uint64_t>(1, 1000000));
            ReferenceService reference;
            build(world);
            const auto steps = *rc::gen::inRange(2, 8);
            for (int step = 0; step < steps; ++step) {
                const auto host = *rc::gen::elementOf(Hosts);
                const auto faultCount = *rc::gen::inRange(0, 3);
                const auto second = "k" + std::to_string(*rc::gen::inRange(0, 3));
                join(world, "first-" + std::to_string(step), host, "k" + std::to_string(*rc::gen::inRange(0, 3)));
                join(world, "second-" + std::to_string(step), *rc::gen::elementOf(Hosts), second);
                world.run(milliseconds(*rc::gen::inRange(0, 20)));
                for (int fault = 0; fault < faultCount; ++fault) {
                    (*rc::gen::elementOf(Faults))(world, host, *rc::gen::elementOf(Services));
                }
                world.run(milliseconds(*rc::gen::inRange(0, 6000)));
                if (*rc::gen::inRange(0, 2) == 0) {
                    heal(world);
                }
            }
            heal(world);
            world.run(std::chrono::seconds(40));
            for (int key = 0; key < 3; ++key) {
                const auto name = "k" + std::to_string(key);
                join(world, "last-" + name, *rc::gen::elementOf(Hosts), name);
                world.run(std::chrono::seconds(9));
                const auto &response = *world.callNamed("last-" + name).answer;
                RC_ASSERT(response.result().has_value());
                RC_ASSERT(world.services().runs().at(name) == 1);
                RC_ASSERT(response.result()->body == reference.call(name));
            }
            for (const auto &[name, call] : world.calls()) {
                if (call.answer->result().has_value()) {
                    RC_ASSERT(call.answer->result()->body == reference.call(call.key));
                }
            }
        });
        CPPUNIT_ASSERT(hasPassed);
    }

public:
    LedgerTest()
    {
        if (getenv("RC_PARAMS") == nullptr) {
            setenv("RC_PARAMS", "seed=1 max_success=200", 1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
