#pragma once

#include <LibFleet/Replica.h>
#include <functional>

namespace Fleet {

enum class OrderVerb { Load, Unload };

// An order to a replica to load or unload a model or one of the model's adapters.
struct ReplicaOrder {
    OrderVerb verb = OrderVerb::Load;
    std::string model;
    std::string adapter; // Empty for the model itself.
    std::uint64_t version = 0; // Adapter version; zero for the newest.
    std::uint64_t expectedOrderCount = 0; // Number of orders that the replica must have accepted before this one.
    Core::HostId holder; // The host that currently may give orders to this replica.
    std::uint64_t fence = 0; // Fencing token, which increases with each new holder.
    Core::Duration responseTimeout {}; // Time to wait for the response.
    // The order before had no response, so that an open connection to the replica may be dead.
    bool needsFreshConnection = false;
    // Whether the holder may still send the order; asked right before that. If not, the outcome is NotSent.
    std::function<bool()> isPermitted;
};

enum class OrderOutcome {
    // The replica has accepted the order and is executing it.
    Accepted,
    // The replica was already in the ordered state, or executed the order at once.
    Completed,
    // The replica is executing another order, or has accepted a different number of orders than expected.
    Conflict,
    // The replica refused the order for another reason, or the address belongs to another replica. The order
    // will not be executed.
    Refused,
    // No usable response arrived. The replica may execute the order, possibly seconds later.
    Unknown,
    // The order was not sent, so the replica will not execute it.
    NotSent,
};

// Sends orders to replicas and reads their reports.
class OrderLink
{
public:
    using OrderFunction = std::function<void(OrderOutcome outcome, const std::string &detail)>;
    using ReportFunction = std::function<void(std::optional<ReplicaReport>)>;
    using LeavingFunction = std::function<void(const Replica &)>;

    virtual ~OrderLink() = default;
    // Each callback runs exactly once, never before the call returns.
    virtual void order(const Replica &replica, const ReplicaOrder &order, OrderFunction done) = 0;
    virtual void report(const Replica &replica, ReportFunction done) = 0;

    // Called whenever a replica says in a response that it leaves, before the callback of the call.
    void onLeaving(LeavingFunction leaving)
    {
        m_leaving = std::move(leaving);
    }

protected:
    void announceLeaving(const Replica &replica) const
    {
        if (m_leaving) {
            m_leaving(replica);
        }
    }

private:
    LeavingFunction m_leaving;
};

}
