#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/config.h"

namespace {

std::string
digest(int n)
{
    char hex[Hash_DIGEST_HEX];
    std::string key = "key-" + std::to_string(n);
    Hash_Digest(key.data(), key.size(), hex);
    return hex;
}

std::string
platform()
{
    return R"({"data_centres":[{"name":"hobart","region":"tasmania"}],
        "teams":[{"name":"derwent","key_digest":")" +
           digest(1) + R"(","role":"editor"},
        {"name":"platform","key_digest":")" +
           digest(2) + R"(","role":"operator"},
        {"name":"reader","key_digest":")" +
           digest(3) + R"("}]})";
}

std::string
team(const std::string &service_fields)
{
    return R"({"customers":{"schools":{"key_digest":")" + digest(10) +
           R"(","weight":2.5,"max_in_flight":40,"later":"unknown"}},
        "services":{"rink":{"kind":"engine","move":{"to":"v1"})" +
           service_fields + R"(},
        "office":{"kind":"plain","prefix":"/box-office/"},
        "charge":{"kind":"plain","prefix":"/box-office/charge/"}}})";
}

enum st_status
build(const std::string &derwent, struct cf_config **out,
      const std::string &other = "{}")
{
    std::string top = platform();
    struct cf_section sections[] = {{"platform", top.c_str()},
                                    {"team/derwent", derwent.c_str()},
                                    {"team/reader", other.c_str()}};
    return Cf_Build(sections, 3, 7, out);
}

TEST(Build, ReadsEveryListAndFillsInDefaults)
{
    struct cf_config *config;
    ASSERT_EQ(ST_OK, build(team(""), &config)) << St_Message();
    EXPECT_EQ(7U, config->offset);
    ASSERT_EQ(1U, config->data_centre_count);
    EXPECT_STREQ("tasmania", config->data_centres[0].region);
    auto *customer = Cf_CustomerByKey(config, digest(10).c_str());
    ASSERT_NE(nullptr, customer);
    EXPECT_STREQ("schools", customer->name);
    EXPECT_STREQ("derwent", customer->team);
    EXPECT_EQ(2.5, customer->weight);
    EXPECT_EQ(40, customer->max_in_flight);
    EXPECT_EQ(1048576U, customer->body_max);
    auto *service = Cf_ServiceByName(config, "rink");
    ASSERT_NE(nullptr, service);
    EXPECT_EQ(300000, service->first_token_usec);
    EXPECT_STREQ("v1", service->move.to);
    EXPECT_EQ(nullptr, Cf_CustomerByKey(config, digest(11).c_str()));
    EXPECT_EQ(nullptr, Cf_ServiceByName(config, "rin"));
    Cf_Destroy(Cf_Ref(config));
    Cf_Destroy(config);
}

// Guards against an evacuation, a cold start or a list of regions that is not
// read, and against a region that matches another one.
TEST(Build, ReadsEvacuationColdStartAndRegions)
{
    struct cf_config *config;
    ASSERT_EQ(ST_OK, build(team(R"(,"cold_usec":3000000,"cold_per_sec":16,
                                "regions":["tasmania","north"])"),
                           &config))
        << St_Message();
    const struct cf_service *rink = Cf_ServiceByName(config, "rink");
    EXPECT_EQ(3000000, rink->cold_usec);
    EXPECT_EQ(16, rink->cold_per_sec);
    EXPECT_TRUE(Cf_AllowsRegion(&rink->regions, "tasmania"));
    EXPECT_FALSE(Cf_AllowsRegion(&rink->regions, "south"));
    EXPECT_FALSE(Cf_AllowsRegion(&rink->regions, ""));
    const struct cf_service *office = Cf_ServiceByName(config, "office");
    EXPECT_EQ(0, office->cold_per_sec);
    EXPECT_TRUE(Cf_AllowsRegion(&office->regions, "south"));
    EXPECT_FALSE(Cf_IsEvacuated(config, "hobart"));
    Cf_Destroy(config);
    std::string evacuated = platform();
    const std::string kRegion = "\"region\":\"tasmania\"";
    evacuated.insert(evacuated.find(kRegion) + kRegion.size(),
                     ",\"evacuated\":true");
    struct cf_section section = {"platform", evacuated.c_str()};
    ASSERT_EQ(ST_OK, Cf_Build(&section, 1, 8, &config)) << St_Message();
    EXPECT_TRUE(Cf_IsEvacuated(config, "hobart"));
    EXPECT_FALSE(Cf_IsEvacuated(config, "burnie"));
    Cf_Destroy(config);
}

TEST(Build, LongestPrefixWins)
{
    struct cf_config *config;
    ASSERT_EQ(ST_OK, build(team(""), &config));
    EXPECT_STREQ("charge",
                 Cf_ServiceByPath(config, "/box-office/charge/7")->name);
    EXPECT_STREQ("office",
                 Cf_ServiceByPath(config, "/box-office/charged")->name);
    EXPECT_EQ(nullptr, Cf_ServiceByPath(config, "/box-offices/"));
    Cf_Destroy(config);
}

