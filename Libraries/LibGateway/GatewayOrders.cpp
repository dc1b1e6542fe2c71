// Control of the replicas that this host holds: their controllers, and the notices exchanged between hosts and holders.
#include <LibGateway/Gateway.h>

#include <LibCore/JsonText.h>
#include <algorithm>

namespace Gateway {

namespace {

// A host that hasn't sent a notice of use for this long receives no more load notices.
constexpr auto SubscriberTimeout = std::chrono::seconds(2);

}

void Gateway::synchronizeControllers()
{
    const auto held = m_holders.held();
    std::erase_if(m_controllers, [&held](const auto &entry) {
        return std::find(held.begin(), held.end(), entry.first) == held.end();
    });
    for (const auto &id : held) {
        const auto *replica = m_replicas.find(id);
        const auto *engine = replica == nullptr ? nullptr : engineOf(*replica);
        if (engine == nullptr) {
            m_controllers.erase(id);
        } else if (!m_controllers.contains(id)) {
            m_controllers.emplace(id,
                                  std::make_unique<Holding::ReplicaController>(
                                      m_dependencies.scheduler, m_dependencies.orders,
                                      Holding::ReplicaControllerOptions {.self = m_options.holding.self.host},
                                      [this](const Core::TargetId &target) {
                                          return orderFence(target);
                                      },
                                      m_releases, *replica, *engine));
        }
    }
}

std::optional<std::uint64_t> Gateway::orderFence(const Core::TargetId &replica) const
{
    const auto *listed = m_replicas.find(replica);
    const bool isPaused = listed != nullptr && m_fleet.isPaused(*listed, m_dependencies.scheduler.now());
    return isPaused ? std::nullopt : m_holders.orderFence(replica);
}

std::uint64_t Gateway::memoryTokensOf(const std::string &service) const
{
    const auto &configuration = m_routes.current();
    const auto *settings = configuration == nullptr ? nullptr : configuration->findService(service);
    return settings == nullptr || !settings->engine.has_value() ? 0 : settings->engine->memoryTokens;
}

Placement::ReplicaSpeed::Counts Gateway::unusualReplicas() const
{
    return m_fleet.speed().unusualReplicas(m_dependencies.scheduler.now());
}

void Gateway::updateControllers()
{
    synchronizeControllers();
    for (const auto &[id, controller] : m_controllers) {
        const auto *replica = m_replicas.find(id);
        controller->update(*replica, *engineOf(*replica));
    }
}

void Gateway::tick()
{
    const auto now = m_dependencies.scheduler.now();
    std::erase_if(m_requests, [](const auto &request) {
        return request.expired();
    });
    m_replicas.pruneMissing(now, m_replicaFeed.healthySince());
    synchronizeControllers();
    for (const auto &[id, controller] : m_controllers) {
        controller->tick();
    }
    sendNotices();
    m_dependencies.scheduler.runAfter(m_options.tickPeriod, [this] {
        tick();
    });
}

void Gateway::sendNotices()
{
    const auto now = m_dependencies.scheduler.now();
    std::map<Core::HostId, Holding::UseNotice> notices;
    for (auto &use : m_fleet.collectUse(now)) {
        if (const auto holder = m_holders.holderOf(use.replica); holder.has_value()) {
            notices[*holder].uses.push_back(std::move(use));
        }
    }
    for (const auto &[holder, notice] : notices) {
        if (holder == m_options.holding.self.host) {
            handleUseNotice(holder, notice);
        } else {
            m_router.send(holder, notice);
        }
    }
    std::erase_if(m_subscribers, [now](const auto &subscriber) {
        return now - subscriber.second.usedAt > SubscriberTimeout;
    });
    const bool isChanged = advanceNotices();
    for (auto &[host, subscriber] : m_subscribers) {
        if (host != m_options.holding.self.host) {
            notify(host, subscriber, isChanged);
        }
    }
    for (const auto &[id, series] : m_notices) {
        m_fleet.applyNotice(series.complete(), now);
    }
}

bool Gateway::advanceNotices()
{
    std::erase_if(m_notices, [this](const auto &series) {
        return !m_controllers.contains(series.first);
    });
    bool isChanged = false;
    for (const auto &[id, controller] : m_controllers) {
        const auto firstNumber = static_cast<std::uint64_t>(m_dependencies.scheduler.now().time_since_epoch().count());
        auto &series = m_notices.try_emplace(id, firstNumber).first->second;
        series.advance(controller->notice());
        isChanged = isChanged || series.isChanged();
    }
    return isChanged;
}

void Gateway::notify(const Core::HostId &host, Subscriber &subscriber, bool isChanged)
{
    const auto now = m_dependencies.scheduler.now();
    const bool isComplete = now - subscriber.completeAt >= m_options.completeNoticePeriod;
    if (!isChanged && !isComplete && now - subscriber.notifiedAt < m_options.quietNoticePeriod) {
        return;
    }
    Holding::LoadNotice notice;
    for (const auto &[id, series] : m_notices) {
        notice.replicas.push_back(isComplete ? series.complete() : series.difference());
    }
    m_router.send(host, notice);
    subscriber.notifiedAt = now;
    if (isComplete) {
        subscriber.completeAt = now;
    }
}

void Gateway::handleUseNotice(const Core::HostId &from, const Holding::UseNotice &notice)
{
    m_subscribers[from].usedAt = m_dependencies.scheduler.now();
    for (const auto &use : notice.uses) {
        if (const auto controller = m_controllers.find(use.replica); controller != m_controllers.end()) {
            controller->second->recordUse(from, use);
        }
    }
}

void Gateway::loadAdapter(const Holding::AdapterRequest &request,
                          std::function<void(const Holding::AdapterReply &)> done)
{
    const Holding::AdapterReply unavailable {.outcome
                                             = static_cast<std::uint8_t>(Holding::AdapterOutcome::Unavailable)};
    const auto holder = m_holders.holderOf(request.replica);
    if (!holder.has_value()) {
        done(unavailable);
        return;
    }
    if (*holder == m_options.holding.self.host) {
        handleAdapterRequest(request, done);
        return;
    }
    m_router.call<Holding::AdapterReply>(*holder, request, m_options.adapterTimeout,
                                         [done = std::move(done), unavailable](const auto &reply) {
                                             done(reply.value_or(unavailable));
                                         });
}

void Gateway::handleAdapterRequest(const Holding::AdapterRequest &request,
                                   const std::function<void(const Holding::AdapterReply &)> &reply)
{
    const auto controller = m_controllers.find(request.replica);
    // Another host may run a release that doesn't refuse names of other bytes.
    if (controller != m_controllers.end() && Core::isUtf8(request.model) && Core::isUtf8(request.adapter)) {
        controller->second->request(request, reply);
        return;
    }
    reply({.outcome = static_cast<std::uint8_t>(Holding::AdapterOutcome::Unavailable)});
}

}
