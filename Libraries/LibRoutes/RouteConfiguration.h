#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Routes {

// What may be repeated of a route's requests.
enum class RequestKind {
    // Idempotent: may run more than once.
    Safe,
    // May run at most once for each attempt of a caller.
    Unsafe,
    // Answers with a series of events; runs at most once unless the route is resumable.
    Stream,
};

// A service and its part of a route's requests.
struct ServiceShare {
    std::string service;
    unsigned weight = 1;
};

// Where the requests for one host name and path prefix go.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; // Begins and ends with a slash.
    RequestKind kind = RequestKind::Unsafe;
    bool isResumable = false; // A broken stream may go on at another replica after its last whole event.
    Core::Duration timeout {}; // The longest a request may be kept waiting; zero is no limit of the route's own.
    Core::Duration objective {}; // Latency objective: to the answer, or to a stream's first event.
    int priority = 0; // 0 is the most urgent.
    unsigned maxAttempts = 1; // Replicas to which one attempt of a caller may be sent.
    std::vector<ServiceShare> services;
};

// One base model that a service's replicas can hold.
struct ModelSettings {
    std::string name;
    double size = 0; // Megabytes.
    double adapterSize = 0; // Megabytes of each adapter.
    Core::Duration loadTime {}; // From the weight store.
};

// What a service's replicas hold and can run, for services of model replicas.
struct EngineSettings {
    unsigned slots = 0; // Requests that one replica runs at a time.
    std::uint64_t memoryTokens = 0; // Tokens of running requests and cached prompts that one replica holds.
    double weightMemory = 0; // Megabytes of one replica for models and adapters together.
    unsigned adapterSlots = 0;
    std::vector<ModelSettings> models;
};

// A service that requests are routed to.
struct ServiceSettings {
    std::string name;
    unsigned maxConnections = 0; // To one replica, from all callers together.
    std::optional<EngineSettings> engine; // Without a value it is a plain service.
};

// All routes and services that are in force together. A configuration is replaced whole.
struct RouteConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSettings> services;
    std::size_t maxBodySize = 0; // Bytes; zero is no limit of the configuration's own.

    // The service's settings, or null.
    [[nodiscard]] const ServiceSettings *findService(const std::string &name) const;
};

}
