#include <LibNet/HttpServer.h>
#include <LibNet/Tests/ServedConnection.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

const std::string Hidden = "POST /hidden HTTP/1.1\r\nHost: test.example\r\nContent-Length: 0\r\n\r\n";
const std::string HiddenLength = std::to_string(Hidden.size());

// A request with the fields, each with its line end, and the bytes behind its head.
std::string request(const std::string &fields, const std::string &body)
{
    return "POST /outer HTTP/1.1\r\nHost: test.example\r\n" + fields + "\r\n" + body;
}

struct Case {
    std::string name;
    std::string bytes;
};

// Requests that another reader may see end elsewhere. Bytes of another request follow where libmicrohttpd takes them to
// end.
std::vector<Case> ambiguousRequests()
{
    const auto length = "Content-Length: " + HiddenLength + "\r\n";
    const auto chunked = "Transfer-Encoding: chunked\r\n"s;
    const auto lastChunk = "0\r\n\r\n"s;
    return {
        {"length and chunks", request(length + chunked, lastChunk + Hidden)},
        {"chunks and length", request(chunked + length, lastChunk + Hidden)},
        {"space before the colon of the length", request("Content-Length : " + HiddenLength + "\r\n", Hidden)},
        {"tab before the colon of the length", request("Content-Length\t: " + HiddenLength + "\r\n", Hidden)},
        {"two lengths", request("Content-Length: 0\r\n" + length, Hidden)},
        {"two equal lengths", request("Content-Length: 0\r\nContent-Length: 0\r\n", Hidden)},
        {"list of lengths", request("Content-Length: 0, 0\r\n", Hidden)},
        {"length with a sign", request("Content-Length: +" + HiddenLength + "\r\n", Hidden)},
        {"negative length", request("Content-Length: -1\r\n", Hidden)},
        {"hexadecimal length", request("Content-Length: 0x0\r\n", Hidden)},
        {"empty length", request("Content-Length: \r\n", Hidden)},
        {"enormous length", request("Content-Length: 18446744073709551616\r\n", Hidden)},
        {"length in a folded line", request("X-Any: a\r\n Content-Length: " + HiddenLength + "\r\n", Hidden)},
        {"folded length", request("Content-Length:\r\n " + HiddenLength + "\r\n", Hidden)},
        {"folded first line", "POST /outer HTTP/1.1\r\n " + length + "Host: test.example\r\n\r\n" + Hidden},
        {"length behind a lone CR", request("X-Any: a\r" + length, Hidden)},
        {"length behind a lone LF", request("X-Any: a\n" + length, Hidden)},
        {"lone LF as the empty line", "POST /outer HTTP/1.1\r\nHost: test.example\r\n\n" + Hidden},
        {"lone LF as all line ends", "POST /outer HTTP/1.1\nHost: test.example\n\n" + Hidden},
        {"NUL in a value", request("X-Any: a\0b\r\n"s + length, Hidden)},
        {"two NULs in a value", request("X-Any: a\0\0b\r\n"s + length, Hidden)},
        {"NUL behind the length", request("Content-Length: 0\0 5\r\n"s, Hidden)},
        {"NUL in a name", request("X\0Any: a\r\n"s, Hidden)},
        {"line without a colon", request("Content-Length " + HiddenLength + "\r\n", Hidden)},
        {"empty name", request(": a\r\n" + length, Hidden)},
        {"control character in a value",
         request("X-Any: a\x0b"
                 "b\r\n",
                 Hidden)},
        {"two Hosts", request("Host: other.example\r\n", Hidden)},
        {"two encodings", request(chunked + chunked, lastChunk + Hidden)},
        {"space before the colon of the encoding", request("Transfer-Encoding : chunked\r\n", lastChunk + Hidden)},
        {"unknown encoding", request("Transfer-Encoding: xchunked\r\n", lastChunk + Hidden)},
        {"identity encoding", request("Transfer-Encoding: identity\r\n", Hidden)},
        {"several encodings", request("Transfer-Encoding: gzip, chunked\r\n", lastChunk + Hidden)},
        {"control character before the encoding",
         request("Transfer-Encoding: \x0b"
                 "chunked\r\n",
                 lastChunk + Hidden)},
        {"chunks in HTTP/1.0",
         "POST /outer HTTP/1.0\r\nHost: test.example\r\nConnection: keep-alive\r\n" + chunked + "\r\n" + lastChunk
             + Hidden},
        {"unknown version", "POST /outer HTTP/1.2\r\nHost: test.example\r\n\r\n" + Hidden},
        {"space in the target", "POST /outer b HTTP/1.1\r\nHost: test.example\r\n\r\n" + Hidden},
        {"control character in the target", "POST /outer\x01 HTTP/1.1\r\nHost: test.example\r\n\r\n" + Hidden},
        {"NUL in the target", "POST /outer\0b HTTP/1.1\r\nHost: test.example\r\n\r\n"s + Hidden},
        {"two spaces before the target", "POST  /outer HTTP/1.1\r\nHost: test.example\r\n\r\n" + Hidden},
        {"two spaces before the version", "POST /outer  HTTP/1.1\r\nHost: test.example\r\n\r\n" + Hidden},
        {"invalid method", "PO{ST /outer HTTP/1.1\r\nHost: test.example\r\n\r\n" + Hidden},
        {"lone CR before the method", "\n\rPOST /outer HTTP/1.1\r\nHost: test.example\r\n\r\n" + Hidden},
        {"lone CR in the request line", "POST /outer HTTP/1.1\rX: a\r\nHost: test.example\r\n\r\n" + Hidden},
    };
}

