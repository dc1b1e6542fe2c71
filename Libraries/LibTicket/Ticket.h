#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Ticket {

// The complete new state of an adapter, which is a set of weights that engines load on top of a base model.
struct AdapterState {
    std::string name;
    std::string baseModel;
    std::vector<std::string> versions; // The versions that a request may name.
    std::string currentVersion; // One of the versions; it serves requests that name none.
    bool isRetired = false; // New requests for a retired adapter are refused.

    bool operator==(const AdapterState &) const = default;

    MSGPACK_DEFINE(name, baseModel, versions, currentVersion, isRetired)
};

// The complete new state of an access rule, which lets customers use adapters.
struct RuleState {
    std::string name;
    std::vector<std::string> customers; // "*" matches every customer.
    std::vector<std::string> adapters; // Names, or prefixes that end in "*".

    bool operator==(const RuleState &) const = default;

    MSGPACK_DEFINE(name, customers, adapters)
};

// The complete new state of a route, which forwards calls under a path prefix to an application service.
struct ServiceRouteState {
    std::string name; // The path prefix without slashes, for example "seats".
    std::string service; // The role of the service's targets in the platform's host list.
    std::vector<std::string> idempotentMethods; // For example "GET"; calls with other methods run at most once.
    // The path at the targets under which an attempt can be fenced, for example "/attempts"; empty if the service
    // doesn't support fencing.
    std::string fencePath;

    bool operator==(const ServiceRouteState &) const = default;

    MSGPACK_DEFINE(name, service, idempotentMethods, fencePath)
};

using ObjectState = std::variant<AdapterState, RuleState, ServiceRouteState>;

// The key of an object in the table service, for example "adapter/outline-sohar".
[[nodiscard]] std::string objectKey(const ObjectState &object);

// A ticket is a numbered configuration change. It contains the complete new state of every object that it changes.
struct Ticket {
    std::uint64_t number = 0;
    std::string submittedBy;
    std::vector<ObjectState> objects;

    bool operator==(const Ticket &) const = default;
};

// An accepted ticket with its position in the feed, which is the log of all accepted tickets in the order in which
// they take effect.
struct FeedEntry {
    std::uint64_t sequence = 0; // Starts at 1 and has no gaps.
    Ticket ticket;
};

}
