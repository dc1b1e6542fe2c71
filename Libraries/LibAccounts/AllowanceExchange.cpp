#include <LibAccounts/AllowanceExchange.h>

#include <LibCore/Rendezvous.h>
#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace Accounts {

namespace {

// Hosts with less than this part of the largest weight don't lend.
constexpr double MinLenderShare = 0.5;
// The store may be out of reach for the large hosts of two zones at a time.
constexpr std::size_t LendersPerAccount = 3;
constexpr std::uint64_t PhaseSteps = 1024;

AllowanceExchangeOptions withPhase(AllowanceExchangeOptions options, const Core::HostId &self)
{
    options.borrower.phase
        = static_cast<double>(Core::stableHash(self.value) % PhaseSteps + 1) / static_cast<double>(PhaseSteps);
    return options;
}

}

AllowanceExchange::AllowanceExchange(Core::Scheduler &scheduler, Peer::PeerRouter &router,
                                     AllowanceExchangeOptions options, CandidatesFunction candidates,
                                     ProofFunction isProven)
    : m_scheduler(scheduler)
    , m_router(router)
    , m_options(withPhase(options, router.self()))
    , m_candidates(std::move(candidates))
    , m_isProven(std::move(isProven))
    , m_lent(options.lender)
    , m_borrowed(m_options.borrower)
    , m_role(options.role)
{
    m_router.onCall<AllowanceRequest, AllowanceReply>([this](const Core::HostId &from, const AllowanceRequest &request,
                                                             const std::function<void(const AllowanceReply &)> &reply) {
        handleRequest(from, request, reply);
    });
}

void AllowanceExchange::start()
{
    tick();
}

void AllowanceExchange::setTerms(std::vector<AllowanceTerms> terms)
{
    std::map<std::string, AllowanceTerms> replaced;
    for (auto &entry : terms) {
        auto name = entry.account;
        replaced[std::move(name)] = std::move(entry);
    }
    for (const auto &[name, entry] : m_terms) {
        if (!replaced.contains(name)) {
            m_lent.close(name);
        }
    }
    m_terms = std::move(replaced);
}

std::vector<Core::HostId> AllowanceExchange::lenders(std::string_view account,
                                                     std::span<const LenderCandidate> candidates)
{
    double largest = 0;
    for (const auto &candidate : candidates) {
        largest = std::max(largest, candidate.weight);
    }
    std::vector<Core::RendezvousCandidate> eligible;
    for (const auto &candidate : candidates) {
        if (candidate.weight >= MinLenderShare * largest) {
            eligible.push_back({.name = candidate.host.value, .weight = candidate.weight});
        }
    }
    std::vector<Core::HostId> hosts;
    std::vector<Core::HostId> others;
    std::set<Core::ZoneId> zones;
    for (const auto &name : Core::rankByRendezvous(account, eligible)) {
        const auto candidate = std::ranges::find(candidates, name, [](const auto &entry) {
            return entry.host.value;
        });
        (zones.insert(candidate->zone).second ? hosts : others).push_back(candidate->host);
    }
    hosts.insert(hosts.end(), others.begin(), others.end());
    hosts.resize(std::min(hosts.size(), LendersPerAccount));
    return hosts;
}

std::vector<Core::HostId> AllowanceExchange::lendersOf(const std::string &account) const
{
    const auto found = m_lenders.find(account);
    return found == m_lenders.end() ? std::vector<Core::HostId> {} : found->second;
}

std::optional<std::size_t> AllowanceExchange::ownPosition(std::span<const Core::HostId> lenders) const
{
    const auto found = std::find(lenders.begin(), lenders.end(), m_router.self());
    return found == lenders.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - lenders.begin()));
}

