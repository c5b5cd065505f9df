// A host reaches a replica through another host; that host is killed in the
// midst of streams whose answers end with their connection.
#include "../lab/lab.h"

using namespace lab;

namespace {

const int kEvents = 42;
const int kEventMs = 120;
const size_t kHosts = 7;
const int kRounds = 9;
const char kZones[] = "\"tas-a\":\"tas\",\"tas-b\":\"tas\",\"tas-c\":\"tas\","
                      "\"tas-d\":\"tas\"";
const char *const kHostZones[kHosts] = {"tas-a", "tas-a", "tas-b", "tas-b",
                                        "tas-c", "tas-c", "tas-d"};

std::string
Config()
{
    return "{\"Version\":7,\"Routes\":["
           "{\"Name\":\"chat\",\"Host\":\"rink.example\",\"PathPrefix\":"
           "\"/chat/\",\"Kind\":\"streaming\",\"TimeoutMs\":10000,\"SloMs\":"
           "300,\"Priority\":0,\"Service\":\"rink\",\"MaxAttempts\":1,"
           "\"Public\":false,\"Sticky\":true,\"Resumable\":false,"
           "\"GapAimMs\":300},"
           "{\"Name\":\"digest\",\"Host\":\"rink.example\",\"PathPrefix\":"
           "\"/digest/\",\"Kind\":\"streaming\",\"TimeoutMs\":12000,"
           "\"SloMs\":800,\"Priority\":1,\"Service\":\"rink\","
           "\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,"
           "\"Resumable\":true,\"GapAimMs\":300}],"
           "\"Services\":[{\"Name\":\"rink\",\"HealthPath\":\"/healthz\","
           "\"MaxConns\":360,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{"
           "\"Slots\":64,\"KvTokens\":638251,\"KvBytes\":327680,"
           "\"LinkMbps\":1500000.0,\"Moves\":false,\"Stride\":7,\"Models\":["
           "{\"Name\":\"m\"}]}}],"
           "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
           "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
           "\"Tenants\":[{\"Name\":\"club\",\"ApiKeys\":[\"key-1\"],"
           "\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,"
           "\"RatePerS\":172977,\"Burst\":172977}]}";
}

std::string
Events(int from)
{
    std::string out;
    for (int i = from; i <= kEvents; i++) {
        out += Text("id: %d\ndata: piece %d of %d\n\n", i, i, kEvents);
    }
    return out;
}

// A replica whose answers have no length and end with their connection.
class Replica {
  public:
    Replica(Platform *platform, Record *record, const std::string &id,
            const std::string &zone)
        : record_(record), id_(id),
          server_("127.0.0.1",
                  [this](Connection &c, const Request &r) {
                      return Handle(c, r);
                  }),
          entry_(platform, id, "rink", server_.Url(), zone, 64)
    {
    }

    Server &
    server()
    {
        return server_;
    }

  private:
    Replica(const Replica &) = delete;

    bool
    Handle(Connection &connection, const Request &request)
    {
        if (request.target == "/v1/report" || request.target == "/healthz") {
            return connection.Reply(
                200,
                "Content-Type: application/json\r\nX-Replica-Id: " + id_ +
                    "\r\n",
                "{\"Stage\":\"unified\",\"Busy\":false,\"Sequence\":2,"
                "\"Waiting\":0,\"Running\":1,\"KvUsed\":0,\"KvTotal\":"
                "638251,\"Handles\":0}");
        }
        std::string request_id = request.Field("x-request-id");
        if (request.Field("x-expect-replica") != id_) {
            return connection.Reply(421, "X-Replica-Id: " + id_ + "\r\n", "");
        }
        int from = request.fields.count("last-event-id") > 0
                       ? atoi(request.Field("last-event-id").c_str()) + 1
                       : 1;
        record_->Line(Text("replica %s runs %s from event %d", id_.c_str(),
                           request_id.c_str(), from));
        connection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
                        "\r\nX-Request-Id: " +
                        request_id + "\r\nX-Replica-Seal: seal." + id_ +
                        "\r\nX-Weight-Versions: 1\r\nConnection: close\r\n"
                        "\r\n");
        for (int i = from; i <= kEvents; i++) {
            SleepMs(kEventMs);
            if (connection.Gone() ||
                !connection.Send(
                    Text("id: %d\ndata: piece %d of %d\n\n", i, i, kEvents))) {
                record_->Line(Text("replica %s: the caller of %s has left, "
                                   "event %d",
                                   id_.c_str(), request_id.c_str(), i));
                return false;
            }
        }
        record_->Line(
            Text("replica %s has ended %s", id_.c_str(), request_id.c_str()));
        return false;
    }

