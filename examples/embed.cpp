// embed.cpp: the coordination parts without the daemon: two coordinators that agree on a table, and a router that uses it.
//
// Build it with the repository, then run build/embed. It opens no socket: messages are passed by hand, and the clock is a variable.

#include "winchlink.h"

#include <cstdio>

using namespace Winchlink;

static const char* TableJson = R"({
  "revision": 1,
  "rows": [{
    "name": "loans", "pathPrefix": "/loans", "class": "critical", "repeatMethods": ["GET"],
    "targets": [{"address": "127.0.0.1:9001", "slots": 3}, {"address": "127.0.0.1:9002", "slots": 3}]
  }]
})";

static Coordinator MakeInstance(uint16_t port, uint64_t seed, TimeUs now)
{
    MembershipConfig config;
    config.Self = {0x7f000001, port};
    config.DataCentre = "dc1";
    config.Incarnation = 1;
    Coordinator coordinator;
    CoordinatorInit(&coordinator, config, MessageKeys(), seed, now);
    return coordinator;
}

// Delivers what one has sent to the other, and the replies back, until nothing is left.
static void Deliver(Coordinator* a, Coordinator* b, std::vector<Envelope> messages, TimeUs now)
{
    while (!messages.empty())
    {
        std::vector<Envelope> replies;
        for (const Envelope& message : messages)
        {
            Coordinator* to = message.To == a->Members.Config.Self ? a : b;
            const Result<void> taken = CoordinatorReceive(to, message.Bytes, now, &replies);
            if (!taken)
            {
                std::printf("refused: code %d\n", taken.error().Code);
            }
        }
        messages = replies;
    }
}

int main()
{
    if (!Init())
    {
        return 1;
    }
    TimeUs now = 1000 * UsPerSecond;
    Coordinator a = MakeInstance(7001, 1, now);
    Coordinator b = MakeInstance(7002, 2, now);
    a.Members.Seeds = {b.Members.Config.Self};

    // Nobody serves yet: after JoinTimeoutUs both may believe the platform.
    for (int step = 0; step < 400; step++)
    {
        now += 10 * UsPerMs;
        std::vector<Envelope> out;
        CoordinatorTick(&a, now, &out);
        CoordinatorTick(&b, now, &out);
        Deliver(&a, &b, out, now);
        if (step == 350)
        {
            const CheckedTable checked = ParseTable(TableJson);
            CoordinatorOffer(&a, std::make_shared<Table>(checked.Value), now); // Only a reads the platform.
        }
    }
    std::printf("a holds revision %llu, b holds revision %llu\n", static_cast<unsigned long long>(a.Tables.Current->Version.Revision),
                static_cast<unsigned long long>(b.Tables.Current->Version.Revision));

    // A router that follows the table b has learnt from a.
    const ServiceRow* row = MatchRow(*b.Tables.Current, "", "/loans/17");
    if (row == nullptr)
    {
        return 1;
    }
    Router router;
    Random random(3);
    RouterFollow(&router, *row, "dc1", 2);
    ChooseArgs args;
    args.RemainingUs = 1 * UsPerSecond;
    const Choice choice = RouterChoose(&router, args, now, &random);
    std::printf("the request goes to %s\n", choice.Address.c_str());
    RouterSettle(&router, choice.Target, Outcome_Answered, 4 * UsPerMs, now);
    return 0;
}
