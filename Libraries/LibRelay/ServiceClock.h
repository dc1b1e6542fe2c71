#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Relay {

// Relates the monotonic clock of the table service, which all hosts can read, to the clock of this host. A time that
// another host states on the service's clock can then be used here, however long its message was on the way.
class ServiceClock
{
public:
    // Records the service's time in the response to a call that was sent at the given time.
    void record(Core::TimePoint sentAt, std::chrono::milliseconds serviceTime);
    // A time of this host's clock that isn't later than the given time of the service; no value before the first
    // response.
    [[nodiscard]] std::optional<Core::TimePoint> toLocal(std::chrono::milliseconds serviceTime) const;
    // A time of the service that isn't later than the given time of this host's clock, which is the sending of a call
    // whose response, received now, states the service's time.
    [[nodiscard]] static std::chrono::milliseconds toService(Core::TimePoint sentAt, Core::TimePoint now,
                                                             std::chrono::milliseconds serviceTime);

private:
    // The latest local time known to precede the service's zero; grows as faster responses narrow it.
    std::optional<Core::TimePoint> m_zero;
};

}
