#include <LibNet/HttpClient.h>
#include <arpa/inet.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace std::chrono_literals;

namespace {

enum class CloseMode { Graceful, Reset };

// Responds to the first request on a connection, and closes the connection without a response after reading the second.
// curl retries a request by default when a reused connection is closed in this way.
class ConnectionClosingServer
{
public:
    explicit ConnectionClosingServer(CloseMode closeMode)
        : m_closeMode(closeMode)
    {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_listener, 8);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        m_thread = std::thread([this] {
            acceptConnections();
        });
    }

    ~ConnectionClosingServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    std::uint16_t port = 0;
    std::atomic<int> receivedRequests = 0;

private:
    void acceptConnections()
    {
        while (true) {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
            if (readRequest(connection)) {
                const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                (void)!write(connection, response.data(), response.size());
                (void)readRequest(connection);
            }
            if (m_closeMode == CloseMode::Reset) {
                const linger abort {.l_onoff = 1, .l_linger = 0};
                setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            }
            close(connection);
        }
    }

    bool readRequest(int connection)
    {
        std::string text;
        char buffer[4096];
        while (text.find("\r\n\r\n") == std::string::npos
               || (text.find("Content-Length: 4") != std::string::npos && !text.ends_with("body"))) {
            const auto count = read(connection, buffer, sizeof buffer);
            if (count <= 0) {
                return false;
            }
            text.append(buffer, static_cast<std::size_t>(count));
        }
        ++receivedRequests;
        return true;
    }

    CloseMode m_closeMode;
    int m_listener = -1;
    std::thread m_thread;
};

}

class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(requestWithBodyIsNotRetriedOnNewConnection);
    CPPUNIT_TEST(requestWithoutBodyIsNotRetriedOnNewConnection);
    CPPUNIT_TEST_SUITE_END();

    // Sends two requests in sequence and returns how many the server received. A third one would be a retry by curl.
    static int sendTwoRequests(CloseMode closeMode, const std::string &body)
    {
        ConnectionClosingServer server(closeMode);
        Net::EventLoop loop;
        Net::HttpClient client(loop);
        const Net::HttpRequest request {.method = "POST",
                                        .url = "http://127.0.0.1:" + std::to_string(server.port) + "/",
                                        .body = body,
                                        .totalTimeout = 2s};
        client.start(request, [&](const Net::HttpResult &first) {
            CPPUNIT_ASSERT(first.isComplete());
            client.start(request, [&](const Net::HttpResult &) {
                loop.stop();
            });
        });
        loop.run();
        return server.receivedRequests;
    }

    void requestWithBodyIsNotRetriedOnNewConnection()
    {
        CPPUNIT_ASSERT_EQUAL(2, sendTwoRequests(CloseMode::Graceful, "body"));
        CPPUNIT_ASSERT_EQUAL(2, sendTwoRequests(CloseMode::Reset, "body"));
    }

    void requestWithoutBodyIsNotRetriedOnNewConnection()
    {
        CPPUNIT_ASSERT_EQUAL(2, sendTwoRequests(CloseMode::Graceful, ""));
        CPPUNIT_ASSERT_EQUAL(2, sendTwoRequests(CloseMode::Reset, ""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
