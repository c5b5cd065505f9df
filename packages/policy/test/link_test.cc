#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "policy/link.h"

namespace {

const int64_t kMs = Ck_USEC_PER_MSEC;
const int64_t kNow = 1000 * Ck_USEC_PER_SEC;

li_link
CutLink()
{
    li_link link = {};
    EXPECT_TRUE(Li_RecordOutcome(&link, LI_FAILED, LI_CONNECTED, kNow));
    return link;
}

TEST(Link, DirectFirstThenThroughAPeer)
{
    li_link link = {};
    EXPECT_EQ(Li_Order(&link, kNow), LI_DIRECT_FIRST);
}

// Guards against a host that cannot connect where a peer can, and does not
// remember it.
TEST(Link, ThroughAPeerOnceTheLinkIsCut)
{
    li_link link = CutLink();
    EXPECT_EQ(Li_Order(&link, kNow), LI_PEER_FIRST);
    EXPECT_TRUE(Li_IsProbeDue(&link, kNow + 250 * kMs));
    EXPECT_TRUE(Li_RecordOutcome(&link, LI_CONNECTED, LI_NOT_TRIED, kNow));
    EXPECT_EQ(Li_Order(&link, kNow), LI_DIRECT_FIRST);
}

// Guards against a crashed endpoint that is taken for a cut link, so that
// peers are asked to connect to it at every request.
TEST(Link, AnEndpointThatNoHostReachesIsNotACutLink)
{
    li_link link = {};
    EXPECT_FALSE(Li_RecordOutcome(&link, LI_FAILED, LI_FAILED, kNow));
    EXPECT_EQ(Li_Order(&link, kNow + kMs), LI_DIRECT_ONLY);
    EXPECT_EQ(Li_Order(&link, kNow + 100 * kMs), LI_DIRECT_FIRST);
}

// Guards against a peer's failure that counts against the link although the
// direct connection was made.
TEST(Link, ADirectConnectionProvesTheLink)
{
    li_link link = {};
    EXPECT_FALSE(Li_RecordOutcome(&link, LI_CONNECTED, LI_FAILED, kNow));
    EXPECT_EQ(Li_Order(&link, kNow + kMs), LI_DIRECT_FIRST);
}

// Guards against a single lost segment that makes the host test all links and
// close kept connections.
TEST(Link, OneSlowConnectionIsNoCut)
{
    li_link link = {};
    EXPECT_FALSE(Li_RecordOutcome(&link, LI_OVERDUE, LI_CONNECTED, kNow));
    EXPECT_FALSE(link.cut);
    EXPECT_TRUE(
        Li_RecordOutcome(&link, LI_OVERDUE, LI_CONNECTED, kNow + 400 * kMs));
    li_link other = {};
    EXPECT_FALSE(Li_RecordOutcome(&other, LI_OVERDUE, LI_CONNECTED, kNow));
    EXPECT_FALSE(Li_RecordOutcome(&other, LI_CONNECTED, LI_NOT_TRIED,
                                  kNow + 100 * kMs));
    EXPECT_FALSE(
        Li_RecordOutcome(&other, LI_OVERDUE, LI_CONNECTED, kNow + 200 * kMs));
}

TEST(Link, DirectAttemptsBackOff)
{
    li_link link = CutLink();
    int64_t now = kNow;
    for (int64_t gap : {250, 500, 1000, 1000}) {
        EXPECT_FALSE(Li_IsProbeDue(&link, now + gap * kMs - 1)) << gap;
        now += gap * kMs;
        EXPECT_TRUE(Li_IsProbeDue(&link, now)) << gap;
        Li_ProbeStarted(&link, now);
        Li_ProbeFailed(&link);
    }
    Li_ProbeSoon(&link);
    EXPECT_TRUE(Li_IsProbeDue(&link, now + kMs));
}

// Guards against a busy service that is taken for a cut link: each slow answer
// would cost its endpoint another connection.
TEST(Link, ASlowAnswerOfAServiceHeardFromTestsNoLink)
{
    li_link link = {};
    int64_t later = kNow + Li_SILENCE_USEC;
    EXPECT_FALSE(Li_IsSuspect(&link, kNow, kNow + kMs, later));
    EXPECT_FALSE(Li_IsSuspect(&link, kNow, kNow - kMs, later - 1));
    EXPECT_TRUE(Li_IsSuspect(&link, kNow, kNow - kMs, later));
    Li_Tested(&link, later);
    EXPECT_FALSE(Li_IsSuspect(&link, kNow, kNow - kMs, later + kMs));
}

/*
 * Simulates hosts that each make a connection every 50 ms while some hosts are
 * cut off from the endpoints. Measures the fraction of the cut hosts'
 * connections, from the third second on, that are made in time.
 */
enum PeerChoice { kNoPeer, kSameDataCentreFirst, kRandomPeer, kPickPeer };

struct Scene {
    size_t hosts;
    size_t data_centres;
    bool unresponsive; // connections time out; otherwise: refused at once
    bool whole; // a whole data centre is cut off; otherwise each third host
    size_t endpoints;
};

class Model {
  public:
    Model(const Scene &scene, PeerChoice choice, unsigned seed)
        : scene_(scene), choice_(choice), random_(seed), hosts_(scene.hosts)
    {
        for (size_t i = 0; i < hosts_.size(); i++) {
            hosts_[i].data_centre = i % scene.data_centres;
            hosts_[i].cut =
                scene.whole ? hosts_[i].data_centre == 0 : i % 3 == 0;
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
        size_t data_centre;
        bool cut;
        bool knows_cut = false;
        bool reports_cut = false;
        std::vector<li_link> links;
        std::vector<int64_t> failed; // by peer
    };

    double
    Unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    size_t
    PickPeer(size_t own, const li_link &link, int64_t now)
    {
        std::vector<li_peer> peers;
        std::vector<size_t> names;
        for (size_t i = 0; i < hosts_.size(); i++) {
            if (i != own) {
                li_peer peer = {hosts_[i].data_centre ==
                                    hosts_[own].data_centre,
                                hosts_[i].reports_cut, hosts_[own].failed[i]};
                if (choice_ == kRandomPeer) {
                    peer = {false, false, 0};
                }
                peers.push_back(peer);
                names.push_back(i);
            }
        }
        li_link assumed = link;
        assumed.cut |= choice_ == kSameDataCentreFirst;
        if (choice_ == kSameDataCentreFirst) {
            for (li_peer &peer : peers) {
                peer.failed_at = 0;
            }
        }
        return names[Li_PickPeer(&assumed, peers.data(), peers.size(), Unit(),
                                 now)];
    }

    void
    Connect(size_t own, int64_t at)
    {
        Host &host = hosts_[own];
        size_t endpoint = (size_t)(Unit() * (double)scene_.endpoints);
        li_link &link = host.links[endpoint];
        int64_t now = kNow + at;
        int64_t took = -1;
        enum li_order order = Li_Order(&link, now);
        enum li_outcome direct = scene_.unresponsive ? LI_OVERDUE : LI_FAILED;
        if (order == LI_PEER_FIRST) {
            direct = LI_NOT_TRIED;
        }
        enum li_outcome peer_outcome = LI_NOT_TRIED;
        if (choice_ != kNoPeer && order != LI_DIRECT_ONLY) {
            size_t peer = PickPeer(own, link, now);
            peer_outcome = hosts_[peer].cut ? LI_FAILED : LI_CONNECTED;
            took = order == LI_PEER_FIRST ? 4 * kMs
                   : scene_.unresponsive  ? Li_FALLBACK_USEC + 4 * kMs
                                          : 6 * kMs;
            if (peer_outcome == LI_FAILED) {
                host.failed[peer] = now;
                took = -1;
            }
        }
        Li_RecordOutcome(&link, direct, peer_outcome, now);
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
TEST(LinkModel, PickedPeersReachMostEndpoints)
{
    const Scene scenes[] = {
        {7, 4, true, true, 13},    {7, 4, false, true, 13},
        {7, 4, true, false, 13},   {7, 4, false, false, 13},
        {60, 4, true, true, 40},   {60, 4, true, false, 40},
        {300, 7, true, true, 200}, {300, 7, false, false, 200},
    };
    for (const Scene &scene : scenes) {
        double none = WorstFraction(scene, kNoPeer);
        double same_data_centre = WorstFraction(scene, kSameDataCentreFirst);
        double any = WorstFraction(scene, kRandomPeer);
        double chosen = WorstFraction(scene, kPickPeer);
        std::cout << scene.hosts << " hosts, "
                  << (scene.unresponsive ? "silent" : "refused") << ", "
                  << (scene.whole ? "a data centre" : "each third")
                  << ": none " << none << ", near first " << same_data_centre
                  << ", any " << any << ", chosen " << chosen << "\n";
        EXPECT_GE(chosen, 2.0 / 3);
        EXPECT_GE(chosen, same_data_centre);
        EXPECT_GE(chosen, any);
    }
}

} // namespace
