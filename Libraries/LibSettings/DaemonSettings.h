#pragma once

#include <LibCore/Time.h>
#include <LibSettings/SettingsReader.h>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

// A secret that proves who speaks, and the name it stands for: a customer's or an operator's.
struct TokenHolder {
    std::string name;
    std::string token;
};

// What an entry host is told at its start. docs/SETTINGS.md describes each setting.
struct DaemonSettings {
    std::string hostId;
    std::string zone;
    std::string callerAddress; // "host:port" to listen on for callers and operators.
    std::string peerAddress; // "host:port" to listen on for the system's other hosts.
    std::string platformAddress; // "host:port" of the platform's table service and host list.
    std::vector<std::string> peers; // Addresses of other hosts, asked when the platform doesn't answer at the start.
    std::string peerKey; // Shared by all hosts of the system.
    std::vector<TokenHolder> callers;
    std::vector<TokenHolder> operators;
    std::string traceFile;
    std::size_t largestBodyBytes = 0;
    unsigned mostConnections = 0;
    std::size_t memoryBytes = 0; // That the process may use.
    Core::Duration requestTimeout {};
    Core::Duration leaveGrace {};
    Core::Duration drainTimeout {};
    std::string weighting; // What the policy under load weighs more: "load-stalls" or "batch-efficiency".
    double storeLoadsPerSecond = 0; // What the weight store allows all hosts together; zero means no limit.
    unsigned storeLoadsAtFullSpeed = 0; // Loads in flight, over all hosts, before each slows; zero means no limit.
    unsigned storeHosts = 1; // Hosts among which both are divided.
    Core::Duration streamSilence {}; // Between two pieces of an engine's stream.
};

// Reads settings in JSON with comments. Throws InvalidSettings naming every mistake.
[[nodiscard]] DaemonSettings parseDaemonSettings(std::string_view text);
// The text of a settings file. Throws StepError when it can't be read.
[[nodiscard]] std::string readSettingsFile(const std::string &path);
// Reads a settings file. Throws StepError when it can't be read, InvalidSettings when it can't be used.
[[nodiscard]] DaemonSettings loadDaemonSettings(const std::string &path);

}
