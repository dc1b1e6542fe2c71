#pragma once

#include <LibNet/EventLoop.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Net {

// Sends and receives messages between processes over TCP, using nng's push and pull sockets.
// Delivery is not guaranteed: a message may be lost, and a sender that needs a reply must retry.
class PeerSocket
{
public:
    using MessageFunction = std::function<void(std::string_view message)>;

    // Listens at "host:port". Throws StepError when the address can't be used.
    PeerSocket(EventLoop &loop, std::string_view listenAddress, MessageFunction handler);
    ~PeerSocket();
    PeerSocket(const PeerSocket &) = delete;
    PeerSocket &operator=(const PeerSocket &) = delete;

    // Sends without blocking. Returns false when the message was dropped, because the queue for that peer is full or
    // its address can't be dialled.
    bool send(const std::string &address, std::string_view message);
    // Closes the connection to a peer. The next message to it opens a new one.
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
