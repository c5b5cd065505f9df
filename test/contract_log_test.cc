#include <gtest/gtest.h>

#include "test/contract.h"

namespace {

using cg::FaultCase;
using cg::HttpResult;
using cg::Json;

// A stream that nobody else writes to, also on a real log.
std::string
Stream()
{
    static int next = 0;
    return "test-" + std::to_string(getpid()) + "-" + std::to_string(next++);
}

class ContractLog : public ::testing::Test {
  protected:
    HttpResult
    Append(const std::vector<std::string> &texts)
    {
        Json body = Json().Set("records", Json::Texts(texts));
        return log.Post("/log/v1/" + stream + "/append", body);
    }

    HttpResult
    Read(long long from, int max = 100)
    {
        return log.Get("/log/v1/" + stream + "/read?from=" +
                       std::to_string(from) + "&max=" + std::to_string(max));
    }

    void
    Fault(const std::string &fault)
    {
        log.standin()->Clear();
        log.standin()->Fault(fault);
    }

    cg::ContractTarget<cg::Platform> log{"CG_LOG_ADDRESS"};
    std::string stream = Stream();
};

TEST_F(ContractLog, OffsetsStartAtOneAndFollowEachOther)
{
    Json first = Append({"a", "b"}).json();
    EXPECT_EQ(1, first["offset"].Int());
    EXPECT_EQ(2, first["count"].Int());
    EXPECT_EQ(3, Append({"c"}).json()["offset"].Int());
    Json read = Read(2).json();
    EXPECT_EQ(4, read["next"].Int());
    ASSERT_EQ(2U, read["records"].Size());
    EXPECT_EQ(2, read["records"][0]["offset"].Int());
    EXPECT_EQ("b", read["records"][0]["data"].Str());
    EXPECT_EQ("c", read["records"][1]["data"].Str());
}

TEST_F(ContractLog, ReadsNoMoreThanAskedFor)
{
    Append({"a", "b", "c"});
    Json read = Read(1, 2).json();
    EXPECT_EQ(2U, read["records"].Size());
    EXPECT_EQ(4, read["next"].Int());
}

TEST_F(ContractLog, TheTailIsEmpty)
{
    Append({"a"});
    HttpResult read = Read(2);
    EXPECT_EQ(200, read.code);
    EXPECT_EQ(0U, read.json()["records"].Size());
    EXPECT_EQ(2, read.json()["next"].Int());
}

TEST_F(ContractLog, KeepsEveryByteOfARecord)
{
    std::string text = "{\"k\":\"\\u00e9\\n\\\\\"} \xc3\xa9 \t";
    Append({text, std::string(64 << 10, 'x')});
    Json read = Read(1).json();
    EXPECT_EQ(text, read["records"][0]["data"].Str());
    EXPECT_EQ(size_t(64 << 10), read["records"][1]["data"].Str().size());
}

TEST_F(ContractLog, RefusesWhatIsNoRecord)
{
    EXPECT_EQ(400, Append({std::string((64 << 10) + 1, 'x')}).code);
    EXPECT_EQ(400, log.Post("/log/v1/" + stream + "/append", Json()).code);
    EXPECT_EQ(1, Read(1).json()["next"].Int());
}

TEST_F(ContractLog, StreamsAreApart)
{
    Append({"a"});
    stream = Stream();
    EXPECT_EQ(1, Append({"b"}).json()["offset"].Int());
}

TEST_F(ContractLog, ConcurrentAppendsGetOffsetsOfTheirOwn)
{
    std::vector<cg::HttpCall> calls(20);
    for (size_t i = 0; i < calls.size(); i++) {
        std::string text = "r" + std::to_string(i);
        calls[i].method = "POST";
        calls[i].url = log.address() + "/log/v1/" + stream + "/append";
        calls[i].body = Json().Set("records", Json::Texts({text})).Dump();
    }
    std::vector<HttpResult> results = cg::HttpAll(calls);
    Json records = Read(1).json()["records"];
    ASSERT_EQ(calls.size(), records.Size());
    for (size_t i = 0; i < calls.size(); i++) {
        auto offset = (size_t)results[i].json()["offset"].Int();
        EXPECT_EQ("r" + std::to_string(i), records[offset - 1]["data"].Str());
    }
}

TEST_F(ContractLog, ExpiredRecordsAreGoneWithTheirBounds)
{
    if (log.standin() == nullptr) {
        GTEST_SKIP() << "only a stand-in expires on demand";
    }
    Append({"a", "b", "c"});
    log.standin()->Expire(stream, 3);
    HttpResult read = Read(2);
    EXPECT_EQ(410, read.code);
    EXPECT_EQ(3, read.json()["oldest"].Int());
    EXPECT_EQ(4, read.json()["next"].Int());
    EXPECT_EQ(1U, Read(3).json()["records"].Size());
    EXPECT_EQ(4, Append({"d"}).json()["offset"].Int());
    EXPECT_EQ(4U, log.standin()->Records(stream).size());
}

/*
 * A writer takes a 429 for a lost append and writes the record twice.  The
 * log is over its rate and answers 429; nothing of that append may stand.
 */
TEST_F(ContractLog, NothingIsWrittenOverTheRate)
{
    if (log.standin() == nullptr) {
        GTEST_SKIP() << "a real log is not driven to its limit";
    }
    cg::Platform slow({"--append-rate", "1"});
    int taken = 0;
    int refused = 0;
    for (int i = 0; i < 5; i++) {
        HttpResult result =
            cg::Http("POST", slow.Address() + "/log/v1/config/append", {},
                     R"({"records":["a"]})");
        taken += result.code == 200;
        refused += result.code == 429;
    }
    EXPECT_EQ(5, taken + refused);
    EXPECT_GT(refused, 0);
    EXPECT_EQ((size_t)taken, slow.Records("config").size());
}

const FaultCase kAppendFaults[] = {
    {"outage", R"({"mode":"refuse"})", 503, true, true, false},
    {"reset before", R"({"mode":"reset_before"})", 0, false, false, false},
    {"reset after", R"({"mode":"reset_after"})", 0, false, false, true},
    {"lost answer", R"({"mode":"lost_answer","delay_ms":20})", 0, false, false,
     true},
    {"late answer", R"({"mode":"delay","delay_ms":20})", 200, true, true,
     true},
    {"garbage", R"({"mode":"garbage"})", 200, true, false, true},
    {"cut answer", R"({"mode":"truncate"})", 200, false, false, true},
    {"slow answer", R"({"mode":"slow_bytes","delay_ms":1})", 200, true, true,
     true},
};

/*
 * A record is written twice, or an accepted change is lost.  The answer to
 * an append is missing, late or spoilt, and the writer has to guess whether
 * it took effect; the table says for each fault what is true.
 */
TEST_F(ContractLog, FaultsOfAnAppend)
{
    if (log.standin() == nullptr) {
        GTEST_SKIP() << "only a stand-in can be asked for faults";
    }
    for (const FaultCase &item : kAppendFaults) {
        SCOPED_TRACE(Describe(item));
        stream = Stream();
        Json fault = Json::Parse(item.fault);
        Fault(fault.Set("target", "append").Set("count", 1).Dump());
        HttpResult result = Append({"a"});
        EXPECT_EQ(item.code, result.code);
        EXPECT_EQ(item.complete, result.complete);
        EXPECT_EQ(item.json, !result.json().IsNull());
        EXPECT_EQ(item.effect ? 1U : 0U,
                  log.standin()->Records(stream).size());
        EXPECT_EQ(1, log.standin()->FaultHits());
        EXPECT_EQ(200, Append({"b"}).code);
    }
}

struct ReadCase {
    const char *name;
    const char *fault;
    int code;
    bool complete;
    int next;       // shown after four records, the fault set after three
    size_t records; // shown
};

const ReadCase kReadFaults[] = {
    {"outage", R"({"mode":"refuse"})", 503, true, 0, 0},
    {"reset", R"({"mode":"reset_before"})", 0, false, 0, 0},
    {"cut answer", R"({"mode":"truncate"})", 200, false, 0, 0},
    {"old state", R"({"mode":"stale_read"})", 200, true, 4, 3},
    {"short tail", R"({"mode":"short_tail","records":3})", 200, true, 2, 1},
    {"nothing left", R"({"mode":"short_tail","records":9})", 200, true, 1, 0},
    {"late answer", R"({"mode":"delay","delay_ms":20})", 200, true, 5, 4},
};

/*
 * A configuration in force goes back to an older one.  The log shows an
 * older or shorter end than it did before; a reader that follows it forgets
 * what it had applied.
 */
TEST_F(ContractLog, FaultsOfARead)
{
    if (log.standin() == nullptr) {
        GTEST_SKIP() << "only a stand-in can be asked for faults";
    }
    for (const ReadCase &item : kReadFaults) {
        SCOPED_TRACE(std::string(item.name) + ": " + item.fault);
        stream = Stream();
        Append({"a", "b", "c"});
        Json fault = Json::Parse(item.fault);
        Fault(fault.Set("target", "read").Set("stream", stream).Dump());
        Append({"d"});
        HttpResult result = Read(1);
        EXPECT_EQ(item.code, result.code);
        EXPECT_EQ(item.complete, result.complete);
        EXPECT_EQ(item.next, result.json()["next"].Int());
        EXPECT_EQ(item.records, result.json()["records"].Size());
        log.standin()->Clear();
        EXPECT_EQ(5, Read(1).json()["next"].Int());
    }
}

TEST_F(ContractLog, AFaultOfOneStreamLeavesTheOthersAlone)
{
    if (log.standin() == nullptr) {
        GTEST_SKIP() << "only a stand-in can be asked for faults";
    }
    Fault(R"({"target":"append","mode":"refuse","stream":"config"})");
    EXPECT_EQ(200, Append({"a"}).code);
    stream = "config";
    EXPECT_EQ(503, Append({"a"}).code);
}

} // namespace
