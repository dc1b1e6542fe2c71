// The client accounts of requests: their keys, and what they take from the allowances.
#include <LibGateway/Gateway.h>

#include <LibCore/HttpStatus.h>
#include <LibGateway/Refusal.h>
#include <LibLog/Log.h>
#include <algorithm>

namespace Gateway {

namespace {

// Left of the revocation bound for clocks that run at different rates.
constexpr auto RevocationMargin = std::chrono::milliseconds(300);
// By then the configuration has probably been read again.
constexpr auto RetryAfterUnproven = std::chrono::milliseconds(500);
constexpr auto MinRetryAfterAllowance = std::chrono::milliseconds(100);

const Routes::ClientAccount *findByName(std::span<const Routes::ClientAccount> accounts, std::string_view name)
{
    const auto found = std::ranges::find(accounts, name, &Routes::ClientAccount::name);
    return found == accounts.end() ? nullptr : &*found;
}

}

Gateway::AccountDecision Gateway::decideAccount(const CallerRequest &request, const Routes::MatchedRoute &route,
                                                const std::optional<std::string> &name) const
{
    const auto &accounts = route.configuration->accounts;
    if (!accounts.has_value()) {
        return {};
    }
    if (route.route->isPublic) {
        return {.account = {.name = ""}};
    }
    const auto bound = m_options.revocationBound;
    const bool isProven = bound == Core::Duration::zero()
        || m_configurationProof.isWithin(bound - RevocationMargin, m_dependencies.scheduler.now());
    if (!isProven) {
        return {.refusal = Refusal {.reason = "this host can't verify that the key is still valid",
                                    .retryAfter = RetryAfterUnproven}};
    }
    const auto *account = name.has_value() ? findByName(*accounts, *name) : m_routes.findAccount(request.accountKey);
    if (account == nullptr) {
        return {.refusal
                = Refusal {.status = Core::HttpStatus::Unauthorized,
                           .reason = name.has_value() ? "the configuration has no account of this name"
                                                      : "the request has no key, or one that belongs to no account"}};
    }
    return {.account = {.name = account->name,
                        .priority = account->priority,
                        .cost = account->isLimited() ? account->costOf(request.statedTokens) : 0},
            .settings = account};
}

void Gateway::takeAllowance(const std::shared_ptr<Net::Exchange> &exchange, CallerRequest request,
                            Routes::MatchedRoute route, RequestAccount account)
{
    if (account.cost == 0) {
        forward(exchange, std::move(request), std::move(route), std::move(account));
        return;
    }
    using Decision = Accounts::AllowanceExchange::Decision;
    const auto name = *account.name;
    const auto cost = static_cast<double>(account.cost);
    m_allowances.take(name, cost,
                      [this, exchange, request = std::move(request), route = std::move(route),
                       account = std::move(account)](Decision decision, Core::Duration retryAfter) mutable {
                          if (decision == Decision::Allowed) {
                              forward(exchange, std::move(request), std::move(route), std::move(account));
                              return;
                          }
                          const bool isRefused = decision == Decision::Refused;
                          refuseAccount(*exchange, request,
                                        {.status = isRefused ? Core::HttpStatus::TooManyRequests
                                                             : Core::HttpStatus::ServiceUnavailable,
                                         .reason = isRefused ? "the account has used its allowance"
                                                             : "this host can't verify the allowance of the account",
                                         .retryAfter = std::max<Core::Duration>(retryAfter, MinRetryAfterAllowance)},
                                        *account.name);
                      });
}

void Gateway::refuseAccount(Net::Exchange &exchange, const CallerRequest &request, const Refusal &refusal,
                            const std::string &account)
{
    const auto &[status, reason, retryAfter] = refusal;
    m_dependencies.metrics.count("currantbay_account_refusals_total{status=\"" + std::to_string(status) + "\"}");
    Log::write(Log::Event::AccountRefused,
               {{"request", request.attemptId},
                {"account", account},
                {"configuration", std::to_string(m_routes.current()->version)},
                {"status", std::to_string(status)},
                {"retryAfterMs", retryAfter.has_value() ? std::to_string(Core::toMilliseconds(*retryAfter)) : ""},
                {"reason", reason}});
    m_accountCounters.record(account, status);
    refuse(exchange, refusal);
}

const Accounts::AllowanceCounts &Gateway::allowanceCounts() const
{
    return m_allowances.counts();
}

AccountOverview Gateway::accountOverview() const
{
    AccountOverview overview {.host = m_options.holding.self.host};
    const auto &configuration = m_routes.current();
    if (configuration == nullptr) {
        return overview;
    }
    overview.configuration = configuration->version;
    if (!configuration->accounts.has_value()) {
        return overview;
    }
    for (const auto &account : *configuration->accounts) {
        auto &described = overview.accounts.emplace_back(
            AccountOverview::Account {.name = account.name,
                                      .priority = account.priority,
                                      .unit = account.unit,
                                      .ratePerSecond = account.ratePerSecond,
                                      .burst = account.burst,
                                      .keyCount = account.keys.size(),
                                      .counts = m_accountCounters.counts(account.name)});
        if (account.isLimited()) {
            described.allowance = m_allowances.overview(account.name);
        }
    }
    return overview;
}

bool Gateway::isKeyValid(const std::string &key, const std::string &account) const
{
    if (!m_routes.current()->accounts.has_value()) {
        return true;
    }
    const auto *holder = m_routes.findAccount(key);
    return holder != nullptr && holder->name == account;
}

void Gateway::updateAllowances()
{
    std::vector<Accounts::AllowanceTerms> terms;
    const auto &accounts = m_routes.current()->accounts;
    m_accountCounters.setAccounts(accounts.has_value() ? std::span(*accounts)
                                                       : std::span<const Routes::ClientAccount>());
    if (accounts.has_value()) {
        for (const auto &account : *accounts) {
            if (account.isLimited()) {
                terms.push_back(
                    {.account = account.name, .ratePerSecond = account.ratePerSecond, .burst = account.burst});
            }
        }
    }
    m_allowances.setTerms(std::move(terms));
}

std::vector<Accounts::LenderCandidate> Gateway::lenderCandidates() const
{
    std::vector<Accounts::LenderCandidate> candidates;
    for (const auto &host : m_holders.liveHosts()) {
        candidates.push_back({.host = host.host, .zone = host.zone, .weight = host.weight});
    }
    return candidates;
}

}
