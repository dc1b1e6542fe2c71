#include <LibFront/StreamAssembly.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <rapidcheck.h>

namespace {

constexpr std::uint32_t MostTokens = 12;
constexpr std::uint32_t MostAhead = 4;

std::string trueToken(std::uint32_t index)
{
    return "<" + std::to_string(index) + ">";
}

// The same decisions by the plainest means: every token of the current attempt is kept.
struct NaiveAssembly {
    std::string attempt;
    std::map<std::uint32_t, std::string> delivered;
    std::map<std::uint32_t, std::string> waiting;
    std::optional<std::uint32_t> end;
    bool isFaulty = false;

    std::string accept(const std::string &from, std::uint32_t index, const std::string &text)
    {
        if (from != attempt || isFaulty) {
            return "";
        }
        auto known = delivered;
        known.insert(waiting.begin(), waiting.end());
        const auto old = known.find(index);
        isFaulty = old != known.end()
            ? old->second != text
            : index >= MostTokens || index >= delivered.size() + MostAhead || (end.has_value() && index >= *end);
        if (isFaulty || old != known.end()) {
            return "";
        }
        waiting[index] = text;
        std::string out;
        while (waiting.contains(static_cast<std::uint32_t>(delivered.size()))) {
            const auto next = static_cast<std::uint32_t>(delivered.size());
            out += waiting[next];
            delivered[next] = waiting[next];
            waiting.erase(next);
        }
        return out;
    }

    void acceptEnd(const std::string &from, std::uint32_t count)
    {
        if (from != attempt || isFaulty) {
            return;
        }
        const auto seen = waiting.empty() ? delivered.size() : waiting.rbegin()->first + 1;
        isFaulty = count < seen || count > MostTokens || (end.has_value() && *end != count);
        if (!isFaulty) {
            end = count;
        }
    }
};

}

class StreamAssemblyPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamAssemblyPropertyTest);
    CPPUNIT_TEST(agreesWithTheNaiveAssembly);
    CPPUNIT_TEST_SUITE_END();

    void agreesWithTheNaiveAssembly()
    {
        setenv("RC_PARAMS", "seed=1 max_success=500", 0);
        const bool isHolding = rc::check("whatever arrives, only agreeing tokens go out, in order", [] {
            Front::StreamAssembly assembly({.mostTokens = MostTokens, .mostAhead = MostAhead});
            NaiveAssembly naive;
            std::string out;
            const auto steps = *rc::gen::inRange(1, 80);
            for (int step = 0; step < steps; ++step) {
                const auto what = *rc::gen::inRange(0, 40);
                const auto from = *rc::gen::element<std::string>("a", "b");
                const auto index = *rc::gen::weightedOneOf<std::uint32_t>(
                    {{8, rc::gen::inRange(0U, 4U)}, {1, rc::gen::inRange(0U, 20U)}});
                const auto near = index + static_cast<std::uint32_t>(naive.delivered.size()) - (index > 2 ? 2 : 0);
                if (step == 0 || what == 0) {
                    assembly.beginAttempt({from});
                    naive = {.attempt = from, .delivered = naive.delivered};
                } else if (what == 1) {
                    assembly.acceptEnd({{from}, near});
                    naive.acceptEnd(from, near);
                } else {
                    const auto text = what == 2 ? std::string("other") : trueToken(near);
                    const auto given = assembly.accept({{from}, near, text});
                    RC_ASSERT(given == naive.accept(from, near, text));
                    out += given;
                }
                RC_ASSERT(assembly.fault().has_value() == naive.isFaulty);
                RC_ASSERT(assembly.delivered() == naive.delivered.size());
                RC_ASSERT(assembly.isWhole() == (!naive.isFaulty && naive.end == naive.delivered.size()));
            }
            RC_CLASSIFY(assembly.isWhole(), "whole");
            RC_CLASSIFY(assembly.fault().has_value(), "faulty");
        });
        CPPUNIT_ASSERT(isHolding);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAssemblyPropertyTest);
