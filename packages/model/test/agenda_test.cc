#include <gtest/gtest.h>

#include <random>

#include "model/agenda.h"

namespace {

TEST(Agenda, ReturnsEventsByTimeThenByInsertion)
{
    ag_agenda *agenda = Ag_Create();
    std::mt19937 random(3);
    for (size_t i = 0; i < 1000; i++) {
        ASSERT_TRUE(Ag_Add(agenda, random() % 50, 0, i));
    }
    ag_entry before = {-1, 0, 0, 0};
    ag_entry entry;
    size_t count = 0;
    while (Ag_Next(agenda, &entry)) {
        EXPECT_GE(entry.at, before.at);
        if (entry.at == before.at) {
            EXPECT_GT(entry.index, before.index);
        }
        before = entry;
        count++;
    }
    EXPECT_EQ(1000u, count);
    Ag_Destroy(agenda);
}

} // namespace
