#include "EntryFixture.h"

#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/Net/X509Certificate.h>
#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <filesystem>
#include <fstream>

using namespace skylarkchute;
using namespace skylarkchute::tests;

namespace {

/** A temporary directory with a self-signed certificate and its private key. */
class CertificateFolder
{
public:
  CertificateFolder() { mFolder.createDirectory(); }

  std::string CertificateFile() const { return mFolder.path() + "/certificate.pem"; }

  std::string KeyFile() const { return mFolder.path() + "/key.pem"; }

  /** Writes a new certificate for the common name @p aName, with a later modification time than the
      previous one so that the entry detects the change. */
  void Write(const std::string& aName)
  {
    EVP_PKEY* key = EVP_RSA_gen(2048);
    X509* certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), ++mSerial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
    X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
    X509_set_pubkey(certificate, key);
    auto* name = X509_get_subject_name(certificate);
    const auto* bytes = reinterpret_cast<const unsigned char*>(aName.c_str());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, bytes, -1, -1, 0);
    X509_set_issuer_name(certificate, name);
    X509_sign(certificate, key, EVP_sha256());
    auto* out = std::fopen(KeyFile().c_str(), "w");
    PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(out);
    out = std::fopen(CertificateFile().c_str(), "w");
    PEM_write_X509(out, certificate);
    std::fclose(out);
    X509_free(certificate);
    EVP_PKEY_free(key);
    SetModificationTime();
  }

  /** Overwrites the certificate with text that is not PEM. */
  void WriteInvalid()
  {
    std::ofstream(CertificateFile()) << "nonsense";
    SetModificationTime();
  }

private:
  void SetModificationTime() const
  {
    const auto time = std::filesystem::last_write_time(CertificateFile());
    std::filesystem::last_write_time(CertificateFile(), time + std::chrono::seconds(mSerial));
  }

  Poco::TemporaryFile mFolder;
  int mSerial = 0;
};

Poco::Net::Context::Ptr UnverifiedClientContext()
{
  return { new Poco::Net::Context(
    Poco::Net::Context::TLS_CLIENT_USE, "", Poco::Net::Context::VERIFY_NONE) };
}

/** Sends one request over TLS and returns the common name of the entry's certificate. */
std::string CertificateName(std::uint16_t aPort)
{
  Poco::Net::HTTPSClientSession session("127.0.0.1", aPort, UnverifiedClientContext());
  Send(session, "GET", "/healthz", "", {});
  CHECK(Receive(session).mStatus == 200);
  return session.serverCertificate().commonName();
}

EntryOptions TlsOptions(const CertificateFolder& aFolder)
{
  auto options = LocalOptions();
  options.mCertificateFile = aFolder.CertificateFile();
  options.mPrivateKeyFile = aFolder.KeyFile();
  return options;
}

} // namespace

TEST_CASE("an entry with a certificate speaks TLS, streams included")
{
  CertificateFolder folder;
  folder.Write("first.example");
  FakeSink sink([](const std::shared_ptr<CallerSession>& aSession) {
    const StreamChunk chunk{ 1, R"({"choices":[]})", "text", false, false };
    aSession->AddChunk(AttemptId("a.1"), chunk);
    aSession->FinishStream(AttemptId("a.1"));
  });
  const HttpEntry entry(TlsOptions(folder), sink);
  CHECK(CertificateName(entry.Port()) == "first.example");
  Poco::Net::HTTPSClientSession session("127.0.0.1", entry.Port(), UnverifiedClientContext());
  Send(session, "POST", "/v1/chat/completions", kStreamBody, {});
  CHECK(Receive(session).mBody.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("a changed certificate is taken up and an unusable one is not")
{
  CertificateFolder folder;
  folder.Write("first.example");
  FakeSink sink(Echo);
  const HttpEntry entry(TlsOptions(folder), sink);
  CHECK(CertificateName(entry.Port()) == "first.example");
  folder.WriteInvalid();
  while (entry.FailedCertificateReloads() == 0) {
    CHECK(CertificateName(entry.Port()) == "first.example");
  }
  folder.Write("second.example");
  while (entry.CertificateReloads() == 0) {
    CertificateName(entry.Port());
  }
  CHECK(CertificateName(entry.Port()) == "second.example");
}

TEST_CASE("a caller without TLS at a TLS entry gets no answer and does no harm")
{
  CertificateFolder folder;
  folder.Write("first.example");
  FakeSink sink(Echo);
  const HttpEntry entry(TlsOptions(folder), sink);
  auto socket = SendRaw(entry.Port(), "GET /healthz HTTP/1.1\r\n\r\n");
  CHECK(ReadAll(socket).find("HTTP/1.1 200") == std::string::npos);
  CHECK(CertificateName(entry.Port()) == "first.example");
}

TEST_CASE("an entry does not start with a certificate that it cannot use")
{
  CertificateFolder folder;
  folder.Write("first.example");
  folder.WriteInvalid();
  FakeSink sink(Echo);
  CHECK_THROWS_AS(HttpEntry(TlsOptions(folder), sink), Poco::Exception);
}
