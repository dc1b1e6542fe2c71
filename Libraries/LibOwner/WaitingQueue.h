#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
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
};

// The requests that wait for a grant, grouped by the adapter they need. Within the bound each group keeps the order of
// arrival. It also counts what each customer was served, so that the shares of those that wait can be kept equal.
class WaitingQueue
{
public:
    using Groups = std::map<Core::AdapterVersion, std::vector<WaitingRequest>>;

    void push(WaitingRequest request);
    // Returns false when no such request waits.
    bool remove(const Core::GrantId &grant);
    // Takes out every request whose deadline has passed.
    [[nodiscard]] std::vector<WaitingRequest> takeExpired(Core::TimePoint now);
    // Takes out every request for the adapter.
    [[nodiscard]] std::vector<WaitingRequest> takeGroup(const Core::AdapterVersion &adapter);
    // Takes out a request that is served, and counts it for its customer.
    [[nodiscard]] WaitingRequest serve(const WaitingRequest &request);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] const Groups &groups() const;
    [[nodiscard]] std::size_t waitingFor(const Core::AdapterVersion &adapter) const;
    // How far a customer's service is ahead; the customer with the lowest number is to be served next.
    [[nodiscard]] double served(const Core::CustomerId &customer) const;

private:
    std::size_t m_size = 0;
    Groups m_groups;
    double m_servedFloor = 0; // What a customer starts from that did not wait before.
    std::map<Core::CustomerId, double> m_served;
};

}