// Chunks that a reader may see end elsewhere, and sound ones that some readers don't accept.
std::vector<Case> chunkedRequests()
{
    std::vector<Case> cases;
    for (const auto &[name, body] : std::vector<Case> {
             {"plain", "5\r\nhello\r\n0\r\n\r\n"},
             {"extension", "5;a=b\r\nhello\r\n0;c\r\n\r\n"},
             {"trailer", "5\r\nhello\r\n0\r\nX-Any: a\r\n\r\n"},
             {"trailer with a length", "5\r\nhello\r\n0\r\nContent-Length: " + HiddenLength + "\r\n\r\n"},
             {"lone LF in an extension", "5;a\nhello\r\n0;b\n\r\n"},
             {"lone LF as all line ends", "5\nhello\n0\n\n"},
             {"lone CR as all line ends", "5\rhello\r0\r\r"},
             {"lone CR in an extension", "0;a\r\r\n"},
             {"lone CR in a trailer", "0\r\nX-Any: a\r\r\n"},
             {"trailer without a colon", "0\r\nX-Any\r\n\r\n"},
             {"prefix of a hexadecimal number", "0x5\r\nhello\r\n0\r\n\r\n"},
             {"sign", "+5\r\nhello\r\n0\r\n\r\n"},
             {"space behind the size", "5 \r\nhello\r\n0\r\n\r\n"},
             {"space before the size", " 5\r\nhello\r\n0\r\n\r\n"},
             {"no line end behind a chunk", "5\r\nhello0\r\n\r\n"},
             {"size beyond 64 bits", "10000000000000000\r\n\r\n0\r\n\r\n"},
         }) {
        cases.push_back({name, request("Transfer-Encoding: chunked\r\n", body + Hidden)});
    }
    return cases;
}

}

