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

// What the tickets in force say of a request for an adapter.
struct ResolvedAdapter {
    Core::AdapterVersion adapter;
    std::string baseModel;
    std::uint64_t sequence = 0; // Of the tickets that decided it.
};

enum class ResolveRefusal {
    UnknownAdapter,
    UnknownVersion,
    // No rule lets the customer reach the adapter.
    NotAllowed,
    Retired,
};

using Resolution = std::variant<ResolvedAdapter, ResolveRefusal>;

// The objects as the tickets up to one sequence have left them. Sequences are applied in order, each once;
// a lower or doubled one changes nothing. Copies share their objects, so that copying is cheap.
class TicketState
{
public:
    enum class ApplyOutcome { Applied, AlreadyApplied, OutOfOrder };

    TicketState() = default;
    explicit TicketState(const TicketSnapshot &snapshot);

    // Applies the next ticket.
    ApplyOutcome apply(const FeedEntry &entry);

    // The sequence of the last applied ticket; zero before the first.
    [[nodiscard]] std::uint64_t sequence() const;
    // Decides which adapter version answers. The model is "adapter" or "adapter@version".
    [[nodiscard]] Resolution resolve(const Core::CustomerId &customer, std::string_view model) const;
    // The route of a path prefix, or null.
    [[nodiscard]] const ServiceRouteState *findRoute(std::string_view name) const;
    // The adapter of that name, or null.
    [[nodiscard]] const AdapterState *findAdapter(std::string_view name) const;
    // All adapters by name; copies them.
    [[nodiscard]] std::map<std::string, AdapterState> adapters() const;
    // The number of the ticket that last wrote an object, by the object's key; zero when none has.
    [[nodiscard]] std::uint64_t objectNumber(std::string_view key) const;
    // Everything, for a host that can't read the feed.
    [[nodiscard]] TicketSnapshot snapshot() const;

private:
    // The names of the rules that hold one pattern.
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
