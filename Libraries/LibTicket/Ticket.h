#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Ticket {

// The whole new state of one adapter.
struct AdapterState {
    std::string name;
    std::string baseModel;
    std::vector<std::string> versions; // Every version a caller may name.
    std::string currentVersion; // The one that answers a request without a version; one of the versions.
    bool isRetired = false; // A retired adapter answers no new request.

    bool operator==(const AdapterState &) const = default;
};

// The whole new state of one rule: which customers reach which adapters.
struct RuleState {
    std::string name;
    std::vector<std::string> customers; // "*" is every customer.
    std::vector<std::string> adapters; // A name, or a prefix ending in "*".

    bool operator==(const RuleState &) const = default;
};

// The whole new state of one path prefix under which calls reach a plain application service.
struct ServiceRouteState {
    std::string name; // The path prefix without slashes, for example "seats".
    std::string service; // The role of the service's targets in the platform's list.
    std::vector<std::string> idempotentMethods; // For example "GET"; calls by any other method run at most once.
    // The path at the targets under which an attempt can be fenced, for example "/attempts"; empty when it can't.
    std::string fencePath;

    bool operator==(const ServiceRouteState &) const = default;
};

using ObjectState = std::variant<AdapterState, RuleState, ServiceRouteState>;

// The key of an object in the table service, for example "adapter/outline-sohar".
[[nodiscard]] std::string objectKey(const ObjectState &object);

// A numbered change: the whole new state of every object it touches.
struct Ticket {
    std::uint64_t number = 0;
    std::string submittedBy;
    std::vector<ObjectState> objects;

    bool operator==(const Ticket &) const = default;
};

// An accepted ticket at its place in the order in which tickets take effect.
struct FeedEntry {
    std::uint64_t sequence = 0; // The first accepted ticket has 1; no number is left out.
    Ticket ticket;
};

}
