#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>
#include <optional>
#include <string>

namespace Gateway {

// A caller's request as it is to be passed on.
struct CallerRequest {
    std::string attemptId; // The caller's own id of this attempt; an answer must name it.
    std::string method;
    std::string host;
    std::string target; // Path and query, exactly as they were sent.
    Net::HttpFields fields; // Headers that concern more than one connection, without those that the system sets.
    std::string body;
    std::optional<Core::Duration> patience; // How long the caller waits.
    std::string model; // Empty when the request is for no model.
    std::string adapter; // Empty for the base model.
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // As expected, or the most.
    std::optional<std::uint64_t> lastEventId; // The stream goes on after this event.
};

// What one attempt at a replica adds to the request.
struct Dispatch {
    Core::TargetId replica;
    std::string address;
    std::uint64_t adapterVersion = 0; // Which the replica must have; zero for any.
    int priority = 0; // 0 is the most urgent.
    Core::Duration remaining {}; // The time that is left to answer.
    std::optional<std::uint64_t> lastEventId;
};

// What the head of a replica's answer says.
struct AnswerHead {
    long status = 0;
    bool hasNotRun = false; // The replica did not run the request, and never will.
    bool isVouchedFor = false; // It carries the replica's own mark; a success without it is none.
    bool isEncoded = false; // The body isn't the replica's own bytes.
    bool isEventStream = false;
    std::string attemptId;
    Net::HttpFields fields; // Those that are passed on to the caller.
};

// How requests and answers are spoken between callers, this system and replicas.
class Protocol
{
public:
    virtual ~Protocol() = default;
    [[nodiscard]] virtual CallerRequest readRequest(const Net::ServerRequest &request) const = 0;
    [[nodiscard]] virtual Net::HttpRequest writeRequest(const CallerRequest &request,
                                                        const Dispatch &dispatch) const = 0;
    [[nodiscard]] virtual AnswerHead readHead(long status, const Net::HttpFields &fields) const = 0;
};

}
