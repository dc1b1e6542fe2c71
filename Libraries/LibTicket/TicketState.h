#pragma once

#include <LibCore/Identifier.h>
#include <LibTicket/SharedMap.h>
#include <LibTicket/Ticket.h>
#include <LibTicket/TicketSnapshot.h>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace Ticket {

// The adapter version that serves a request.
struct ResolvedAdapter {
    Core::AdapterVersion adapter;
    std::string baseModel;
    std::uint64_t sequence = 0; // The last ticket that was applied when the request was resolved.
};

enum class ResolveRefusal {
    UnknownAdapter,
    UnknownVersion,
    // No rule lets the customer use the adapter.
    NotAllowed,
    Retired,
};

using Resolution = std::variant<ResolvedAdapter, ResolveRefusal>;

// The objects that result from all tickets up to a sequence. Entries are applied in the order of their sequence; an
// entry that was applied already, or that follows a missing one, changes nothing. Copies share their objects, so
// copying is cheap.
class TicketState
{
public:
    enum class ApplyOutcome { Applied, AlreadyApplied, OutOfOrder };

    TicketState() = default;
    explicit TicketState(const TicketSnapshot &snapshot);

    // Applies the entry if it follows the last one.
    ApplyOutcome apply(const FeedEntry &entry);

    // Returns the sequence of the last applied ticket, or zero.
    [[nodiscard]] std::uint64_t sequence() const;
    // Selects the adapter version for a request. The model is "adapter" or "adapter@version".
    [[nodiscard]] Resolution resolve(const Core::CustomerId &customer, std::string_view model) const;
    // Returns null if the path prefix has no route.
    [[nodiscard]] const ServiceRouteState *findRoute(std::string_view name) const;
    // Returns null if there is no such adapter.
    [[nodiscard]] const AdapterState *findAdapter(std::string_view name) const;
    // Returns a copy of all adapters, keyed by name.
    [[nodiscard]] std::map<std::string, AdapterState> adapters() const;
    // Returns the number of the ticket that last changed the object with this key, or zero.
    [[nodiscard]] std::uint64_t objectNumber(std::string_view key) const;
    // Returns the complete state, for a host that can't read the feed.
    [[nodiscard]] TicketSnapshot snapshot() const;

private:
    // The names of the rules that contain a pattern.
    using RuleNames = std::set<std::string>;

    void put(const ObjectState &object, std::uint64_t number);
    void putRule(const RuleState &rule);
    [[nodiscard]] bool isAllowed(const Core::CustomerId &customer, const std::string &adapter) const;
    [[nodiscard]] bool isAllowedBy(const Core::CustomerId &customer, std::string_view pattern) const;
    template<typename Object>
    [[nodiscard]] std::vector<NumberedObject<Object>> numbered(const SharedMap<Object> &objects) const;

    std::uint64_t m_sequence = 0;
    SharedMap<AdapterState> m_adapters;
    SharedMap<RuleState> m_rules;
    SharedMap<RuleNames> m_rulesByPattern;
    SharedMap<ServiceRouteState> m_routes;
    SharedMap<std::uint64_t> m_objectNumbers;
};

}
