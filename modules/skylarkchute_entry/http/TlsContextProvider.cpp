#include "TlsContextProvider.h"

#include <Poco/Exception.h>
#include <Poco/Net/SSLManager.h>

#include <openssl/ssl.h>

namespace skylarkchute {

namespace {

constexpr std::chrono::seconds kFileCheckPeriod{ 1 };

} // namespace

TlsContextProvider::TlsContextProvider(std::string aCertificateFile, std::string aPrivateKeyFile)
  : mCertificateFile(std::move(aCertificateFile))
  , mPrivateKeyFile(std::move(aPrivateKeyFile))
  , mContext(Load())
  , mFileTimes(ReadFileTimes())
  , mNextFileCheck(mClock.Now() + kFileCheckPeriod)
{
}

Poco::Net::Context::Ptr TlsContextProvider::Current()
{
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  if (now < mNextFileCheck) {
    return mContext;
  }
  mNextFileCheck = now + kFileCheckPeriod;
  const auto fileTimes = ReadFileTimes();
  if (fileTimes == mFileTimes) {
    return mContext;
  }
  try {
    mContext = Load();
    mFileTimes = fileTimes;
    ++mReloads;
  } catch (const Poco::Exception&) {
    ++mFailedReloads;
  }
  return mContext;
}

std::uint64_t TlsContextProvider::Reloads() const
{
  const std::lock_guard lock(mMutex);
  return mReloads;
}

std::uint64_t TlsContextProvider::FailedReloads() const
{
  const std::lock_guard lock(mMutex);
  return mFailedReloads;
}

TlsContextProvider::FileTimes TlsContextProvider::ReadFileTimes() const
{
  std::error_code ec;
  FileTimes fileTimes;
  fileTimes.mCertificate = std::filesystem::last_write_time(mCertificateFile, ec);
  fileTimes.mPrivateKey = std::filesystem::last_write_time(mPrivateKeyFile, ec);
  return fileTimes;
}

Poco::Net::Context::Ptr TlsContextProvider::Load() const
{
  Poco::Net::Context::Params params;
  params.certificateFile = mCertificateFile;
  params.privateKeyFile = mPrivateKeyFile;
  params.verificationMode = Poco::Net::Context::VERIFY_NONE;
  params.cipherList = "HIGH:!aNULL:!MD5";
  Poco::Net::Context::Ptr context(
    new Poco::Net::Context(Poco::Net::Context::TLS_SERVER_USE, params));
  context->requireMinimumProtocol(Poco::Net::Context::PROTO_TLSV1_2);
  if (SSL_CTX_check_private_key(context->sslContext()) != 1) {
    throw Poco::InvalidArgumentException("the private key does not match the certificate");
  }
  return context;
}

} // namespace skylarkchute
