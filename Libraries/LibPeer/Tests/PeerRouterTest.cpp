#include <LibCore/VirtualScheduler.h>
#include <LibPeer/PeerRouter.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace {

struct EchoRequest {
    static constexpr auto Kind = Peer::MessageKind::Ping;
    std::string text;
    MSGPACK_DEFINE(text)
};

struct EchoReply {
    std::string text;
    MSGPACK_DEFINE(text)
};

// Delivers messages directly to another router, or drops them.
class DirectTransport final : public Peer::PeerTransport
{
public:
    void send(const Core::HostId & /*to*/, std::string bytes) override
    {
        if (!isDropping) {
            other->receive(bytes);
        }
        lastSent = std::move(bytes);
    }
    void reconnect(const Core::HostId & /*to*/) override
    {
        ++reconnects;
    }

    Peer::PeerRouter *other = nullptr;
    bool isDropping = false;
    int reconnects = 0;
    std::string lastSent;
};

struct RouterPair {
    Core::VirtualScheduler scheduler;
    DirectTransport toB;
    DirectTransport toA;
    Peer::PeerRouter a {scheduler, toB, {.self = {"a"}, .key = "secret"}};
    Peer::PeerRouter b {scheduler, toA, {.self = {"b"}, .key = "secret"}};

    RouterPair()
    {
        toB.other = &b;
        toA.other = &a;
        b.onCall<EchoRequest, EchoReply>([](const Core::HostId &, const EchoRequest &request, const auto &reply) {
            reply(EchoReply {.text = request.text + "!"});
        });
    }
};

}

class PeerRouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerRouterTest);
    CPPUNIT_TEST(duplicateReplyIsIgnored);
    CPPUNIT_TEST(replyToEarlierProcessIsIgnored);
    CPPUNIT_TEST(callTimesOutAndReconnects);
    CPPUNIT_TEST(messageWithWrongKeyIsRefused);
    CPPUNIT_TEST(malformedMessagesAreHandledSafely);
    CPPUNIT_TEST(lengthBeyondMessageSizeIsRefused);
    CPPUNIT_TEST_SUITE_END();

    void duplicateReplyIsIgnored()
    {
        RouterPair pair;
        std::vector<std::string> replies;
        pair.a.call<EchoReply>({"b"}, EchoRequest {"hello"}, 1s, [&](const auto &reply) {
            replies.push_back(reply.has_value() ? reply->text : "none");
        });
        pair.a.receive(pair.toA.lastSent); // Delivers a duplicate of the reply.
        pair.scheduler.advance(2s);
        CPPUNIT_ASSERT(replies == std::vector<std::string> {"hello!"});
    }

    // The first calls of two processes of a host had the same number, so that the successor took the reply for its own.
    void replyToEarlierProcessIsIgnored()
    {
        RouterPair pair;
        pair.a.call<EchoReply>({"b"}, EchoRequest {"earlier"}, 1s, [](const auto &) {});
        const auto lateReply = pair.toA.lastSent;
        DirectTransport toB;
        toB.isDropping = true;
        for (const std::uint64_t incarnation : {1, 2, 3}) {
            Peer::PeerRouter successor(pair.scheduler, toB,
                                       {.self = {"a"}, .incarnation = incarnation, .key = "secret"});
            int replies = 0;
            for (int call = 0; call < 10; ++call) {
                successor.call<EchoReply>({"b"}, EchoRequest {"next"}, 1s, [&replies](const auto &reply) {
                    replies += reply.has_value() ? 1 : 0;
                });
            }
            successor.receive(lateReply);
            pair.scheduler.advance(2s);
            CPPUNIT_ASSERT_EQUAL(0, replies);
        }
    }

    void callTimesOutAndReconnects()
    {
        RouterPair pair;
        pair.toB.isDropping = true;
        int timeouts = 0;
        pair.a.call<EchoReply>({"b"}, EchoRequest {"hello"}, 1s, [&](const auto &reply) {
            timeouts += reply ? 0 : 1;
        });
        pair.scheduler.advance(2s);
        CPPUNIT_ASSERT_EQUAL(1, timeouts);
        CPPUNIT_ASSERT_EQUAL(1, pair.toB.reconnects);
    }

    void messageWithWrongKeyIsRefused()
    {
        RouterPair pair;
        DirectTransport transport;
        transport.other = &pair.b;
        Peer::PeerRouter sender(pair.scheduler, transport, {.self = {"a"}, .key = "secreT"});
        sender.send({"b"}, EchoRequest {"hello"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), pair.b.refusedMessages());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), pair.b.sentMessages());
    }

    // Truncated, corrupted and random messages are either refused or handled; none crashes the router.
    void malformedMessagesAreHandledSafely()
    {
        RouterPair pair;
        pair.a.send({"b"}, EchoRequest {"hello"});
        const auto valid = pair.toB.lastSent;
        const bool isRobust = rc::check([&] {
            auto bytes = valid;
            const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                bytes.resize(position);
                break;
            case 1:
                bytes[position] = *rc::gen::arbitrary<char>();
                break;
            default:
                bytes = *rc::gen::string<std::string>();
            }
            const auto before = pair.b.refusedMessages() + pair.b.sentMessages();
            pair.b.receive(bytes);
            RC_ASSERT(pair.b.refusedMessages() + pair.b.sentMessages() >= before);
        });
        CPPUNIT_ASSERT(isRobust);
    }

    // Array, map, string and binary headers with 32-bit lengths of more than a gigabyte and no content. Without a limit
    // the parser would allocate that much.
    void lengthBeyondMessageSizeIsRefused()
    {
        RouterPair pair;
        for (const auto *bytes :
             {"\xDD\x61\x61\x61\x61", "\xDF\x61\x61\x61\x61", "\xDB\x61\x61\x61\x61", "\xC6\x61\x61\x61\x61"}) {
            pair.b.receive(bytes);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), pair.b.refusedMessages());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerRouterTest);
