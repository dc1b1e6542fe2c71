#pragma once

#include <LibCore/Time.h>
#include <LibRoutes/ClientAccount.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Routes {

// Whether a request may be sent to another replica after it may have run.
enum class RequestKind {
    // Idempotent: may run more than once.
    Safe,
    // May run at most once for each attempt of a caller.
    Unsafe,
    // The response is a series of events. The request runs at most once unless the route is resumable.
    Stream,
};

// A service and its weight among the services of a route.
struct ServiceShare {
    std::string service;
    unsigned weight = 1;
};

// The routing rule for requests to one host name and path prefix.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; // Begins and ends with a slash.
    RequestKind kind = RequestKind::Unsafe;
    bool isResumable = false; // A broken stream may continue at another replica after its last complete event.
    Core::Duration timeout {}; // Maximum duration of a request; zero if the route sets no limit.
    Core::Duration objective {}; // Latency objective: time to the response, or to a stream's first event.
    Core::Duration pauseLimit {}; // Longest pause between the events of a stream that is on time; zero for no limit.
    int priority = 0; // 0 is the most urgent.
    bool isPublic = false; // Needs no account, also if the configuration has accounts.
    unsigned maxAttempts = 1; // Maximum number of replicas at which one attempt of a caller may run.
    std::vector<ServiceShare> services;
};

// A base model that a service's replicas can load.
struct ModelSettings {
    std::string name;
    double size = 0; // Megabytes.
    double adapterSize = 0; // Megabytes per adapter.
    Core::Duration loadTime {}; // Time to load the model from the weight store.
};

// The models and the capacity of each replica, for a service whose replicas run models.
struct EngineSettings {
    unsigned slots = 0; // Requests that one replica runs concurrently.
    std::uint64_t memoryTokens = 0; // Capacity in tokens of running requests and cached prompts.
    double weightMemory = 0; // Megabytes for the weights of models and adapters together.
    unsigned adapterSlots = 0;
    std::vector<ModelSettings> models;
};

// A service that requests are routed to.
struct ServiceSettings {
    std::string name;
    unsigned maxConnections = 0; // Connections to one replica, over all callers.
    std::optional<EngineSettings> engine; // Empty for a service whose replicas run no models.
    Core::Duration pauseLimit {}; // The shortest one of the routes to the service; zero if none has one.
};

// All routes and services of one configuration version. A newer version replaces all of them at once.
struct RouteConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSettings> services;
    // The accounts that may use the routes that aren't public; no value if requests need no account.
    std::optional<std::vector<ClientAccount>> accounts;
    std::size_t maxBodySize = 0; // Maximum request body in bytes; zero if the configuration sets no limit.

    // The service's settings, or null if there is no such service.
    [[nodiscard]] const ServiceSettings *findService(const std::string &name) const;
    // Fills in what the settings of services take from the routes.
    void updateServices();
};

}
