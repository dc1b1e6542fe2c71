#include <LibRoutes/ClientAccount.h>

namespace Routes {

bool ClientAccount::isLimited() const
{
    return ratePerSecond > 0;
}

std::uint64_t ClientAccount::costOf(std::optional<std::uint64_t> statedTokens) const
{
    return unit == AllowanceUnit::Requests ? 1 : statedTokens.value_or(plainCost);
}

}
