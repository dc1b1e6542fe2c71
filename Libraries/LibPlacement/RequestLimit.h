#pragma once

#include <LibCore/Time.h>
#include <deque>
#include <optional>

namespace Placement {

struct RequestLimitOptions {
    Core::Duration window = std::chrono::seconds(4); // Over which the limit is averaged.
    // A replica whose limit is lower is sent this many requests per window all the same, because only their responses
    // show that it is limited no longer.
    double minPerWindow = 1;
};

// What is known of the other hosts that share the limit of a replica.
struct LimitSharing {
    std::optional<unsigned> othersRecent; // Requests that they have sent within the window; empty if that isn't known.
    std::size_t hostCount = 1; // Hosts that may send requests, including this one.
    // Differs between hosts, from 0 to 1. Hosts that send less than one request per window take turns by it.
    double phase = 1;
};

// The number of requests per second that a replica in need accepts from all hosts together, for as long as its
// responses say so. While the requests of the other hosts are known, whoever has one uses what is left of the limit.
// Otherwise each host keeps to an equal share.
class RequestLimit
{
public:
    // What a response has changed.
    enum class Change { None, Begun, Ended };

    explicit RequestLimit(RequestLimitOptions options = {});

    // Records the limit in a response, in requests per second, or that the response names none. A limit ends only by
    // the response to a request that was sent after the limit was last named: the responses to older ones may be older.
    Change record(std::optional<double> perSecond, Core::TimePoint sentAt, Core::TimePoint now);
    // Records a request of this host. Has no effect without a limit.
    void recordSend(Core::TimePoint now);
    [[nodiscard]] bool isSet() const;
    // Requests that this host has sent within the window; zero without a limit.
    [[nodiscard]] unsigned recent(Core::TimePoint now) const;
    // The part of the limit that is used: 1 or more if no further request may be sent, 0 without a limit.
    [[nodiscard]] double usedShare(const LimitSharing &sharing, Core::TimePoint now) const;
    // The time until this host may send a request; zero if it may at once.
    [[nodiscard]] Core::Duration untilRoom(const LimitSharing &sharing, Core::TimePoint now) const;

private:
    [[nodiscard]] double allowedPerWindow() const;
    [[nodiscard]] double equalShare(const LimitSharing &sharing) const;
    // The interval between requests of this host if an equal share is less than one request per window.
    [[nodiscard]] std::optional<Core::Duration> sparseInterval(const LimitSharing &sharing) const;
    // When this host may send the next request if it sends one per interval.
    [[nodiscard]] Core::TimePoint nextTurn(const LimitSharing &sharing, Core::Duration interval) const;

    RequestLimitOptions m_options;
    std::optional<double> m_perSecond;
    Core::TimePoint m_begunAt {};
    Core::TimePoint m_namedAt {}; // When a response last named it.
    std::deque<Core::TimePoint> m_sends; // Those within the window, and a few older ones.
};

}
