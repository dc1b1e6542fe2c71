#pragma once

#include <LibCore/Time.h>

namespace Accounts {

// A rate in which past amounts weigh less and less.
class DecayingRate
{
public:
    explicit DecayingRate(Core::Duration halfLife);

    void add(double amount, Core::TimePoint now);
    // Amount per second.
    [[nodiscard]] double perSecond(Core::TimePoint now) const;

private:
    [[nodiscard]] double sumAt(Core::TimePoint now) const;

    Core::Duration m_halfLife;
    double m_sum = 0;
    Core::TimePoint m_at {};
};

}
