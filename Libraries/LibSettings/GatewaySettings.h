#pragma once

#include <LibCore/Time.h>
#include <LibSettings/SettingsReader.h>
#include <string>
#include <string_view>

namespace Settings {

// What an entry host that passes requests on to replicas is told at its start ("mode": "gateway").
struct GatewaySettings {
    std::string hostId;
    std::string zone;
    double weight = 1; // How much of the work for replicas it takes, beside the other hosts.
    std::string callerAddress; // "host:port" to listen on for callers.
    std::string readinessAddress; // "host:port" at which the balancer asks whether this host takes requests.
    std::string peerAddress; // "host:port" to listen on for the system's other hosts.
    std::string metricsAddress; // "host:port" to serve metrics on; empty for none.
    std::string platformAddress; // "host:port" of the platform's store.
    std::string peerKey; // Shared by all hosts of the system.
    std::size_t largestBodyBytes = 0;
    unsigned mostConnections = 0;
    std::size_t memoryBytes = 0; // That the process may use.
    Core::Duration stopGrace {}; // The platform kills the process so long after SIGTERM.
    Core::Duration changeApplyTime {}; // Within which an operator's change must be in force on every host.
    Core::Duration drainTime {}; // Within which a replica that is leaving must get no more requests.
    // After which a revoked key opens nothing on any host, whatever it can reach; zero for no such bound.
    Core::Duration revocationBound {};
    Core::Duration orderGap {}; // Between the orders of two holders of a replica.
    double retryRatio = 0; // Repeats for each request, over all hosts together.
    double retryExtra = 0; // Repeats in a window whatever the number of requests, over all hosts together.
    Core::Duration retryWindow {};
};

// True when the settings are those of a gateway. Throws InvalidSettings for text that isn't JSON with comments.
[[nodiscard]] bool isGatewaySettings(std::string_view text);
// Reads settings in JSON with comments. Throws InvalidSettings naming every mistake.
[[nodiscard]] GatewaySettings parseGatewaySettings(std::string_view text);

}
