#include <LibGateway/ConfigurationProof.h>
#include <LibGateway/Tests/ForwardingFixture.h>

using namespace Gateway::Testing;

class AccountRequestTest : public ForwardingFixture
{
    CPPUNIT_TEST_SUITE(AccountRequestTest);
    CPPUNIT_TEST(requestWithAValidKeyIsSent);
    CPPUNIT_TEST(revokedKeyIsNoticedBeforeTheSend);
    CPPUNIT_TEST(revokedKeyIsNoticedBeforeARetry);
    CPPUNIT_TEST(keyThatMovedToAnotherAccountIsRefused);
    CPPUNIT_TEST(refusedRequestReturnsItsCost);
    CPPUNIT_TEST(requestThatMayHaveRunKeepsItsCost);
    CPPUNIT_TEST(proofEndsWithItsAge);
    CPPUNIT_TEST(unreadableConfigurationProvesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        ForwardingFixture::setUp();
        m_account = {.name = "acme", .priority = 3, .cost = 1800};
        m_validKeys = {{"k1", "acme"}};
    }

private:
    void startLoading()
    {
        start({.kind = Routes::RequestKind::Stream,
               .isResumable = true,
               .timeout = 15s,
               .objective = 1s,
               .maxAttempts = 2},
              {.model = "m", .adapter = "a1", .accountKey = "k1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_loads.size());
    }

    void requestWithAValidKeyIsSent()
    {
        start({.kind = Routes::RequestKind::Unsafe, .timeout = 1500ms, .objective = 300ms}, {.accountKey = "k1"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
    }

    // Guards against a request that waits for its adapter, and is sent although its key was revoked meanwhile.
    void revokedKeyIsNoticedBeforeTheSend()
    {
        startLoading();
        CPPUNIT_ASSERT_EQUAL(3, m_loads[0].first.priority);
        m_validKeys.clear();
        reply(0, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT(m_transport.transfers.empty());
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
    }

    void revokedKeyIsNoticedBeforeARetry()
    {
        start({.kind = Routes::RequestKind::Safe, .timeout = 1500ms, .objective = 300ms, .maxAttempts = 2},
              {.accountKey = "k1"});
        m_validKeys.clear();
        end(0, {.error = "refused", .mayHaveBeenSent = false});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_transport.transfers.size());
        CPPUNIT_ASSERT_EQUAL(503U, m_exchange->status);
    }

    void keyThatMovedToAnotherAccountIsRefused()
    {
        m_validKeys = {{"k1", "other"}};
        start({.kind = Routes::RequestKind::Unsafe, .timeout = 1500ms, .objective = 300ms}, {.accountKey = "k1"});
        CPPUNIT_ASSERT(m_transport.transfers.empty());
    }

    // Guards against an allowance that requests use up without running.
    void refusedRequestReturnsItsCost()
    {
        startLoading();
        m_validKeys.clear();
        reply(0, Holding::AdapterOutcome::Ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1800), m_givenBack);
    }

    // Guards against an allowance that is exceeded by requests that run without an answer.
    void requestThatMayHaveRunKeepsItsCost()
    {
        start({.kind = Routes::RequestKind::Unsafe, .timeout = 1500ms, .objective = 300ms}, {.accountKey = "k1"});
        end(0, {.error = "reset", .mayHaveBeenSent = true});
        CPPUNIT_ASSERT_EQUAL(502U, m_exchange->status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_givenBack);
    }

    // Guards against a host that accepts revoked keys because it can't read the configuration.
    void proofEndsWithItsAge()
    {
        Gateway::ConfigurationProof proof;
        const Core::TimePoint now(1h);
        CPPUNIT_ASSERT(!proof.isWithin(5s, now));
        proof.record(now);
        proof.record(now - 3s);
        CPPUNIT_ASSERT(proof.isWithin(5s, now + 4999ms));
        CPPUNIT_ASSERT(!proof.isWithin(5s, now + 5s));
    }

    void unreadableConfigurationProvesNothing()
    {
        Gateway::ConfigurationProof proof;
        const Core::TimePoint now(1h);
        proof.record(now);
        proof.suspend();
        proof.record(now + 4s);
        CPPUNIT_ASSERT(!proof.isWithin(5s, now + 5s));
        proof.resume();
        proof.record(now + 6s);
        CPPUNIT_ASSERT(proof.isWithin(5s, now + 7s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountRequestTest);