    Record *record_;
    std::string id_;
    Server server_;
    Entry entry_;
};

std::string
MakeRequest(const std::string &path, const std::string &id)
{
    std::string body = "{\"prompt\":\"" + id + "\"}";
    return "POST " + path +
           " HTTP/1.1\r\nHost: rink.example\r\nX-Request-Id: " + id +
           "\r\nX-Model: m\r\nX-Token-Counts: 826,294\r\nX-Deadline-Ms: "
           "10000\r\nApi-Key: key-1\r\n" +
           Text("Content-Length: %zu\r\n\r\n", body.size()) + body;
}

} // namespace

int
main(int argc, char **argv)
{
    Record record(argc > 1 ? argv[1] : "record.txt");
    Platform platform(&record);
    platform.Put("keyed.op", "config", Config());
    Replica replica(&platform, &record, "i-1", "tas-b");
    Folder folder;
    Hosts hosts(&platform, &record, folder.path());
    for (const char *zone : kHostZones) {
        hosts.Add(zone, kZones);
    }
    if (!hosts.WaitReady()) {
        return 2;
    }
    SleepMs(2000);

    // All clients are at host 0.  In each round the replica's queue of new
    // connections is full for a moment: the opening packet is dropped.
    struct Stream {
        std::string id;
        Answer answer;
        std::thread thread;
    };
    std::vector<std::unique_ptr<Stream>> streams;
    for (int round = 0; round < kRounds; round++) {
        replica.server().FillQueue();
        for (const char *path :
             {"/chat/x", "/digest/x", "/chat/y", "/digest/y"}) {
            streams.push_back(std::make_unique<Stream>());
            Stream *stream = streams.back().get();
            stream->id =
                Text("%s-%d", path[1] == 'c' ? "chat" : "digest", round);
            stream->thread = std::thread([stream, path, &hosts, &record] {
                record.Line("client sends " + stream->id);
                stream->answer = Call(hosts.Ip(0), hosts.front_port(),
                                      MakeRequest(path, stream->id), 10000);
            });
        }
        SleepMs(60);
        replica.server().EmptyQueue();
        SleepMs(120);
    }
    SleepMs(500);
    if (Trouble()) {
        hosts.Kill(1); // one of seven
        SleepMs(2000);
        hosts.Start(1);
    }

    int wrong = 0;
    int whole = 0;
    int cut = 0;
    for (auto &stream : streams) {
        stream->thread.join();
        const Answer &answer = stream->answer;
        bool is_whole = answer.body == Events(1);
        record.Line(Text("client got %s: %d, %zu bytes of %zu, %s%s",
                         stream->id.c_str(), answer.status, answer.body.size(),
                         Events(1).size(),
                         answer.complete ? "ended as complete" : "cut: ",
                         answer.complete ? "" : answer.how.c_str()));
        whole += answer.status == 200 && answer.complete && is_whole;
        wrong += answer.status == 200 && answer.complete && !is_whole;
        cut += answer.status == 200 && !answer.complete;
    }
    if (!Trouble() && whole != 4 * kRounds) {
        return 2;
    }
    return Verdict(&record, wrong > 0,
                   Text("%d of %zu streams ended as complete before their "
                        "last piece (%d whole, %d cut)",
                        wrong, streams.size(), whole, cut));
}
