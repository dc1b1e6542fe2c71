#pragma once

#include <LibNet/EventLoop.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Net {

// Carries whole messages between the system's processes over TCP, by nng's push and pull sockets.
// Delivery isn't promised: a message may be lost, and what needs an answer must ask again.
class PeerSocket
{
public:
    using MessageFunction = std::function<void(std::string_view message)>;

    // Listens at "host:port". Throws StepError when the address can't be used.
    PeerSocket(EventLoop &loop, std::string_view listenAddress, MessageFunction handler);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    // Sends without waiting. Returns false when the message was dropped because too many wait for that peer.
    bool send(const std::string &address, std::string_view message);
    // Closes the connection to a peer, so that the next message opens a new one.
    void disconnect(const std::string &address);

private:
    void receive();

    EventLoop &m_loop;
    MessageFunction m_handler;
    std::uint32_t m_listener = 0;
    int m_receiveFd = -1;
    std::map<std::string, std::uint32_t> m_dialers;
};

}
