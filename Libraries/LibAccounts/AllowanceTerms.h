#pragma once

#include <string>

namespace Accounts {

// The allowance of one account over all hosts together, in units (requests or tokens).
struct AllowanceTerms {
    std::string account;
    double ratePerSecond = 0; // More than zero; an account without a rate isn't limited.
    double burst = 0; // Units that may be used beyond the rate.
};

}
