#include <gtest/gtest.h>

#include <list>
#include <map>
#include <string>

#include "policy/queue.h"
#include "policy/retry.h"

namespace {

const int64_t kSec = 1000000;

struct Queue {
    struct qu_queue *queue;
    std::list<struct qu_item> items;
    std::map<struct qu_item *, std::string> owner;
    int64_t now = 100 * kSec;
    struct qu_refusal refusal;

    explicit Queue(int length = 1000, size_t bytes = 1 << 20)
    {
        struct qu_settings settings;
        Qu_Defaults(&settings);
        settings.length_max = length;
        settings.bytes_max = bytes;
        queue = Qu_Create(&settings);
    }

    ~Queue()
    {
        Qu_Destroy(queue);
    }

    enum st_status
    push(const char *customer, enum qu_class service_class = QU_URGENT,
         int64_t time_left = 60 * kSec, double per_sec = 0)
    {
        items.push_back({});
        struct qu_item *item = &items.back();
        item->service_class = service_class;
        item->deadline = now + time_left;
        item->bytes = 100;
        owner[item] = customer;
        return Qu_Push(queue, customer, item, per_sec, now, &refusal);
    }
};

TEST(Queue, CustomersAreServedByWeightAtAnyQueueLength)
{
    Queue q;
    Qu_SetWeight(q.queue, "large", 3);
    for (int i = 0; i < 600; i++) {
        q.push("flood");
    }
    for (int i = 0; i < 150; i++) {
        q.push("large");
        q.push("small");
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 150; i++) {
        served[q.owner[Qu_Pop(q.queue, q.now)]]++;
    }
    EXPECT_NEAR(90, served["large"], 2);
    EXPECT_NEAR(30, served["small"], 2);
    EXPECT_NEAR(30, served["flood"], 2);
}

/*
 * Guards against a customer that was idle, sends a flood, is served for all
 * the turns it did not use, and leaves the others unserved for minutes.
 */
TEST(Queue, IdleTimeGivesNoCredit)
{
    Queue q;
    for (int i = 0; i < 300; i++) {
        q.push("busy");
    }
    Qu_SetWeight(q.queue, "idle", 1);
    for (int i = 0; i < 200; i++) {
        Qu_Pop(q.queue, q.now);
    }
    for (int i = 0; i < 100; i++) {
        q.push("idle");
    }
    int busy = 0;
    for (int i = 0; i < 40; i++) {
        busy += q.owner[Qu_Pop(q.queue, q.now)] == "busy";
    }
    EXPECT_NEAR(20, busy, 1);
}

TEST(Queue, EarliestDeadlineFirstAndUrgentBeforePatient)
{
    Queue q;
    q.push("c", QU_PATIENT, 10 * kSec);
    q.push("c", QU_URGENT, 50 * kSec);
    q.push("c", QU_URGENT, 30 * kSec);
    auto it = q.items.begin();
    struct qu_item *patient = &*it++;
    struct qu_item *later = &*it++;
    struct qu_item *sooner = &*it++;
    EXPECT_EQ(sooner, Qu_Pop(q.queue, q.now));
    EXPECT_EQ(later, Qu_Pop(q.queue, q.now));
    EXPECT_EQ(patient, Qu_Pop(q.queue, q.now));
    EXPECT_EQ(nullptr, Qu_Pop(q.queue, q.now));
}

/*
 * Guards against a patient request that is never run, because its customer's
 * urgent requests arrive as fast as they are served and each goes first.
 */
TEST(Queue, PatientIsNotStarvedByUrgent)
{
    Queue q;
    for (int i = 0; i < 20; i++) {
        q.push("c", QU_PATIENT, 3600 * kSec);
    }
    int patient = 0;
    for (int i = 0; i < 160; i++) {
        q.push("c");
        patient += Qu_Pop(q.queue, q.now)->service_class == QU_PATIENT;
    }
    EXPECT_EQ(20, patient);
}

TEST(Queue, PatientNearItsDeadlineGoesFirst)
{
    Queue q;
    q.push("c", QU_PATIENT, 10 * kSec);
    q.now += 8 * kSec;
    q.push("c");
    EXPECT_EQ(QU_PATIENT, Qu_Pop(q.queue, q.now)->service_class);
}

/*
 * Guards against a caller that waits until the deadline only to be refused:
 * the queue took the request although the requests ahead already filled the
 * time.
 */
TEST(Queue, RefusesAtOnceWhenTheWaitExceedsTheDeadline)
{
    Queue q;
    for (int i = 0; i < 100; i++) {
        ASSERT_EQ(ST_OK, q.push("c", QU_URGENT, 60 * kSec, 10));
    }
    EXPECT_EQ(ST_TIMEOUT, q.push("c", QU_URGENT, 61 * kSec, 1));
    EXPECT_EQ(100 * kSec, q.refusal.wait);
    EXPECT_EQ(39 * kSec, q.refusal.retry_after);
    /* Another customer has its own share of the rate. */
    EXPECT_EQ(ST_OK, q.push("d", QU_URGENT, 2 * kSec, 10));
    EXPECT_EQ(ST_OK, q.push("d", QU_URGENT, 2 * kSec, 10));
    EXPECT_EQ(102, Qu_Length(q.queue));
}

TEST(Queue, ReturnsExpiredItems)
{
    Queue q;
    q.push("c", QU_URGENT, kSec);
    q.push("c", QU_URGENT, 9 * kSec);
    EXPECT_EQ(nullptr, Qu_PopExpired(q.queue, q.now));
    q.now += 2 * kSec;
    EXPECT_EQ(&q.items.front(), Qu_PopExpired(q.queue, q.now));
    EXPECT_EQ(nullptr, Qu_PopExpired(q.queue, q.now));
    Qu_Remove(q.queue, &q.items.back());
    Qu_Remove(q.queue, &q.items.back());
    EXPECT_EQ(0, Qu_Length(q.queue));
    EXPECT_EQ(0u, Qu_Bytes(q.queue));
}

/*
 * Guards against one customer that fills the queue so that all others are
 * refused.
 */
TEST(Queue, FloodIsEvictedForOthersFromAFullQueue)
{
    Queue q(50);
    for (int i = 0; i < 50; i++) {
        ASSERT_EQ(ST_OK, q.push("flood"));
    }
    EXPECT_EQ(ST_OVERLOAD, q.push("flood", QU_URGENT, 60 * kSec, 10));
    EXPECT_EQ(5 * kSec, q.refusal.retry_after);
    int taken = 0;
    for (int i = 0; i < 50; i++) {
        if (q.push("small") == ST_OK) {
            taken++;
            ASSERT_NE(nullptr, q.refusal.evicted);
            EXPECT_EQ("flood", q.owner[q.refusal.evicted]);
        }
    }
    EXPECT_EQ(25, taken);
    EXPECT_EQ(50, Qu_Length(q.queue));
}

TEST(Queue, BytesAreBounded)
{
    Queue q(1000, 1000);
    int taken = 0;
    for (int i = 0; i < 30; i++) {
        taken += q.push("c") == ST_OK;
    }
    EXPECT_EQ(10, taken);
    EXPECT_EQ(1000u, Qu_Bytes(q.queue));
}

/*
 * Guards against a charge made twice: the request was sent, the connection
 * broke before the answer, and the daemon sent it to a second endpoint. An
 * idempotency key does not help where the endpoint does not know it.
 */
TEST(Retry, RequestThatMayHaveRunIsRepeatedOnlyIfIdempotent)
{
    struct Case {
        enum rt_stage stage;
        bool idempotent;
        bool keyed;
        enum rt_verdict verdict;
    };
    const Case cases[] = {
        {RT_NOT_SENT, false, false, RT_RETRY},
        {RT_NOT_SENT, false, true, RT_RETRY},
        {RT_REFUSED, false, true, RT_RETRY},
        {RT_SENT, false, false, RT_UNKNOWN},
        {RT_SENT, false, true, RT_UNKNOWN},
        {RT_SENT, true, false, RT_RETRY},
        {RT_PARTLY_ANSWERED, true, false, RT_FAILED},
        {RT_PARTLY_ANSWERED, false, true, RT_UNKNOWN},
    };
    for (const auto &c : cases) {
        struct rt_budget budget;
        Rt_Init(&budget, 0.1, 10);
        struct rt_attempt attempt = {c.stage, c.idempotent, c.keyed, 1,
                                     0,       kSec,         1000};
        EXPECT_EQ(c.verdict, Rt_Decide(&budget, &attempt))
            << c.stage << c.idempotent << c.keyed;
        if (c.verdict != RT_RETRY) {
            EXPECT_EQ(10, budget.tokens);
        }
        attempt.attempts = 3;
        EXPECT_NE(RT_RETRY, Rt_Decide(&budget, &attempt));
        attempt.attempts = 1;
        attempt.time_left = 500;
        EXPECT_NE(RT_RETRY, Rt_Decide(&budget, &attempt));
    }
}

/*
 * Guards against an outage of a few seconds that lasts for minutes: every
 * failed request is sent three times, and endpoints that recover are
 * overloaded by retries.
 */
TEST(Retry, SuccessesFillTheBudget)
{
    struct rt_budget budget;
    Rt_Init(&budget, 0.1, 10);
    struct rt_attempt attempt = {RT_SENT, true, false, 1, 0, kSec, 0};
    int retried = 0;
    for (int i = 0; i < 1000; i++) {
        retried += Rt_Decide(&budget, &attempt) == RT_RETRY;
    }
    EXPECT_EQ(10, retried);
    EXPECT_EQ(RT_FAILED, Rt_Decide(&budget, &attempt));
    attempt.stage = RT_REFUSED;
    EXPECT_EQ(RT_NOT_RUN, Rt_Decide(&budget, &attempt));
    for (int i = 0; i < 100; i++) {
        Rt_Success(&budget);
    }
    EXPECT_EQ(RT_RETRY, Rt_Decide(&budget, &attempt));
}

// Guards against a bad version on trial whose failures use up the retry budget
// that requests at the established version need.
TEST(Retry, FailureAtAVersionOnTrialTakesNoToken)
{
    struct rt_budget budget;
    Rt_Init(&budget, 0.1, 2);
    struct rt_attempt attempt = {RT_SENT, true, false, 0, 0, kSec, 0};
    for (int i = 0; i < 1000; i++) {
        ASSERT_EQ(RT_RETRY, Rt_Decide(&budget, &attempt));
    }
    attempt.attempts = 1;
    EXPECT_EQ(RT_RETRY, Rt_Decide(&budget, &attempt));
    EXPECT_EQ(RT_RETRY, Rt_Decide(&budget, &attempt));
    EXPECT_EQ(RT_BUDGET_SPENT, Rt_DenyReason(&budget, &attempt));
    attempt.attempts = 0;
    EXPECT_EQ(RT_ALLOWED, Rt_DenyReason(&budget, &attempt));
    attempt.idempotent = false;
    EXPECT_EQ(RT_MAY_HAVE_RUN, Rt_DenyReason(&budget, &attempt));
}

// Guards against requests answered "unknown" because an endpoint that dies
// with all its slots taken fails more requests at once than the budget holds.
TEST(Retry, BudgetCoversAllRequestsInFlight)
{
    struct rt_budget budget;
    Rt_Init(&budget, 0.1, 10);
    for (int in_flight = 1; in_flight <= 64; in_flight++) {
        Rt_RaiseCapacity(&budget, in_flight);
    }
    struct rt_attempt attempt = {RT_SENT, true, false, 1, 0, kSec, 0};
    int retried = 0;
    for (int i = 0; i < 1000; i++) {
        Rt_RaiseCapacity(&budget, 64);
        retried += Rt_Decide(&budget, &attempt) == RT_RETRY;
    }
    EXPECT_EQ(64, retried);
}

// Guards against all attempts of an accepted stream spent within a millisecond
// on an endpoint that refuses connections.
TEST(Retry, BackoffAfterConnectFailuresGrows)
{
    EXPECT_EQ(0, Rt_Backoff(0));
    EXPECT_EQ(0, Rt_Backoff(1));
    int64_t before = 0;
    int64_t sum = 0;
    for (int connect_failures = 2; connect_failures <= 16;
         connect_failures++) {
        int64_t gap = Rt_Backoff(connect_failures);
        EXPECT_GT(gap, 0);
        EXPECT_GE(gap, before);
        before = gap;
        sum += gap;
    }
    EXPECT_GT(sum, 2 * kSec);
    EXPECT_EQ(Rt_Backoff(100), Rt_Backoff(1000));
}

// Guards against endpoints that refuse connections and so use up the retry
// budget of requests that were sent and failed.
TEST(Retry, ConnectFailuresHaveTheirOwnBound)
{
    const int kAttemptsMax = 32;
    struct rt_budget budget;
    Rt_Init(&budget, 0.1, 1);
    struct rt_attempt attempt = {RT_NOT_SENT, false, false, 0, 1, kSec, 0};
    while (attempt.connect_failures < kAttemptsMax &&
           Rt_Decide(&budget, &attempt) == RT_RETRY) {
        attempt.connect_failures++;
    }
    EXPECT_GT(attempt.connect_failures, 3);
    EXPECT_LT(attempt.connect_failures, kAttemptsMax);
    EXPECT_EQ(RT_NOBODY_REACHED, Rt_DenyReason(&budget, &attempt));
    EXPECT_EQ(RT_NOT_RUN, Rt_Decide(&budget, &attempt));
    EXPECT_EQ(1, budget.tokens);
    attempt.time_left = 0;
    attempt.connect_failures = 1;
    EXPECT_EQ(RT_NO_TIME_LEFT, Rt_DenyReason(&budget, &attempt));
}

TEST(Retry, HedgesOnlyIdempotentRequestsWithoutAKey)
{
    struct rt_budget budget;
    Rt_Init(&budget, 0.05, 2);
    struct rt_attempt attempt = {RT_SENT, true, false, 1, 0, kSec, 1000};
    EXPECT_FALSE(Rt_Hedge(&budget, &attempt, 100, 300));
    EXPECT_TRUE(Rt_Hedge(&budget, &attempt, 300, 300));
    attempt.keyed = true;
    EXPECT_FALSE(Rt_Hedge(&budget, &attempt, 300, 300));
    attempt.keyed = false;
    attempt.idempotent = false;
    EXPECT_FALSE(Rt_Hedge(&budget, &attempt, 300, 300));
    attempt.idempotent = true;
    attempt.attempts = 2;
    EXPECT_FALSE(Rt_Hedge(&budget, &attempt, 300, 300));
    attempt.attempts = 1;
    attempt.stage = RT_PARTLY_ANSWERED;
    EXPECT_FALSE(Rt_Hedge(&budget, &attempt, 300, 300));
    attempt.stage = RT_SENT;
    EXPECT_TRUE(Rt_Hedge(&budget, &attempt, 300, 300));
    EXPECT_FALSE(Rt_Hedge(&budget, &attempt, 300, 300));
}

} // namespace