// What a server runs of requests whose limits are ambiguous.
class ServerFramingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerFramingTest);
    CPPUNIT_TEST(ambiguousRequestEndsItsConnection);
    CPPUNIT_TEST(chunkedRequestEndsItsConnection);
    CPPUNIT_TEST(headIsReadAlikeInPieces);
    CPPUNIT_TEST(soundRequestsKeepTheirConnection);
    CPPUNIT_TEST(brokenFramingsHideNoRequest);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a request that is hidden in the body of an ambiguous one running because its refusal keeps the
    // connection.
    void ambiguousRequestEndsItsConnection()
    {
        RecordingServer server;
        for (const auto &[name, bytes] : ambiguousRequests()) {
            const auto seen = server.serve(bytes);
            CPPUNIT_ASSERT_MESSAGE(name, seen.targets.empty());
            CPPUNIT_ASSERT_MESSAGE(name, seen.isEnded);
            CPPUNIT_ASSERT_MESSAGE(name + ": " + seen.received,
                                   seen.received.find("HTTP/1.1 200") == std::string::npos);
        }
    }

    // Guards against a request that follows where only libmicrohttpd sees the last chunk end.
    void chunkedRequestEndsItsConnection()
    {
        RecordingServer server;
        for (const auto &[name, bytes] : chunkedRequests()) {
            const auto seen = server.serve(bytes);
            CPPUNIT_ASSERT_MESSAGE(name, std::ranges::count(seen.targets, "/hidden") == 0);
            CPPUNIT_ASSERT_MESSAGE(name, seen.isEnded);
        }
        const auto plain = server.serve(chunkedRequests().front().bytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), plain.targets.size());
        CPPUNIT_ASSERT_EQUAL("hello"s, plain.bodies.at(0));
        CPPUNIT_ASSERT_MESSAGE(plain.received, plain.received.find("Connection: close") != std::string::npos);
    }

    // Guards against lines that arrive in several reads, or in a head that outgrows the first buffer, being taken for
    // other lines than they are.
    void headIsReadAlikeInPieces()
    {
        RecordingServer server;
        for (const std::size_t fieldBytes : {1U, 100U, 9000U}) {
            std::string fields;
            for (const auto *name : {"X-One", "X-Two", "X-Three"}) {
                fields += name + ": "s + std::string(fieldBytes, 'v') + "\r\n";
            }
            const auto bytes = request(fields + "Cookie: a=b; c=d\r\nX-Empty:\r\nX-Blank:  \t \r\nX-End: a \t\r\n"
                                           + "Content-Length: 4\r\n",
                                       "body");
            for (const std::size_t pieceBytes : {1U, 7U, 5000U, 100000U}) {
                if (bytes.size() / pieceBytes > 2000) {
                    continue;
                }
                const auto seen = server.serve(bytes + bytes, {.pieceBytes = pieceBytes});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(seen.received, std::size_t(2), seen.targets.size());
                CPPUNIT_ASSERT_EQUAL("body"s, seen.bodies.at(1));
            }
        }
    }

    // Guards against the checks refusing requests that are sound.
    void soundRequestsKeepTheirConnection()
    {
        RecordingServer server;
        for (const auto &bytes :
             {request("Content-Length: " + HiddenLength + "\r\n", Hidden), request("Content-Length:0\r\n", ""),
              request("content-length: \t0\r\nX-Any: \xe9\t~\r\n", ""),
              "GET /outer?a=b%20c&d HTTP/1.1\r\nHost: h\r\n\r\n"s, "GET /\xc3\xa9 HTTP/1.1\r\nHost: h\r\n\r\n"s,
              "GET /outer HTTP/1.1\r\n\r\n"s, "\r\nDELETE /outer HTTP/1.1\r\nHost: h\r\n\r\n"s}) {
            const auto seen = server.serve(bytes + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes + "\n" + seen.received, std::size_t(2), seen.targets.size());
            CPPUNIT_ASSERT_EQUAL("/second"s, seen.targets.at(1));
        }
    }

    // Guards against framings that nobody thought of. Sends heads and bodies from a grammar in which any line may be
    // broken, with another request behind them. If the server runs it, its bytes must have lain outside the body by
    // the only possible reading: the outer request was sound.
    void brokenFramingsHideNoRequest()
    {
        RecordingServer server;
        const bool hasPassed = rc::check("a request behind an ambiguous one never runs", [&server] {
            const auto lineEnd
                = *rc::gen::element("\r\n"s, "\r\n"s, "\r\n"s, "\n"s, "\r"s, "\r\n "s, "\0\r\n"s, " \r\n"s);
            const auto colon = *rc::gen::element(": "s, ":"s, " : "s, "\t:"s, ":\x0b"s, ":\0"s);
            const auto name = *rc::gen::element("Content-Length"s, "Transfer-Encoding"s, "content-length"s, "X-Any"s,
                                                "Content_Length"s);
            const auto value = *rc::gen::element("0"s, HiddenLength, "chunked"s, "Chunked"s, "xchunked"s,
                                                 "chunked, chunked"s, "+0"s, "0,0"s, "0x0"s, "00"s, " 0"s, "0 0"s, ""s);
            const auto second = *rc::gen::element(""s, "Content-Length: 0\r\n"s, "Transfer-Encoding: chunked\r\n"s,
                                                  "Content-Length: " + HiddenLength + "\r\n");
            const auto version = *rc::gen::element("HTTP/1.1"s, "HTTP/1.1"s, "HTTP/1.0"s, "HTTP/1.3"s);
            const auto body
                = *rc::gen::element(""s, "0\r\n\r\n"s, "0;a\n\r\n"s, "0\n\n"s, "0\r\nX: y\n\n"s, "00\r\n\r\n"s);
            const auto field = name + colon + value + lineEnd;
            const auto isFirst = *rc::gen::arbitrary<bool>();
            const auto bytes = "POST /outer " + version + "\r\nHost: test.example\r\nConnection: keep-alive\r\n"
                + (isFirst ? field + second : second + field) + "\r\n" + body + Hidden;
            const auto seen = server.serve(bytes);
            if (std::ranges::count(seen.targets, "/hidden") == 0) {
                return;
            }
            // The only heads behind which the hidden request is one of its own: plain lines and one length of zero, or
            // neither a length nor chunks.
            const bool isPlain = lineEnd == "\r\n" || lineEnd == " \r\n";
            const bool isFraming = name != "X-Any" && name != "Content_Length";
            const bool isZero = name != "Transfer-Encoding" && (value == "0" || value == "00" || value == " 0");
            RC_ASSERT(isPlain && (colon == ": " || colon == ":") && body.empty());
            RC_ASSERT((isFraming ? isZero && second.empty() : second.empty() || second == "Content-Length: 0\r\n"));
        });
        CPPUNIT_ASSERT(hasPassed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerFramingTest);
