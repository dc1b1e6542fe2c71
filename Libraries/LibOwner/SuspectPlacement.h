#pragma once

#include <LibOwner/WaitingQueue.h>
#include <map>

namespace Owner {

// Which of an owner's targets runs a request during which another target died. No two of them run on one target
// at a time, so that the next death tells which of them is to blame.
class SuspectPlacement
{
public:
    // True when the request may be placed on the target.
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