bool AllowanceExchange::updateRole(const AllowanceTerms &terms)
{
    const auto now = m_scheduler.now();
    const auto lenders = lendersOf(terms.account);
    const auto position = ownPosition(lenders);
    const bool isLender = m_role.mayLend(terms.account, position, now);
    // The bucket of the first host fills while it waits for its turn to lend.
    if (isLender || position == 0) {
        m_lent.open(terms, now);
    } else {
        m_lent.close(terms.account);
    }
    if (position == 0 && m_role.shouldAskOthers(terms.account, now)) {
        askOthers(terms.account, std::span(lenders).subspan(1));
    }
    return isLender;
}

void AllowanceExchange::tick()
{
    if (!m_terms.empty()) {
        const auto candidates = m_candidates();
        for (const auto &[name, terms] : m_terms) {
            m_lenders[name] = lenders(name, candidates);
            updateRole(terms);
        }
        m_borrowed.prune(m_scheduler.now());
    }
    m_scheduler.runAfter(m_options.tickPeriod, [this] {
        tick();
    });
}

AllowanceReply AllowanceExchange::lend(const Core::HostId &borrower, const AllowanceRequest &request)
{
    const auto terms = m_terms.find(request.account);
    if (terms == m_terms.end() || !updateRole(terms->second) || !m_isProven()) {
        return {};
    }
    if (request.least <= 0) {
        return {.isLender = true};
    }
    const auto loan = m_lent.lend(request.account,
                                  {.host = borrower,
                                   .zone = {request.zone},
                                   .least = request.least,
                                   .wanted = request.wanted,
                                   .returned = request.returned,
                                   .unlent = request.unlent},
                                  m_scheduler.now());
    return {.isLender = true,
            .amount = loan.amount,
            .retryAfterMilliseconds = static_cast<std::uint32_t>(Core::toMilliseconds(loan.retryAfter)),
            .headroom = loan.headroom};
}

void AllowanceExchange::handleRequest(const Core::HostId &from, const AllowanceRequest &request,
                                      const std::function<void(const AllowanceReply &)> &reply)
{
    const auto lenders = lendersOf(request.account);
    if (const auto position = ownPosition(lenders);
        position > 0 && m_role.shouldProbe(request.account, m_scheduler.now())) {
        probeBetter(request.account, std::span(lenders).first(*position));
    }
    reply(lend(from, request));
}

void AllowanceExchange::probeBetter(const std::string &account, std::span<const Core::HostId> better)
{
    for (const auto &host : better) {
        m_router.call<AllowanceReply>(host, AllowanceRequest {.account = account}, m_options.replyTimeout,
                                      [this, account](const std::optional<AllowanceReply> &reply) {
                                          if (reply.has_value() && reply->isLender) {
                                              m_role.recordLending(account);
                                          }
                                      });
    }
}

void AllowanceExchange::askOthers(const std::string &account, std::span<const Core::HostId> others)
{
    if (others.empty()) {
        m_role.recordNoneLending(account, m_scheduler.now());
        return;
    }
    const auto missing = std::make_shared<std::size_t>(others.size());
    for (const auto &host : others) {
        m_router.call<AllowanceReply>(host, AllowanceRequest {.account = account}, m_options.replyTimeout,
                                      [this, account, missing](const std::optional<AllowanceReply> &reply) {
                                          if (reply.has_value() && !reply->isLender && --*missing == 0) {
                                              m_role.recordNoneLending(account, m_scheduler.now());
                                          }
                                      });
    }
}

void AllowanceExchange::take(const std::string &account, double cost, DecisionFunction done)
{
    m_waiting[account].push_back({.cost = cost, .done = std::move(done)});
    if (!m_isAsking[account]) {
        serveWaiting(account);
    }
}

void AllowanceExchange::giveBack(const std::string &account, double cost)
{
    m_borrowed.giveBack(account, cost, m_scheduler.now());
}

const AllowanceCounts &AllowanceExchange::counts() const
{
    return m_counts;
}

