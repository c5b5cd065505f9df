// Runs random sequences of writes, listings, restarts and fetches on several
// hosts, and checks that a host has applied every change before the offset
// that it reports as the end of its changes.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "edge/feed.h"
#include "web/loop.h"

#include "../../member/test/loop_util.h"
#include "fake_store.h"
#include "feed_codec.h"

namespace {

const size_t kHosts = 5;
const size_t kReaders = 2;
const int kSteps = 400;
const int64_t kStepUsec = 8 * Ck_USEC_PER_MSEC;

// A host that reads the store unless enough of its peers do.
class Host {
  public:
    Host(struct lp_loop *loop, FakeStore *store)
        : fleet(Fl_Create(Ck_System()))
    {
        struct fe_options options = {};
        options.loop = loop;
        options.clock = Ck_System();
        options.store = &store->AddClient()->base;
        options.codec = &codec;
        options.fleet = fleet;
        options.drain_usec = 1;
        options.ops = &kOps;
        options.arg = this;
        feed = Fe_Create(&options);
    }
    ~Host()
    {
        Fe_Destroy(feed);
        Fl_Destroy(fleet);
    }
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    int64_t
    ChangesEnd() const
    {
        return Fe_ChangesEnd(feed, AG_ENDPOINTS);
    }

    struct fl_fleet *fleet;
    struct fe_feed *feed = nullptr;
    bool peers_read = false;
    bool peers_known = false;

  private:
    static void
    OnConfig(void *, struct ec_config *)
    {
    }
    static void
    OnOrder(void *, const struct ro_order *)
    {
    }
    static void
    OnStore(void *, bool)
    {
    }
    static bool
    PeersReach(void *)
    {
        return true;
    }
    static bool
    PeersRead(void *arg, enum ag_topic)
    {
        return static_cast<Host *>(arg)->peers_read;
    }

    static void
    OnEvacuation(void *, const char *, bool)
    {
    }

    static bool
    PeersKnown(void *arg)
    {
        return static_cast<Host *>(arg)->peers_known;
    }

    static constexpr struct fe_ops kOps = {OnConfig,  OnOrder,    OnEvacuation,
                                           OnStore,   PeersReach, PeersRead,
                                           PeersKnown};
};

class FeedModel : public testing::TestWithParam<uint64_t> {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(ST_OK, Lp_Create(&loop_));
        runner_ = std::make_unique<Runner>(loop_);
        Rn_Seed(&random_, GetParam());
        store_.page = 1 + Below(3);
        for (int i = 0; i < 6; i++) {
            Add();
        }
        for (size_t i = 0; i < kHosts; i++) {
            hosts_.push_back(std::make_unique<Host>(loop_, &store_));
        }
    }

    void
    TearDown() override
    {
        store_.Answer();
        hosts_.clear();
        runner_.reset();
        Lp_Destroy(loop_);
    }

    uint32_t
    Below(size_t bound)
    {
        return Rn_Below(&random_, (uint32_t)bound);
    }

    void
    Log(const std::string &what)
    {
        log_ += std::to_string(store_.Topic(AG_ENDPOINTS).size()) + ": " +
                what + "\n";
    }

    std::string
    Name(const Host *host) const
    {
        size_t i = 0;
        while (i < hosts_.size() && hosts_[i].get() != host) {
            i++;
        }
        return std::to_string(i);
    }

    void
    Add()
    {
        std::string key = "k" + std::to_string(keys_.size());
        keys_.push_back(key);
        Write(key, "ready");
    }

    void
    Write(const std::string &key, const std::string &state)
    {
        state_[key] = state;
        changed_[key] = store_.Put(AG_ENDPOINTS, key, state);
        Log(key + " " + state);
    }

    void
    Leave(const std::string &key, bool announced)
    {
        if (announced && state_[key] == "ready") {
            Write(key, "draining");
        }
        else if (!announced && !state_[key].empty()) {
            state_[key].clear();
            changed_[key] = (int64_t)store_.Topic(AG_ENDPOINTS).size();
            store_.Remove(AG_ENDPOINTS, key);
            Log(key + " removed");
        }
    }

    void
    Heartbeat(const std::string &key)
    {
        if (!state_[key].empty()) {
            store_.Put(AG_ENDPOINTS, key, state_[key]);
        }
    }

    void
    Restart(size_t i)
    {
        // Results pending for the old process must not reach the new one.
        Log("host " + std::to_string(i) + " starts");
        hosts_[i]->peers_read = true;
        store_.Answer();
        hosts_[i] = std::make_unique<Host>(loop_, &store_);
        hosts_[i]->peers_known = Below(2) == 0;
    }

    void
    Fetch(Host *host, const Host &peer)
    {
        int64_t changes_end = host->ChangesEnd();
        if (peer.ChangesEnd() <= changes_end) {
            return;
        }
        Log("host " + Name(host) + " knows " + std::to_string(changes_end) +
            ", fetches from " + Name(&peer) + " which knows " +
            std::to_string(peer.ChangesEnd()));
        char *packed;
        size_t len = Fe_PackState(peer.feed, INT64_MAX,
                                  changes_end > 0 ? changes_end : 0, &packed);
        Fe_ApplyState(host->feed, packed, len);
        free(packed);
    }

    void
    Step()
    {
        uint32_t drawn = Below(100);
        const std::string &key = keys_[Below(keys_.size())];
        if (drawn < 20) {
            Heartbeat(key);
        }
        else if (drawn < 30) {
            Leave(key, drawn < 26);
        }
        else if (drawn < 36) {
            Add();
        }
        else if (drawn < 39) {
            Restart(Below(kHosts));
        }
        else if (drawn < 40) {
            store_.DropHistory(AG_ENDPOINTS);
            Log("history dropped");
        }
        else if (drawn < 70) {
            store_.AnswerOnce();
        }
        else {
            size_t i = Below(kHosts);
            size_t j = Below(kHosts);
            Fetch(hosts_[i].get(), *hosts_[j]);
        }
        size_t readers = 0;
        for (auto &host : hosts_) {
            host->peers_read = readers >= kReaders;
            readers += Fe_Reads(host->feed, AG_ENDPOINTS);
        }
        runner_->For(kStepUsec);
    }

    // The endpoints that a host would still send to although they stopped at
    // an offset before the end of the host's changes.
    std::string
    Missed(const Host &host) const
    {
        std::string missed;
        for (const auto &[key, state] : state_) {
            const struct fl_endpoint *endpoint =
                Fl_Find(host.fleet, key.c_str());
            if (state != "ready" && changed_.at(key) < host.ChangesEnd() &&
                endpoint != nullptr && Fl_Usable(endpoint)) {
                missed += " " + key;
            }
        }
        return missed;
    }

    struct lp_loop *loop_ = nullptr;
    std::unique_ptr<Runner> runner_;
    struct rn_random random_;
    FakeStore store_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<std::string> keys_;
    std::map<std::string, std::string> state_; // empty: removed
    std::map<std::string, int64_t> changed_;   // offset of the last change
    std::string log_; // steps, each with the end of the topic
};

// Guards against requests to a stopped endpoint, whichever host was listing,
// starting or fetching when the endpoint stopped.
TEST_P(FeedModel, AllChangesBeforeTheReportedEndAreApplied)
{
    for (int step = 0; step < kSteps; step++) {
        Step();
        for (size_t i = 0; i < kHosts; i++) {
            ASSERT_EQ("", Missed(*hosts_[i]))
                << "host " << i << ", step " << step << "\n"
                << log_;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, FeedModel,
                         testing::Values(1, 2, 5, 11, 12, 13));

} // namespace
