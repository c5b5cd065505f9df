// Metrics of a service that is moved to another version.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

#include "edge/versions.h"

#include "../../state/test/fake_clock.h"

namespace {

struct fl_entry
Entry(const char *id, const char *zone, const char *version)
{
    struct fl_entry entry = {};
    strcpy(entry.id, id);
    strcpy(entry.service, "model");
    strcpy(entry.zone, zone);
    strcpy(entry.version, version);
    return entry;
}

bool
Shows(struct mt_registry *registry, const std::string &line)
{
    char *text = Mt_Print(registry);
    bool found = std::string(text).find(line + "\n") != std::string::npos;
    free(text);
    return found;
}

// Guards against metrics that do not show which versions a data centre has
// during a move.
TEST(Versions, EachDataCentresEndpointsAreCountedByVersion)
{
    FakeClock clock;
    struct mt_registry *registry = Mt_Create();
    struct fl_fleet *fleet = Fl_Create(&clock.clock);
    struct fl_entry old_a = Entry("i-1", "dc-a", "v1");
    struct fl_entry new_a = Entry("i-2", "dc-a", "v2");
    struct fl_entry old_b = Entry("i-3", "dc-b", "v1");
    Fl_Apply(fleet, &old_a);
    Fl_Apply(fleet, &new_a);
    Fl_Apply(fleet, &old_b);
    const std::string name = "cornelgate_endpoints{service=\"model\",";
    Vs_UpdateEndpoints(registry, fleet);
    EXPECT_TRUE(Shows(registry, name + "zone=\"dc-a\",version=\"v1\","
                                       "state=\"serving\"} 1"));
    EXPECT_TRUE(Shows(registry, name + "zone=\"dc-a\",version=\"v2\","
                                       "state=\"serving\"} 1"));
    Fl_Remove(fleet, "i-1");
    old_b.draining = true;
    Fl_Apply(fleet, &old_b);
    Vs_UpdateEndpoints(registry, fleet);
    EXPECT_TRUE(Shows(registry, name + "zone=\"dc-a\",version=\"v1\","
                                       "state=\"serving\"} 0"));
    EXPECT_TRUE(Shows(registry, name + "zone=\"dc-b\",version=\"v1\","
                                       "state=\"draining\"} 1"));
    Fl_Destroy(fleet);
    Mt_Destroy(registry);
}

// Guards against metrics that do not show which version answered.
TEST(Versions, AnswersAreCountedByVersion)
{
    struct mt_registry *registry = Mt_Create();
    struct fl_entry entry = Entry("i-1", "dc-a", "v2");
    Vs_CountAnswer(registry, &entry);
    Vs_CountAnswer(registry, &entry);
    EXPECT_TRUE(Shows(registry, "cornelgate_answers_total{service=\"model\","
                                "version=\"v2\"} 2"));
    Mt_Destroy(registry);
}

} // namespace
