#pragma once

#include <LibNet/EventLoop.h>
#include <LibNet/HttpServer.h>
#include <LibPlatform/HostList.h>
#include <memory>
#include <string>

namespace StandIns {

// One stand-in process. It serves HTTP until it is told to stop.
class StandIn
{
public:
    virtual ~StandIn() = default;
};

struct StandInOptions {
    std::string address; // "host:port".
    std::string machinesFile; // The platform's host list as JSON.
    std::string name; // Of an engine or service.
    std::uint32_t slots = 4;
    std::uint32_t batch = 8;
    long loadMilliseconds = 250;
    long tokenMilliseconds = 2;
    bool isFenceIgnored = false;
};

[[nodiscard]] Net::HttpServerOptions serverOptions(const std::string &address);

[[nodiscard]] std::unique_ptr<StandIn> makePlatformStandIn(Net::EventLoop &loop, const StandInOptions &options);
[[nodiscard]] std::unique_ptr<StandIn> makeEngineStandIn(Net::EventLoop &loop, const StandInOptions &options);
[[nodiscard]] std::unique_ptr<StandIn> makeServiceStandIn(Net::EventLoop &loop, const StandInOptions &options);

}
