#include <LibHolding/GoneRows.h>

#include <utility>

namespace Holding {

GoneRows::GoneRows(GoneRowsOptions options)
    : m_options(options)
{
}

std::optional<Core::TargetId> GoneRows::next(const std::vector<GoneRow> &gone, Core::TimePoint now)
{
    auto known = std::exchange(m_rows, {});
    std::optional<Core::TargetId> nextReplica;
    for (const auto &[replica, version] : gone) {
        auto row = known.extract(replica);
        const bool isUnchanged = !row.empty() && row.mapped().version == version;
        auto &seen = m_rows[replica] = isUnchanged ? row.mapped() : SeenRow {.version = version, .goneSince = now};
        if (nextReplica.has_value() || now - seen.goneSince < m_options.removalDelay || isPassedOver(seen, now)) {
            continue;
        }
        seen.nextSince = seen.nextSince.value_or(now);
        nextReplica = replica;
    }
    return nextReplica;
}

bool GoneRows::isPassedOver(SeenRow &row, Core::TimePoint now) const
{
    if (row.nextSince.has_value() && now - *row.nextSince >= m_options.retryDelay) {
        row.nextSince.reset();
    }
    return row.nextSince.has_value() && now - *row.nextSince >= m_options.turn;
}

}
