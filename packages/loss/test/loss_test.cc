#include <gtest/gtest.h>
#include <jansson.h>
#include <unistd.h>
#include <zlib.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "loss/loss.h"

namespace {

const char kRecordedLog[] = CG_SOURCE_DIR "/packages/loss/test/data/flood.log";

std::string
ReadAll(FILE *file)
{
    std::string text;
    char buffer[4096];
    size_t got;
    rewind(file);
    while ((got = fread(buffer, 1, sizeof(buffer), file)) > 0) {
        text.append(buffer, got);
    }
    fclose(file);
    return text;
}

struct Losses {
    struct ls_losses *losses = Ls_Create();
    json_t *document = nullptr;

    ~Losses()
    {
        json_decref(document);
        Ls_Destroy(losses);
    }

    void
    Line(const std::string &line)
    {
        Ls_AddLine(losses, line.c_str());
    }

    void
    Finish()
    {
        Ls_Finish(losses);
        FILE *out = tmpfile();
        EXPECT_TRUE(Ls_PrintJson(losses, out));
        document = json_loads(ReadAll(out).c_str(), 0, nullptr);
    }

    long long
    Number(const char *name) const
    {
        return json_integer_value(json_object_get(document, name));
    }

    // Returns a count of a row, or -1 if there is no such row.
    long long
    Row(const char *table, const std::string &name, const char *count) const
    {
        size_t i;
        json_t *row;
        json_array_foreach (json_object_get(document, table), i, row) {
            const char *text = json_string_value(json_object_get(row, "name"));
            if (text != nullptr && name == text) {
                return json_integer_value(json_object_get(row, count));
            }
        }
        return -1;
    }
};

class TempFile {
  public:
    TempFile()
    {
        int fd = mkstemp(path_);
        close(fd);
    }

    ~TempFile()
    {
        unlink(path_);
    }

    const char *
    Path() const
    {
        return path_;
    }

