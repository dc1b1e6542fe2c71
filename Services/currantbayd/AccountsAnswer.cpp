#include <currantbayd/AccountsAnswer.h>

#include <cmath>

namespace Daemon {

namespace {

constexpr double AmountSteps = 1000; // Of a unit.

double rounded(double amount)
{
    return std::round(amount * AmountSteps) / AmountSteps;
}

template<typename Value> nlohmann::json valueOrNull(const std::optional<Value> &value)
{
    return value.has_value() ? nlohmann::json(*value) : nlohmann::json();
}

nlohmann::json describe(const Gateway::AccountOverview::Account &account)
{
    nlohmann::json json {{"name", account.name},
                         {"priority", valueOrNull(account.priority)},
                         {"unit", account.unit == Routes::AllowanceUnit::Tokens ? "tokens" : "requests"},
                         {"keys", account.keyCount},
                         {"served", account.counts.served},
                         {"refused429", account.counts.refused429},
                         {"refused503", account.counts.refused503}};
    const bool isLimited = account.allowance.has_value();
    const auto allowance = account.allowance.value_or(Accounts::AllowanceOverview {});
    const auto &borrowed = allowance.borrowed;
    json["ratePerSecond"] = isLimited ? nlohmann::json(account.ratePerSecond) : nlohmann::json();
    json["burst"] = isLimited ? nlohmann::json(account.burst) : nlohmann::json();
    json["lenders"] = nlohmann::json::array();
    for (const auto &lender : allowance.lenders) {
        json["lenders"].push_back(lender.value);
    }
    json["isLender"] = allowance.lent.has_value();
    if (allowance.lent.has_value()) {
        json["lentLevel"] = rounded(allowance.lent->level);
        json["lentPerSecond"] = rounded(allowance.lent->perSecond);
    }
    json["borrowed"] = rounded(borrowed.unused);
    json["usedPerSecond"] = isLimited ? nlohmann::json(rounded(borrowed.usedPerSecond)) : nlohmann::json();
    json["refusedUntilMs"] = Core::toMilliseconds(borrowed.refusedFor);
    json["withoutLender"] = borrowed.isWithoutLender;
    return json;
}

}

nlohmann::json accountsAnswer(const Gateway::AccountOverview &overview)
{
    auto accounts = nlohmann::json::array();
    for (const auto &account : overview.accounts) {
        accounts.push_back(describe(account));
    }
    return {{"host", overview.host.value},
            {"configuration", valueOrNull(overview.configuration)},
            {"accounts", std::move(accounts)}};
}

}
