#pragma once

#include <LibGateway/AccountOverview.h>
#include <nlohmann/json.hpp>

namespace Daemon {

// The answer to GET /operator/accounts. Amounts are in the unit of the account and rounded to thousandths, as the whole
// answer is kept in memory and there may be thousands of accounts. An account without a limit has null for its rate,
// its burst and its use, which isn't measured.
[[nodiscard]] nlohmann::json accountsAnswer(const Gateway::AccountOverview &overview);

}
