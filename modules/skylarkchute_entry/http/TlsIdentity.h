#pragma once

#include <skylarkchute_core/skylarkchute_core.h>

#include <Poco/Net/Context.h>

#include <filesystem>
#include <mutex>
#include <string>

namespace skylarkchute {

/** The certificate that the entry shows to callers, read again when its files change.
    Safe to use from several threads. */
class TlsIdentity
{
public:
  /** Reads both files. Throws Poco::Exception when they cannot be used.
      @param aCertificateFile  PEM chain, the entry's own certificate first
      @param aPrivateKeyFile   PEM */
  TlsIdentity(std::string aCertificateFile, std::string aPrivateKeyFile);

  /** Returns the context for a new connection. Looks at the files at most once a second; files
      that cannot be used, as while they are being replaced, leave the former context in force. */
  Poco::Net::Context::Ptr Current();

  /** Returns how often changed files were taken up. */
  std::uint64_t Reloads() const;

  /** Returns how often changed files could not be used. */
  std::uint64_t FailedReloads() const;

private:
  struct FileStamps
  {
    std::filesystem::file_time_type mCertificate;
    std::filesystem::file_time_type mPrivateKey;
    bool operator==(const FileStamps&) const = default;
  };

  FileStamps ReadStamps() const;
  Poco::Net::Context::Ptr Load() const;

  std::string mCertificateFile;
  std::string mPrivateKeyFile;
  SystemClock mClock;
  mutable std::mutex mMutex;
  Poco::Net::Context::Ptr mContext;
  FileStamps mStamps;
  TimePoint mNextLook;
  std::uint64_t mReloads = 0;
  std::uint64_t mFailedReloads = 0;
};

} // namespace skylarkchute
