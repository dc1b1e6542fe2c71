#include <measure/policy/Simulation.h>

#include <CLI/CLI.hpp>
#include <LibPolicy/PolicyVersion.h>
#include <algorithm>
#include <cstdio>
#include <exception>

namespace {

void printRow(const Measure::Figures &row)
{
    std::printf("%-18s %10.0f %10.0f %10.0f %8llu %8.3f %9llu %7llu %7llu %10llu\n", row.policy.c_str(), row.stallP50,
                row.stallP99, row.stallP99Rare, static_cast<unsigned long long>(row.loads), row.batchEfficiency,
                static_cast<unsigned long long>(row.finished), static_cast<unsigned long long>(row.shed),
                static_cast<unsigned long long>(row.loadFailures), static_cast<unsigned long long>(row.unfinished));
}

void printLine(const Measure::Figures &current, const Measure::Figures &naive, std::uint64_t bound)
{
    std::printf("stall_p50_ms=%.0f stall_p99_ms=%.0f stall_p99_rare_ms=%.0f loads=%llu loads_bound=%llu "
                "batch_efficiency=%.3f naive_stall_p99_ms=%.0f naive_stall_p99_rare_ms=%.0f naive_loads=%llu "
                "naive_batch_efficiency=%.3f shed=%llu naive_shed=%llu unfinished=%llu\n",
                current.stallP50, current.stallP99, current.stallP99Rare,
                static_cast<unsigned long long>(current.loads), static_cast<unsigned long long>(bound),
                current.batchEfficiency, naive.stallP99, naive.stallP99Rare,
                static_cast<unsigned long long>(naive.loads), naive.batchEfficiency,
                static_cast<unsigned long long>(current.shed), static_cast<unsigned long long>(naive.shed),
                static_cast<unsigned long long>(current.unfinished));
}

void measure(const Measure::Deployment &deployment, const Measure::Trace &trace, const std::string &policy,
             std::uint64_t seed)
{
    const auto slots = deployment.zones * deployment.targetsPerZone * deployment.slotsPerTarget;
    const auto bound = Measure::clairvoyantLoads(trace.arrivals, slots, deployment.warmUp);
    std::printf("deployment %s, trace %s, seed %llu: %.2f requests/s offered, %u slots, %.1f loads/s allowed\n",
                deployment.name.c_str(), trace.name.c_str(), static_cast<unsigned long long>(seed),
                deployment.requestsPerSecond, slots, deployment.loadsPerSecond);
    std::printf("%-18s %10s %10s %10s %8s %8s %9s %7s %7s %10s\n", "policy", "stall p50", "p99 ms", "rare p99", "loads",
                "batch", "finished", "shed", "failed", "unfinished");
    Measure::Figures naive;
    Measure::Figures current;
    for (const auto &version : Policy::policyVersions()) {
        const auto figures = Measure::simulate(deployment, trace, std::string(version.name));
        printRow(figures);
        naive = version.name == "naive" ? figures : naive;
        current = version.name == policy ? figures : current;
    }
    std::printf("clairvoyant bound on loads (Belady, order of arrival, one cache of all slots): %llu\n",
                static_cast<unsigned long long>(bound));
    std::printf("current: %s\n", policy.c_str());
    printLine(current, naive, bound);
}

int run(int argc, char **argv)
{
    CLI::App app("Measures the policy under load on a virtual clock");
    std::string file;
    std::string traceName;
    std::string policy;
    std::uint64_t seed = 1;
    app.add_option("--deployment", file, "The deployment file")->required();
    app.add_option("--seed", seed, "The seed of the arrivals");
    app.add_option("--policy", policy, "The version shown as the current one");
    app.add_option("--trace", traceName, "The trace")->check(CLI::IsMember(Measure::traceNames()));
    CLI11_PARSE(app, argc, argv);
    const auto deployment = Measure::loadDeployment(file);
    policy = policy.empty() ? deployment.weighting : policy;
    if (Policy::findPolicyVersion(policy) == nullptr) {
        throw std::runtime_error("policy \"" + policy + "\" does not exist");
    }
    const auto trace = Measure::makeTrace(deployment, traceName.empty() ? deployment.trace : traceName, seed);
    measure(deployment, trace, policy, seed);
    return 0;
}

}

// Prints a table and, as its last line, the figures for programs.
int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "measure policy: %s\n", error.what());
        return 1;
    }
}
