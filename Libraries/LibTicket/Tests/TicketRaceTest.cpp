#include <LibPeer/Envelope.h>
#include <LibTicket/Tests/FaultyTable.h>
#include <LibTicket/TicketAcceptor.h>
#include <LibTicket/TicketFeed.h>
#include <LibTicket/TicketJson.h>
#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

namespace Ticket::Tests {

namespace {

constexpr int HostCount = 3;
constexpr std::array<const char *, 3> Names {"outline", "summary", "rare"};

// One step of a race: an operator submits a ticket, or the table service's faults change.
struct Step {
    int host = 0;
    int milliseconds = 0; // Before it.
    std::uint64_t number = 0; // Zero changes the faults.
    unsigned touched = 1; // A bit for each name.
    int version = 1;
    int lagMilliseconds = 0;
    int percentLost = 0;
    bool isDown = false;
    bool isHintLost = false;
};

rc::Gen<Step> anyStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::host, rc::gen::inRange(0, HostCount)),
                                rc::gen::set(&Step::milliseconds, rc::gen::element(0, 5, 40, 900, 3500)),
                                rc::gen::set(&Step::number, rc::gen::inRange<std::uint64_t>(0, 8)),
                                rc::gen::set(&Step::touched, rc::gen::inRange(1U, 8U)),
                                rc::gen::set(&Step::version, rc::gen::inRange(1, 3)),
                                rc::gen::set(&Step::lagMilliseconds, rc::gen::element(0, 100, 4000)),
                                rc::gen::set(&Step::percentLost, rc::gen::element(0, 20, 60)),
                                rc::gen::set(&Step::isDown,
                                             rc::gen::map(rc::gen::inRange(0, 6),
                                                          [](int drawn) {
                                                              return drawn == 0;
                                                          })),
                                rc::gen::set(&Step::isHintLost, rc::gen::arbitrary<bool>()));
}

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{host " << step.host << " after " << step.milliseconds << " ms, ticket " << step.number
                  << " touches " << step.touched << " version " << step.version << "; lag " << step.lagMilliseconds
                  << " ms, lost " << step.percentLost << "%, down " << step.isDown << "}";
}

Ticket ticketOf(const Step &step)
{
    Ticket ticket {.number = step.number, .submittedBy = "operator"};
    for (unsigned i = 0; i < Names.size(); ++i) {
        if ((step.touched & (1U << i)) != 0) {
            const auto version = std::to_string(step.version);
            ticket.objects.emplace_back(
                AdapterState {.name = Names[i], .baseModel = "base", .versions = {version}, .currentVersion = version});
        }
    }
    return ticket;
}

// What must come of the feed's rows, worked out with nothing but a loop.
struct Naive {
    std::map<std::uint64_t, Ticket> tickets;
    std::map<std::string, std::uint64_t> numbers;
    std::map<std::string, AdapterState> adapters;
};

Naive replay(const StandIns::MemoryTable &rows)
{
    Naive naive;
    std::uint64_t sequence = 0;
    for (const auto &row : rows.scan("ticket-feed", "", 1000)) {
        const auto entry = feedEntryFromText(row.value);
        RC_ASSERT(entry.has_value());
        RC_ASSERT(entry->sequence == ++sequence); // None left out, none twice.
        RC_ASSERT(naive.tickets.emplace(entry->ticket.number, entry->ticket).second); // Accepted once.
        for (const auto &object : entry->ticket.objects) {
            const auto &adapter = std::get<AdapterState>(object);
            RC_ASSERT(naive.numbers[adapter.name] < entry->ticket.number); // No object's number falls.
            naive.numbers[adapter.name] = entry->ticket.number;
            naive.adapters[adapter.name] = adapter;
        }
    }
    return naive;
}

struct RaceHost {
    RaceHost(Core::VirtualScheduler &clock, FaultyTable &table, std::uint64_t seed)
        : ids(seed)
        , feed(clock, table, ids, {})
        , desk(clock, table, ids, [this] {
            return feed.state()->sequence();
        })
    {
        feed.onChange([this](const TicketState &state) {
            RC_ASSERT(state.sequence() > lastSequence);
            lastSequence = state.sequence();
            for (const auto *name : Names) {
                const auto number = state.objectNumber(std::string("adapter/") + name);
                RC_ASSERT(number >= lastNumbers[name]);
                lastNumbers[name] = number;
            }
        });
        feed.start();
    }

    Core::IdSource ids;
    TicketFeed feed;
    TicketAcceptor desk;
    std::uint64_t lastSequence = 0;
    std::map<std::string, std::uint64_t> lastNumbers;
};

struct Outcome {
    Ticket ticket;
    AcceptResult result;
};

