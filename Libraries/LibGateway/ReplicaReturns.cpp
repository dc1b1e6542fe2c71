#include <LibGateway/ReplicaReturns.h>

#include <LibLog/Log.h>
#include <algorithm>
#include <vector>

namespace Gateway {

namespace {

using Cause = Placement::ReturnPace::Cause;

// The replicas of a deployment that starts are listed within this time.
constexpr auto EstablishedAfter = std::chrono::seconds(10);
// A replica that returns twice within this time has crashed again.
constexpr auto RepeatPeriod = std::chrono::seconds(60);
// For this long, a replica that was listed before is recognised when it is listed again.
constexpr auto PastLifetime = std::chrono::minutes(5);

std::string_view nameOf(Cause cause)
{
    switch (cause) {
    case Cause::Started:
        return "started";
    case Cause::CrashedAgain:
        return "crashed again";
    case Cause::Reappeared:
        return "reappeared";
    }
    return {};
}

}

void ReplicaReturns::refresh(const std::map<Core::TargetId, Fleet::Replica> &replicas, Core::TimePoint now)
{
    removeUnlisted(replicas, now);
    std::vector<Core::TargetId> added;
    for (const auto &[id, replica] : replicas) {
        auto &listed = m_listed[id];
        if (listed.since == Core::TimePoint {} || listed.startedAt != replica.startedAt) {
            listed.pace.end();
            settle(id, listed, "started again", now);
            listed.service = replica.service;
            listed.address = replica.address;
            listed.startedAt = replica.startedAt;
            listed.since = now;
            added.push_back(id);
        }
        listed.isDraining = replica.isDraining;
    }
    for (const auto &id : added) {
        beginAdded(replicas.at(id), now);
    }
    for (const auto &[id, replica] : replicas) {
        auto &past = m_past[replica.address];
        past.startedAt = replica.startedAt;
        past.listedAt = now;
    }
    endWithoutPeers(now);
    settleAll(now);
}

void ReplicaReturns::removeUnlisted(const std::map<Core::TargetId, Fleet::Replica> &replicas, Core::TimePoint now)
{
    for (auto &[id, listed] : m_listed) {
        if (!replicas.contains(id)) {
            listed.pace.end();
            settle(id, listed, "no longer listed", now);
            m_past[listed.address].listedAt = now;
        }
    }
    std::erase_if(m_listed, [&replicas](const auto &entry) {
        return !replicas.contains(entry.first);
    });
    std::erase_if(m_past, [now](const auto &past) {
        return now - past.second.listedAt >= PastLifetime;
    });
}

void ReplicaReturns::endWithoutPeers(Core::TimePoint now)
{
    for (auto &[id, listed] : m_listed) {
        if (listed.isLimited && !hasEstablishedPeer(id, listed.service, now)) {
            listed.pace.end();
            settle(id, listed, "no other replica has been listed for long", now);
        }
    }
}

void ReplicaReturns::settleAll(Core::TimePoint now)
{
    for (auto &[id, listed] : m_listed) {
        settle(id, listed, "lifted", now);
    }
}

void ReplicaReturns::beginAdded(const Fleet::Replica &replica, Core::TimePoint now)
{
    if (!hasEstablishedPeer(replica.id, replica.service, now)) {
        return;
    }
    auto &past = m_past[replica.address];
    auto cause = Cause::Started;
    if (replica.startedAt != 0 && past.startedAt == replica.startedAt) {
        cause = Cause::Reappeared;
    } else if (past.returnedAt != Core::TimePoint {} && now - past.returnedAt < RepeatPeriod) {
        cause = Cause::CrashedAgain;
    }
    past.returnedAt = now;
    begin(replica.id, m_listed[replica.id], cause, replica.slots, now);
}

void ReplicaReturns::begin(const Core::TargetId &id, Listed &listed, Cause cause, unsigned slots, Core::TimePoint now)
{
    const bool wasLimited = listed.pace.isActive(now);
    settle(id, listed, "lifted", now);
    listed.pace.begin(cause, slots, now);
    listed.hasServed = false;
    if (wasLimited && cause == Cause::Reappeared) {
        return;
    }
    listed.isLimited = true;
    ++m_begun;
    Log::write(
        Log::Event::RampUpBegun,
        {{"replica", id.value}, {"cause", std::string(nameOf(cause))}, {"limit", std::to_string(listed.pace.limit())}});
}

void ReplicaReturns::settle(const Core::TargetId &id, Listed &listed, std::string_view reason, Core::TimePoint now)
{
    if (listed.isLimited && !listed.pace.isActive(now)) {
        listed.isLimited = false;
        Log::write(Log::Event::RampUpEnded, {{"replica", id.value}, {"reason", std::string(reason)}});
    }
}

bool ReplicaReturns::hasEstablishedPeer(const Core::TargetId &id, const std::string &service, Core::TimePoint now) const
{
    return std::any_of(m_listed.begin(), m_listed.end(), [&](const auto &entry) {
        const auto &[peer, listed] = entry;
        return peer != id && listed.service == service && !listed.isDraining && now - listed.since >= EstablishedAfter
            && !listed.pace.isActive(now);
    });
}

ReplicaReturns::Listed *ReplicaReturns::find(const Fleet::Replica &replica)
{
    const auto found = m_listed.find(replica.id);
    return found == m_listed.end() || found->second.startedAt != replica.startedAt ? nullptr : &found->second;
}

void ReplicaReturns::recordAvoided(const Fleet::Replica &replica, Core::TimePoint now)
{
    auto *listed = find(replica);
    if (listed == nullptr || !hasEstablishedPeer(replica.id, replica.service, now)) {
        return;
    }
    // A replica that hasn't served since is still away.
    const bool hasReturned = listed->pace.isActive(now) && listed->hasServed;
    const auto cause = hasReturned ? Cause::CrashedAgain : Cause::Reappeared;
    begin(replica.id, *listed, cause, replica.slots, now);
}

void ReplicaReturns::recordResponse(const Fleet::Replica &replica, const ReturnSample &sample, const SharedLoad &shared,
                                    Core::TimePoint now)
{
    auto *listed = find(replica);
    if (listed == nullptr) {
        return;
    }
    listed->hasServed = true;
    const auto time = now - sample.sentAt;
    auto &usual = m_usual[replica.service];
    if (!listed->pace.isActive(now)) {
        settle(replica.id, *listed, "lifted", now);
        if (!sample.isAfterLoad) {
            usual.record(sample.promptTokens, time);
        }
        return;
    }
    const auto isLate = usual.isLate(sample.promptTokens, time);
    if (!isLate.has_value() || (*isLate && sample.isAfterLoad)) {
        return;
    }
    m_late += *isLate ? 1 : 0;
    using Response = Placement::ReturnPace::Response;
    listed->pace.recordResponse(*isLate ? Response::Late : Response::Usual, shared.load, shared.sharing, sample.sentAt,
                                now);
    settle(replica.id, *listed, "serves as usual", now);
}

void ReplicaReturns::recordFailure(const Fleet::Replica &replica, const SharedLoad &shared, Core::TimePoint sentAt,
                                   Core::TimePoint now)
{
    if (auto *listed = find(replica); listed != nullptr) {
        listed->pace.recordResponse(Placement::ReturnPace::Response::Failed, shared.load, shared.sharing, sentAt, now);
    }
}

void ReplicaReturns::recordLoad(const Core::TargetId &replica, const SharedLoad &shared, Core::TimePoint now)
{
    if (const auto found = m_listed.find(replica); found != m_listed.end()) {
        found->second.pace.recordLoad(shared.load, now);
        settle(replica, found->second, "serves the other hosts", now);
    }
}

void ReplicaReturns::recordDemand(const Core::TargetId &replica, Core::TimePoint now)
{
    if (const auto found = m_listed.find(replica); found != m_listed.end()) {
        found->second.pace.recordDemand(now);
    }
}

Holding::ReturnSigns ReplicaReturns::signs(const Core::TargetId &replica, Core::TimePoint now) const
{
    if (!isReturning(replica, now)) {
        return {};
    }
    const auto signs = m_listed.at(replica).pace.signs(now);
    return {.usual = signs.usual, .late = signs.late, .wanted = signs.wanted};
}

void ReplicaReturns::recordSend(const Core::TargetId &replica, Core::TimePoint now)
{
    if (const auto found = m_listed.find(replica); found != m_listed.end()) {
        found->second.pace.recordSend(now);
    }
}

void ReplicaReturns::recordDiversion()
{
    ++m_diverted;
}

bool ReplicaReturns::isReturning(const Core::TargetId &replica, Core::TimePoint now) const
{
    const auto found = m_listed.find(replica);
    return found != m_listed.end() && found->second.pace.isActive(now);
}

bool ReplicaReturns::hasRoom(const Core::TargetId &replica, const SharedLoad &shared, Core::TimePoint now) const
{
    const auto found = m_listed.find(replica);
    return found == m_listed.end() || found->second.pace.hasRoom(shared.load, shared.sharing, now);
}

double ReplicaReturns::usedShare(const Core::TargetId &replica, const SharedLoad &shared, Core::TimePoint now) const
{
    const auto found = m_listed.find(replica);
    return found == m_listed.end() ? 0 : found->second.pace.usedShare(shared.load, shared.sharing, now);
}

Core::Duration ReplicaReturns::usualTime(const std::string &service) const
{
    const auto found = m_usual.find(service);
    return found == m_usual.end() ? Core::Duration {} : found->second.usual(0).value_or(Core::Duration {});
}

void ReplicaReturns::registerMetrics(Metrics::Registry &metrics) const
{
    metrics.gauge("currantbay_replicas_ramping_up", [this] {
        return static_cast<double>(std::count_if(m_listed.begin(), m_listed.end(), [](const auto &entry) {
            return entry.second.isLimited;
        }));
    });
    metrics.gauge("currantbay_replica_ramp_ups", [this] {
        return m_begun;
    });
    metrics.gauge("currantbay_ramp_up_late_responses", [this] {
        return m_late;
    });
    metrics.gauge("currantbay_ramp_up_diverted_requests", [this] {
        return m_diverted;
    });
}

}