TEST(Build, TeamsMayPublishByRole)
{
    struct cf_config *config;
    ASSERT_EQ(ST_OK, build(team(""), &config));
    EXPECT_STREQ("derwent", Cf_TeamByKey(config, digest(1).c_str())->name);
    EXPECT_TRUE(Cf_MayPublish(config, "derwent", "team/derwent"));
    EXPECT_FALSE(Cf_MayPublish(config, "derwent", "team/reader"));
    EXPECT_FALSE(Cf_MayPublish(config, "derwent", "platform"));
    EXPECT_TRUE(Cf_MayPublish(config, "platform", "team/derwent"));
    EXPECT_TRUE(Cf_MayPublish(config, "platform", "platform"));
    EXPECT_FALSE(Cf_MayPublish(config, "reader", "team/reader"));
    EXPECT_FALSE(Cf_MayPublish(config, "bootstrap", "platform"));
    EXPECT_FALSE(Cf_MayPublish(config, "nobody", "platform"));
    EXPECT_TRUE(Cf_MayRead(config, "reader", "team/reader"));
    EXPECT_FALSE(Cf_MayRead(config, "reader", "team/derwent"));
    Cf_Destroy(config);
}

struct InvalidCase {
    const char *derwent;
    const char *message_part; /* must be in the message */
};

class InvalidSection : public ::testing::TestWithParam<InvalidCase> {};

TEST_P(InvalidSection, MessageNamesTheEntryAndTheRemedy)
{
    struct cf_config *config;
    std::string text = GetParam().derwent;
    size_t at;
    while ((at = text.find("KEY")) != std::string::npos) {
        text.replace(at, 3, digest(10));
    }
    EXPECT_EQ(ST_INVALID, build(text, &config));
    std::string message = St_Message();
    EXPECT_NE(std::string::npos, message.find(GetParam().message_part))
        << message;
    EXPECT_NE(std::string::npos, message.find(": ")) << message;
}

const InvalidCase kInvalidSections[] = {
    {"[]", "not an object"},
    {"{", "mend the JSON"},
    {R"({"customers":7})", "neither an object nor an array"},
    {R"({"customers":[{"key_digest":"KEY"}]})", "has no name"},
    {R"({"customers":{"a b":{}}})", "will not do"},
    {R"({"customers":{"a":[]}})", "not an object"},
    {R"({"customers":{"a":{}}})", "customers.a.key_digest is missing"},
    {R"({"customers":{"a":{"key_digest":"12"}}})", "cornelctl key"},
    {R"({"customers":{"a":{"key_digest":"KEY","weight":0}}})", "a.weight is"},
    {R"({"customers":{"a":{"key_digest":"KEY","weight":"x"}}})", "\"x\""},
    {R"({"customers":{"a":{"key_digest":"KEY","body_max":1e99}}})",
     "body_max"},
    {R"({"customers":{"a":{"key_digest":"KEY"},"b":{"key_digest":"KEY"}}})",
     "used twice"},
    {R"({"teams":{}})", "platform section"},
    {R"({"services":{"s":{"kind":"engin"}}})", "\"engine\" or \"plain\""},
    {R"({"services":{"s":{"kind":"engine"}}})", "s.move is missing"},
    {R"({"services":{"s":{"kind":"engine","move":{"to":"a","from":"a"}}}})",
     "leave out \"from\""},
    {R"({"services":{"s":{"kind":"engine","move":{"to":"a",
        "withdrawn":true}}}})",
     "go back to"},
    {R"({"services":{"s":{"kind":"plain"}}})", "prefix is missing"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/v1/"}}})", "/v1/"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/a"}}})", "slash"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/a%2f/"}}})", "slash"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/a/"},
        "t":{"kind":"plain","prefix":"/a/"}}})",
     "two services"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/a/","replicas_min":5,
        "replicas_max":3}}})",
     "at least replicas_min"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/a/",
        "cold_per_sec":-1}}})",
     "cold_per_sec is -1"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/a/",
        "cold_usec":3600000000}}})",
     "up to 60000000"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/a/","regions":[]}}})",
     "names of regions"},
    {R"({"services":{"s":{"kind":"plain","prefix":"/a/","regions":"n"}}})",
     "names of regions"},
    {R"({"customers":{"a":{"key_digest":"KEY","regions":[7]}}})",
     "names of regions"},
};

INSTANTIATE_TEST_SUITE_P(Table, InvalidSection,
                         ::testing::ValuesIn(kInvalidSections));

TEST(Build, SectionsAreCheckedAgainstEachOther)
{
    struct cf_config *config;
    std::string same_service =
        R"({"services":{"rink":{"kind":"engine","move":{"to":"v1"}}}})";
    EXPECT_EQ(ST_INVALID, build(team(""), &config, same_service));
    EXPECT_NE(nullptr, strstr(St_Message(), "rename one"));
    std::string top = platform();
    struct cf_section stray[] = {{"platform", top.c_str()},
                                 {"team/stray", same_service.c_str()}};
    EXPECT_EQ(ST_INVALID, Cf_Build(stray, 2, 1, &config));
    EXPECT_NE(nullptr, strstr(St_Message(), "add the team there first"));
    struct cf_section locked[] = {{"platform", "{}"}};
    EXPECT_EQ(ST_INVALID, Cf_Build(locked, 1, 1, &config));
    EXPECT_NE(nullptr, strstr(St_Message(), "operator"));
    struct cf_section unnamed[] = {{"team/", "{}"}};
    EXPECT_EQ(ST_INVALID, Cf_Build(unnamed, 1, 1, &config));
}

} // namespace
