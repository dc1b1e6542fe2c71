#pragma once

#include <LibNet/Tests/Loopback.h>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace Net {

// A listening socket on loopback and a thread that serves its connections one after the other.
class LoopbackServer
{
public:
    explicit LoopbackServer(std::function<void(int connection)> serve)
        : m_serve(std::move(serve))
    {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        auto address = Net::loopback(0);
        bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_listener, 8);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this] {
            for (int connection = accept(m_listener, nullptr, nullptr); connection >= 0;
                 connection = accept(m_listener, nullptr, nullptr)) {
                m_serve(connection);
                close(connection);
            }
        });
    }

    ~LoopbackServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    LoopbackServer(const LoopbackServer &) = delete;
    LoopbackServer &operator=(const LoopbackServer &) = delete;

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port) + "/";
    }

    std::uint16_t port = 0;

private:
    std::function<void(int connection)> m_serve;
    int m_listener = -1;
    std::thread m_thread;
};

inline bool writeText(int connection, std::string_view text)
{
    return send(connection, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

}
