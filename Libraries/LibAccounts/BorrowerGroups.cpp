#include <LibAccounts/BorrowerGroups.h>

#include <algorithm>
#include <cmath>

namespace Accounts {

namespace {

constexpr auto MinAge = std::chrono::milliseconds(300);

}

BorrowerGroups::Group::Group(Core::Duration halfLife)
    : lent(halfLife)
    , requests(halfLife)
{
}

BorrowerGroups::Zone::Zone(Core::Duration halfLife)
    : all(halfLife)
{
}

BorrowerGroups::BorrowerGroups(BorrowerGroupsOptions options)
    : m_options(options)
{
}

BorrowerGroups::Zone &BorrowerGroups::zoneOf(const Core::ZoneId &zone)
{
    return m_zones.try_emplace(zone, m_options.halfLife).first->second;
}

BorrowerGroups::Group &BorrowerGroups::hostOf(const Core::HostId &host, const Core::ZoneId &zone)
{
    return zoneOf(zone).hosts.try_emplace(host, m_options.halfLife).first->second;
}

void BorrowerGroups::recordRequest(const Core::HostId &host, const Core::ZoneId &zone, Core::TimePoint now)
{
    for (auto *group : {&zoneOf(zone).all, &hostOf(host, zone)}) {
        group->requests.add(1, now);
        group->requestedAt = now;
    }
}

void BorrowerGroups::recordLoan(const Core::HostId &host, const Core::ZoneId &zone, double amount, Core::TimePoint now)
{
    m_since = m_since.value_or(now);
    zoneOf(zone).all.lent.add(amount, now);
    hostOf(host, zone).lent.add(amount, now);
}

bool BorrowerGroups::isSilent(const Group &group, Core::TimePoint now) const
{
    const auto silence = now - group.requestedAt;
    const auto usualRate = group.requests.perSecond(group.requestedAt);
    const std::chrono::duration<double> limit(m_options.silentIntervals / std::max(usualRate, 1e-9));
    return silence < m_options.maxSilence && silence > m_options.minSilence && silence > limit;
}

double BorrowerGroups::silentRate(Core::TimePoint now) const
{
    double rate = 0;
    for (const auto &[name, zone] : m_zones) {
        if (isSilent(zone.all, now)) {
            rate += zone.all.lent.perSecond(zone.all.requestedAt);
            continue;
        }
        for (const auto &[host, group] : zone.hosts) {
            rate += isSilent(group, now) ? group.lent.perSecond(group.requestedAt) : 0;
        }
    }
    return rate;
}

double BorrowerGroups::lentRate(Core::TimePoint now) const
{
    double rate = 0;
    for (const auto &[name, zone] : m_zones) {
        rate += zone.all.lent.perSecond(now);
    }
    // What was lent before this host became the lender isn't known and would have the same rate.
    const auto age = std::max<Core::Duration>(now - m_since.value_or(now), MinAge);
    return rate / (1 - std::exp2(-std::chrono::duration<double>(age) / m_options.halfLife));
}

}
