// Clients send orders in chunks, with the digest of the body in the trailer
// section behind the last chunk.  A full replica refuses some of them, and the
// daemon sends those to the other replica.  That one must get the order as the
// client sent it.
#include <atomic>
#include <random>
#include <set>

#include "../lab-2/lab.h"

namespace {

const int CLIENTS = 6;
const int64_t BEFORE_MS = 2000; // without refusals
const int64_t REFUSING_MS = 4000;
const int64_t AFTER_MS = 1000;
const int REFUSED_OF_TEN = 4;
const int DEADLINE_MS = 1000;
const int LAST_CHUNK_MAX = 120;
// RFC 9530: 44 digits of base64 in colons.
const char *const DIGEST =
    "Content-Digest: sha-256=:X48E9qOokqqrvdts8nOJRJN3OWDUoyWxBf7kbu9DBPE=:";

struct Order {
    std::string path;
    std::string body;
};

struct Book {
    std::mutex mutex;
    std::map<std::string, Order> orders; // by request id
    std::map<int, int> answers;          // by status
};

std::string
Hex(size_t size)
{
    char text[32];
    snprintf(text, sizeof(text), "%zx", size);
    return text;
}

// Sends one order as it is written: first what is known at once, then the
// last part with the end and the digest.
int
Send(lab::Stream *stream, const std::string &id, const Order &order,
     size_t last)
{
    std::string first = order.body.substr(0, order.body.size() - last);
    std::string rest = order.body.substr(order.body.size() - last);
    lab::Message answer;
    if (!stream->Write("POST " + order.path + " HTTP/1.1\r\n" +
                       lab::ClientFields(id, DEADLINE_MS) +
                       "Transfer-Encoding: chunked\r\n"
                       "Trailer: Content-Digest\r\n\r\n" +
                       Hex(first.size()) + "\r\n" + first + "\r\n")) {
        return 0;
    }
    lab::SleepMs(8);
    if (!stream->Write(Hex(rest.size()) + "\r\n" + rest + "\r\n0\r\n" +
                       DIGEST + "\r\n\r\n") ||
        !stream->ReadAnswer(&answer, 2 * DEADLINE_MS) || !answer.whole) {
        return 0;
    }
    return answer.Status();
}

void
RunClient(int number, const lab::Daemons &daemons, int64_t until, Book *book,
          lab::Record *record)
{
    std::mt19937 random((unsigned)number + 1);
    std::unique_ptr<lab::Stream> stream;
    for (int count = 0; lab::NowMs() < until; count++) {
        char id[32];
        snprintf(id, sizeof(id), "%08x%08x", number + 1, count);
        size_t last = 1 + random() % LAST_CHUNK_MAX;
        Order order = {"/order/" + std::to_string(count),
                       "{\"item\":\"" + std::string(20 + last, 'a') + "\"}"};
        {
            std::lock_guard<std::mutex> lock(book->mutex);
            book->orders[id] = order;
        }
        if (stream == nullptr) {
            stream = std::make_unique<lab::Stream>(
                lab::Connect(daemons.Ip(number % lab::Daemons::COUNT),
                             daemons.FrontPort()));
        }
        int status = stream->Open() ? Send(stream.get(), id, order, last) : 0;
        record->Line(
            "client %d sent %s: POST %s, %zu bytes of body in chunks; "
            "answered %d",
            number, id, order.path.c_str(), order.body.size(), status);
        if (status != 200) {
            stream.reset();
            lab::SleepMs(20);
        }
        std::lock_guard<std::mutex> lock(book->mutex);
        book->answers[status]++;
    }
}

// Tells what a replica ran that the client had not sent so.
std::string
Difference(const lab::Message &run, const Order *order)
{
    if (order == nullptr) {
        return "no client sent this id";
    }
    if (run.Method() != "POST" || run.Target() != order->path) {
        return "another method or path";
    }
    if (run.body != order->body) {
        return "the client's body has " + std::to_string(order->body.size()) +
               " bytes, the replica got " + std::to_string(run.body.size());
    }
    if (run.Field("x-tenant") != lab::TENANT) {
        return "X-Tenant is '" + run.Field("x-tenant") + "'";
    }
    return "";
}

int
Judge(std::vector<std::unique_ptr<lab::Replica>> *replicas, Book *book,
      lab::Record *record)
{
    int broken = 0;
    size_t runs = 0;
    for (auto &replica : *replicas) {
        for (const lab::Message &run : replica->Runs()) {
            runs++;
            auto found = book->orders.find(run.Field("x-request-id"));
            std::string what = Difference(
                run, found == book->orders.end() ? nullptr : &found->second);
            if (what.empty()) {
                continue;
            }
            broken++;
            record->Line("UNASKED: replica %s ran %s changed: %s; X-Tenant "
                         "'%s', X-Expect-Replica '%s'",
                         replica->Id().c_str(),
                         run.Field("x-request-id").c_str(), what.c_str(),
                         run.Field("x-tenant").c_str(),
                         run.Field("x-expect-replica").c_str());
        }
    }
    std::string answers;
    for (const auto &entry : book->answers) {
        answers += " " + std::to_string(entry.first) + ": " +
                   std::to_string(entry.second);
    }
    record->Line("%zu orders sent, %zu run, answers by status (0: none)%s",
                 book->orders.size(), runs, answers.c_str());
    record->Line("%d runs of a request that was changed", broken);
    if (runs < 100) {
        return lab::NOT_RUN;
    }
    return broken > 0 ? lab::BROKEN : lab::HELD;
}

} // namespace

int
main()
{
    lab::Setup setup;
    lab::Platform platform;
    std::atomic<bool> refusing{false};
    std::atomic<unsigned> arrivals{0};
    lab::Configure(&platform, {{"order", "unsafe", 1, 1000, 150}});
    auto decide = [&](const lab::Message &) {
        lab::Reply reply;
        if (refusing && arrivals++ % 10 < REFUSED_OF_TEN) {
            reply = {503,
                     "Service Unavailable",
                     "X-Not-Executed: 1\r\n",
                     "",
                     false,
                     false,
                     0};
        }
        return reply;
    };
    std::vector<std::unique_ptr<lab::Replica>> replicas;
    for (const char *id : {"i-7f3a91c2", "i-02d9e6b4", "i-5c1e07a2"}) {
        replicas.push_back(std::make_unique<lab::Replica>(
            id, lab::SERVICE, &setup.record, decide));
        replicas.back()->Register(&platform);
    }
    lab::Daemons daemons(platform, setup.program, setup.folder, &setup.record);
    if (!daemons.WaitReady()) {
        return lab::NOT_RUN;
    }
    Book book;
    int64_t until = lab::NowMs() + BEFORE_MS + REFUSING_MS + AFTER_MS;
    std::vector<std::thread> clients;
    for (int i = 0; i < CLIENTS; i++) {
        clients.emplace_back(
            [&, i] { RunClient(i, daemons, until, &book, &setup.record); });
    }
    lab::SleepMs(BEFORE_MS);
    if (setup.trouble) {
        setup.record.Line("each replica refuses %d of 10 requests from now on",
                          REFUSED_OF_TEN);
        refusing = true;
    }
    lab::SleepMs(REFUSING_MS);
    refusing = false;
    setup.record.Line("no replica refuses from now on");
    for (std::thread &client : clients) {
        client.join();
    }
    lab::SleepMs(200);
    int verdict = Judge(&replicas, &book, &setup.record);
    setup.record.Line("verdict: %d", verdict);
    daemons.Stop();
    _exit(verdict);
}
