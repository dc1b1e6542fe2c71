#include <LibFront/CallerResponse.h>

namespace Front {

std::string_view toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Completed:
        return "completed";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
