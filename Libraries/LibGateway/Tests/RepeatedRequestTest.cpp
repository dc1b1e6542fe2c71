#include <LibGateway/Tests/ForwardingHarness.h>
#include <cppunit/extensions/HelperMacros.h>

using namespace std::chrono_literals;

// A request that crashes each replica that runs it, and that its caller sends again and again.
class RepeatedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedRequestTest);
    CPPUNIT_TEST(callThatCrashesServicesIsRefused);
    CPPUNIT_TEST(repeatableCallThatCrashesServicesIsRefused);
    CPPUNIT_TEST(promptOfOnePartIsRefused);
    CPPUNIT_TEST(promptIsRefusedThoughItsSharedPartsAreSound);
    CPPUNIT_TEST(soundRequestsWithTheSamePathAreServed);
    CPPUNIT_TEST(soundRepeatedRequestIsServedThroughCrashes);
    CPPUNIT_TEST_SUITE_END();

    using Harness = Tests::ForwardingHarness;

    static constexpr auto ContactTime = 3s;
    static constexpr std::size_t RetriesAllowed = 3;

    Harness m_host {Routing::QuarantineOptions::forPromptParts()};
    std::uint64_t m_incarnation = 0;
    int m_attempts = 0;

    static Routes::Route call(Routes::RequestKind kind)
    {
        return {.kind = kind, .timeout = 800ms, .objective = 300ms, .maxAttempts = 2};
    }

    static Routes::Route stream()
    {
        return {.kind = Routes::RequestKind::Stream, .timeout = 12s, .objective = 800ms, .maxAttempts = 1};
    }

    // All replicas are there, those that had crashed as new incarnations.
    void restoreReplicas()
    {
        ++m_incarnation;
        m_host.list({Harness::replica("r1", m_incarnation), Harness::replica("r2", m_incarnation),
                     Harness::replica("r3", m_incarnation), Harness::replica("r4", m_incarnation)});
    }

    std::shared_ptr<Tests::CallerEnd> send(const Routes::Route &route, Gateway::CallerRequest request)
    {
        request.attemptId = "attempt-" + std::to_string(++m_attempts);
        return m_host.start(route, std::move(request));
    }

    void crash(std::size_t transfer)
    {
        m_host.end(transfer, {.error = "Failure when receiving data from the peer", .mayHaveBeenSent = true});
    }

    // Sends the request twice a second, and crashes every replica that gets it. Returns how often it reaches a replica
    // once the hosts have had time to learn of its third crash.
    std::size_t lateArrivals(const Routes::Route &route, const Gateway::CallerRequest &deadly, auto between)
    {
        std::vector<Core::TimePoint> crashes;
        for (int repetition = 0; repetition < 30; ++repetition) {
            restoreReplicas();
            auto next = m_host.transport.transfers.size();
            send(route, deadly);
            for (; next < m_host.transport.transfers.size(); ++next) {
                crashes.push_back(m_host.scheduler.now());
                crash(next);
            }
            m_host.scheduler.advance(500ms);
            between();
        }
        CPPUNIT_ASSERT(crashes.size() >= 3);
        return static_cast<std::size_t>(std::ranges::count_if(crashes, [&crashes](auto at) {
            return at > crashes[2] + ContactTime;
        }));
    }

    std::size_t lateArrivals(const Routes::Route &route, const Gateway::CallerRequest &deadly)
    {
        return lateArrivals(route, deadly, [] {});
    }

    // Sends a request that a replica serves.
    void serve(const Routes::Route &route, const Gateway::CallerRequest &sound)
    {
        restoreReplicas();
        const auto transfer = m_host.transport.transfers.size();
        const auto caller = send(route, sound);
        CPPUNIT_ASSERT_EQUAL(transfer + 1, m_host.transport.transfers.size());
        if (sound.model.empty()) {
            m_host.answer(transfer, 200, {{"Framed", "yes"}});
        } else {
            m_host.answerHead(transfer, 200, {{"Stream", "yes"}});
            m_host.transport.transfers[transfer].data(200, "id: 0\ndata: x\n\n");
            m_host.scheduler.advance(300ms);
            m_host.transport.transfers[transfer].data(200, "id: 1\ndata: x\n\n");
            m_host.end(transfer, {.status = 200});
        }
        CPPUNIT_ASSERT_EQUAL(200U, caller->status);
    }

    // A call of an application service has no prompt, so nothing connected its crashes.
    void callThatCrashesServicesIsRefused()
    {
        const Gateway::CallerRequest deadly {.method = "POST", .target = "/submit/2f", .body = "deadly"};
        CPPUNIT_ASSERT(lateArrivals(call(Routes::RequestKind::Unsafe), deadly) <= RetriesAllowed);
        const auto refused = send(call(Routes::RequestKind::Unsafe), deadly);
        CPPUNIT_ASSERT_EQUAL(503U, refused->status);
        CPPUNIT_ASSERT(refused->retryAfter() > 0);
    }

    // Each attempt of a call that may be repeated crashed two services.
    void repeatableCallThatCrashesServicesIsRefused()
    {
        const Gateway::CallerRequest deadly {.method = "GET", .target = "/status/2f"};
        CPPUNIT_ASSERT(lateArrivals(call(Routes::RequestKind::Safe), deadly) <= RetriesAllowed);
    }

    // A prompt whose only part is its own has no part that others share.
    void promptOfOnePartIsRefused()
    {
        const Gateway::CallerRequest deadly {.method = "POST", .target = "/draft/2f", .body = "deadly", .model = "m"};
        CPPUNIT_ASSERT(lateArrivals(stream(), deadly) <= RetriesAllowed);
    }

    // Sound requests that share parts of the prompt disproved them after each crash.
    void promptIsRefusedThoughItsSharedPartsAreSound()
    {
        const Gateway::CallerRequest deadly {
            .method = "POST", .target = "/draft/2f", .body = "deadly", .model = "m", .promptParts = {1, 2}};
        const auto late = lateArrivals(stream(), deadly, [this] {
            serve(stream(),
                  {.method = "POST", .target = "/draft/2f", .body = "sound", .model = "m", .promptParts = {1, 2}});
        });
        CPPUNIT_ASSERT(late <= RetriesAllowed);
    }

    void soundRequestsWithTheSamePathAreServed()
    {
        const Gateway::CallerRequest deadly {.method = "POST", .target = "/submit/2f", .body = "deadly"};
        CPPUNIT_ASSERT(lateArrivals(call(Routes::RequestKind::Unsafe), deadly) <= RetriesAllowed);
        serve(call(Routes::RequestKind::Unsafe), {.method = "POST", .target = "/submit/2f", .body = "sound"});
        serve(call(Routes::RequestKind::Unsafe), {.method = "POST", .target = "/submit/30", .body = "deadly"});
    }

    // Replicas crash for other reasons too, and a common request such as a status lookup is open at each of them.
    void soundRepeatedRequestIsServedThroughCrashes()
    {
        const Gateway::CallerRequest lookup {.method = "GET", .target = "/status/2f"};
        for (int number = 0; number < 10; ++number) {
            restoreReplicas();
            const auto transfer = m_host.transport.transfers.size();
            send(call(Routes::RequestKind::Unsafe), lookup);
            crash(transfer);
            m_host.scheduler.advance(200ms);
            serve(call(Routes::RequestKind::Unsafe), lookup);
            m_host.scheduler.advance(3s);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedRequestTest);
