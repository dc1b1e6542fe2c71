#pragma once

#include <LibNet/HttpServer.h>
#include <LibNet/Tests/Loopback.h>
#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <poll.h>
#include <thread>

// How a client sends bytes.
struct SendOptions {
    std::size_t pieceBytes = std::string::npos; // Sent at once.
};

// What became of the bytes that a client sent on one connection.
struct ServedConnection {
    std::vector<std::string> targets; // Of the requests that the server ran.
    std::vector<std::string> bodies;
    std::string received;
    bool isEnded = false; // The server closed the connection before the last request.
};

// A server on a thread of its own that records the requests it runs and responds to each with status 200.
class RecordingServer
{
public:
    explicit RecordingServer(Net::HttpServerOptions options = {}, std::string response = "ran")
        : m_response(std::move(response))
        , m_thread([this, options] {
            run(options);
        })
    {
        while (m_port == 0) {
            std::this_thread::yield();
        }
    }

    ~RecordingServer()
    {
        m_isStopping = true;
        m_thread.join();
    }

    RecordingServer(const RecordingServer &) = delete;
    RecordingServer &operator=(const RecordingServer &) = delete;

    // Sends the bytes and a last request on a new connection, and waits until the server closes it.
    ServedConnection serve(std::string bytes, const SendOptions &options = {})
    {
        {
            const std::lock_guard lock(m_mutex);
            m_served = {};
        }
        bytes += "GET " + std::string(LastTarget) + " HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\n\r\n";
        const int connection = Net::connectTo(m_port);
        std::string received;
        const bool isSent = sendPieces(connection, bytes, options.pieceBytes);
        const bool isClosed = receiveAll(connection, received) || !isSent;
        close(connection);
        const std::lock_guard lock(m_mutex);
        auto served = m_served;
        served.received = std::move(received);
        served.isEnded = isClosed && std::ranges::count(served.targets, LastTarget) == 0;
        std::erase(served.targets, LastTarget);
        return served;
    }

    // The largest part of its budget that was in use.
    [[nodiscard]] std::size_t largestUsed() const
    {
        return m_largestUsed;
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

private:
    static constexpr std::string_view LastTarget = "/last";
    static constexpr int LongestWaitMilliseconds = 5000;

    static bool sendPieces(int connection, std::string_view bytes, std::size_t pieceBytes)
    {
        while (!bytes.empty()) {
            const auto piece = bytes.substr(0, pieceBytes);
            if (send(connection, piece.data(), piece.size(), MSG_NOSIGNAL) < 0) {
                return false;
            }
            bytes.remove_prefix(piece.size());
            if (!bytes.empty()) {
                std::this_thread::sleep_for(std::chrono::microseconds(100));
            }
        }
        return true;
    }

    // Returns whether the server has closed the connection.
    static bool receiveAll(int connection, std::string &received)
    {
        char buffer[4096];
        pollfd entry {.fd = connection, .events = POLLIN, .revents = 0};
        while (poll(&entry, 1, LongestWaitMilliseconds) > 0) {
            const auto count = recv(connection, buffer, sizeof buffer, 0);
            if (count <= 0) {
                return true;
            }
            received.append(buffer, static_cast<std::size_t>(count));
        }
        return false;
    }

    void recordUsed(const Net::HttpServerOptions &options)
    {
        if (options.budget != nullptr) {
            m_largestUsed = std::max(m_largestUsed.load(), options.budget->used());
        }
    }

    void run(const Net::HttpServerOptions &options)
    {
        Net::EventLoop loop;
        Net::HttpServer server(loop, options, [this, &options](const auto &exchange) {
            {
                const std::lock_guard lock(m_mutex);
                m_served.targets.push_back(exchange->request().target);
                m_served.bodies.emplace_back(exchange->request().body);
            }
            exchange->respond({}, m_response);
            recordUsed(options); // A fast response is sent before the next poll.
        });
        std::function<void()> poll = [&] {
            if (m_isStopping) {
                loop.stop();
            }
            recordUsed(options);
            loop.runAfter(std::chrono::milliseconds(1), poll);
        };
        poll();
        m_port = server.port();
        loop.run();
    }

    const std::string m_response;
    std::mutex m_mutex;
    ServedConnection m_served;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint16_t> m_port = 0;
    std::atomic<std::size_t> m_largestUsed = 0;
    std::thread m_thread;
};
