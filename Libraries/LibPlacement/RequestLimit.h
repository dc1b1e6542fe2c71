#pragma once

#include <LibCore/Time.h>
#include <deque>
#include <optional>

namespace Placement {

struct RequestLimitOptions {
    Core::Duration window = std::chrono::seconds(4); // Over which the limit is averaged.
    // A replica tolerates this multiple of its limit and so many requests more in a window.
    double tolerance = 1.5;
    double burst = 5;
    // The usable part of that. The rest allows for what hosts don't know yet of each other.
    double usableShare = 0.8;
    // About the age of what hosts know of each other. Within this time each uses its part of the room, and takes turns
    // with the others if that is less than a request. Otherwise all of them would use the same room.
    Core::Duration turn = std::chrono::milliseconds(200);
    // After a gap of this length in the news, a new holder has to hear of all hosts first, which takes this time.
    Core::Duration newsGap = std::chrono::milliseconds(1500);
    Core::Duration newsCompleteAfter = std::chrono::milliseconds(1000);
};

// What is known of the hosts that share the limit of a replica.
struct LimitSharing {
    std::size_t hostCount = 1; // Hosts that may send requests, including this one.
    // Differs between hosts, from 0 to 1. Hosts take turns by it.
    double phase = 1;
};

// The number of requests per second that a replica in need accepts from all hosts together, for as long as its
// responses say so. While a host is told what the others send, it uses what is left of the limit. When the news stop,
// it keeps to its part for two windows, and changes to an equal share then. Replicas at their limit cost more than
// others; only what the replica doesn't tolerate is ruled out.
class RequestLimit
{
public:
    // What a response has changed.
    enum class Change { None, Begun, Ended };

    explicit RequestLimit(RequestLimitOptions options = {});

    // Records the limit in a response, in requests per second, or that the response names none. A limit ends only by
    // the response to a request that was sent after the limit was last named: the responses to older ones may be older.
    Change record(std::optional<double> perSecond, Core::TimePoint sentAt, Core::TimePoint now);
    // Records a request of this host, also without a limit: those from before it was named are in its first window.
    void recordSend(Core::TimePoint now);
    // Records how many requests the other hosts have sent within the window, and how many of all that know of the limit
    // have. A new holder knows only some of them at first, so the number of requests counts as falling no faster than
    // requests leave the window, and a larger number of hosts for two windows.
    void recordOthers(unsigned count, std::size_t senders, Core::TimePoint now);
    [[nodiscard]] bool isSet() const;
    // Requests that this host has sent within the window.
    [[nodiscard]] unsigned recent(Core::TimePoint now) const;
    // The requests within the window as a part of what the limit allows in it; zero without a limit.
    [[nodiscard]] double usedShare(Core::TimePoint now) const;
    // The time until this host may send a request; zero if it may at once.
    [[nodiscard]] Core::Duration untilRoom(const LimitSharing &sharing, Core::TimePoint now) const;

private:
    // Requests per window that the replica tolerates from all hosts, as far as they are usable.
    [[nodiscard]] double toleratedPerWindow() const;
    // Requests of the other hosts within the window, as last heard.
    [[nodiscard]] double others(Core::TimePoint now) const;
    // The requests within the window to which this host keeps while it hears nothing of the others.
    [[nodiscard]] double partWithoutNews(double tolerated, std::size_t hostCount, Core::TimePoint now) const;
    // Requests that this host has sent within the time.
    [[nodiscard]] unsigned sentWithin(Core::Duration time, Core::TimePoint now) const;
    // Whether this host may use the room, as a number of requests, at this time.
    [[nodiscard]] bool hasTurn(double room, const LimitSharing &sharing, Core::TimePoint now) const;
    // When this host may send the next request if it sends one per interval.
    [[nodiscard]] Core::TimePoint nextTurn(const LimitSharing &sharing, Core::Duration interval) const;

    RequestLimitOptions m_options;
    std::optional<double> m_perSecond;
    Core::TimePoint m_begunAt {};
    Core::TimePoint m_namedAt {}; // When a response last named it.
    std::deque<Core::TimePoint> m_sends; // Those within the window, and a few older ones.
    double m_others = 0;
    unsigned m_ownAtNews = 0; // Requests of this host in the window when it last heard of the others.
    Core::TimePoint m_othersAt {};
    Core::TimePoint m_newsSince {}; // When the news began after the last gap.
    std::size_t m_senders = 1;
    Core::TimePoint m_sendersAt {}; // When there were that many or more.
};

}
