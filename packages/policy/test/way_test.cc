#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "policy/way.h"

namespace {

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kNow = 1000 * Ck_USEC_PER_SEC;

wy_link
CutLink()
{
    wy_link link = {};
    EXPECT_TRUE(Wy_Ended(&link, WY_FAILED, WY_CAME, kNow));
    return link;
}

TEST(Way, DirectFirstThenThroughAPeer)
{
    wy_link link = {};
    EXPECT_EQ(Wy_Order(&link, kNow), WY_DIRECT_FIRST);
}

// Guards against a host that cannot connect where a peer can, and does not
// remember it.
TEST(Way, ThroughAPeerOnceTheLinkIsCut)
{
    wy_link link = CutLink();
    EXPECT_EQ(Wy_Order(&link, kNow), WY_PEER_FIRST);
    EXPECT_TRUE(Wy_TrialDue(&link, kNow + 250 * kMs));
    EXPECT_TRUE(Wy_Ended(&link, WY_CAME, WY_NOT_TRIED, kNow));
    EXPECT_EQ(Wy_Order(&link, kNow), WY_DIRECT_FIRST);
}

// Guards against a crashed endpoint that is taken for a cut link, so that
// peers are asked to connect to it at every request.
TEST(Way, AnEndpointThatNoHostReachesIsNotACutLink)
{
    wy_link link = {};
    EXPECT_FALSE(Wy_Ended(&link, WY_FAILED, WY_FAILED, kNow));
    EXPECT_EQ(Wy_Order(&link, kNow + kMs), WY_DIRECT_ONLY);
    EXPECT_EQ(Wy_Order(&link, kNow + 100 * kMs), WY_DIRECT_FIRST);
}

// Guards against a peer's failure that counts against the link although the
// direct connection was made.
TEST(Way, ADirectConnectionProvesTheLink)
{
    wy_link link = {};
    EXPECT_FALSE(Wy_Ended(&link, WY_CAME, WY_FAILED, kNow));
    EXPECT_EQ(Wy_Order(&link, kNow + kMs), WY_DIRECT_FIRST);
}

// Guards against a single lost segment that makes the host test all links and
// close kept connections.
TEST(Way, OneSlowConnectionIsNoCut)
{
    wy_link link = {};
    EXPECT_FALSE(Wy_Ended(&link, WY_OVERDUE, WY_CAME, kNow));
    EXPECT_FALSE(link.cut);
    EXPECT_TRUE(Wy_Ended(&link, WY_OVERDUE, WY_CAME, kNow + 400 * kMs));
    wy_link other = {};
    EXPECT_FALSE(Wy_Ended(&other, WY_OVERDUE, WY_CAME, kNow));
    EXPECT_FALSE(Wy_Ended(&other, WY_CAME, WY_NOT_TRIED, kNow + 100 * kMs));
    EXPECT_FALSE(Wy_Ended(&other, WY_OVERDUE, WY_CAME, kNow + 200 * kMs));
}

TEST(Way, DirectAttemptsBackOff)
{
    wy_link link = CutLink();
    int64_t now = kNow;
    for (int64_t gap : {250, 500, 1000, 1000}) {
        EXPECT_FALSE(Wy_TrialDue(&link, now + gap * kMs - 1)) << gap;
        now += gap * kMs;
        EXPECT_TRUE(Wy_TrialDue(&link, now)) << gap;
        Wy_TrialBegun(&link, now);
        Wy_TrialFailed(&link);
    }
    Wy_TrySoon(&link);
    EXPECT_TRUE(Wy_TrialDue(&link, now + kMs));
}

// Guards against a busy service that is taken for a cut link: each slow answer
// would cost its endpoint another connection.
TEST(Way, ASlowAnswerOfAServiceHeardFromTestsNoLink)
{
    wy_link link = {};
    int64_t later = kNow + Wy_SILENCE;
    EXPECT_FALSE(Wy_Doubtful(&link, kNow, kNow + kMs, later));
    EXPECT_FALSE(Wy_Doubtful(&link, kNow, kNow - kMs, later - 1));
    EXPECT_TRUE(Wy_Doubtful(&link, kNow, kNow - kMs, later));
    Wy_Tested(&link, later);
    EXPECT_FALSE(Wy_Doubtful(&link, kNow, kNow - kMs, later + kMs));
}

/*
 * Simulates hosts that each make a connection every 50 ms while some hosts are
 * cut off from the endpoints. Measures the fraction of the cut hosts'
 * connections, from the third second on, that are made in time.
 */
enum PeerChoice { kNoPeer, kSameZoneFirst, kRandomPeer, kPickPeer };

struct Scene {
    size_t hosts;
    size_t zones;
    bool silent; // connections time out; otherwise they are refused at once
    bool whole;  // a whole data centre is cut off; otherwise each third host
    size_t endpoints;
};

class Model {
  public:
    Model(const Scene &scene, PeerChoice choice, unsigned seed)
        : scene_(scene), choice_(choice), random_(seed), hosts_(scene.hosts)
    {
        for (size_t i = 0; i < hosts_.size(); i++) {
            hosts_[i].zone = i % scene.zones;
            hosts_[i].cut = scene.whole ? hosts_[i].zone == 0 : i % 3 == 0;
            hosts_[i].links.resize(scene.endpoints);
            hosts_[i].failed.resize(scene.hosts);
        }
    }

