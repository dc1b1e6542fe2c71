#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Owner {

// A request that waits for a grant.
struct WaitingRequest {
    Core::GrantId grant;
    Core::AdapterVersion adapter;
    std::string baseModel;
    Core::CustomerId customer;
    Core::TimePoint arrivedAt {};
    Core::TimePoint deadline {};
    std::vector<Core::TargetId> avoid; // Targets that recently failed the front; used only if no other can serve.
    bool isSuspect = false; // A target died while it ran this request. A target runs one suspect at a time.

    // Returns true if the request may be unable to run on some of the targets that hold its adapter.
    [[nodiscard]] bool isConstrained() const
    {
        return isSuspect || !avoid.empty();
    }
};

// The requests that wait for a grant, grouped by adapter. Each group is in order of arrival. Also counts the grants of
// each customer for fair queueing, so that customers with waiting requests get equal shares.
class WaitingQueue
{
public:
    using Groups = std::map<Core::AdapterVersion, std::vector<WaitingRequest>>;

    void push(WaitingRequest request);
    // Returns false if no request waits for the grant.
    bool remove(const Core::GrantId &grant);
    // Removes and returns all requests for which the function returns true.
    [[nodiscard]] std::vector<WaitingRequest>
    extractMatching(const std::function<bool(const WaitingRequest &)> &matches);
    // Removes and returns all requests for the adapter.
    [[nodiscard]] std::vector<WaitingRequest> extractGroup(const Core::AdapterVersion &adapter);
    // Removes and returns a request that is being granted, and counts it for its customer.
    [[nodiscard]] WaitingRequest extractForGrant(const WaitingRequest &request);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] const Groups &groups() const;
    [[nodiscard]] std::size_t waitingFor(const Core::AdapterVersion &adapter) const;
    // Returns the customer's grant count for fair queueing. The customer with the lowest count is granted next.
    [[nodiscard]] double served(const Core::CustomerId &customer) const;

private:
    std::size_t m_size = 0;
    Groups m_groups;
    double m_minServed = 0; // Lower bound of every customer's count, so that idle time earns no credit.
    std::map<Core::CustomerId, double> m_served;
};

}
