#pragma once

#include <LibCore/Identifier.h>
#include <string>

namespace Peer {

// Carries bytes to another host of the system. Messages may be lost, late, doubled or out of order.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    // Sends without waiting; a message that can't be sent is lost.
    virtual void send(const Core::HostId &to, std::string bytes) = 0;
    // Drops the connection to the host, so that the next message opens a new one.
    virtual void reconnect(const Core::HostId &to) = 0;
};

}
