#pragma once

#include <LibCore/Time.h>
#include <string_view>

namespace Placement {

struct AdmissionShareOptions {
    // A response that takes up to this part of its latency objective shows that the server has room, and one that takes
    // more than the other part shows that a queue is about to make responses late. Between the two, nothing changes.
    double roomPart = 0.5;
    double latePart = 0.75;
    double decrease = 0.75; // The factor by which a late response lowers the share.
    double increase = 1.2; // The factor by which a response with room raises it.
    // Late responses within this time are of requests that waited in the same queue, and count once.
    Core::Duration settleTime = std::chrono::milliseconds(150);
    double least = 0.1; // Enough requests are sent to notice that the server has room again.
    // The share recovers by itself within some seconds, for hosts that have sent too few requests to learn.
    double recoveryPerSecond = 0.1;
};

// The share of its requests that a host sends to one server without a queue of its own: a plain service whose responses
// become late. A server whose queue is as long as its callers wait answers every request late. Hosts that send so much
// less that its queue stays short get as many responses, on time, and refuse the rest at once. Each host learns from
// its own responses, as it sends only a few requests per second to such a server.
class AdmissionShare
{
public:
    explicit AdmissionShare(AdmissionShareOptions options = {});

    // Records a response that took the given time, for a route with the given latency objective.
    void recordResponse(Core::Duration time, Core::Duration objective, Core::TimePoint now);
    // Records that the server had no room for a request.
    void recordRejection(Core::TimePoint now);
    // Whether to send the request. The same for every attempt of the request.
    [[nodiscard]] bool admits(std::string_view request, Core::TimePoint now) const;
    // Whether the request belongs to the given part of all requests. One in a part belongs to every larger part.
    [[nodiscard]] static bool isInPart(std::string_view request, double part);
    // From the least share to 1.
    [[nodiscard]] double share(Core::TimePoint now) const;

private:
    void lower(Core::TimePoint now);

    AdmissionShareOptions m_options;
    double m_share = 1;
    Core::TimePoint m_changedAt {};
    Core::TimePoint m_loweredAt {};
};

}
