#include <LibGateway/ForwardedRequest.h>
#include <LibGateway/Tests/LoneQuarantine.h>
#include <LibNet/EventLoop.h>
#include <LibNet/HttpClient.h>
#include <LibNet/Tests/Loopback.h>
#include <atomic>
#include <charconv>
#include <cppunit/extensions/HelperMacros.h>
#include <list>
#include <thread>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Megabyte = 1U << 20U;
constexpr std::size_t EventBytes = 1000;

// An event of the stream; all have the same length.
std::string eventOf(std::size_t number)
{
    auto event = "id: " + std::to_string(number) + "\ndata: ";
    event.append(EventBytes - event.size() - 2, static_cast<char>('a' + number % 23));
    return event + "\n\n";
}

// Receives up to the end of a head and returns it, with what came behind it.
std::string receiveHead(int connection)
{
    std::string text;
    char buffer[1024];
    while (text.find("\r\n\r\n") == std::string::npos) {
        const auto count = recv(connection, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return {};
        }
        text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
}

std::size_t numberAfter(std::string_view text, std::string_view name, std::size_t otherwise)
{
    const auto found = text.find(name);
    if (found != std::string_view::npos) {
        const auto rest = text.substr(found + name.size());
        std::from_chars(rest.data(), rest.data() + rest.size(), otherwise);
    }
    return otherwise;
}

// A replica that sends event streams as fast as they are read, and cuts one off that is unread for two seconds.
class StreamingReplica
{
public:
    StreamingReplica()
    {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        auto address = Net::loopback(0);
        bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
        listen(m_listener, 64);
        socklen_t size = sizeof address;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        m_threads.emplace_back([this] {
            for (int next = accept(m_listener, nullptr, nullptr); next >= 0;
                 next = accept(m_listener, nullptr, nullptr)) {
                m_threads.emplace_back([this, next] {
                    serve(next);
                    close(next);
                });
            }
        });
    }

    ~StreamingReplica()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_threads.front().join();
        for (auto thread = std::next(m_threads.begin()); thread != m_threads.end(); ++thread) {
            thread->join();
        }
        close(m_listener);
    }

    StreamingReplica(const StreamingReplica &) = delete;
    StreamingReplica &operator=(const StreamingReplica &) = delete;

    std::uint16_t port = 0;
    std::atomic<unsigned> cut = 0; // Responses.

private:
    void serve(int connection)
    {
        const timeval limit {.tv_sec = 2, .tv_usec = 0};
        setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        const auto head = receiveHead(connection);
        const auto events = numberAfter(head, "X-Events: ", 0);
        std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (auto i = numberAfter(head, "X-After: ", std::size_t(-1)) + 1; i < events; ++i) {
            text += "3e8\r\n" + eventOf(i) + "\r\n";
            text += i + 1 == events ? "0\r\n\r\n" : "";
            if (send(connection, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
                ++cut;
                return;
            }
            text.clear();
        }
    }

    int m_listener = -1;
    std::list<std::thread> m_threads; // The first one accepts connections.
};

// Every response is an event stream. The path of a request is the number of its events.
class StreamProtocol final : public Gateway::Protocol
{
public:
    [[nodiscard]] Gateway::CallerRequest readRequest(const Net::ServerRequest &request) const override
    {
        Gateway::CallerRequest read {.model = "m"};
        read.target = request.target;
        return read;
    }
    [[nodiscard]] Net::HttpRequest writeRequest(const Gateway::CallerRequest &request,
                                                const Gateway::Dispatch &dispatch) const override
    {
        Net::HttpRequest outgoing {.url = "http://" + dispatch.address + "/"};
        outgoing.headers.push_back("X-Events: " + request.target.substr(1));
        if (dispatch.lastEventId.has_value()) {
            outgoing.headers.push_back("X-After: " + std::to_string(*dispatch.lastEventId));
        }
        return outgoing;
    }
    [[nodiscard]] Gateway::ResponseHead readHead(long status, const Net::HttpFields & /*fields*/) const override
    {
        return {.status = status, .hasServerStamp = true, .isEventStream = true, .isFramed = true};
    }
};

std::shared_ptr<Routes::RouteConfiguration> streamConfiguration()
{
    auto configuration = std::make_shared<Routes::RouteConfiguration>();
    // The deadline is shorter than the callers are slow.
    configuration->routes.push_back({.kind = Routes::RequestKind::Stream,
                                     .isResumable = true,
                                     .timeout = 4s,
                                     .objective = 1s,
                                     .maxAttempts = 2,
                                     .services = {{.service = "s"}}});
    return configuration;
}

// The parts of a host of 120 MB with real sockets. Two replicas have the same address.
class HostParts
{
public:
    explicit HostParts(std::uint16_t replicaPort)
    {
        Fleet::ReplicaChanges changes {.outcome = Platform::FeedOutcome::Read};
        for (const auto *name : {"r1", "r2"}) {
            changes.present.push_back({.id = {name},
                                       .service = "s",
                                       .address = "127.0.0.1:" + std::to_string(replicaPort),
                                       .zone = {"a"},
                                       .slots = 64,
                                       .models = {{.model = "m"}}});
        }
        m_replicas.apply(changes, true, loop.now(), loop.now());
        m_fleet.refresh(loop.now());
    }

    Net::EventLoop loop;
    Net::BufferBudget buffers {120 * Megabyte / 4};
    Metrics::Registry metrics;

private:
    void forward(const std::shared_ptr<Net::Exchange> &exchange)
    {
        const Gateway::ForwardingDependencies dependencies {.scheduler = loop,
                                                            .client = m_client,
                                                            .protocol = m_protocol,
                                                            .fleet = m_fleet,
                                                            .releases = m_releases,
                                                            .retryBudget = m_retries,
                                                            .quarantine = m_lone.quarantine,
                                                            .crashes = m_lone.crashes,
                                                            .metrics = metrics,
                                                            .loadAdapter = [](const auto &, const auto &) {},
                                                            .hostCount =
                                                                [] {
                                                                    return std::size_t(1);
                                                                },
                                                            .budget = &buffers};
        std::make_shared<Gateway::ForwardedRequest>(
            dependencies, exchange, m_protocol.readRequest(exchange->request()),
            Routes::MatchedRoute {.configuration = m_configuration, .route = &m_configuration->routes.front()})
            ->start();
    }

    Net::HttpClient m_client {loop, &buffers};
    Gateway::Testing::LoneQuarantine m_lone {loop};
    Fleet::ReplicaSet m_replicas;
    Fleet::ReleaseTable m_releases;
    Gateway::FleetView m_fleet {m_replicas,
                                m_releases,
                                {.ownZone = {"a"}},
                                [](const Core::TargetId &) {
                                    return true;
                                },
                                [] {
                                    return std::size_t(1);
                                }};
    Gateway::ServiceRetryBudget m_retries;
    StreamProtocol m_protocol;
    std::shared_ptr<Routes::RouteConfiguration> m_configuration = streamConfiguration();

public:
    Net::HttpServer server {loop, {.budget = &buffers}, [this](const auto &exchange) {
                                forward(exchange);
                            }};
};

// A host on a thread of its own.
class StreamingHost
{
public:
    explicit StreamingHost(std::uint16_t replicaPort)
        : m_replicaPort(replicaPort)
        , m_thread([this] {
            HostParts parts(m_replicaPort);
            watch(parts);
            port = parts.server.port();
            parts.loop.run();
        })
    {
        while (port == 0) {
            std::this_thread::yield();
        }
    }

    ~StreamingHost()
    {
        m_isStopping = true;
        m_thread.join();
    }

    StreamingHost(const StreamingHost &) = delete;
    StreamingHost &operator=(const StreamingHost &) = delete;

    std::atomic<std::uint16_t> port = 0;
    std::atomic<std::size_t> largestUsed = 0;
    std::atomic<std::uint64_t> pauses = 0;
    std::atomic<std::uint64_t> unreadCuts = 0;

private:
    void watch(HostParts &parts)
    {
        largestUsed = std::max(largestUsed.load(), parts.buffers.used());
        pauses = parts.metrics.countOf("currantbay_response_pauses_total");
        unreadCuts = parts.metrics.countOf("currantbay_unread_responses_cut_total");
        if (m_isStopping) {
            parts.loop.stop();
        }
        parts.loop.runAfter(1ms, [this, &parts] {
            watch(parts);
        });
    }

    const std::uint16_t m_replicaPort;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

// What a caller received.
struct ReceivedStream {
    std::size_t events = 0; // Complete ones, in order, from the first.
    Core::Duration time {};
};

// Asks for a stream and reads it: one byte in each second of the slow time, and then at once.
ReceivedStream readStream(std::uint16_t port, std::size_t events, std::chrono::seconds slowTime)
{
    const auto startedAt = std::chrono::steady_clock::now();
    const int connection = Net::connectTo(port);
    const int receiveBytes = 128 * 1024; // Smaller windows than a segment of loopback take 200 ms each.
    if (slowTime > 0s) {
        setsockopt(connection, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    }
    const auto request = "GET /" + std::to_string(events) + " HTTP/1.0\r\n\r\n";
    send(connection, request.data(), request.size(), MSG_NOSIGNAL);
    auto received = receiveHead(connection);
    received.erase(0, received.find("\r\n\r\n") + 4);
    char buffer[65536];
    for (auto i = 0s; i < slowTime; ++i) {
        std::this_thread::sleep_for(1s);
        received.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(recv(connection, buffer, 1, 0), 0)));
    }
    ReceivedStream stream;
    for (ssize_t count = 1; count > 0;) {
        count = recv(connection, buffer, sizeof buffer, 0);
        received.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        std::size_t used = 0;
        while (received.size() - used >= EventBytes
               && received.compare(used, EventBytes, eventOf(stream.events)) == 0) {
            ++stream.events;
            used += EventBytes;
        }
        received.erase(0, used);
    }
    close(connection);
    stream.time = std::chrono::steady_clock::now() - startedAt;
    return stream;
}

}

