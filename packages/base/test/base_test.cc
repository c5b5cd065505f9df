#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

#include "base/clock.h"
#include "base/hash.h"
#include "base/metric.h"
#include "base/random.h"
#include "base/status.h"

TEST(Status, KeepsStatusAndMessage)
{
    EXPECT_EQ(ST_CONFLICT, St_Fail(ST_CONFLICT, "base %d is stale", 7));
    EXPECT_STREQ("base 7 is stale", St_Message());
    EXPECT_STREQ("conflict", St_Name(ST_CONFLICT));
}

TEST(Clock, DoesNotGoBack)
{
    int64_t before = Ck_Now(Ck_System());
    EXPECT_LE(before, Ck_Now(Ck_System()));
}

TEST(Random, SameSeedSameSequence)
{
    struct rn_random a;
    struct rn_random b;
    Rn_Seed(&a, 42);
    Rn_Seed(&b, 42);
    for (int i = 0; i < 100; i++) {
        uint32_t value = Rn_Below(&a, 10);
        EXPECT_LT(value, 10U);
        EXPECT_EQ(value, Rn_Below(&b, 10));
    }
}

TEST(Hash, RendezvousMovesOnlyTheLostNodesKeys)
{
    const char *nodes[] = {"n1", "n2", "n3"};
    for (int k = 0; k < 200; k++) {
        std::string key = "key" + std::to_string(k);
        auto best = [&](int count) {
            int winner = 0;
            for (int i = 1; i < count; i++) {
                if (Hash_Rendezvous(key.c_str(), nodes[i]) >
                    Hash_Rendezvous(key.c_str(), nodes[winner])) {
                    winner = i;
                }
            }
            return winner;
        };
        int all = best(3);
        if (all != 2) {
            EXPECT_EQ(all, best(2));
        }
    }
}

TEST(Metric, PrintsTheTextFormat)
{
    struct mt_registry *registry = Mt_Create();
    Mt_Add(Mt_Get(registry, MT_COUNTER, "cg_requests_total", ""), 3);
    Mt_Observe(Mt_Get(registry, MT_HISTOGRAM, "cg_seconds", "customer=\"a\""),
               200);
    char *text = Mt_Print(registry);
    EXPECT_NE(nullptr, strstr(text, "cg_requests_total 3\n"));
    EXPECT_NE(nullptr, strstr(text, "le=\"0.000256\"} 1\n"));
    free(text);
    Mt_Destroy(registry);
}
