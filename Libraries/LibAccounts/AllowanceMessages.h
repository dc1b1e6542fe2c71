#pragma once

#include <LibPeer/MessageKind.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Accounts {

// Asks the lender of an account for a part of its allowance.
struct AllowanceRequest {
    static constexpr auto Kind = Peer::MessageKind::AllowanceRequest;

    std::string account;
    std::string zone; // Of the borrower.
    double least = 0; // Units below which the loan is of no use.
    double wanted = 0; // Units that the borrower can probably use before the lease ends.
    double returned = 0; // Units of earlier loans that weren't used.

    double unlent = 0; // Units that were used while no lender replied.

    MSGPACK_DEFINE(account, zone, least, wanted, returned, unlent)
};

struct AllowanceReply {
    bool isLender = false; // False if the receiver doesn't lend for the account at present.
    double amount = 0; // Units lent; zero if the request is refused.
    std::uint32_t retryAfterMilliseconds = 0; // After a refusal: until the least amount is probably available.
    double headroom = 1; // Without a lender, the multiple of what the host was lent that it may use.

    MSGPACK_DEFINE(isLender, amount, retryAfterMilliseconds, headroom)
};

}
