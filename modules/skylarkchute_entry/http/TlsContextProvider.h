#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <Poco/Net/Context.h>

#include <filesystem>
#include <mutex>
#include <string>

namespace skylarkchute {

/** The entry's TLS certificate and private key, reloaded when their files change. Thread-safe. */
class TlsContextProvider
{
public:
  /** Reads both files. Throws Poco::Exception when they cannot be used.
      @param aCertificateFile  PEM chain, the entry's own certificate first
      @param aPrivateKeyFile   PEM */
  TlsContextProvider(std::string aCertificateFile, std::string aPrivateKeyFile);

  /** Returns the TLS context for a new connection. Checks the files for changes at most once a
      second. If they cannot be loaded, for example while they are being replaced, the previous
      context stays in use. */
  Poco::Net::Context::Ptr Current();

  /** Returns how often changed files were loaded. */
  std::uint64_t Reloads() const;

  /** Returns how often loading changed files failed. */
  std::uint64_t FailedReloads() const;

private:
  struct FileTimes
  {
    std::filesystem::file_time_type mCertificate;
    std::filesystem::file_time_type mPrivateKey;
    bool operator==(const FileTimes&) const = default;
  };

  FileTimes ReadFileTimes() const;
  Poco::Net::Context::Ptr Load() const;

  std::string mCertificateFile;
  std::string mPrivateKeyFile;
  SystemClock mClock;
  mutable std::mutex mMutex;
  Poco::Net::Context::Ptr mContext;
  FileTimes mFileTimes;
  TimePoint mNextFileCheck;
  std::uint64_t mReloads = 0;
  std::uint64_t mFailedReloads = 0;
};

} // namespace skylarkchute
