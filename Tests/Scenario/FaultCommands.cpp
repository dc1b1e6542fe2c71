#include <Tests/Scenario/Script.h>

namespace Scenario {

namespace {

bool isEngine(Script &script, const std::string &name)
{
    return script.world().engines().all().contains(name);
}

ProcessScheduler &processOf(Script &script, const std::string &name)
{
    return isEngine(script, name) ? *script.world().engines().at(name).process : *script.world().host(name).process;
}

// Every process of a zone, or the name alone when it is no zone.
std::vector<std::string> membersOf(Script &script, const std::string &name)
{
    std::vector<std::string> members;
    for (const auto &[host, fake] : script.world().hosts()) {
        if (fake.zone == name) {
            members.push_back(host);
        }
    }
    for (const auto &[engine, fake] : script.world().engines().all()) {
        if (fake.options.zone == name) {
            members.push_back(engine);
        }
    }
    for (const auto &[service, fake] : script.world().services().all()) {
        if (fake.zone == name) {
            members.push_back(service);
        }
    }
    return members.empty() ? std::vector {name} : members;
}

void forEachPair(Script &script, Words words, const std::function<void(const std::string &, const std::string &)> &act)
{
    for (const auto &from : membersOf(script, words[0])) {
        for (const auto &to : membersOf(script, words[1])) {
            if (from != to) {
                act(from, to);
            }
        }
    }
}

// kill NAME: ends a host's or an engine's process.
void kill(Script &script, Words words)
{
    if (isEngine(script, words[0])) {
        script.world().engines().kill(words[0]);
    } else {
        script.world().killHost(words[0]);
    }
}

// restart NAME: starts it anew, with nothing kept.
void restart(Script &script, Words words)
{
    if (isEngine(script, words[0])) {
        script.world().engines().restart(words[0]);
    } else {
        script.world().restartHost(words[0]);
    }
}

// freeze NAME, as by SIGSTOP
void freeze(Script &script, Words words)
{
    processOf(script, words[0]).freeze();
}

// thaw NAME, as by SIGCONT
void thaw(Script &script, Words words)
{
    processOf(script, words[0]).thaw();
}

// revive NAME: thaws a frozen process and restarts a dead one.
void revive(Script &script, Words words)
{
    auto &process = processOf(script, words[0]);
    process.thaw();
    if (process.state() == ProcessState::Dead) {
        restart(script, words);
    }
}

// stop HOST: a planned stop.
void stop(Script &script, Words words)
{
    script.world().stopHost(words[0]);
}

// cut FROM TO: cuts one direction; a zone's name stands for all of its processes.
void cut(Script &script, Words words)
{
    forEachPair(script, words, [&](const auto &from, const auto &to) {
        script.world().network().cut(from, to);
    });
}

// part A B: cuts both directions.
void part(Script &script, Words words)
{
    forEachPair(script, words, [&](const auto &from, const auto &to) {
        script.world().network().cut(from, to);
        script.world().network().cut(to, from);
    });
}

// mend [A B]: mends both directions, or every cut.
void mend(Script &script, Words words)
{
    if (words.empty()) {
        script.world().network().mendAll();
        return;
    }
    forEachPair(script, words, [&](const auto &from, const auto &to) {
        script.world().network().mend(from, to);
        script.world().network().mend(to, from);
    });
}

// delay FROM TO DURATION
void delay(Script &script, Words words)
{
    forEachPair(script, words, [&](const auto &from, const auto &to) {
        script.world().network().setDelay(from, to, parseDuration(words[2]));
    });
}

// duplicate DURATION: every message comes again after the duration; 0ms ends it.
void duplicate(Script &script, Words words)
{
    script.world().network().setDuplicates(parseDuration(words[0]));
}

// platform down|up
void setPlatform(Script &script, Words words)
{
    script.world().platform().setDown(words[0] == "down");
}

// lose-answers COUNT: transactions that take effect without an answer.
void loseAnswers(Script &script, Words words)
{
    script.world().platform().loseAnswers(std::stoi(words[0]));
}

// read-lag DURATION
void setReadLag(Script &script, Words words)
{
    script.world().platform().setReadLag(parseDuration(words[0]));
}

// list-lag DURATION
void setListLag(Script &script, Words words)
{
    script.world().platform().setListLag(parseDuration(words[0]));
}

// silence HOST ENGINE: their open streams go dead without a word, while new ones work.
void silence(Script &script, Words words)
{
    script.world().host(words[0]).engines->silenceStreams(words[1]);
}

// fail-loads ENGINE COUNT
void failLoads(Script &script, Words words)
{
    script.world().engines().at(words[0]).loadsToFail = std::stoi(words[1]);
}

// crash-on ENGINE TEXT: a request whose name holds the text ends the engine.
void crashOn(Script &script, Words words)
{
    script.world().engines().at(words[0]).crashPrompt = words[1];
}

}

void addFaultCommands(Script &script)
{
    script.add("kill", kill);
    script.add("restart", restart);
    script.add("freeze", freeze);
    script.add("thaw", thaw);
    script.add("revive", revive);
    script.add("stop", stop);
    script.add("cut", cut);
    script.add("part", part);
    script.add("mend", mend);
    script.add("delay", delay);
    script.add("duplicate", duplicate);
    script.add("platform", setPlatform);
    script.add("lose-answers", loseAnswers);
    script.add("read-lag", setReadLag);
    script.add("list-lag", setListLag);
    script.add("silence", silence);
    script.add("fail-loads", failLoads);
    script.add("crash-on", crashOn);
}

}
