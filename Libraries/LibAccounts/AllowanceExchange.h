#pragma once

#include <LibAccounts/AllowanceMessages.h>
#include <LibAccounts/BorrowerBook.h>
#include <LibAccounts/LenderRole.h>
#include <LibCore/Scheduler.h>
#include <LibPeer/PeerRouter.h>
#include <functional>
#include <span>
#include <vector>

namespace Accounts {

// A live host and its share of the work relative to the others.
struct LenderCandidate {
    Core::HostId host;
    Core::ZoneId zone;
    double weight = 1;
};

struct AllowanceExchangeOptions {
    Core::ZoneId zone; // Of this host.
    LenderBookOptions lender;
    BorrowerBookOptions borrower;
    LenderRoleOptions role;
    // Far above the time of a message between two zones, and short enough for requests that are answered in 150 ms by
    // plain services to be served without a lender.
    Core::Duration replyTimeout = std::chrono::milliseconds(120);
    // A lender that hasn't replied isn't asked again for this long.
    Core::Duration silentPause = std::chrono::milliseconds(400);
    Core::Duration tickPeriod = std::chrono::milliseconds(500);
};

// What the exchange did, for metrics.
struct AllowanceCounts {
    std::uint64_t asked = 0; // Requests for a loan that were sent.
    std::uint64_t refused = 0; // Requests of callers beyond their allowance.
    std::uint64_t takenWithoutLender = 0;
    std::uint64_t refusedWithoutLender = 0;
};

// Keeps the allowances of accounts over all hosts together. Each account has one lender among the live hosts, from
// which the others borrow small amounts for a short time. If the lender doesn't reply, the second host in its order is
// asked, and without that a host continues at the rate at which it was lent to.
class AllowanceExchange
{
public:
    enum class Decision { Allowed, Refused, Unknown };
    // Unknown means that no lender replied and that the rate of earlier loans is used up.
    using DecisionFunction = std::function<void(Decision decision, Core::Duration retryAfter)>;
    using CandidatesFunction = std::function<std::vector<LenderCandidate>()>;
    // Whether the active configuration is recent enough to lend by it.
    using ProofFunction = std::function<bool()>;

    AllowanceExchange(Core::Scheduler &scheduler, Peer::PeerRouter &router, AllowanceExchangeOptions options,
                      CandidatesFunction candidates, ProofFunction isProven);

    void start();
    // Replaces the accounts that have an allowance.
    void setTerms(std::vector<AllowanceTerms> terms);
    // Takes the cost of a request from the account's allowance. Calls the function once, possibly before returning.
    void take(const std::string &account, double cost, DecisionFunction done);
    // Returns the cost of a request that was allowed and didn't run.
    void giveBack(const std::string &account, double cost);
    [[nodiscard]] const AllowanceCounts &counts() const;
    // Describes the account's allowance as far as this host knows it. Changes nothing and sends no message.
    [[nodiscard]] AllowanceOverview overview(const std::string &account) const;
    // The hosts that may lend for an account, in order of preference, each in another availability zone as far as there
    // are that many. Small hosts don't lend while there are large ones, since the lender of a busy account receives
    // messages from every host.
    [[nodiscard]] static std::vector<Core::HostId> lenders(std::string_view account,
                                                           std::span<const LenderCandidate> candidates);

private:
    struct WaitingTake {
        double cost = 0;
        DecisionFunction done;
    };

    void tick();
    [[nodiscard]] std::vector<Core::HostId> lendersOf(const std::string &account) const;
    [[nodiscard]] std::optional<std::size_t> ownPosition(std::span<const Core::HostId> lenders) const;
    // Opens or closes the account's bucket according to this host's role. Returns whether this host lends.
    bool updateRole(const AllowanceTerms &terms);
    void handleRequest(const Core::HostId &from, const AllowanceRequest &request,
                       const std::function<void(const AllowanceReply &)> &reply);
    // Checks whether the hosts before this one in the order of lenders lend.
    void probeBetter(const std::string &account, std::span<const Core::HostId> better);
    // Begins to lend without waiting if no other host does. After a restart of all hosts nobody else would.
    void askOthers(const std::string &account, std::span<const Core::HostId> others);
    [[nodiscard]] AllowanceReply lend(const Core::HostId &borrower, const AllowanceRequest &request);
    // Serves the requests that wait for the account, and asks for a loan if it is needed for the next one.
    void serveWaiting(const std::string &account);
    void ask(const std::string &account, const LoanRequest &loan, std::size_t position);
    void handleReply(const std::string &account, const LoanRequest &loan, std::size_t position, Core::TimePoint sentAt,
                     const std::optional<AllowanceReply> &reply);
    void serveWithoutLender(const std::string &account);
    [[nodiscard]] bool isSilent(const Core::HostId &host) const;

    Core::Scheduler &m_scheduler;
    Peer::PeerRouter &m_router;
    AllowanceExchangeOptions m_options;
    CandidatesFunction m_candidates;
    ProofFunction m_isProven;
    std::map<std::string, AllowanceTerms> m_terms;
    std::map<std::string, std::vector<Core::HostId>> m_lenders; // Of each account, as of the last tick.
    LenderBook m_lent;
    BorrowerBook m_borrowed;
    LenderRole m_role;
    std::map<std::string, std::deque<WaitingTake>> m_waiting;
    std::map<std::string, bool> m_isAsking;
    std::map<Core::HostId, Core::TimePoint> m_silentUntil;
    AllowanceCounts m_counts;
};

}
