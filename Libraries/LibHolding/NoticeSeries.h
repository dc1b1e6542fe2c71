#pragma once

#include <LibHolding/HoldingMessages.h>

namespace Holding {

// The notices about one replica. Most of them hold only what has changed since the one before, because a replica's
// adapters change much more slowly than its load.
class NoticeSeries
{
public:
    // The first number of the series. Series of different holders should start at different numbers.
    explicit NoticeSeries(std::uint64_t firstNumber);

    // Records the state of the replica.
    void advance(ReplicaNotice complete);

    // What has changed with the last call of advance().
    [[nodiscard]] const ReplicaNotice &difference() const;
    // The state as of the last call of advance().
    [[nodiscard]] const ReplicaNotice &complete() const;
    // Whether the last call of advance() changed anything.
    [[nodiscard]] bool isChanged() const;

private:
    ReplicaNotice m_complete;
    ReplicaNotice m_difference;
    bool m_isChanged = true;
};

}
