// Control of the replicas that this host holds: their controllers, and the notices exchanged between hosts and holders.
#include <LibGateway/Gateway.h>

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
                                          return m_holders.orderFence(target);
                                      },
                                      m_releases, *replica, *engine));
        }
    }
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
    m_replicas.pruneMissing(now, m_replicaFeed.healthySince());
    synchronizeControllers();
    for (const auto &[id, controller] : m_controllers) {
        controller->tick();
    }
    if (now >= m_nextNotice) {
        m_nextNotice = now + m_options.noticePeriod;
        sendNotices();
    }
    m_dependencies.scheduler.runAfter(m_options.tickPeriod, [this] {
        tick();
    });
}

void Gateway::sendNotices()
{
    const auto now = m_dependencies.scheduler.now();
    std::map<Core::HostId, Holding::UseNotice> notices;
    for (auto &use : m_fleet.collectUse()) {
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
        return now - subscriber.second > SubscriberTimeout;
    });
    Holding::LoadNotice held;
    for (const auto &[id, controller] : m_controllers) {
        held.replicas.push_back(controller->notice());
    }
    for (const auto &[subscriber, at] : m_subscribers) {
        if (subscriber != m_options.holding.self.host) {
            m_router.send(subscriber, held);
        }
    }
    for (const auto &replica : held.replicas) {
        m_fleet.applyNotice(replica, now);
    }
}

void Gateway::handleUseNotice(const Core::HostId &from, const Holding::UseNotice &notice)
{
    m_subscribers[from] = m_dependencies.scheduler.now();
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
    if (const auto controller = m_controllers.find(request.replica); controller != m_controllers.end()) {
        controller->second->request(request, reply);
        return;
    }
    reply({.outcome = static_cast<std::uint8_t>(Holding::AdapterOutcome::Unavailable)});
}

}
