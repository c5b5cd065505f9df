#include <gtest/gtest.h>

#include "test/contract.h"

namespace {

using cg::FaultCase;
using cg::HttpResult;
using cg::Json;

HttpResult
Charge(const std::string &address, const std::string &key,
       const std::string &method = "POST")
{
    return cg::Http(method, address + "/box-office/charge",
                    {{"x-request-id", "req-" + key}, {"idempotency-key", key}},
                    R"({"seat":7})");
}

TEST(ContractPlain, EchoesTheRequestIdOnEveryMethod)
{
    cg::Plain plain;
    for (const char *method : {"GET", "POST", "PUT", "PATCH", "DELETE"}) {
        SCOPED_TRACE(method);
        std::string key = std::string("key-") + method;
        HttpResult result = Charge(plain.Address(), key, method);
        EXPECT_EQ(200, result.code);
        EXPECT_EQ("req-" + key, result.Header("x-request-id"));
        EXPECT_EQ(key, result.json()["key"].Str());
        EXPECT_EQ(1, plain.RunsOfKey(key));
    }
}

TEST(ContractPlain, EveryCallIsARun)
{
    cg::Plain plain({"--work-us", "1000"});
    EXPECT_EQ(1, Charge(plain.Address(), "k").json()["run"].Int());
    EXPECT_EQ(2, Charge(plain.Address(), "k").json()["run"].Int());
    EXPECT_EQ(2, plain.RunsOfKey("k"));
}

const FaultCase kFaults[] = {
    {"refused", R"({"mode":"refuse"})", 503, true, true, false},
    {"reset before", R"({"mode":"reset_before"})", 0, false, false, false},
    {"reset after", R"({"mode":"reset_after"})", 0, false, false, true},
    {"lost answer", R"({"mode":"lost_answer","delay_ms":20})", 0, false, false,
     true},
    {"late answer", R"({"mode":"delay","delay_ms":20})", 200, true, true,
     true},
    {"error", R"({"mode":"error_500"})", 500, true, true, true},
    {"cut answer", R"({"mode":"truncate"})", 200, false, false, true},
    {"garbage", R"({"mode":"garbage"})", 200, true, false, true},
    {"slow", R"({"mode":"slow","factor":4})", 200, true, true, true},
};

/*
 * A seat is charged twice.  The service has made the charge, its answer is
 * lost, and the charge is sent again; the table says which faults hide a
 * charge that was made.
 */
TEST(ContractPlain, FaultsOfACharge)
{
    cg::Plain plain({"--work-us", "1000"});
    for (const FaultCase &item : kFaults) {
        SCOPED_TRACE(Describe(item));
        plain.Clear();
        plain.Fault(item.fault);
        HttpResult result = Charge(plain.Address(), item.name);
        EXPECT_EQ(item.code, result.code);
        EXPECT_EQ(item.complete, result.complete);
        EXPECT_EQ(item.json, !result.json().IsNull());
        EXPECT_EQ(item.effect ? 1 : 0, plain.RunsOfKey(item.name));
    }
}

/*
 * A parent sees another family's booking.  The service answers with the id
 * and the body of an earlier request.
 */
TEST(ContractPlain, ACrossedAnswerCarriesAnotherRequestsId)
{
    cg::Plain plain;
    Charge(plain.Address(), "first");
    plain.Fault(R"({"mode":"crossed","count":1})");
    HttpResult crossed = Charge(plain.Address(), "second");
    EXPECT_EQ("req-first", crossed.Header("x-request-id"));
    EXPECT_EQ("first", crossed.json()["key"].Str());
    EXPECT_EQ(1, plain.RunsOfKey("second"));
}

/* A caller that gives up does not undo the charge. */
TEST(ContractPlain, ARunOutlivesItsCaller)
{
    cg::Plain plain({"--work-us", "60000000"});
    cg::Http("POST", plain.Address() + "/charge", {{"idempotency-key", "k"}},
             "x", cg::Millis(100));
    EXPECT_EQ(1, plain.RunsOfKey("k"));
    EXPECT_TRUE(cg::Eventually(
        [&] { return plain.Runs()[0]["outcome"].Str() == "gone"; }));
}

} // namespace
