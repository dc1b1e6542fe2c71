#include <measure/policy/Deployment.h>

#include <LibCore/StepError.h>
#include <LibSettings/SettingsReader.h>
#include <fstream>

namespace Measure {

namespace {

constexpr long long MostOfAnything = 1000000;

std::uint32_t positive(Settings::SettingsReader &reader, const char *name)
{
    return static_cast<std::uint32_t>(reader.number(name, 0, 1, MostOfAnything));
}

Core::Duration milliseconds(Settings::SettingsReader &reader, const char *name)
{
    return std::chrono::milliseconds(positive(reader, name));
}

Core::Duration seconds(Settings::SettingsReader &reader, const char *name)
{
    return std::chrono::seconds(positive(reader, name));
}

// Numbers with two decimals are given in hundredths, since settings have whole numbers only.
double hundredths(Settings::SettingsReader &reader, const char *name)
{
    constexpr double Hundred = 100;
    return positive(reader, name) / Hundred;
}

}

Deployment loadDeployment(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw Core::StepError("read deployment", path, "the file can't be opened");
    }
    const auto json = nlohmann::json::parse(file, nullptr, true, true);
    std::vector<std::string> mistakes;
    Settings::SettingsReader root(json, "", mistakes);
    Deployment deployment;
    deployment.name = root.text("name");
    deployment.weighting = root.choice("weighting", "load-stalls", {"load-stalls", "batch-efficiency"});
    deployment.trace = root.text("trace", "steady");
    auto targets = root.object("targets");
    deployment.zones = positive(targets, "zones");
    deployment.hostsPerZone = positive(targets, "hostsPerZone");
    deployment.targetsPerZone = positive(targets, "targetsPerZone");
    deployment.slotsPerTarget = positive(targets, "slots");
    deployment.batchCapacity = positive(targets, "batchCapacity");
    deployment.tokenTime = milliseconds(targets, "tokenMilliseconds");
    targets.finish();
    auto load = root.object("load");
    deployment.adapters = positive(load, "adapters");
    deployment.zipfExponent = hundredths(load, "zipfExponentHundredths");
    deployment.customers = positive(load, "customers");
    deployment.requestsPerSecond = hundredths(load, "requestsPerHundredSeconds");
    deployment.leastTokens = positive(load, "leastTokens");
    deployment.mostTokens = positive(load, "mostTokens");
    deployment.patience = seconds(load, "patienceSeconds");
    deployment.surgeFactor = positive(load, "surgeFactor");
    load.finish();
    auto store = root.object("store");
    deployment.loadsPerSecond = hundredths(store, "loadsPerHundredSeconds");
    deployment.loadTime = milliseconds(store, "loadMilliseconds");
    deployment.loadsAtFullSpeed = positive(store, "loadsAtFullSpeed");
    store.finish();
    auto run = root.object("run");
    deployment.warmUp = seconds(run, "warmUpSeconds");
    deployment.measured = seconds(run, "measuredSeconds");
    run.finish();
    root.finish();
    if (!mistakes.empty()) {
        throw Settings::InvalidSettings(std::move(mistakes));
    }
    return deployment;
}

}
