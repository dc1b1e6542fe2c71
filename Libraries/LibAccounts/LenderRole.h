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
    // A further host lends when none of those before it has answered that it lends for this long, which is longer than
    // the proof lasts with which a host may lend while it is cut off.
    Core::Duration silence = std::chrono::milliseconds(3500);
};

// Decides whether this host lends for an account. At any time at most one host lends, but for the delay with which
// hosts learn of each other.
class LenderRole
{
public:
    explicit LenderRole(LenderRoleOptions options = {});

    // Whether this host lends, given its position among the hosts that may: 0 for the first, no value if it is none of
    // them. To be called regularly, so that changes of the position are noticed.
    [[nodiscard]] bool mayLend(const std::string &account, std::optional<std::size_t> position, Core::TimePoint now);
    // Returns what mayLend() would return, without recording the position.
    [[nodiscard]] bool isLending(const std::string &account, std::optional<std::size_t> position,
                                 Core::TimePoint now) const;
    // Whether a further host, which is asked for a loan, should check now whether one before it lends.
    [[nodiscard]] bool shouldProbe(const std::string &account, Core::TimePoint now);
    // A host before this one has answered that it lends.
    void recordLending(const std::string &account);
    // Whether the first host, which waits for its turn, should check now whether another one lends.
    [[nodiscard]] bool shouldAskOthers(const std::string &account, Core::TimePoint now);
    // All other hosts that may lend have answered that they don't. The first host needn't wait any longer.
    void recordNoneLending(const std::string &account, Core::TimePoint now);

private:
    struct Position {
        std::optional<Core::TimePoint> firstSince; // When this host became the first.
        Core::TimePoint firstUntil {}; // When it was last the first, and lent.
        std::optional<Core::TimePoint> silentSince; // None before this host has lent since then.
        Core::TimePoint probedAt {};
    };

    LenderRoleOptions m_options;
    std::map<std::string, Position> m_positions;
};

}
