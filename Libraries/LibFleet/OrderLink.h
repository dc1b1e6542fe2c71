#pragma once

#include <LibFleet/Replica.h>
#include <functional>

namespace Fleet {

enum class OrderVerb { Load, Unload };

// An order to a replica to hold a model or one adapter of it, or to drop it.
struct ReplicaOrder {
    OrderVerb verb = OrderVerb::Load;
    std::string model;
    std::string adapter; // Empty for the model itself.
    std::uint64_t version = 0; // Of the adapter; zero for the newest.
    std::uint64_t expectedOrderCount = 0; // Orders that the replica must have accepted so far.
    Core::HostId holder; // The host that gives orders to this replica.
    std::uint64_t fence = 0; // The number of that right; rises with each holder.
    Core::Duration responseTimeout {}; // How long an answer is waited for.
};

enum class OrderOutcome {
    // It is being carried out.
    Accepted,
    // It holds already, or has been carried out at once.
    Completed,
    // Another order is being carried out, or the replica has accepted a different number of orders.
    Conflict,
    // It was refused for another reason, or the address belongs to another replica; it won't be carried out.
    Refused,
    // No answer arrived; it may be carried out, now or seconds later.
    Unknown,
    // It surely never arrived.
    NotSent,
};

// Orders to replicas, and their own reports.
class OrderLink
{
public:
    using OrderFunction = std::function<void(OrderOutcome outcome, const std::string &detail)>;
    using ReportFunction = std::function<void(std::optional<ReplicaReport>)>;

    virtual ~OrderLink() = default;
    // Each function runs exactly once, never inside the call.
    virtual void order(const Replica &replica, const ReplicaOrder &order, OrderFunction done) = 0;
    virtual void report(const Replica &replica, ReportFunction done) = 0;
};

}
