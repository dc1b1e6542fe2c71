#pragma once

#include <stdexcept>
#include <string>

namespace Core {

// An error in an operation with a peer. It names the step that failed and the peer.
// The text reads "step: peer: reason", for example "claim row: table service 127.0.0.1:9000: timed out".
class StepError : public std::runtime_error
{
public:
    StepError(std::string step, std::string peer, const std::string &reason)
        : std::runtime_error(step + ": " + peer + ": " + reason)
        , m_step(std::move(step))
        , m_peer(std::move(peer))
    {
    }

    // The operation that failed.
    [[nodiscard]] const std::string &step() const
    {
        return m_step;
    }

    // The process or service that the operation was for.
    [[nodiscard]] const std::string &peer() const
    {
        return m_peer;
    }

private:
    std::string m_step;
    std::string m_peer;
};

}
