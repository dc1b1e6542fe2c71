#include <LibPeer/PeerRouter.h>

#include <LibCore/ConstantTime.h>
#include <LibCore/Rendezvous.h>
#include <algorithm>

namespace Peer {

PeerRouter::PeerRouter(Core::Scheduler &scheduler, PeerTransport &transport, PeerRouterOptions options)
    : m_scheduler(scheduler)
    , m_transport(transport)
    , m_options(std::move(options))
    , m_lastCorrelation(Core::stableHash("call", m_options.incarnation))
{
}

void PeerRouter::receive(std::string_view bytes)
{
    try {
        const auto envelope = unpack<Envelope>(bytes);
        if (!Core::isEqualInConstantTime(envelope.key, m_options.key)) {
            ++m_refusedMessages;
            return;
        }
        m_lastReceivedAt[envelope.from] = m_scheduler.now();
        if (envelope.kind == static_cast<std::uint16_t>(MessageKind::Reply)) {
            handleReply(envelope);
            return;
        }
        const auto handler = m_handlers.find(envelope.kind);
        if (handler == m_handlers.end()) {
            ++m_refusedMessages;
            return;
        }
        handler->second(envelope);
    } catch (const msgpack::unpack_error &) {
        ++m_refusedMessages;
    } catch (const msgpack::type_error &) {
        ++m_refusedMessages;
    }
}

std::uint64_t PeerRouter::refusedMessages() const
{
    return m_refusedMessages;
}

std::uint64_t PeerRouter::sentMessages() const
{
    return m_sentMessages;
}

std::uint64_t PeerRouter::sentBytes() const
{
    return m_sentBytes;
}

const Core::HostId &PeerRouter::self() const
{
    return m_options.self;
}

void PeerRouter::sendEnvelope(const Core::HostId &to, MessageKind kind, std::uint64_t correlation, std::string body)
{
    const Envelope envelope {.key = m_options.key,
                             .from = m_options.self,
                             .incarnation = m_options.incarnation,
                             .correlation = correlation,
                             .kind = static_cast<std::uint16_t>(kind),
                             .body = std::move(body)};
    auto bytes = pack(envelope);
    ++m_sentMessages;
    m_sentBytes += bytes.size();
    if (to == m_options.self) {
        m_scheduler.runAfter({}, [this, bytes = std::move(bytes)] {
            receive(bytes);
        });
        return;
    }
    m_transport.send(to, std::move(bytes));
}

void PeerRouter::startCall(const Core::HostId &to, MessageKind kind, std::string body, Core::Duration timeout,
                           BodyFunction done)
{
    // Zero means that no reply is expected.
    m_lastCorrelation = std::max<std::uint64_t>(m_lastCorrelation + 1, 1);
    const auto correlation = m_lastCorrelation;
    const auto timer = m_scheduler.runAfter(timeout, [this, correlation] {
        handleTimeout(correlation);
    });
    m_pending.emplace(correlation,
                      PendingCall {.to = to, .timer = timer, .sentAt = m_scheduler.now(), .done = std::move(done)});
    sendEnvelope(to, kind, correlation, std::move(body));
}

void PeerRouter::handleTimeout(std::uint64_t correlation)
{
    const auto found = m_pending.find(correlation);
    if (found == m_pending.end()) {
        return;
    }
    auto call = std::move(found->second);
    m_pending.erase(found);
    // If nothing has arrived from the host since the call was sent, the connection may be dead without an error.
    if (const auto received = m_lastReceivedAt.find(call.to);
        received == m_lastReceivedAt.end() || received->second < call.sentAt) {
        m_transport.reconnect(call.to);
    }
    call.done(std::nullopt);
}

void PeerRouter::handleReply(const Envelope &envelope)
{
    const auto found = m_pending.find(envelope.correlation);
    if (found == m_pending.end() || found->second.to != envelope.from) {
        return;
    }
    auto call = std::move(found->second);
    m_pending.erase(found);
    m_scheduler.cancel(call.timer);
    call.done(envelope.body);
}

}