    // Fraction of the cut hosts' connections that were made in time.
    double
    Run()
    {
        const int64_t step = 50 * kMs;
        for (int64_t at = 0; at < 9000 * kMs; at += step) {
            for (size_t i = 0; i < hosts_.size(); i++) {
                if (hosts_[i].cut) {
                    Connect(i, at);
                }
            }
            for (Host &host : hosts_) {
                host.reports_cut = host.knows_cut;
            }
        }
        return (double)in_time_ / (double)attempts_;
    }

  private:
    struct Host {
        size_t zone;
        bool cut;
        bool knows_cut = false;
        bool reports_cut = false;
        std::vector<wy_link> links;
        std::vector<int64_t> failed; // by peer
    };

    double
    Unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    size_t
    PickPeer(size_t own, const wy_link &link, int64_t now)
    {
        std::vector<wy_peer> peers;
        std::vector<size_t> names;
        for (size_t i = 0; i < hosts_.size(); i++) {
            if (i != own) {
                wy_peer peer = {hosts_[i].zone == hosts_[own].zone,
                                hosts_[i].reports_cut, hosts_[own].failed[i]};
                if (choice_ == kRandomPeer) {
                    peer = {false, false, 0};
                }
                peers.push_back(peer);
                names.push_back(i);
            }
        }
        wy_link seen = link;
        seen.cut |= choice_ == kSameZoneFirst;
        if (choice_ == kSameZoneFirst) {
            for (wy_peer &peer : peers) {
                peer.failed_at = 0;
            }
        }
        return names[Wy_PickPeer(&seen, peers.data(), peers.size(), Unit(),
                                 now)];
    }

    void
    Connect(size_t own, int64_t at)
    {
        Host &host = hosts_[own];
        size_t endpoint = (size_t)(Unit() * (double)scene_.endpoints);
        wy_link &link = host.links[endpoint];
        int64_t now = kNow + at;
        int64_t took = -1;
        enum wy_order order = Wy_Order(&link, now);
        enum wy_end direct = scene_.silent ? WY_OVERDUE : WY_FAILED;
        if (order == WY_PEER_FIRST) {
            direct = WY_NOT_TRIED;
        }
        enum wy_end peer_end = WY_NOT_TRIED;
        if (choice_ != kNoPeer && order != WY_DIRECT_ONLY) {
            size_t peer = PickPeer(own, link, now);
            peer_end = hosts_[peer].cut ? WY_FAILED : WY_CAME;
            took = order == WY_PEER_FIRST ? 4 * kMs
                   : scene_.silent        ? Wy_PATIENCE + 4 * kMs
                                          : 6 * kMs;
            if (peer_end == WY_FAILED) {
                host.failed[peer] = now;
                took = -1;
            }
        }
        Wy_Ended(&link, direct, peer_end, now);
        host.knows_cut |= link.cut;
        if (at >= 3000 * kMs) {
            attempts_++;
            in_time_ += took >= 0 && took <= 150 * kMs;
        }
    }

    Scene scene_;
    PeerChoice choice_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    int attempts_ = 0;
    int in_time_ = 0;
};

double
WorstFraction(const Scene &scene, PeerChoice choice)
{
    double worst = 1;
    for (unsigned seed = 1; seed <= 5; seed++) {
        worst = std::min(worst, Model(scene, choice, seed).Run());
    }
    return worst;
}

// Guards against cut hosts that ask peers which are cut off as well, or ask
// the same peer again and again.
TEST(WayModel, PickedPeersReachMostEndpoints)
{
    const Scene scenes[] = {
        {7, 4, true, true, 13},    {7, 4, false, true, 13},
        {7, 4, true, false, 13},   {7, 4, false, false, 13},
        {60, 4, true, true, 40},   {60, 4, true, false, 40},
        {300, 7, true, true, 200}, {300, 7, false, false, 200},
    };
    for (const Scene &scene : scenes) {
        double none = WorstFraction(scene, kNoPeer);
        double near = WorstFraction(scene, kSameZoneFirst);
        double any = WorstFraction(scene, kRandomPeer);
        double chosen = WorstFraction(scene, kPickPeer);
        std::cout << scene.hosts << " hosts, "
                  << (scene.silent ? "silent" : "refused") << ", "
                  << (scene.whole ? "a data centre" : "each third")
                  << ": none " << none << ", near first " << near << ", any "
                  << any << ", chosen " << chosen << "\n";
        EXPECT_GE(chosen, 2.0 / 3);
        EXPECT_GE(chosen, near);
        EXPECT_GE(chosen, any);
    }
}

} // namespace