void checkOutcome(const Outcome &outcome, const Naive &naive)
{
    const auto &ticket = outcome.ticket;
    const auto found = naive.tickets.find(ticket.number);
    const bool isInFeed = found != naive.tickets.end() && found->second.objects == ticket.objects;
    switch (outcome.result.outcome) {
    case AcceptOutcome::Accepted:
    case AcceptOutcome::AcceptedBefore:
        RC_ASSERT(isInFeed);
        return;
    case AcceptOutcome::NumberTaken:
        RC_ASSERT(found != naive.tickets.end() && !isInFeed);
        return;
    case AcceptOutcome::Superseded:
        RC_ASSERT(!isInFeed);
        RC_ASSERT(std::any_of(ticket.objects.begin(), ticket.objects.end(), [&](const auto &object) {
            const auto number = naive.numbers.find(std::get<AdapterState>(object).name);
            return number != naive.numbers.end() && number->second > ticket.number;
        }));
        return;
    case AcceptOutcome::Unknown:
        return;
    }
}

void race(const std::vector<Step> &steps, std::uint64_t seed)
{
    Core::VirtualScheduler clock;
    FaultyTable table(clock, seed);
    std::vector<std::unique_ptr<RaceHost>> hosts;
    for (int i = 0; i < HostCount; ++i) {
        hosts.push_back(std::make_unique<RaceHost>(clock, table, seed + static_cast<std::uint64_t>(i) + 1));
    }
    std::size_t submitted = 0;
    std::vector<Outcome> outcomes;
    for (const auto &step : steps) {
        clock.advance(std::chrono::milliseconds(step.milliseconds));
        if (step.number == 0) {
            table.setFaults(std::chrono::milliseconds(step.lagMilliseconds), step.percentLost, step.isDown);
            continue;
        }
        ++submitted;
        const auto ticket = ticketOf(step);
        hosts[static_cast<std::size_t>(step.host)]->desk.accept(ticket, [&, ticket, step](const AcceptResult &result) {
            outcomes.push_back({.ticket = ticket, .result = result});
            for (auto &host : hosts) {
                if (result.entry.has_value() && !step.isHintLost) {
                    host->feed.offer(*result.entry);
                }
            }
        });
    }
    table.setFaults({}, 0, false);
    clock.advance(std::chrono::seconds(60));
    RC_ASSERT(outcomes.size() == submitted);
    const auto naive = replay(table.rows());
    for (const auto &outcome : outcomes) {
        checkOutcome(outcome, naive);
    }
    for (const auto &host : hosts) {
        RC_ASSERT(host->feed.state()->sequence() == naive.tickets.size());
        RC_ASSERT(host->feed.state()->adapters() == naive.adapters);
        // A peer's snapshot is the same state.
        const auto packed = Peer::pack(host->feed.state()->snapshot());
        const TicketState copy(Peer::unpack<TicketSnapshot>(packed));
        RC_ASSERT(copy.adapters() == naive.adapters);
        RC_ASSERT(Peer::pack(copy.snapshot()) == packed);
    }
}

}

class TicketRaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TicketRaceTest);
    CPPUNIT_TEST(racingOperatorsAgree);
    CPPUNIT_TEST(repeatIsNotCalledSuperseded);
    CPPUNIT_TEST(sequenceNeverFalls);
    CPPUNIT_TEST(snapshotKeepsEveryMember);
    CPPUNIT_TEST(malformedFeedRowStopsNothing);
    CPPUNIT_TEST(numbersAreReadStrictly);
    CPPUNIT_TEST(rulesDecideAsTheNaiveScanDoes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        if (getenv("RC_PARAMS") == nullptr) {
            setenv("RC_PARAMS", "seed=1 max_success=200", 1);
        }
    }

    // Operators race at several hosts while reads lag, answers are lost and the service is down.
    void racingOperatorsAgree()
    {
        CPPUNIT_ASSERT(rc::check("tickets are accepted once, in one order, everywhere", [] {
            const auto steps = *rc::gen::resize(40, rc::gen::container<std::vector<Step>>(anyStep()));
            race(steps, *rc::gen::inRange<std::uint64_t>(1, 1000000));
        }));
    }

    // Ticket 1 was accepted and ticket 2 after it; a read shows the second's number but not yet the first's row.
    void repeatIsNotCalledSuperseded()
    {
        Core::VirtualScheduler clock;
        FaultyTable table(clock, 1);
        RaceHost host(clock, table, 7);
        std::vector<AcceptOutcome> outcomes;
        const auto submit = [&](std::uint64_t number) {
            host.desk.accept(ticketOf({.number = number}), [&](const AcceptResult &result) {
                outcomes.push_back(result.outcome);
            });
            clock.advance(std::chrono::seconds(1));
        };
        submit(1);
        submit(2);
        table.freezeReads(std::string(Tables::Tickets));
        submit(1);
        table.freezeReads("");
        clock.advance(std::chrono::seconds(20));
        using enum AcceptOutcome;
        CPPUNIT_ASSERT((outcomes == std::vector {Accepted, Accepted, AcceptedBefore}));
    }

    void sequenceNeverFalls()
    {
        using Outcome = TicketState::ApplyOutcome;
        TicketState state;
        const auto apply = [&state](std::uint64_t sequence, int version) {
            return state.apply({.sequence = sequence, .ticket = ticketOf({.number = sequence, .version = version})});
        };
        CPPUNIT_ASSERT(apply(2, 1) == Outcome::OutOfOrder);
        CPPUNIT_ASSERT(apply(1, 1) == Outcome::Applied);
        CPPUNIT_ASSERT(apply(2, 2) == Outcome::Applied);
        CPPUNIT_ASSERT(apply(2, 3) == Outcome::AlreadyApplied);
        CPPUNIT_ASSERT(apply(1, 3) == Outcome::AlreadyApplied);
        CPPUNIT_ASSERT(apply(4, 3) == Outcome::OutOfOrder);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), state.findAdapter("outline")->currentVersion);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.sequence());
    }

    // JSON and snapshots are two codecs of the same objects; both give back what went in.
    void snapshotKeepsEveryMember()
    {
        const auto entry = feedEntryFromText(R"({"sequence":1,"ticket":{"number":9,"objects":[
            {"kind":"adapter","name":"a","baseModel":"b","versions":["1","2"],"currentVersion":"2","retired":true},
            {"kind":"rule","name":"r","customers":["c"],"adapters":["a*"]},
            {"kind":"route","name":"s","service":"seats","idempotentMethods":["GET"],"fencePath":"/attempts"}]}})");
        TicketState state;
        CPPUNIT_ASSERT(state.apply(entry.value()) == TicketState::ApplyOutcome::Applied);
        const auto copy = Peer::unpack<TicketSnapshot>(Peer::pack(state.snapshot()));
        const std::vector<ObjectState> objects {copy.adapters.at(0).object, copy.rules.at(0).object,
                                                copy.routes.at(0).object};
        CPPUNIT_ASSERT(objects == entry->ticket.objects);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), copy.routes.at(0).number);
    }

    // A row that can't be read is counted and holds back what comes after it; once it is mended the feed goes on.
    void malformedFeedRowStopsNothing()
    {
        const FeedEntry entry {.sequence = 1, .ticket = ticketOf({.number = 4})};
        for (const auto *text : {"{", "[]", R"({"sequence":-1,"ticket":{}})", R"({"sequence":2,"ticket":null})"}) {
            Core::VirtualScheduler clock;
            FaultyTable table(clock, 1);
            RaceHost host(clock, table, 7);
            putFeedRow(table, text);
            clock.advance(std::chrono::seconds(10));
            CPPUNIT_ASSERT(host.feed.malformedRowCount() > 0);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), host.feed.state()->sequence());
            putFeedRow(table, toJson(entry).dump());
            clock.advance(std::chrono::seconds(10));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), host.feed.state()->sequence());
        }
    }

    void numbersAreReadStrictly()
    {
        for (const auto *text : {"", "-1", " 1", "1 ", "0x1", "1e3", "18446744073709551616"}) {
            CPPUNIT_ASSERT(!numberFromText(text).has_value());
        }
        CPPUNIT_ASSERT_EQUAL(UINT64_MAX, numberFromText("18446744073709551615").value());
    }

    // The index of rules by pattern gives the answer of a scan over all rules.
    void rulesDecideAsTheNaiveScanDoes()
    {
        CPPUNIT_ASSERT(rc::check("rules", [] {
            const auto word = rc::gen::container<std::string>(rc::gen::element('a', 'b'));
            std::map<std::string, RuleState> rules;
            TicketState state;
            const auto count = *rc::gen::inRange<std::uint64_t>(0, 12);
            const auto name = *word;
            for (std::uint64_t i = 1; i <= count; ++i) {
                const auto pattern = *word + (*rc::gen::arbitrary<bool>() ? "*" : "");
                const RuleState rule {.name = *rc::gen::element<std::string>("r1", "r2", "r3"),
                                      .customers = {*rc::gen::element<std::string>("noor", "colombo", "*")},
                                      .adapters = {pattern}};
                rules[rule.name] = rule;
                (void)state.apply({.sequence = i, .ticket = {.number = i, .objects = {rule}}});
            }
            const AdapterState adapter {.name = name, .versions = {"1"}, .currentVersion = "1"};
            (void)state.apply({.sequence = count + 1, .ticket = {.number = count + 1, .objects = {adapter}}});
            const bool isAllowed = std::any_of(rules.begin(), rules.end(), [&](const auto &entry) {
                const auto &[customer, pattern] = std::pair(entry.second.customers[0], entry.second.adapters[0]);
                const bool isMatch = pattern.ends_with('*') && name.starts_with(pattern.substr(0, pattern.size() - 1));
                return (customer == "*" || customer == "noor") && (isMatch || pattern == name);
            });
            RC_ASSERT(std::holds_alternative<ResolvedAdapter>(state.resolve({"noor"}, name)) == isAllowed);
        }));
    }

private:
    static void putFeedRow(FaultyTable &table, const std::string &text)
    {
        (void)table.rows().transact(
            {.puts = {{.table = std::string(Tables::Feed), .key = numberKey(1), .value = text}}});
        table.remember();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TicketRaceTest);

}
