#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Gateway {

// Until when the active configuration is known to include every change that operators made. A host that is cut off
// from the platform doesn't learn that a key was revoked, and may go on accepting it only for a bounded time. Times are
// those of Core::Scheduler::now(), which include time for which the host was suspended.
class ConfigurationProof
{
public:
    // The active configuration includes all changes that were acknowledged before the given time.
    void record(Core::TimePoint provenAt);
    // The newest configuration can't be read, so that the active one proves nothing until it is replaced.
    void suspend();
    // A readable configuration has become active.
    void resume();
    // Whether the active configuration includes every change that was acknowledged longer than the given time ago.
    [[nodiscard]] bool isWithin(Core::Duration age, Core::TimePoint now) const;

private:
    std::optional<Core::TimePoint> m_provenAt;
    bool m_isSuspended = false;
};

}
