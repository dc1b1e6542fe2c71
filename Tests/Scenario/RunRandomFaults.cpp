#include <Tests/Scenario/FaultGenerator.h>
#include <Tests/Scenario/Script.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <sstream>

// Runs random scenarios. Each case has its own seed, so that one alone can be run again.
int main(int argc, char **argv)
{
    CLI::App app("Runs random faults over the real decision objects on a virtual clock");
    std::uint64_t seed = 1;
    std::uint64_t cases = 20;
    bool isPrinting = false;
    app.add_option("--seed", seed, "Seed of the first case; each further case adds one");
    app.add_option("--cases", cases, "Number of cases");
    app.add_flag("--print", isPrinting, "Print each scenario instead of running it");
    CLI11_PARSE(app, argc, argv);
    int failed = 0;
    int faults = 0;
    for (auto current = seed; current < seed + cases; ++current) {
        Scenario::FaultGenerator generator(current);
        std::istringstream script(generator.generate());
        faults += generator.faultCount();
        if (isPrinting) {
            std::cout << script.str();
            continue;
        }
        try {
            Scenario::Script(current).run(script);
        } catch (const std::exception &error) {
            ++failed;
            std::cout << "FAILED  seed " << current << ": " << error.what() << '\n';
        }
    }
    std::cout << cases << " random cases, " << faults << " faults, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
