#include <LibGateway/AccountCounters.h>

#include <LibCore/HttpStatus.h>

namespace Gateway {

void AccountCounters::setAccounts(std::span<const Routes::ClientAccount> accounts)
{
    std::map<std::string, AccountCounts, std::less<>> replaced;
    for (const auto &account : accounts) {
        replaced[account.name] = counts(account.name);
    }
    m_counts = std::move(replaced);
}

void AccountCounters::record(std::string_view account, unsigned status)
{
    const auto found = m_counts.find(account);
    if (found == m_counts.end()) {
        return;
    }
    if (status == Core::HttpStatus::TooManyRequests) {
        ++found->second.refused429;
    } else if (status == Core::HttpStatus::ServiceUnavailable) {
        ++found->second.refused503;
    } else if (status >= Core::HttpStatus::Ok && status < Core::HttpStatus::InternalServerError) {
        ++found->second.served;
    }
}

AccountCounts AccountCounters::counts(std::string_view account) const
{
    const auto found = m_counts.find(account);
    return found == m_counts.end() ? AccountCounts {} : found->second;
}

}
