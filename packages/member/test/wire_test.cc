#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "member/fuzz/decode.h"
#include "member/wire.h"

namespace {

const char kKey[] = "0123456789abcdef0123456789abcdef";

struct mb_record
record(const char *id, bool full)
{
    struct mb_record out = {};
    snprintf(out.id, sizeof(out.id), "%s", id);
    out.incarnation = UINT64_C(1790000000000);
    out.state = full ? MB_ALIVE : MB_SUSPECT;
    out.full = full;
    if (full) {
        snprintf(out.address, sizeof(out.address), "fd00:1234:5678:9abc::1");
        snprintf(out.data_centre, sizeof(out.data_centre), "dc-1");
        snprintf(out.region, sizeof(out.region), "north");
        out.peer_port = 65535;
        out.admin_port = 9000;
    }
    else {
        snprintf(out.suspected_by, sizeof(out.suspected_by), "suspector");
    }
    return out;
}

struct mb_message
message()
{
    struct mb_message out = {};
    out.type = MB_PING;
    snprintf(out.from, sizeof(out.from), "n1");
    snprintf(out.subject, sizeof(out.subject), "n2");
    out.incarnation = UINT64_C(1790000000001);
    out.sequence = UINT32_MAX;
    out.updates[out.update_count++] = record("n3", true);
    out.updates[out.update_count++] = record("n4", false);
    return out;
}

struct fc_table *
facts_with(int count, size_t value_len)
{
    struct fc_options options = {};
    options.node = "n1";
    options.clock = Ck_System();
    struct fc_table *facts = nullptr;
    EXPECT_EQ(ST_OK, Fc_Create(&options, &facts));
    for (int i = 0; i < count; i++) {
        std::string key = "key" + std::to_string(i);
        std::string value(value_len, 'v');
        struct fc_publication post = {};
        post.key = key.c_str();
        post.owned = true;
        post.ttl_usec = 1000 * Ck_USEC_PER_SEC;
        post.value = value.data();
        post.len = value.size();
        EXPECT_EQ(ST_OK, Fc_Publish(facts, &post));
    }
    return facts;
}

std::string
packed(int facts_count, size_t value_len)
{
    uint8_t bytes[Wr_DATAGRAM_MAX];
    struct fc_table *facts = facts_with(facts_count, value_len);
    struct mb_message head = message();
    size_t len = Wr_PackDatagram(kKey, &head, 77, facts, FC_CLUSTER, bytes);
    Fc_Destroy(facts);
    return {reinterpret_cast<char *>(bytes), len};
}

enum st_status
unpack(const std::string &bytes, struct wr_datagram *out)
{
    return Wr_UnpackDatagram(kKey,
                             reinterpret_cast<const uint8_t *>(bytes.data()),
                             bytes.size(), out);
}

int
decode(const std::string &bytes)
{
    return fuzz_decode(reinterpret_cast<const uint8_t *>(bytes.data()),
                       bytes.size());
}

TEST(Wire, DatagramRoundTrip)
{
    std::string bytes = packed(3, 10);
    static struct wr_datagram out;
    ASSERT_EQ(ST_OK, unpack(bytes, &out)) << St_Message();
    struct mb_message sent = message();
    EXPECT_EQ(MB_PING, out.message.type);
    EXPECT_STREQ("n1", out.message.from);
    EXPECT_STREQ("n2", out.message.subject);
    EXPECT_EQ(sent.incarnation, out.message.incarnation);
    EXPECT_EQ(sent.sequence, out.message.sequence);
    EXPECT_EQ(77U, out.counter);
    ASSERT_EQ(2U, out.message.update_count);
    EXPECT_EQ(0, memcmp(&sent.updates[0], &out.message.updates[0],
                        sizeof(sent.updates[0])));
    EXPECT_EQ(0, memcmp(&sent.updates[1], &out.message.updates[1],
                        sizeof(sent.updates[1])));
    ASSERT_EQ(3U, out.fact_count);
    EXPECT_STREQ("n1", out.facts[0].fact.owner);
    EXPECT_EQ(10U, out.facts[0].fact.len);
    EXPECT_EQ(0, memcmp("vvvvvvvvvv", out.facts[0].fact.value, 10));
    EXPECT_LE(out.facts[0].fact.ttl_usec, 1000 * Ck_USEC_PER_SEC);
}

TEST(Wire, DatagramsFitTheSizeLimit)
{
    static struct wr_datagram out;
    for (size_t value_len = 0; value_len <= Fc_VALUE_MAX; value_len += 7) {
        std::string bytes = packed(120, value_len);
        EXPECT_LE(bytes.size(), (size_t)Wr_DATAGRAM_MAX);
        EXPECT_EQ(ST_OK, unpack(bytes, &out)) << value_len;
        EXPECT_GT(out.fact_count, 0U);
    }
}

TEST(Wire, TruncatedAndGarbledDatagramsAreRejected)
{
    static struct wr_datagram out;
    std::string bytes = packed(3, 10);
    for (size_t len = 0; len < bytes.size(); len++) {
        EXPECT_NE(ST_OK, unpack(bytes.substr(0, len), &out));
    }
    for (size_t i = 0; i < bytes.size(); i++) {
        std::string garbled = bytes;
        garbled[i] = (char)(garbled[i] ^ 0x40);
        EXPECT_EQ(ST_DENIED, unpack(garbled, &out));
    }
}

/*
 * Guards against a daemon crashing on a datagram of another version, or one
 * made up by an attacker who has the key: the MAC is valid, and the content is
 * truncated or changed byte by byte.  Nothing may be read out of bounds.
 */
TEST(Wire, MalformedContentIsHarmless)
{
    std::string bytes = packed(3, 10);
    bytes.resize(bytes.size() - Wr_MAC_BYTES);
    EXPECT_EQ(1, decode(bytes));
    for (size_t len = 0; len < bytes.size(); len++) {
        EXPECT_EQ(0, decode(bytes.substr(0, len)));
    }
    for (size_t i = 0; i < bytes.size(); i++) {
        for (int bit = 0; bit < 8; bit++) {
            std::string garbled = bytes;
            garbled[i] = (char)(garbled[i] ^ 1 << bit);
            decode(garbled);
        }
    }
}

TEST(Wire, MalformedCorpusIsRejected)
{
    const std::string corpus[] = {
        "",
        std::string(1, '\0'),
        "\xc1",                                 /* a byte msgpack never uses */
        std::string("\xdd\xff\xff\xff\xff", 5), /* array of 4 billion */
        std::string("\xdf\xff\xff\xff\xff", 5), /* map of 4 billion */
        std::string("\xc6\xff\xff\xff\xff", 5), /* bytes beyond the end */
        std::string(1000, '\x91'),              /* nested 1000 deep */
        std::string(1000, '\x81'),
        "\x99\x01\x00\xa2n1\x01\x01\x01\xa0\x90",     /* one element too few */
        "\x99\x02\x00\xa2n1\x01\x01\x01\xa0\x90\x90", /* version 2 */
        "\x99\x01\x09\xa2n1\x01\x01\x01\xa0\x90\x90", /* no such type */
        "\x99\x01\x03\xa0\x01\x01\x01\xa0\x90\x90",   /* no sender */
        "\x99\x01\x03\xa2n1\xff\x01\x01\xa0\x90\x90", /* negative */
        "\x99\x01\x03\xa2n1\x01\x01\x01\xa0\xc0\x90", /* nil for updates */
        "\x99\x01\x03\xa2n1\x01\x01\x01\xa0\x91\x90\x90", /* empty record */
        "\x95\x09\x01\xa0\x00\xc4\x00",                   /* no such kind */
    };
    for (const std::string &bytes : corpus) {
        EXPECT_EQ(0, decode(bytes)) << testing::PrintToString(bytes);
    }
}

TEST(Wire, UnknownElementsAreSkipped)
{
    using namespace std::string_literals;
    EXPECT_EQ(1, decode("\x99\x01\x03\xa2n1\x01\x01\x01\xa0\x90\x90"s));
    EXPECT_EQ(1, decode("\x9a\x01\x03\xa2n1\x01\x01\x01\xa0\x90\x90\xa1x"s));
    EXPECT_EQ(1, decode("\x95\x00\x01\xa4ping\x00\xc4\x01x"s));
    EXPECT_EQ(1, decode("\x96\x00\x01\xa4ping\x00\xc4\x01x\xc0"s));
}

TEST(Wire, WindowAdmitsEachCounterOnce)
{
    struct wr_window window = {};
    EXPECT_EQ(WR_FRESH, Wr_Admit(&window, 5, 100));
    EXPECT_EQ(WR_REPLAYED, Wr_Admit(&window, 5, 100));
    EXPECT_EQ(WR_FRESH, Wr_Admit(&window, 5, 103));
    /* reordered on the network */
    EXPECT_EQ(WR_FRESH, Wr_Admit(&window, 5, 101));
    EXPECT_EQ(WR_REPLAYED, Wr_Admit(&window, 5, 101));
    EXPECT_EQ(WR_FRESH, Wr_Admit(&window, 5, 1000));
    EXPECT_EQ(WR_FRESH, Wr_Admit(&window, 5, 937));
    EXPECT_EQ(WR_REPLAYED, Wr_Admit(&window, 5, 936)); /* below the window */
    EXPECT_EQ(WR_REPLAYED, Wr_Admit(&window, 5, 102));
    EXPECT_EQ(WR_OLD_INCARNATION, Wr_Admit(&window, 4, 2000));
    EXPECT_EQ(WR_FRESH, Wr_Admit(&window, 6, 1)); /* restarted */
    EXPECT_EQ(WR_OLD_INCARNATION, Wr_Admit(&window, 5, 1001));
}

TEST(Wire, KeysOfPurposesDiffer)
{
    char one[Wr_KEY_MAX];
    char other[Wr_KEY_MAX];
    Wr_DeriveKey("secret", "datagram", one);
    Wr_DeriveKey("secret", "frame", other);
    EXPECT_STRNE(one, other);
    Wr_DeriveKey("secreu", "datagram", other);
    EXPECT_STRNE(one, other);
}

} // namespace
