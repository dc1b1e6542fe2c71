#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Accounts {

struct LenderRoleOptions {
    // A host that becomes the first for an account waits for this long before it lends, and the one before it goes on
    // for a little less. Hosts learn of each other with a delay of about a second.
    Core::Duration takeover = std::chrono::milliseconds(2500);
    Core::Duration handover = std::chrono::milliseconds(2000);
    // A second host lends when it hasn't heard from the first for this long, which is longer than the proof lasts with
    // which the first may lend while it is cut off.
    Core::Duration silence = std::chrono::milliseconds(3500);
};

// Decides whether this host lends for an account. At any time at most one host lends, but for the delay with which
// hosts learn of each other.
class LenderRole
{
public:
    explicit LenderRole(LenderRoleOptions options = {});

    // Whether this host lends, given its position among the hosts that may: 0 for the first, no value if it is none of
    // the first two. To be called regularly, so that changes of the position are noticed.
    [[nodiscard]] bool mayLend(const std::string &account, std::optional<std::size_t> position, Core::TimePoint now);
    // Whether the second host, which is asked for a loan, should check now whether the first one lends.
    [[nodiscard]] bool shouldProbe(const std::string &account, Core::TimePoint now);
    // The first host has answered that it lends.
    void recordLending(const std::string &account);

private:
    struct Position {
        std::optional<Core::TimePoint> firstSince; // When this host became the first.
        Core::TimePoint firstUntil {}; // When it was last the first, and lent.
        std::optional<Core::TimePoint> silentSince; // The first hasn't answered since, when this host is the second.
        Core::TimePoint probedAt {};
    };

    LenderRoleOptions m_options;
    std::map<std::string, Position> m_positions;
};

}
