#include <Tests/Scenario/Script.h>

namespace Scenario {

namespace {

// expect owner TARGET HOST [seen-by HOST]
void expectOwner(Script &script, Words words)
{
    const auto ownership
        = script.world().host(option(words, "seen-by", words[1])).host->ownership().ownerOf({words[0]});
    const auto owner = ownership.has_value() ? ownership->owner.value : "nobody";
    expect(owner == words[1], owner + " owns it");
}

}

void addOwnershipCommands(Script &script)
{
    script.add("expect owner", expectOwner);
}

}
