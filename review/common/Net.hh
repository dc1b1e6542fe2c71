// Sockets and HTTP for the stand-ins and clients of the review's cases. Blocking, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline std::int64_t millisecondsSince(Clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

// A connected socket with a read buffer. Closes the socket at the end of its life.
class Connection
{
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
    }
    ~Connection()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] int fd() const
    {
        return m_fd;
    }
    // Returns false if the peer has closed the connection.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto count = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    // Appends what arrives until the deadline. Returns false at the end of the connection, or at the deadline.
    bool receive(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd entry {.fd = m_fd, .events = POLLIN, .revents = 0};
        if (left < 0 || poll(&entry, 1, static_cast<int>(left) + 1) <= 0) {
            m_isTimedOut = true;
            return false;
        }
        char bytes[65536];
        const auto count = recv(m_fd, bytes, sizeof bytes, 0);
        if (count < 0) {
            m_isReset = true;
        }
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    // Whether the peer has closed its end. Reads nothing.
    [[nodiscard]] bool isPeerGone() const
    {
        char next = 0;
        const auto count = recv(m_fd, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    }
    // Closes with a reset.
    void reset()
    {
        const linger now {.l_onoff = 1, .l_linger = 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close(m_fd);
        m_fd = -1;
    }
    [[nodiscard]] bool isTimedOut() const
    {
        return m_isTimedOut;
    }

    std::string buffer;

private:
    int m_fd;
    bool m_isTimedOut = false;
    bool m_isReset = false;
};

struct Head {
    std::string first; // The request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;

    [[nodiscard]] std::string field(const char *name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }
};

inline Head parseHead(const std::string &text)
{
    Head head;
    std::size_t from = 0;
    while (from < text.size()) {
        const auto end = std::min(text.find("\r\n", from), text.size());
        const auto line = text.substr(from, end - from);
        from = end + 2;
        if (head.first.empty()) {
            head.first = line;
        } else if (const auto colon = line.find(':'); colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(" \t"), value.size()));
            head.fields.emplace_back(line.substr(0, colon), value);
        }
    }
    return head;
}

// Reads a head. No value at the end of the connection or at the deadline.
inline std::optional<Head> readHead(Connection &connection, Clock::time_point deadline)
{
    std::size_t end = 0;
    while ((end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!connection.receive(deadline)) {
            return std::nullopt;
        }
    }
    auto head = parseHead(connection.buffer.substr(0, end));
    connection.buffer.erase(0, end + 4);
    return head;
}

// Reads a body that has a length or chunks; one without either ends with the connection if isToEnd, else it is empty.
// Returns false if it isn't complete.
inline bool readBody(Connection &connection, const Head &head, std::string &body, Clock::time_point deadline,
                     bool isToEnd)
{
    const auto take = [&](std::size_t count) {
        while (connection.buffer.size() < count) {
            if (!connection.receive(deadline)) {
                body += connection.buffer;
                connection.buffer.clear();
                return false;
            }
        }
        body += connection.buffer.substr(0, count);
        connection.buffer.erase(0, count);
        return true;
    };
    if (strcasecmp(head.field("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t end = 0;
            while ((end = connection.buffer.find("\r\n")) == std::string::npos) {
                if (!connection.receive(deadline)) {
                    return false;
                }
            }
            const auto size = std::strtoul(connection.buffer.c_str(), nullptr, 16);
            connection.buffer.erase(0, end + 2);
            if (size > 0 && !take(size)) {
                return false;
            }
            std::string lineEnd;
            std::swap(lineEnd, body);
            const bool hasEnd = take(2);
            std::swap(lineEnd, body);
            if (!hasEnd) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }
    if (const auto length = head.field("Content-Length"); !length.empty()) {
        return take(std::strtoul(length.c_str(), nullptr, 10));
    }
    if (isToEnd) {
        while (connection.receive(deadline)) { }
        body += std::exchange(connection.buffer, {});
        return !connection.isTimedOut();
    }
    return true;
}

struct Request {
    std::string method;
    std::string target;
    Head head;
    std::string body;

    [[nodiscard]] std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
    [[nodiscard]] std::string query(const std::string &name) const
    {
        const auto mark = target.find('?');
        if (mark == std::string::npos) {
            return {};
        }
        std::string rest = target.substr(mark + 1);
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const auto pair = rest.substr(0, end);
            rest.erase(0, end + 1);
            if (pair.starts_with(name + '=')) {
                return decode(pair.substr(name.size() + 1));
            }
        }
        return {};
    }

private:
    static std::string decode(const std::string &text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                decoded += text[i];
            }
        }
        return decoded;
    }
};

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline int listenOnLoopback(std::uint16_t &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isOn = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof isOn);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(fd, 512) != 0
        || getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error(std::string("listen on loopback: ") + std::strerror(errno));
    }
    port = ntohs(address.sin_port);
    return fd;
}

// A free port, for a process that is started next.
inline std::uint16_t freePort()
{
    std::uint16_t port = 0;
    close(listenOnLoopback(port));
    return port;
}

// Returns null if the connection is refused or takes longer than the time.
inline std::unique_ptr<Connection> connectTo(std::uint16_t port, std::chrono::milliseconds time = 1000ms)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    auto connection = std::make_unique<Connection>(fd);
    const timeval limit {.tv_sec = time.count() / 1000, .tv_usec = (time.count() % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int isOn = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        return nullptr;
    }
    return connection;
}

// Accepts connections on loopback and calls the function for each request, until it returns false. Never ends: the
// process that holds it exits.
class Server
{
public:
    using RequestFunction = std::function<bool(Connection &, const Request &)>;

    explicit Server(RequestFunction function)
        : m_function(std::move(function))
        , m_fd(listenOnLoopback(m_port))
    {
        std::thread([this] {
            accept();
        }).detach();
    }
    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    void accept()
    {
        while (true) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int isOn = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof isOn);
            std::thread([this, fd] {
                serve(fd);
            }).detach();
        }
    }
    void serve(int fd)
    {
        Connection connection(fd);
        while (true) {
            const auto deadline = Clock::now() + 60s;
            auto head = readHead(connection, deadline);
            if (!head.has_value()) {
                return;
            }
            Request request;
            const auto first = head->first.find(' ');
            const auto last = head->first.rfind(' ');
            if (first == std::string::npos || last <= first) {
                return;
            }
            request.method = head->first.substr(0, first);
            request.target = head->first.substr(first + 1, last - first - 1);
            if (!readBody(connection, *head, request.body, deadline, false)) {
                return;
            }
            request.head = std::move(*head);
            if (!m_function(connection, request) || connection.fd() < 0) {
                return;
            }
        }
    }

    RequestFunction m_function;
    std::uint16_t m_port = 0;
    int m_fd;
};

// What a client has got for a request.
struct Answer {
    int status = 0; // Zero without a head.
    Head head;
    std::string body;
    bool isComplete = false;
    std::int64_t milliseconds = 0;
};

// Sends a request on a channel and reads the answer.
inline Answer exchange(Connection &connection, const std::string &bytes, Clock::time_point deadline)
{
    const auto start = Clock::now();
    Answer answer;
    if (connection.send(bytes)) {
        if (auto head = readHead(connection, deadline); head.has_value()) {
            answer.head = std::move(*head);
            answer.status
                = std::atoi(answer.head.first.substr(std::min<std::size_t>(9, answer.head.first.size())).c_str());
            answer.isComplete = readBody(connection, answer.head, answer.body, deadline, true);
        }
    }
    answer.milliseconds = millisecondsSince(start);
    return answer;
}

}