  private:
    char path_[32] = "/tmp/loss-XXXXXX";
};

std::string
ReadRecordedLog()
{
    std::ifstream in(kRecordedLog);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

void
ExpectRecordedCounts(const Losses &found)
{
    EXPECT_EQ(62, found.Number("requests"));
    EXPECT_EQ(54, found.Number("served"));
    EXPECT_EQ(1, found.Number("late"));
    EXPECT_EQ(7, found.Number("lost"));
    EXPECT_EQ(1, found.Number("broken_lines"));
    EXPECT_EQ(1, found.Number("other_lines"));
    EXPECT_EQ(1, found.Row("reason", "refused 429: over the quota", "lost"));
    EXPECT_EQ(40, found.Row("customer", "customer-3", "requests"));
    EXPECT_EQ(1, found.Row("customer", "customer-3", "late"));
    EXPECT_EQ(1, found.Row("endpoint", "endpoint-2", "late"));
}

TEST(Loss, CountsARecordedOverload)
{
    Losses found;
    ASSERT_EQ(ST_OK, Ls_AddFile(found.losses, kRecordedLog));
    found.Finish();
    ExpectRecordedCounts(found);
}

TEST(Loss, ACompressedLogGivesTheSameCounts)
{
    TempFile file;
    std::string text = ReadRecordedLog();
    gzFile out = gzopen(file.Path(), "wb");
    ASSERT_EQ((int)text.size(),
              gzwrite(out, text.data(), (unsigned)text.size()));
    gzclose(out);
    Losses found;
    ASSERT_EQ(ST_OK, Ls_AddFile(found.losses, file.Path()));
    found.Finish();
    ExpectRecordedCounts(found);
}

// Guards against a truncated gzip file, such as a log copied while it is being
// compressed, whose readable lines are not counted.
TEST(Loss, ATruncatedCompressedLogIsReadToItsEnd)
{
    TempFile whole;
    TempFile cut;
    std::string text;
    for (int i = 0; i < 200; i++) {
        text += ReadRecordedLog();
    }
    gzFile out = gzopen(whole.Path(), "wb");
    gzwrite(out, text.data(), (unsigned)text.size());
    gzclose(out);
    std::ifstream in(whole.Path(), std::ios::binary);
    std::stringstream packed;
    packed << in.rdbuf();
    std::string half = packed.str().substr(0, packed.str().size() / 2);
    std::ofstream(cut.Path(), std::ios::binary) << half;
    Losses found;
    ASSERT_EQ(ST_OK, Ls_AddFile(found.losses, cut.Path()));
    found.Finish();
    EXPECT_GT(found.Number("requests"), 1000);
    EXPECT_GT(found.Number("broken_lines"), 0);
}

TEST(Loss, AMissingFileIsReported)
{
    Losses found;
    EXPECT_EQ(ST_NOT_FOUND, Ls_AddFile(found.losses, "/nowhere/a.log"));
    EXPECT_NE(std::string::npos,
              std::string(St_Message()).find("/nowhere/a.log"));
    EXPECT_EQ(ST_NOT_FOUND, Ls_AddFile(found.losses, "/tmp"));
}

// Guards against lost requests that are not counted because their daemon was
// killed while they were in flight.
TEST(Loss, ARequestWithoutAnEndIsLost)
{
    Losses found;
    found.Line("{\"t\":10.5,\"node\":\"a\",\"ev\":\"attempt.sent\","
               "\"id\":\"1\",\"endpoint\":\"e\",\"tenant\":\"acme\"}");
    found.Finish();
    EXPECT_EQ(1, found.Number("lost"));
    EXPECT_EQ(1, found.Row("reason", "no end in the logs", "lost"));
    EXPECT_EQ(1, found.Row("customer", "acme", "lost"));
    EXPECT_EQ(1, found.Row("endpoint", "e", "lost"));
}

// Guards against a retried request that is counted once per attempt.
TEST(Loss, ARequestSentTwiceCountsOnce)
{
    Losses found;
    for (const char *endpoint : {"e", "f"}) {
        found.Line(std::string("host 12:00 {\"t\":10,\"ev\":\"attempt.sent\","
                               "\"id\":\"1\",\"tenant\":\"acme\","
                               "\"endpoint\":\"") +
                   endpoint + "\"}");
    }
    found.Line("{\"t\":11,\"ev\":\"request.end\",\"id\":\"1\","
               "\"outcome\":\"out of time\",\"route\":\"r\","
               "\"endpoint\":\"\"}");
    found.Finish();
    EXPECT_EQ(1, found.Number("requests"));
    EXPECT_EQ(1, found.Row("endpoint", "f", "lost"));
    EXPECT_EQ(-1, found.Row("endpoint", "e", "lost"));
}

// Guards against a foreign or truncated line that ends the count.
TEST(Loss, LinesThatAreNotEventsAreCountedAndSkipped)
{
    Losses found;
    for (const char *line :
         {"", "plain words", "{", "{}", "[1,2]", "{\"ev\":7}", "{\"ev\":null}",
          "{\"ev\":\"request.end\"}", "{\"ev\":\"request.end\",\"id\":[]}",
          "{\"ev\":\"request.refused\",\"status\":\"x\"}", "\xff\xfe{\x01}"}) {
        found.Line(line);
    }
    found.Finish();
    EXPECT_EQ(11, found.Number("lines"));
    EXPECT_EQ(2, found.Number("broken_lines"));
    EXPECT_EQ(6, found.Number("other_lines"));
    EXPECT_EQ(3, found.Number("lost"));
}

// Guards against counts that look complete although the daemons suppressed
// log lines.
TEST(Loss, SuppressedLinesAreReported)
{
    Losses found;
    found.Line("{\"t\":1,\"ev\":\"log.suppressed\",\"lines\":120}");
    found.Line("{\"t\":2,\"ev\":\"log.suppressed\",\"lines\":30}");
    found.Finish();
    EXPECT_EQ(150, found.Number("lines_left_out"));
}

// Guards against memory that grows with the number of different names.
TEST(Loss, FurtherNamesAreCountedAsOthers)
{
    Losses found;
    for (int i = 0; i < 10000; i++) {
        found.Line("{\"t\":10,\"ev\":\"request.refused\",\"status\":429,"
                   "\"why\":\"w\",\"tenant\":\"t" +
                   std::to_string(i) + "\"}");
    }
    found.Finish();
    EXPECT_EQ(10000, found.Number("lost"));
    EXPECT_EQ(10000 - 4096, found.Row("customer", "others", "lost"));
}

TEST(Loss, ATooLongLineIsSkipped)
{
    TempFile file;
    std::ofstream(file.Path())
        << std::string(300000, 'x') << "\n"
        << "{\"t\":1,\"ev\":\"request.refused\",\"status\":503}\n";
    Losses found;
    ASSERT_EQ(ST_OK, Ls_AddFile(found.losses, file.Path()));
    found.Finish();
    EXPECT_EQ(1, found.Number("broken_lines"));
    EXPECT_EQ(1, found.Number("lost"));
}

TEST(Loss, TheTimelineHasABarForLostRequests)
{
    Losses found;
    ASSERT_EQ(ST_OK, Ls_AddFile(found.losses, kRecordedLog));
    Ls_Finish(found.losses);
    FILE *out = tmpfile();
    ASSERT_TRUE(Ls_PrintSvg(found.losses, out));
    std::string text = ReadAll(out);
    EXPECT_EQ(0u, text.find("<svg "));
    EXPECT_NE(std::string::npos, text.find("#c0392b\"/>\n<text"));
    EXPECT_NE(std::string::npos, text.find("</svg>"));
    EXPECT_EQ(std::string::npos, text.find("nan"));
}

TEST(Loss, AnEmptyInputHasNoLosses)
{
    Losses found;
    found.Finish();
    EXPECT_EQ(0, found.Number("requests"));
    FILE *out = tmpfile();
    EXPECT_TRUE(Ls_PrintSvg(found.losses, out));
    EXPECT_EQ(std::string::npos, ReadAll(out).find("nan"));
}

} // namespace
