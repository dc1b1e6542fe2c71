#include <LibAccounts/FairShare.h>
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <numeric>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace {

struct Sender {
    std::string account;
    double perSecond = 0;
    int priority = 0;
};

// A host at which requests of some accounts arrive at even intervals, for a server with so much room for them.
class Host
{
public:
    // Returns the part of each account's requests that is sent within the time.
    std::map<std::string, double> receive(const std::vector<Sender> &senders, Core::Duration duration)
    {
        constexpr auto Step = 5ms;
        std::map<std::string, double> sent;
        std::map<std::string, double> requests;
        for (const auto end = now + duration; now < end; now += Step) {
            for (const auto &[account, perSecond, priority] : senders) {
                auto &due = m_due[account];
                for (due += perSecond * std::chrono::duration<double>(Step).count(); due >= 1; --due) {
                    m_total.add(1, now);
                    const auto share = std::min(1.0, roomPerSecond / m_total.perSecond(now));
                    sent[account] += fairShare.partOf(account, priority, share, now);
                    requests[account] += 1;
                    fairShare.recordRequest(account, priority, now);
                }
            }
        }
        for (auto &[account, part] : sent) {
            part /= requests[account];
        }
        return sent;
    }

    Accounts::FairShare fairShare;
    Core::TimePoint now {1h};
    double roomPerSecond = 1e9;

private:
    Accounts::DecayingRate m_total {1s};
    std::map<std::string, double> m_due;
};

std::vector<Sender> withSmallAccounts(std::vector<Sender> senders)
{
    for (int i = 0; i < 200; ++i) {
        senders.push_back({"small " + std::to_string(i), 0.25 + i * 0.001, 0});
    }
    return senders;
}

// What accounts send for some seconds after their usual rates, and the parts of it that are to be sent.
struct Pattern {
    std::string name;
    std::vector<Sender> usual;
    std::vector<Sender> present;
    double roomPerSecond = 0;
    std::map<std::string, std::pair<double, double>> expected; // The least and the largest part.
};

double sum(const std::vector<Accounts::AccountClaim> &claims, double Accounts::AccountClaim::*member)
{
    return std::accumulate(claims.begin(), claims.end(), 0.0, [member](double total, const auto &claim) {
        return total + claim.*member;
    });
}

rc::Gen<std::vector<Accounts::AccountClaim>> anyClaims()
{
    const auto claim = rc::gen::exec([] {
        const auto weight = *rc::gen::inRange(1, 1000) / 10.0;
        const auto demand = weight * *rc::gen::element(0.0, 0.3, 1.0, 1.0, 1.4, 10.0, 100.0);
        return Accounts::AccountClaim {.priority = *rc::gen::inRange(0, 3), .weight = weight, .demand = demand};
    });
    return rc::gen::map(rc::gen::container<std::vector<Accounts::AccountClaim>>(claim), [](auto claims) {
        std::sort(claims.begin(), claims.end(), [](const auto &left, const auto &right) {
            return left.priority < right.priority;
        });
        return claims;
    });
}

}

class FairShareTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairShareTest);
    CPPUNIT_TEST(randomClaimsShareTheRoom);
    CPPUNIT_TEST(patternsOfLoadAreSharedFairly);
    CPPUNIT_TEST(restartedHostTreatsAllAlike);
    CPPUNIT_TEST(accountsAreBounded);
    CPPUNIT_TEST_SUITE_END();

    Host m_host;

    // Guards against a server that is sent more than its room, against starved accounts, and against requests beyond
    // the usual rates that are sent before usual ones.
    void randomClaimsShareTheRoom()
    {
        CPPUNIT_ASSERT(rc::check([] {
            auto claims = *anyClaims();
            const auto demand = sum(claims, &Accounts::AccountClaim::demand);
            const auto room = demand * *rc::gen::inRange(10, 100) / 100;
            constexpr double LeastPart = 0.25;
            Accounts::divideRoom(claims, room, LeastPart);
            const auto error = demand * 1e-9;
            const auto sent = sum(claims, &Accounts::AccountClaim::amount);
            RC_ASSERT(sent <= room + error);
            RC_ASSERT(sent >= room - error);
            double usual = 0;
            for (const auto &claim : claims) {
                usual += claim.usualDemand();
            }
            const auto least = [&](const auto &claim) {
                return usual > 0 ? std::min(claim.demand, LeastPart * room * claim.usualDemand() / usual) : 0;
            };
            for (const auto &claim : claims) {
                RC_ASSERT(claim.amount >= least(claim) - error);
                RC_ASSERT(claim.amount <= claim.demand + error);
                const bool hasMore = claim.amount > least(claim) + error;
                const bool hasExcess = hasMore && claim.amount > claim.usualDemand() + error;
                for (const auto &other : claims) {
                    RC_ASSERT(!hasExcess || other.amount >= other.usualDemand() - error);
                    const bool isFirst = other.priority < claim.priority;
                    RC_ASSERT(!hasMore || !isFirst || other.amount >= other.usualDemand() - error);
                    RC_ASSERT(!hasExcess || !isFirst || other.amount >= other.demand - error);
                }
            }
        }));
    }

    // Guards against accounts that get more or less than their share. In the first pattern, cut alike, 0.25 of all
    // requests would be sent in the end.
    void patternsOfLoadAreSharedFairly()
    {
        const std::vector<Pattern> patterns {
            {.name = "one account at many times its usual rate",
             .usual = {{"a", 20}, {"b", 20}, {"c", 20}, {"d", 20}},
             .present = {{"a", 20}, {"b", 20}, {"c", 20}, {"d", 200}},
             .roomPerSecond = 65,
             .expected = {{"a", {0.75, 0.85}}, {"d", {0.1, 0.16}}}},
            // A single request of a small account must not look like an excess.
            {.name = "many small accounts",
             .usual = withSmallAccounts({{"large", 50}}),
             .present = withSmallAccounts({{"large", 50}}),
             .roomPerSecond = 60,
             .expected = {{"large", {0.45, 0.55}}, {"small 0", {0.4, 0.55}}, {"small 199", {0.4, 0.55}}}},
            {.name = "an urgent account beside others",
             .usual = {{"late", 20, 5}, {"urgent", 20, 0}, {"middle", 20, 2}},
             .present = {{"late", 20, 5}, {"urgent", 20, 0}, {"middle", 20, 2}},
             .roomPerSecond = 30,
             .expected = {{"urgent", {0.95, 1}}, {"late", {0.12, 0.15}}}},
            {.name = "inverted priorities: the urgent account sends many times its usual rate",
             .usual = {{"a", 20, 5}, {"urgent", 20, 0}},
             .present = {{"a", 20, 5}, {"urgent", 200, 0}},
             .roomPerSecond = 35,
             .expected = {{"a", {0.5, 0.8}}, {"urgent", {0.1, 0.2}}}},
            // Its rate at this host is large, but usual.
            {.name = "an account at one host only",
             .usual = {{"a", 10}, {"lone", 60}, {"b", 10}},
             .present = {{"a", 10}, {"lone", 60}, {"b", 10}},
             .roomPerSecond = 40,
             .expected = {{"a", {0.45, 0.55}}, {"lone", {0.45, 0.55}}}},
            {.name = "an account that has just arrived",
             .usual = {{"a", 20}, {"b", 20}, {"c", 20}, {"d", 20}},
             .present = {{"a", 20}, {"b", 20}, {"c", 20}, {"d", 20}, {"new", 20}},
             .roomPerSecond = 50,
             .expected = {{"a", {0.5, 0.65}}, {"new", {0.2, 0.5}}}},
        };
        for (const auto &pattern : patterns) {
            Host host;
            host.receive(pattern.usual, 30s);
            host.roomPerSecond = pattern.roomPerSecond;
            const auto parts = host.receive(pattern.present, 6500ms);
            for (const auto &[account, bounds] : pattern.expected) {
                const auto part = parts.at(account);
                const auto message = pattern.name + ": " + account + " " + std::to_string(part);
                CPPUNIT_ASSERT_MESSAGE(message, part >= bounds.first && part <= bounds.second);
            }
        }
    }

    void restartedHostTreatsAllAlike()
    {
        const std::vector<Sender> senders {{"a", 20, 0}, {"b", 200, 5}};
        for (const auto pause : {0min, 2min}) {
            m_host.now += pause; // Long enough that all rates are forgotten.
            m_host.receive(senders, 2s);
            CPPUNIT_ASSERT_EQUAL(0.3, m_host.fairShare.partOf("a", 0, 0.3, m_host.now));
            CPPUNIT_ASSERT_EQUAL(0.3, m_host.fairShare.partOf("b", 5, 0.3, m_host.now));
        }
    }

    // Guards against a table that grows with names, and against a decision that is lost with what it forgets.
    void accountsAreBounded()
    {
        Accounts::FairShare fairShare({.maxAccounts = 3});
        for (int i = 0; i < 100; ++i) {
            m_host.now += 100ms;
            fairShare.recordRequest(std::to_string(i), 0, m_host.now);
        }
        const auto part = fairShare.partOf("0", 0, 0.5, m_host.now);
        CPPUNIT_ASSERT(part > 0.125 && part <= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairShareTest);
