#include <LibGateway/FleetView.h>

#include <LibCore/Rendezvous.h>
#include <LibFleet/AdapterName.h>
#include <algorithm>
#include <limits>

namespace Gateway {

namespace {

// For this long, a holder's notice counts as newer than the list.
constexpr auto HolderNoticeLifetime = std::chrono::milliseconds(1500);
// Approximate age of a load that arrives through the zone readers. A notice from the holder younger than this is newer.
constexpr auto ExchangedLoadAge = std::chrono::milliseconds(500);
// No loads are requested at a replica for this long after its holder refused one. It is about the duration of a few
// requests.
constexpr auto UnloadableDuration = std::chrono::milliseconds(300);
// For this long, this host's own observation of an adapter counts as newer than a notice or an entry of the list.
constexpr auto LocalObservationLifetime = std::chrono::milliseconds(500);
// Adapters that a replica keeps in host memory for each one in the memory of its engine.
constexpr std::size_t CachedPerResident = 5;

}

FleetView::FleetView(Fleet::ReplicaSet &replicas, const Fleet::ReleaseTable &releases,
                     Placement::ReplicaChooserOptions chooser, IsHeldFunction isHeld, HostCountFunction hostCount,
                     std::uint64_t turnSeed)
    : m_replicas(replicas)
    , m_releases(releases)
    , m_chooser(std::move(chooser))
    , m_isHeld(std::move(isHeld))
    , m_hostCount(std::move(hostCount))
    , m_turnSeed(turnSeed)
{
}

std::string FleetView::adapterName(const CallerRequest &request)
{
    return request.adapter.empty() ? std::string() : Fleet::adapterName(request.model, request.adapter);
}

void FleetView::replaceResident(ReplicaView &view, const std::map<std::string, std::uint64_t> &resident,
                                Core::TimePoint asOf)
{
    std::erase_if(view.changedAt, [asOf](const auto &change) {
        return asOf - change.second > LocalObservationLifetime;
    });
    auto merged = resident;
    for (const auto &[name, at] : view.changedAt) {
        if (const auto observed = view.resident.find(name); observed != view.resident.end()) {
            merged[name] = observed->second;
        } else {
            merged.erase(name);
        }
    }
    for (const auto &[name, version] : view.resident) {
        if (!merged.contains(name)) {
            recordCached(view, name, version);
        }
    }
    view.mostResident = std::max(view.mostResident, merged.size());
    view.resident = std::move(merged);
}

std::uint64_t FleetView::cacheKey(const std::string &name, std::uint64_t version)
{
    return Core::stableHash(name, std::max<std::uint64_t>(version, 1));
}

void FleetView::recordCached(ReplicaView &view, const std::string &name, std::uint64_t version)
{
    const auto key = cacheKey(name, version);
    std::erase(view.cached, key);
    view.cached.push_back(key);
    if (view.cached.size() > view.mostResident * CachedPerResident) {
        view.cached.erase(view.cached.begin());
    }
}

void FleetView::refresh(Core::TimePoint now)
{
    m_demand.prune(now);
    m_pauses.prune(now);
    m_returns.refresh(m_replicas.all(), now);
    std::erase_if(m_fairShares, [now](const auto &entry) {
        return entry.second.isForgotten(now);
    });
    std::erase_if(m_views, [this](const auto &view) {
        if (m_replicas.find(view.first) != nullptr || view.second.active > 0) {
            return false;
        }
        m_health.forget(view.first);
        m_speed.forget(view.first);
        return true;
    });
    for (const auto &[id, replica] : m_replicas.all()) {
        auto &view = m_views[id];
        if (view.startedAt != replica.startedAt) {
            view.startedAt = replica.startedAt;
            view.resident.clear();
            view.cached.clear();
            view.changedAt.clear();
            view.holderNoticeAt = {};
            view.loadUpdatedAt = {};
            view.noticeNumber = 0;
            view.limit = Placement::RequestLimit();
            view.admission = Placement::AdmissionShare();
            view.knownEventMicroseconds = 0;
            m_speed.forget(id);
        }
        if (now - view.loadUpdatedAt >= HolderNoticeLifetime) {
            view.otherHostsActive = 0;
            view.otherHostsWaitingTokens = 0;
            view.otherHostsUsedTokens = 0;
            view.loadDelay = {};
        }
        if (now - view.holderNoticeAt < HolderNoticeLifetime) {
            continue;
        }
        std::map<std::string, std::uint64_t> listed;
        for (const auto &model : replica.models) {
            for (const auto &adapter : model.adapters) {
                listed[Fleet::adapterName(model.model, adapter.adapter)] = adapter.version;
            }
        }
        view.noticeNumber = 0;
        replaceResident(view, listed, now);
    }
}

void FleetView::applyLoad(ReplicaView &view, const Holding::ReplicaLoad &load, Core::TimePoint now)
{
    view.loadUpdatedAt = now;
    view.loadDelay = std::chrono::milliseconds(load.loadDelayMilliseconds);
    view.otherHostsActive = load.active - std::min(load.active, view.reported.active);
    view.otherHostsWaitingTokens = load.waitingTokens - std::min(load.waitingTokens, view.reported.waitingTokens);
    view.limit.recordOthers(load.recentlySent - std::min(load.recentlySent, view.reported.recentlySent),
                            load.limitedSenders, now);
    view.otherHostsUsedTokens = load.usedTokens - std::min(load.usedTokens, view.reported.usedTokens);
    applySpeed(view, load, now);
    view.othersSigns = signsOfOthers(load.returnSigns, view.reported.returnSigns);
}

void FleetView::applyExchangedLoad(const Holding::ReplicaLoad &load, Core::TimePoint now)
{
    const auto found = m_views.find(load.replica);
    if (found != m_views.end() && now - found->second.holderNoticeAt >= ExchangedLoadAge) {
        applyLoad(found->second, load, now);
        updateReturnLoad(load.replica, now);
    }
}

void FleetView::applyNotice(const Holding::ReplicaNotice &notice, Core::TimePoint now)
{
    auto &view = m_views[notice.load.replica];
    applyLoad(view, notice.load, now);
    updateReturnLoad(notice.load.replica, now);
    const bool isNext = view.noticeNumber != 0 && notice.number - view.noticeNumber <= 1;
    if (!notice.isComplete && !isNext) {
        return; // A notice is missing. A complete one follows.
    }
    view.holderNoticeAt = now;
    if (!notice.isComplete && notice.number == view.noticeNumber) {
        return;
    }
    view.noticeNumber = notice.number;
    auto resident = notice.isComplete ? std::map<std::string, std::uint64_t> {} : view.resident;
    for (const auto &name : notice.removed) {
        resident.erase(name);
    }
    for (const auto &adapter : notice.adapters) {
        resident[adapter.adapter] = adapter.version;
    }
    replaceResident(view, resident, now);
}

void FleetView::setResident(const Core::TargetId &replica, const std::string &name, std::uint64_t version,
                            Core::TimePoint now)
{
    auto &view = m_views[replica];
    view.resident[name] = version;
    view.changedAt[name] = now;
}

void FleetView::setAbsent(const Core::TargetId &replica, const std::string &name, Core::TimePoint now)
{
    auto &view = m_views[replica];
    if (const auto found = view.resident.find(name); found != view.resident.end()) {
        recordCached(view, name, found->second);
        view.resident.erase(found);
    }
    view.changedAt[name] = now;
}

void FleetView::setUnloadable(const Core::TargetId &replica, Core::TimePoint now)
{
    m_views[replica].unloadableUntil = now + UnloadableDuration;
}

bool FleetView::recordLeaving(const Fleet::Replica &replica, Core::TimePoint now)
{
    if (!m_replicas.recordLeaving(replica, now)) {
        return false;
    }
    if (m_leaving) {
        m_leaving();
    }
    return true;
}

void FleetView::onLeaving(LeavingFunction leaving)
{
    m_leaving = std::move(leaving);
}

Placement::ReplicaPauses::Change FleetView::recordPause(const Fleet::Replica &replica, Core::Duration pause,
                                                        Core::TimePoint now)
{
    return m_pauses.record({replica.id, replica.startedAt}, pause, now);
}

Placement::RequestLimit::Change FleetView::recordLimit(const Fleet::Replica &replica, std::optional<double> perSecond,
                                                       Core::TimePoint sentAt, Core::TimePoint now)
{
    const auto view = m_views.find(replica.id);
    if (view == m_views.end() || view->second.startedAt != replica.startedAt) {
        return Placement::RequestLimit::Change::None;
    }
    return view->second.limit.record(perSecond, sentAt, now);
}

Placement::LimitSharing FleetView::sharing(const Core::TargetId &replica) const
{
    // Each replica has an order of its own, so that no host has its turn at all of them together.
    const auto hash = static_cast<double>(Core::stableHash(replica.value, m_turnSeed));
    return {.hostCount = m_hostCount(), .phase = hash / static_cast<double>(std::numeric_limits<std::uint64_t>::max())};
}

bool FleetView::isPaused(const Fleet::Replica &replica, Core::TimePoint now) const
{
    return m_pauses.endOf({replica.id, replica.startedAt}, now).has_value();
}

Exclusion FleetView::pauseOrLimitOf(const Fleet::Replica &replica, Core::TimePoint now) const
{
    const Placement::ReplicaPauses::Incarnation incarnation {replica.id, replica.startedAt};
    if (isPaused(replica, now)) {
        return Exclusion::Paused;
    }
    const auto view = m_views.find(replica.id);
    if (view == m_views.end()) {
        return Exclusion::None;
    }
    const auto active = view->second.active + view->second.otherHostsActive;
    if (m_pauses.isReturning(incarnation, now) && active >= std::max(replica.slots, 1U)) {
        return Exclusion::FullAfterPause;
    }
    const auto &limit = view->second.limit;
    const bool hasRoom = !limit.isSet() || limit.untilRoom(sharing(replica.id), now) == Core::Duration::zero();
    return hasRoom ? Exclusion::None : Exclusion::AtRequestLimit;
}

bool FleetView::isAvailable(const Fleet::Replica &replica, Core::TimePoint now) const
{
    const auto *listed = m_replicas.find(replica.id);
    return listed != nullptr && !listed->isDraining && listed->startedAt == replica.startedAt
        && pauseOrLimitOf(replica, now) == Exclusion::None;
}

std::vector<const Fleet::Replica *> FleetView::servingReplicas(const CallerRequest &request,
                                                               const std::string &service) const
{
    auto replicas = m_replicas.available(service);
    std::erase_if(replicas, [&request](const auto *replica) {
        return !hasModelFor(*replica, request);
    });
    return replicas;
}

std::optional<Core::TimePoint> FleetView::firstAcceptance(const CallerRequest &request, const std::string &service,
                                                          Core::TimePoint now) const
{
    std::optional<Core::TimePoint> first;
    for (const auto *replica : servingReplicas(request, service)) {
        auto at = m_pauses.endOf({replica->id, replica->startedAt}, now).value_or(now);
        if (const auto view = m_views.find(replica->id); view != m_views.end() && view->second.limit.isSet()) {
            at = std::max(at, now + view->second.limit.untilRoom(sharing(replica->id), now));
        }
        if (at <= now) {
            return std::nullopt;
        }
        first = std::min(first.value_or(at), at);
    }
    return first;
}

std::optional<std::uint64_t> FleetView::residentVersion(const ReplicaView &view, const std::string &name,
                                                        std::uint64_t newest)
{
    const auto found = view.resident.find(name);
    return found == view.resident.end() || found->second < newest ? std::nullopt : std::optional(found->second);
}

std::optional<std::uint64_t> FleetView::residentVersion(const Core::TargetId &replica, const std::string &name) const
{
    const auto view = m_views.find(replica);
    return view == m_views.end() ? std::nullopt : residentVersion(view->second, name, m_releases.newestVersion(name));
}

bool FleetView::isLoadKnown(const ReplicaView &view, Core::TimePoint now)
{
    return view.loadUpdatedAt != Core::TimePoint {} && now - view.loadUpdatedAt < HolderNoticeLifetime;
}

Placement::Candidate FleetView::candidate(const Fleet::Replica &replica, const std::string &adapter,
                                          std::uint64_t newest, Core::TimePoint now) const
{
    static const ReplicaView unknown;
    const auto found = m_views.find(replica.id);
    const auto &view = found == m_views.end() ? unknown : found->second;
    Placement::Candidate candidate {.replica = replica.id,
                                    .home = replica.address,
                                    .zone = replica.zone,
                                    .slots = replica.slots,
                                    .active = view.active + view.otherHostsActive,
                                    .usedLimit = std::max(view.limit.usedShare(now), usedReturnLimit(replica, now)),
                                    .waitingTokens = view.waitingTokens + view.otherHostsWaitingTokens,
                                    .loadDelay = view.loadDelay,
                                    .penalty = m_health.penalty(replica.id, now),
                                    .isBlocked = m_health.isBlocked(replica.id, replica.zone, now),
                                    .speed = m_speed.speed(replica.id, now),
                                    .usedTokens = view.usedTokens + view.otherHostsUsedTokens};
    if (!adapter.empty() && !residentVersion(view, adapter, newest).has_value()) {
        candidate.residency = now < view.unloadableUntil || !m_isHeld(replica.id) ? Placement::Residency::Unloadable
                                                                                  : Placement::Residency::Absent;
        const auto key = cacheKey(adapter, newest);
        candidate.isCached = std::find(view.cached.begin(), view.cached.end(), key) != view.cached.end();
    }
    return candidate;
}

void FleetView::recordAttemptStarted(const Core::TargetId &replica, const CallerRequest &request, Core::TimePoint now)
{
    auto &view = m_views[replica];
    ++view.active;
    view.limit.recordSend(now);
    m_returns.recordSend(replica, now);
    view.waitingTokens += request.promptTokens;
    view.usedTokens += request.promptTokens + request.outputTokens;
    if (!request.adapter.empty()) {
        ++view.running[adapterName(request)];
    }
}

void FleetView::recordResponseStarted(const Core::TargetId &replica, const CallerRequest &request)
{
    auto &view = m_views[replica];
    view.waitingTokens -= std::min(view.waitingTokens, request.promptTokens);
}

void FleetView::recordAttemptEnded(const Core::TargetId &replica, const CallerRequest &request, bool hasResponded)
{
    if (!hasResponded) {
        recordResponseStarted(replica, request);
    }
    auto &view = m_views[replica];
    view.active -= std::min(view.active, 1U);
    view.usedTokens -= std::min(view.usedTokens, request.promptTokens + request.outputTokens);
    const auto name = adapterName(request);
    if (const auto running = view.running.find(name); running != view.running.end() && --running->second == 0) {
        view.running.erase(running);
        view.recentlyUsed.insert(name);
    }
}

bool FleetView::admits(const Fleet::Replica &replica, const CallerRequest &request, Core::TimePoint now) const
{
    if (request.admission.has_value()) {
        return !request.admission->replicasWithoutRoom.contains(replica.id);
    }
    const auto view = m_views.find(replica.id);
    return !request.model.empty() || view == m_views.end() || view->second.admission.admits(request.attemptId, now);
}

void FleetView::recordTimeliness(const Core::TargetId &replica, const CallerRequest &request, Core::Duration time,
                                 Core::Duration objective, Core::TimePoint now)
{
    if (request.model.empty()) {
        m_views[replica].admission.recordResponse(time, objective, now);
    }
}

void FleetView::recordNoRoom(const Core::TargetId &replica, const CallerRequest &request, Core::TimePoint now)
{
    if (request.model.empty()) {
        m_views[replica].admission.recordRejection(now);
    }
}

Placement::ReplicaHealth &FleetView::health()
{
    return m_health;
}

}
