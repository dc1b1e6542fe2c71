#pragma once

#include <LibCore/Identifier.h>
#include <string>

namespace Peer {

// Delivers messages to other hosts of the system. Messages may be lost, delayed, duplicated or reordered.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    // Sends without blocking; a message that can't be sent is dropped.
    virtual void send(const Core::HostId &to, std::string bytes) = 0;
    // Closes the connection to the host; the next message opens a new one.
    virtual void reconnect(const Core::HostId &to) = 0;
};

}
