// Callers and operators over TLS, with a certificate made here.
#include <gtest/gtest.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdlib>

#include "test/raw.h"
#include "test/scene.h"

namespace {

using cg::HttpCall;
using cg::HttpResult;

const long kDaySeconds = 86400;

// A key and a certificate for 127.0.0.1, in files of a new folder.
class Certificate {
  public:
    Certificate()
    {
        char folder[] = "/tmp/cg-tls-XXXXXX";
        if (mkdtemp(folder) == nullptr) {
            throw std::runtime_error("no folder for a certificate");
        }
        folder_ = folder;
        EVP_PKEY *key = EVP_EC_gen("P-256");
        X509 *x509 = X509_new();
        Fill(x509, key);
        FILE *file = fopen(cert().c_str(), "w");
        PEM_write_X509(file, x509);
        fclose(file);
        file = fopen(this->key().c_str(), "w");
        PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        fclose(file);
        X509_free(x509);
        EVP_PKEY_free(key);
    }
    ~Certificate()
    {
        unlink(cert().c_str());
        unlink(key().c_str());
        rmdir(folder_.c_str());
    }
    Certificate(const Certificate &) = delete;
    Certificate &operator=(const Certificate &) = delete;

    std::string
    cert() const
    {
        return folder_ + "/cert.pem";
    }
    std::string
    key() const
    {
        return folder_ + "/key.pem";
    }

  private:
    static void
    Fill(X509 *x509, EVP_PKEY *key)
    {
        X509_set_version(x509, 2);
        ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
        X509_gmtime_adj(X509_getm_notBefore(x509), -kDaySeconds);
        X509_gmtime_adj(X509_getm_notAfter(x509), kDaySeconds);
        X509_set_pubkey(x509, key);
        X509_NAME *name = X509_get_subject_name(x509);
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                                   (const unsigned char *)"127.0.0.1", -1, -1,
                                   0);
        X509_set_issuer_name(x509, name);
        X509_EXTENSION *names = X509V3_EXT_conf_nid(
            nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
        X509_add_ext(x509, names, -1);
        X509_EXTENSION_free(names);
        X509_sign(x509, key, EVP_sha256());
    }

    std::string folder_;
};

class Tls : public ::testing::Test {
  protected:
    void
    Start()
    {
        scene.AddEngine({"--token-us", "200"});
        scene.AddPlain();
        scene.PublishDefaults();
        cg::DaemonOptions options;
        options.args = {"--tls-cert", certificate.cert(), "--tls-key",
                        certificate.key()};
        scene.cluster.Add(options);
        HttpCall ready;
        ready.url = scene.cluster.Admin(0) + "/readyz";
        ASSERT_TRUE(cg::Eventually([&] { return Secure(ready).code == 200; }));
    }

    HttpResult
    Secure(HttpCall call)
    {
        call.url = "https://" + call.url;
        call.ca_file = certificate.cert();
        return cg::Http(call);
    }

    Certificate certificate;
    cg::Scene scene;
};

TEST_F(Tls, RequestsAndStreamsWork)
{
    Start();
    HttpResult charge =
        Secure(scene.Call(0, "POST", "/charge/seat", "{}", "k1"));
    EXPECT_EQ(200, charge.code) << charge.error;
    EXPECT_EQ("ran", charge.Header("cornelgate-outcome"));
    for (bool stream : {true, false}) {
        cg::Completion answer = cg::ReadCompletion(
            Secure(scene.Complete(0, "secret question", 300, stream)));
        EXPECT_TRUE(answer.done);
        EXPECT_EQ(cg::ExpectedAnswer("secret question", 300), answer.text);
    }
}

/*
 * A caller speaks plain HTTP to the TLS port, so its bearer key went over
 * the wire in the clear. It must not get an answer as if all were well.
 */
TEST_F(Tls, PlainIsRefusedAndTheNextCallerServed)
{
    Start();
    int port = scene.cluster.process(0).Ready("port");
    HttpResult plain = cg::Http(scene.Call(0, "GET", "/seats/free"));
    EXPECT_NE(200, plain.code);
    EXPECT_EQ(0U, scene.plains[0]->Runs().Size());
    for (const std::string &bytes :
         {std::string(), std::string("\x16\x03\x01", 3),
          std::string(5000, '\xff')}) {
        EXPECT_EQ(0, cg::Raw(port, bytes, true).code);
    }
    EXPECT_EQ(200, Secure(scene.Call(0, "GET", "/seats/free")).code);
    scene.cluster.process(0).Term();
    EXPECT_EQ(0, scene.cluster.process(0).WaitExit());
}

TEST_F(Tls, FilesThatCannotBeUsedAreNamedAtTheStart)
{
    std::map<std::string, std::string> env = {
        {"CORNELGATE_CLUSTER_KEY", "cluster-key-of-the-tests"}};
    std::vector<std::string> args = {
        "--node-id", "n",     "--data-centre", "d",       "--region",
        "r",         "--log", "127.0.0.1:1",   "--hosts", "127.0.0.1:1"};
    std::vector<std::string> one = args;
    one.insert(one.end(), {"--tls-cert", certificate.cert()});
    cg::RunResult half =
        cg::Run(cg::Program("apps/cornelgated/cornelgated"), one, env);
    EXPECT_EQ(1, half.status);
    EXPECT_NE(std::string::npos, half.error.find("--tls-key"));
    args.insert(args.end(), {"--tls-cert", certificate.cert(), "--tls-key",
                             certificate.cert()});
    cg::RunResult wrong =
        cg::Run(cg::Program("apps/cornelgated/cornelgated"), args, env);
    EXPECT_EQ(1, wrong.status);
    EXPECT_NE(std::string::npos, wrong.error.find("TLS"));
}

} // namespace
