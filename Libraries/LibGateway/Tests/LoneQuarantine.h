#pragma once

#include <LibGateway/ReplicaCrashes.h>

namespace Gateway::Testing {

class NoPeers final : public Peer::PeerTransport
{
    void send(const Core::HostId & /*to*/, std::string /*bytes*/) override
    {
    }
    void reconnect(const Core::HostId & /*to*/) override
    {
    }
};

// The quarantine of a host that knows no others.
struct LoneQuarantine {
    explicit LoneQuarantine(Core::Scheduler &scheduler, Routing::QuarantineOptions options = {})
        : router(scheduler, peers, {.self = {"host"}, .incarnation = 1, .key = "key"})
        , quarantine(scheduler, router,
                     {.self = {.id = {"host"}, .zone = {"a"}},
                      .live =
                          [] {
                              return std::vector<Routing::QuarantineHost>();
                          }},
                     options)
        , crashes(scheduler, quarantine)
    {
    }

    NoPeers peers;
    Peer::PeerRouter router;
    Routing::Quarantine quarantine;
    ReplicaCrashes crashes;
};

}
