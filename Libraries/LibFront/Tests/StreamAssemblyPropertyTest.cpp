#include <LibFront/StreamAssembly.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

namespace {

constexpr std::uint32_t MaxTokens = 12;
constexpr std::uint32_t MaxAhead = 4;

std::string expectedToken(std::uint32_t index)
{
    return "<" + std::to_string(index) + ">";
}

// A reference implementation that keeps every token of the current attempt.
struct ReferenceAssembly {
    std::string attempt;
    std::map<std::uint32_t, std::string> delivered;
    std::map<std::uint32_t, std::string> pending;
    std::optional<std::uint32_t> end;
    bool isFaulty = false;

    std::string accept(const std::string &from, std::uint32_t index, const std::string &text)
    {
        if (from != attempt || isFaulty) {
            return "";
        }
        auto received = delivered;
        received.insert(pending.begin(), pending.end());
        const auto earlier = received.find(index);
        isFaulty = earlier != received.end()
            ? earlier->second != text
            : index >= MaxTokens || index >= delivered.size() + MaxAhead || (end.has_value() && index >= *end);
        if (isFaulty || earlier != received.end()) {
            return "";
        }
        pending[index] = text;
        std::string out;
        while (pending.contains(static_cast<std::uint32_t>(delivered.size()))) {
            const auto next = static_cast<std::uint32_t>(delivered.size());
            out += pending[next];
            delivered[next] = pending[next];
            pending.erase(next);
        }
        return out;
    }

    void acceptEnd(const std::string &from, std::uint32_t count)
    {
        if (from != attempt || isFaulty) {
            return;
        }
        const auto receivedCount = pending.empty() ? delivered.size() : pending.rbegin()->first + 1;
        isFaulty = count < receivedCount || count > MaxTokens || (end.has_value() && *end != count);
        if (!isFaulty) {
            end = count;
        }
    }
};

}

class StreamAssemblyPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamAssemblyPropertyTest);
    CPPUNIT_TEST(resultsMatchReferenceImplementation);
    CPPUNIT_TEST_SUITE_END();

    void resultsMatchReferenceImplementation()
    {
        setenv("RC_PARAMS", "seed=1 max_success=500", 0);
        const bool hasPassed = rc::check("only consistent tokens are delivered, in order", [] {
            Front::StreamAssembly assembly({.maxTokens = MaxTokens, .maxAhead = MaxAhead});
            ReferenceAssembly reference;
            std::string out;
            const auto steps = *rc::gen::inRange(1, 80);
            for (int step = 0; step < steps; ++step) {
                const auto action = *rc::gen::inRange(0, 40);
                const auto from = *rc::gen::element<std::string>("a", "b");
                const auto index = *rc::gen::weightedOneOf<std::uint32_t>(
                    {{8, rc::gen::inRange(0U, 4U)}, {1, rc::gen::inRange(0U, 20U)}});
                const auto near = index + static_cast<std::uint32_t>(reference.delivered.size()) - (index > 2 ? 2 : 0);
                if (step == 0 || action == 0) {
                    assembly.beginAttempt({from});
                    reference = {.attempt = from, .delivered = reference.delivered};
                } else if (action == 1) {
                    assembly.acceptEnd({{from}, near});
                    reference.acceptEnd(from, near);
                } else {
                    const auto text = action == 2 ? std::string("other") : expectedToken(near);
                    const auto delivered = assembly.accept({{from}, near, text});
                    RC_ASSERT(delivered == reference.accept(from, near, text));
                    out += delivered;
                }
                RC_ASSERT(assembly.fault().has_value() == reference.isFaulty);
                RC_ASSERT(assembly.deliveredCount() == reference.delivered.size());
                RC_ASSERT(assembly.isComplete()
                          == (!reference.isFaulty && reference.end == reference.delivered.size()));
            }
            RC_CLASSIFY(assembly.isComplete(), "complete");
            RC_CLASSIFY(assembly.fault().has_value(), "faulty");
        });
        CPPUNIT_ASSERT(hasPassed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAssemblyPropertyTest);
