#pragma once

#include <LibOwner/WaitingQueue.h>
#include <map>

namespace Owner {

// Records which targets run a suspect: a request during which a target died. A target runs at most one suspect at a
// time, so that a further death can be attributed to a single request.
class SuspectPlacement
{
public:
    // Returns true if the request may be placed on the target.
    [[nodiscard]] bool allows(const Core::TargetId &target, const WaitingRequest &request) const
    {
        return !request.isSuspect || !m_suspects.contains(target);
    }

    void place(const Core::TargetId &target, const WaitingRequest &request)
    {
        if (request.isSuspect) {
            m_suspects[target] = request.grant;
        }
    }

    void release(const Core::GrantId &grant)
    {
        std::erase_if(m_suspects, [&](const auto &entry) {
            return entry.second == grant;
        });
    }

private:
    std::map<Core::TargetId, Core::GrantId> m_suspects;
};

}
