#include <LibCore/VirtualScheduler.h>
#include <LibPeer/PeerRouter.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace {

struct Question {
    static constexpr auto Kind = Peer::MessageKind::Ping;
    std::string text;
    MSGPACK_DEFINE(text)
};

struct Answer {
    std::string text;
    MSGPACK_DEFINE(text)
};

// Joins two routers directly; messages can be dropped.
class Wire final : public Peer::PeerTransport
{
public:
    void send(const Core::HostId & /*to*/, std::string bytes) override
    {
        if (!isCut) {
            other->receive(bytes);
        }
        last = std::move(bytes);
    }
    void reconnect(const Core::HostId & /*to*/) override
    {
        ++reconnects;
    }

    Peer::PeerRouter *other = nullptr;
    bool isCut = false;
    int reconnects = 0;
    std::string last;
};

struct Pair {
    Core::VirtualScheduler scheduler;
    Wire toB;
    Wire toA;
    Peer::PeerRouter a {scheduler, toB, {.self = {"a"}, .key = "secret"}};
    Peer::PeerRouter b {scheduler, toA, {.self = {"b"}, .key = "secret"}};

    Pair()
    {
        toB.other = &b;
        toA.other = &a;
        b.onCall<Question, Answer>([](const Core::HostId &, const Question &question, const auto &reply) {
            reply(Answer {.text = question.text + "!"});
        });
    }
};

}

class PeerRouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerRouterTest);
    CPPUNIT_TEST(aCallGetsItsReplyOnce);
    CPPUNIT_TEST(silenceEndsACallAndReconnects);
    CPPUNIT_TEST(aWrongKeyIsRefused);
    CPPUNIT_TEST(malformedBytesAreRefused);
    CPPUNIT_TEST(aLengthBeyondTheMessageIsRefused);
    CPPUNIT_TEST_SUITE_END();

    void aCallGetsItsReplyOnce()
    {
        Pair pair;
        std::vector<std::string> replies;
        pair.a.call<Answer>({"b"}, Question {"hello"}, 1s, [&](const auto &reply) {
            replies.push_back(reply.has_value() ? reply->text : "none");
        });
        pair.a.receive(pair.toA.last); // The same reply again.
        pair.scheduler.advance(2s);
        CPPUNIT_ASSERT(replies == std::vector<std::string> {"hello!"});
    }

    void silenceEndsACallAndReconnects()
    {
        Pair pair;
        pair.toB.isCut = true;
        int silent = 0;
        pair.a.call<Answer>({"b"}, Question {"hello"}, 1s, [&](const auto &reply) {
            silent += reply ? 0 : 1;
        });
        pair.scheduler.advance(2s);
        CPPUNIT_ASSERT_EQUAL(1, silent);
        CPPUNIT_ASSERT_EQUAL(1, pair.toB.reconnects);
    }

    void aWrongKeyIsRefused()
    {
        Pair pair;
        Wire wire;
        wire.other = &pair.b;
        Peer::PeerRouter stranger(pair.scheduler, wire, {.self = {"a"}, .key = "secreT"});
        stranger.send({"b"}, Question {"hello"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), pair.b.refusedMessages());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), pair.b.sentMessages());
    }

    // Cut, changed and random messages end in a refusal or are understood; none does harm.
    void malformedBytesAreRefused()
    {
        Pair pair;
        pair.a.send({"b"}, Question {"hello"});
        const auto valid = pair.toB.last;
        const bool isSound = rc::check([&] {
            auto bytes = valid;
            const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                bytes.resize(place);
                break;
            case 1:
                bytes[place] = *rc::gen::arbitrary<char>();
                break;
            default:
                bytes = *rc::gen::string<std::string>();
            }
            const auto before = pair.b.refusedMessages() + pair.b.sentMessages();
            pair.b.receive(bytes);
            RC_ASSERT(pair.b.refusedMessages() + pair.b.sentMessages() >= before);
        });
        CPPUNIT_ASSERT(isSound);
    }

    // Array, map, text and binary headers of 32 bits that claim more than a gigabyte.
    void aLengthBeyondTheMessageIsRefused()
    {
        Pair pair;
        for (const auto *bytes :
             {"\xDD\x61\x61\x61\x61", "\xDF\x61\x61\x61\x61", "\xDB\x61\x61\x61\x61", "\xC6\x61\x61\x61\x61"}) {
            pair.b.receive(bytes);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), pair.b.refusedMessages());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerRouterTest);
