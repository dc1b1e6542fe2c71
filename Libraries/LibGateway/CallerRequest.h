#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibGateway/RequestAccount.h>
#include <LibNet/HttpRequest.h>
#include <LibNet/HttpServer.h>
#include <optional>
#include <string>

namespace Gateway {

// A caller's request in the form in which it is forwarded.
struct CallerRequest {
    std::string attemptId; // The caller's ID of this attempt, which the response must repeat.
    std::string method;
    std::string host;
    std::string target; // Path and query, exactly as received.
    // End-to-end headers, without those that only the system may set.
    Net::HttpFields fields;
    Net::SharedBytes body;
    std::optional<Core::Duration> timeout; // How long the caller waits for the response.
    std::string model; // Empty if the request needs no model.
    std::string adapter; // Empty for the base model.
    // Fingerprints of the parts of the prompt that other requests may share, which excludes its last part.
    std::vector<std::uint64_t> promptParts;
    // The key of the caller's account. Empty if the request carries none, or several.
    std::string accountKey;
    std::optional<std::uint64_t> statedTokens; // Prompt and output tokens that the request states, if it does.
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // Expected number, or the maximum if no expectation was given.
    std::optional<std::uint64_t> lastEventId; // The caller resumes a stream after this event.
    // No value for requests that need a model, and if the configuration has no accounts.
    std::optional<AccountAdmission> admission;
};

// The parameters that one attempt at a replica adds to a request.
struct Dispatch {
    Core::TargetId replica;
    std::string address;
    std::uint64_t adapterVersion = 0; // Version that the replica must have; zero for any.
    int priority = 0; // 0 is the most urgent.
    // The account's name, empty on public routes; no value if requests need no account. With a value, what the caller
    // has sent about its account is replaced.
    std::optional<std::string> account;
    Core::Duration remaining {}; // Time left until the deadline of the request.
    std::optional<std::uint64_t> lastEventId; // The replica resumes the stream after this event.
};

// The status and headers of a replica's response.
struct ResponseHead {
    long status = 0;
    bool hasNotRun = false; // The replica did not run the request and never will.
    bool readsAsNotRun = false; // Callers take the status for a promise that the request has not run.
    // The response carries the header that replicas add. A response without it isn't accepted as the replica's.
    bool hasServerStamp = false;
    bool isEncoded = false; // The body has a content encoding, so its bytes aren't those of the replica.
    bool isEventStream = false;
    bool isFramed = false; // By a length or chunks, so that a body that is cut short shows.
    bool hasLength = false; // The head says how long the body is.
    bool isLeaving = false; // The replica is about to stop and wants no new requests.
    std::optional<Core::Duration> pause; // The replica wants no requests from this host for this long.
    // The requests per second that the replica accepts from all hosts together, until a response names no limit.
    std::optional<double> requestLimit;
    bool namesNoLimit = false; // False too if the response names a limit that can't be read.
    std::string attemptId;
    Net::HttpFields fields; // Headers that are forwarded to the caller.
};

// Converts requests and responses between HTTP and the types above, with the headers of one platform.
class Protocol
{
public:
    virtual ~Protocol() = default;
    [[nodiscard]] virtual CallerRequest readRequest(const Net::ServerRequest &request) const = 0;
    [[nodiscard]] virtual Net::HttpRequest writeRequest(const CallerRequest &request,
                                                        const Dispatch &dispatch) const = 0;
    [[nodiscard]] virtual ResponseHead readHead(long status, const Net::HttpFields &fields) const = 0;
};

}
