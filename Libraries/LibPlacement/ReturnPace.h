#pragma once

#include <LibCore/Time.h>
#include <LibPlacement/RequestLimit.h>
#include <cstdint>
#include <deque>
#include <optional>

namespace Placement {

struct ReturnPaceOptions {
    // The part of the slots that a replica of a known kind gets at first.
    double initialShare = 0.25;
    double lowest = 1; // Requests in progress that are always allowed, over all hosts.
    // About the age of what hosts know of each other. Hosts take turns of this length.
    Core::Duration turn = std::chrono::milliseconds(200);
    Core::Duration signWindow = std::chrono::seconds(1); // Over which hosts count their signs.
    // After the limit was lowered, late responses at other hosts show the load from before for this long.
    Core::Duration settleTime = std::chrono::milliseconds(1500);
    // The share of late responses at the other hosts that lowers the limit. Now and then, a single one is late
    // anywhere.
    double lateShare = 0.2;
    Core::Duration quietTime = std::chrono::seconds(10); // Without a late response, after which the limit is lifted.
    // A replica that stays slow for this long is slow by nature, which the limit doesn't mend.
    Core::Duration maxDuration = std::chrono::seconds(120);
};

// What a host has seen within the sign window of a replica that has returned.
struct ReturnSigns {
    unsigned usual = 0; // Responses in the usual time.
    unsigned late = 0; // Late and failed responses.
    unsigned wanted = 0; // Requests that were sent to the replica, or would have been without its limit.
};

// The load of a replica as known to one host.
struct ReturnLoad {
    unsigned slots = 1;
    unsigned own = 0; // Requests of this host in progress.
    std::optional<unsigned> others; // Requests of the other hosts; empty if nothing is known of them.
    ReturnSigns othersSigns; // Sum over the other hosts.
    Core::Duration usualTime {}; // Usual response time; zero if unknown.
    unsigned unrecordedDemand = 0; // Requests of this host for the replica for which recordDemand() wasn't called.
};

// The limit on the requests in progress at one replica, over all hosts, from its return until it has shown its usual
// response time with all its slots in use. The limit doubles with each round of responses in the usual time, up to half
// of what it was at the last late one, and increases by one with each further round. A late or failed response halves
// it. It is never raised above twice the load under which the responses were seen. A host takes the responses that the
// other hosts report into account as its own. Where hosts know nothing of each other, each response counts for those
// that the others are likely to see, and each host keeps to its part of the limit.
class ReturnPace
{
public:
    // Why the replica returns.
    enum class Cause : std::uint8_t {
        // It is new or has started again.
        Started,
        // It has started again although its last return wasn't complete.
        CrashedAgain,
        // The same incarnation is listed or can be reached again.
        Reappeared,
    };
    enum class Response : std::uint8_t { Usual, Late, Failed };

    explicit ReturnPace(ReturnPaceOptions options = {});

    void begin(Cause cause, unsigned slots, Core::TimePoint now);
    void end();
    [[nodiscard]] bool isActive(Core::TimePoint now) const;
    // Records the load as it is known now. A replica that reappears and serves much for other hosts isn't limited.
    void recordLoad(const ReturnLoad &load, Core::TimePoint now);
    // Records a response to a request that was sent at this time; the load includes that request.
    void recordResponse(Response response, const ReturnLoad &load, const LimitSharing &sharing, Core::TimePoint sentAt,
                        Core::TimePoint now);
    // What this host has seen, for the other hosts.
    [[nodiscard]] ReturnSigns signs(Core::TimePoint now) const;
    // Records that this host has a request for the replica, whether or not it is sent there.
    void recordDemand(Core::TimePoint now);
    void recordSend(Core::TimePoint now);
    // Whether this host may send a request now.
    [[nodiscard]] bool hasRoom(const ReturnLoad &load, const LimitSharing &sharing, Core::TimePoint now) const;
    // The part of the limit that is in use; zero without a limit.
    [[nodiscard]] double usedShare(const ReturnLoad &load, const LimitSharing &sharing, Core::TimePoint now) const;
    // Requests in progress that are allowed, over all hosts.
    [[nodiscard]] double limit() const;

private:
    // Raises the limit for so many responses in the usual time, under this load.
    void raise(double responses, double total);
    void lower(Core::TimePoint now);
    // Applies what the other hosts have seen since the last call.
    void applySigns(const ReturnLoad &load, Core::TimePoint now);
    // The least load by the other hosts in the last second or two; zero if it isn't known.
    [[nodiscard]] unsigned keptUp(Core::TimePoint now) const;
    // Whether it is this host's turn to use the room, given how many hosts are likely to have a request.
    [[nodiscard]] bool hasTurn(double room, Core::Duration turn, const ReturnLoad &load, const LimitSharing &sharing,
                               Core::TimePoint now) const;
    // Requests that this host has sent in the turn.
    [[nodiscard]] unsigned sentIn(std::int64_t turnNumber, Core::Duration turn) const;
    // Requests that all hosts together are likely to have for the replica during a turn; infinite if nothing is known.
    [[nodiscard]] double expectedDemand(Core::Duration turn, const ReturnLoad &load, const LimitSharing &sharing,
                                        Core::TimePoint now) const;
    // Adds to the times and drops those that have left the sign window.
    void add(std::deque<Core::TimePoint> &times, Core::TimePoint now) const;
    [[nodiscard]] unsigned recent(const std::deque<Core::TimePoint> &times, Core::TimePoint now) const;

    ReturnPaceOptions m_options;
    bool m_isActive = false;
    Cause m_cause = Cause::Started;
    unsigned m_slots = 1;
    double m_limit = 0;
    double m_threshold = 0; // Above it, the limit increases by one each round.
    Core::TimePoint m_begunAt {};
    Core::TimePoint m_loweredAt {}; // When a late response last halved the limit.
    Core::TimePoint m_quietSince {}; // The begin, or the last late response.
    std::deque<Core::TimePoint> m_sends; // Those of this host within the longest turn.
    // Times of what this host has seen within the sign window.
    std::deque<Core::TimePoint> m_usual;
    std::deque<Core::TimePoint> m_late;
    std::deque<Core::TimePoint> m_wanted;
    Core::TimePoint m_signsAt {}; // When the signs of the others were last applied.
    // The least load by other hosts, in this period and the one before.
    Core::TimePoint m_periodAt {};
    unsigned m_periodLeast = 0;
    unsigned m_previousLeast = 0;
};

}