// Callers that read a byte per second beside callers that read at once, at one host, over real sockets.
class SlowCallersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlowCallersTest);
    CPPUNIT_TEST(slowCallersCostNeitherMemoryNorOthersAndGetTheirWholeStreams);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t SlowCallers = 6;
    static constexpr std::size_t SlowEvents = 20000;
    static constexpr std::size_t SoundCallers = 6;
    static constexpr std::size_t SoundEvents = 1000;
    static constexpr std::size_t SoundRequests = 20; // Of each caller, one after the other.

    std::vector<ReceivedStream> m_slow = std::vector<ReceivedStream>(SlowCallers);
    std::vector<ReceivedStream> m_sound = std::vector<ReceivedStream>(SoundCallers * SoundRequests);

    // Returns when all callers have read all their streams.
    void readStreams(std::uint16_t port)
    {
        std::vector<std::thread> callers;
        for (auto &stream : m_slow) {
            callers.emplace_back([&stream, port] {
                stream = readStream(port, SlowEvents, 5s);
            });
        }
        for (std::size_t i = 0; i < SoundCallers; ++i) {
            callers.emplace_back([this, i, port] {
                for (std::size_t request = 0; request < SoundRequests; ++request) {
                    m_sound[i * SoundRequests + request] = readStream(port, SoundEvents, 0s);
                    std::this_thread::sleep_for(200ms);
                }
            });
        }
        for (auto &caller : callers) {
            caller.join();
        }
    }

    // Guards against (a) memory that grows with the response of a slow caller, (b) sound callers that wait for slow
    // ones, and (c) streams that are broken off though their callers go on reading: by the limit on unsent bytes, by
    // the deadline, by the replica, or by a pause that is taken for silence.
    void slowCallersCostNeitherMemoryNorOthersAndGetTheirWholeStreams()
    {
        StreamingReplica replica;
        StreamingHost host(replica.port);
        readStreams(host.port);
        for (const auto &stream : m_sound) {
            CPPUNIT_ASSERT_EQUAL(SoundEvents, stream.events);
            CPPUNIT_ASSERT(stream.time < 2s);
        }
        for (const auto &stream : m_slow) {
            CPPUNIT_ASSERT_EQUAL(SlowEvents, stream.events);
        }
        CPPUNIT_ASSERT(host.pauses >= SlowCallers);
        CPPUNIT_ASSERT(replica.cut > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(replica.cut), host.unreadCuts.load());
        // Twice the high water mark, as sent bytes are freed later, and what curl holds.
        CPPUNIT_ASSERT(host.largestUsed <= (SlowCallers + SoundCallers) * 160 * 1024);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowCallersTest);
