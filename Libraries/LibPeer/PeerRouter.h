#pragma once

#include <LibCore/Scheduler.h>
#include <LibPeer/Envelope.h>
#include <LibPeer/PeerTransport.h>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace Peer {

struct PeerRouterOptions {
    Core::HostId self;
    std::uint64_t incarnation = 0;
    std::string key; // Secret shared by all hosts of the system.
};

// Sends typed messages to other hosts, dispatches received messages to handlers, and matches replies to calls. A
// message type declares its members with MSGPACK_DEFINE and a "static constexpr MessageKind Kind". A host may send to
// itself.
class PeerRouter
{
public:
    PeerRouter(Core::Scheduler &scheduler, PeerTransport &transport, PeerRouterOptions options);

    // Sends a one-way message.
    template<typename Message> void send(const Core::HostId &to, const Message &message)
    {
        sendEnvelope(to, Message::Kind, 0, pack(message));
    }

    // Sends a call. The callback receives the reply, or no value if none arrived before the timeout or it is malformed.
    template<typename Reply, typename Message>
    void call(const Core::HostId &to, const Message &message, Core::Duration timeout,
              std::function<void(std::optional<Reply>)> done)
    {
        startCall(to, Message::Kind, pack(message), timeout, [done = std::move(done)](std::optional<std::string> body) {
            std::optional<Reply> reply;
            if (body.has_value()) {
                try {
                    reply = unpack<Reply>(*body);
                } catch (const msgpack::unpack_error &) {
                } catch (const msgpack::type_error &) {
                }
            }
            done(std::move(reply));
        });
    }

    // Registers the handler for a type of one-way message.
    template<typename Message> void onMessage(std::function<void(const Core::HostId &from, Message message)> handler)
    {
        m_handlers[static_cast<std::uint16_t>(Message::Kind)] = [handler](const Envelope &envelope) {
            handler(envelope.from, unpack<Message>(envelope.body));
        };
    }

    // Registers the handler for a type of call. The handler calls the reply function once, immediately or later.
    template<typename Message, typename Reply>
    void onCall(std::function<void(const Core::HostId &from, Message message, std::function<void(const Reply &)> reply)>
                    handler)
    {
        m_handlers[static_cast<std::uint16_t>(Message::Kind)] = [this, handler](const Envelope &envelope) {
            handler(envelope.from, unpack<Message>(envelope.body),
                    [this, to = envelope.from, correlation = envelope.correlation](const Reply &reply) {
                        sendEnvelope(to, MessageKind::Reply, correlation, pack(reply));
                    });
        };
    }

    // Handles a received message. Messages that are malformed, carry a wrong key or have no handler are dropped and
    // counted.
    void receive(std::string_view bytes);

    // The number of received messages that were dropped.
    [[nodiscard]] std::uint64_t refusedMessages() const;
    [[nodiscard]] std::uint64_t sentMessages() const;
    // The size of all sent messages on the wire, without the transport's framing.
    [[nodiscard]] std::uint64_t sentBytes() const;
    [[nodiscard]] const Core::HostId &self() const;

private:
    using BodyFunction = std::function<void(std::optional<std::string>)>;
    struct PendingCall {
        Core::HostId to;
        Core::TimerId timer = Core::TimerId::None;
        Core::TimePoint sentAt {};
        BodyFunction done;
    };

    void sendEnvelope(const Core::HostId &to, MessageKind kind, std::uint64_t correlation, std::string body);
    void startCall(const Core::HostId &to, MessageKind kind, std::string body, Core::Duration timeout,
                   BodyFunction done);
    void handleTimeout(std::uint64_t correlation);
    void handleReply(const Envelope &envelope);

    Core::Scheduler &m_scheduler;
    PeerTransport &m_transport;
    PeerRouterOptions m_options;
    // Starts at a number of its own in each incarnation, so that a late reply to an earlier process of this host
    // matches no call of its successor.
    std::uint64_t m_lastCorrelation;
    std::uint64_t m_refusedMessages = 0;
    std::uint64_t m_sentMessages = 0;
    std::uint64_t m_sentBytes = 0;
    std::unordered_map<std::uint64_t, PendingCall> m_pending;
    std::map<std::uint16_t, std::function<void(const Envelope &)>> m_handlers;
    std::unordered_map<Core::HostId, Core::TimePoint> m_lastReceivedAt;
};

}
