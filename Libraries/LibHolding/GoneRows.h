#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Holding {

struct GoneRowsOptions {
    // How long a replica has to be gone, with its row unchanged, before the row is removed. Longer than a lease with
    // its margin (13 s), the usual gap between two holders (4 s) and the time by which an order or a write may be late
    // (12 s) together, so that a holder of the next incarnation needs nothing that the row says.
    Core::Duration removalDelay = std::chrono::milliseconds(60000);
    // A row that is still there after being next for this long is passed over for the retry delay. Its holder may not
    // know yet that the replica is gone.
    Core::Duration turn = std::chrono::milliseconds(10000);
    Core::Duration retryDelay = std::chrono::minutes(10);
};

// The row of a replica that isn't listed.
struct GoneRow {
    Core::TargetId replica;
    std::uint64_t version = 0;
};

// Decides which row of a replica that is gone is removed next. Hosts see the same rows, so that each of them comes to
// the same one, up to the delay of its feeds. One host at a time removes rows therefore, one after the other.
class GoneRows
{
public:
    explicit GoneRows(GoneRowsOptions options);

    // The row to be removed next, if any. `gone` has all rows of replicas that aren't listed, sorted by replica, or
    // none while the list may be old.
    [[nodiscard]] std::optional<Core::TargetId> next(const std::vector<GoneRow> &gone, Core::TimePoint now);

private:
    struct SeenRow {
        std::uint64_t version = 0;
        Core::TimePoint goneSince {};
        std::optional<Core::TimePoint> nextSince;
    };

    // Whether the row has been next for the whole turn without being removed.
    [[nodiscard]] bool isPassedOver(SeenRow &row, Core::TimePoint now) const;

    GoneRowsOptions m_options;
    std::map<Core::TargetId, SeenRow> m_rows;
};

}