AllowanceOverview AllowanceExchange::overview(const std::string &account) const
{
    const auto now = m_scheduler.now();
    AllowanceOverview overview {.lenders = lendersOf(account), .borrowed = m_borrowed.overview(account, now)};
    if (m_role.isLending(account, ownPosition(overview.lenders), now) && m_isProven()) {
        overview.lent = m_lent.overview(account, now);
    }
    if (overview.lenders.empty()) {
        overview.lenders.push_back(m_router.self());
    }
    return overview;
}

void AllowanceExchange::serveWaiting(const std::string &account)
{
    auto &waiting = m_waiting[account];
    while (!waiting.empty()) {
        auto result = m_borrowed.take(account, waiting.front().cost, m_scheduler.now());
        if (result.outcome == TakeOutcome::Ask) {
            for (auto other = std::next(waiting.begin()); other != waiting.end(); ++other) {
                result.loan.wanted += other->cost;
            }
            ask(account, result.loan, 0);
            return;
        }
        const auto next = std::move(waiting.front());
        waiting.pop_front();
        const bool isTaken = result.outcome == TakeOutcome::Taken;
        m_counts.refused += isTaken ? 0 : 1;
        next.done(isTaken ? Decision::Allowed : Decision::Refused, result.retryAfter);
    }
}

bool AllowanceExchange::isSilent(const Core::HostId &host) const
{
    const auto found = m_silentUntil.find(host);
    return found != m_silentUntil.end() && m_scheduler.now() < found->second;
}

void AllowanceExchange::ask(const std::string &account, const LoanRequest &loan, std::size_t position)
{
    m_isAsking[account] = true;
    const auto lenders = lendersOf(account);
    while (position < lenders.size() && isSilent(lenders[position])) {
        ++position;
    }
    if (position >= lenders.size()) {
        m_borrowed.restoreUnlent(account, loan.unlent);
        serveWithoutLender(account);
        return;
    }
    ++m_counts.asked;
    const AllowanceRequest request {.account = account,
                                    .zone = m_options.zone.value,
                                    .least = loan.least,
                                    .wanted = loan.wanted,
                                    .returned = loan.returned,
                                    .unlent = loan.unlent};
    const auto sentAt = m_scheduler.now();
    const auto &lender = lenders[position];
    if (lender == m_router.self()) {
        handleRequest(m_router.self(), request, [this, account, loan, position, sentAt](const AllowanceReply &reply) {
            handleReply(account, loan, position, sentAt, reply);
        });
        return;
    }
    m_router.call<AllowanceReply>(lender, request, m_options.replyTimeout,
                                  [this, account, loan, position, sentAt, lender](const auto &reply) {
                                      if (!reply.has_value()) {
                                          m_silentUntil[lender] = m_scheduler.now() + m_options.silentPause;
                                      }
                                      handleReply(account, loan, position, sentAt, reply);
                                  });
}

void AllowanceExchange::handleReply(const std::string &account, const LoanRequest &loan, std::size_t position,
                                    Core::TimePoint sentAt, const std::optional<AllowanceReply> &reply)
{
    if (!reply.has_value() || !reply->isLender) {
        // What was to be returned may have arrived, and isn't returned twice.
        ask(account, {.least = loan.least, .wanted = loan.wanted, .unlent = loan.unlent}, position + 1);
        return;
    }
    m_isAsking[account] = false;
    m_borrowed.recordLoan(account,
                          {.amount = reply->amount,
                           .retryAfter = std::chrono::milliseconds(reply->retryAfterMilliseconds),
                           .headroom = reply->headroom},
                          sentAt, m_scheduler.now());
    serveWaiting(account);
}

void AllowanceExchange::serveWithoutLender(const std::string &account)
{
    m_isAsking[account] = false;
    for (auto &waiting : std::exchange(m_waiting[account], {})) {
        const auto result = m_borrowed.takeUnlent(account, waiting.cost, m_scheduler.now());
        const bool isTaken = result.outcome == TakeOutcome::Taken;
        ++(isTaken ? m_counts.takenWithoutLender : m_counts.refusedWithoutLender);
        waiting.done(isTaken ? Decision::Allowed : Decision::Unknown, result.retryAfter);
    }
}

}
