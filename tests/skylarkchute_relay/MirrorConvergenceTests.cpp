#include <catch2/catch.hpp>
#include <skylarkchute_relay/store/StoreMirror.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>

using namespace skylarkchute;

namespace {

constexpr auto kKind = ObjectKind::Endpoints;
constexpr TimePoint kNow{ std::chrono::hours(1) };
constexpr int kNames = 4;
constexpr int kSteps = 60;

StoreObject Changed(const std::string& aName, StoreVersion aRevision, bool aIsDeleted = false)
{
  return { aName, aRevision, aIsDeleted, "" };
}

/** Which revision the store puts into the event of a removal. */
enum class RemovalRevision
{
  Own,
  OfLastChange,
};

/** The objects of one kind and their history. */
class SimulatedStore
{
public:
  explicit SimulatedStore(RemovalRevision aRemovals) : mRemovals(aRemovals) {}

  StoreVersion State() const { return MakeStoreVersion(mEra, mRevision); }
  const std::map<std::string, StoreVersion>& Objects() const { return mObjects; }

  /** Changes an object of another kind. */
  void Skip() { ++mRevision; }

  void Put(const std::string& aName)
  {
    ++mRevision;
    mObjects[aName] = State();
    mHistory.push_back(Changed(aName, State()));
  }

  void Remove(const std::string& aName)
  {
    const auto found = mObjects.find(aName);
    if (found == mObjects.end()) {
      return;
    }
    ++mRevision;
    const auto last = found->second;
    mObjects.erase(found);
    mHistory.push_back(Changed(aName, mRemovals == RemovalRevision::Own ? State() : last, true));
    mRemovedAt[mHistory.size() - 1] = State();
  }

  /** Returns what a watch reports, or nothing when the state is of another era. */
  std::optional<StorePage> EventsAfter(StoreVersion aState) const
  {
    if (EraOf(aState) != mEra) {
      return std::nullopt;
    }
    StorePage page;
    page.mAsOf = State();
    for (std::size_t n = 0; n < mHistory.size(); ++n) {
      const auto removed = mRemovedAt.find(n);
      if ((removed == mRemovedAt.end() ? mHistory[n].mRevision : removed->second) > aState) {
        page.mObjects.push_back(mHistory[n]);
      }
    }
    return page;
  }

  void TakeCopy() { mCopy = { mObjects, mRevision }; }

  /** Returns to the copy in a new era; objects written since are gone. */
  void RestoreCopy()
  {
    ++mEra;
    mRevision = mCopy.second;
    mObjects.clear();
    for (const auto& [name, revision] : mCopy.first) {
      mObjects[name] = MakeStoreVersion(mEra, RevisionOf(revision));
    }
    mHistory.clear();
    mRemovedAt.clear();
  }

private:
  RemovalRevision mRemovals;
  std::uint64_t mEra = 1;
  std::uint64_t mRevision = 10;
  std::map<std::string, StoreVersion> mObjects;
  std::vector<StoreObject> mHistory;
  std::map<std::size_t, StoreVersion> mRemovedAt; /**< By index in the history. */
  std::pair<std::map<std::string, StoreVersion>, std::uint64_t> mCopy{ {}, 10 };
};

/** An instance that mirrors the store by lists in two pages and by watches, whose answers take
    their time. */
class SimulatedInstance
{
public:
  /** Begins a list, or ends the one that was begun. */
  void List(const SimulatedStore& aStore)
  {
    if (!mListing || EraOf(mListing->mAsOf) != EraOf(aStore.State())) {
      mListing = KindSnapshot{ aStore.State(), {} };
      AddPage(aStore, true);
      return;
    }
    AddPage(aStore, false);
    ApplyEvents(*mListing, *aStore.EventsAfter(mListing->mAsOf));
    mMirror->Replace(kKind, *mListing, kNow);
    mWatched = mListing->mAsOf;
    mListing.reset();
    mAnswer.reset();
  }

  /** Asks for changes, or receives the answer to an earlier call. */
  void Watch(const SimulatedStore& aStore)
  {
    if (mWatched == 0 || mListing) {
      List(aStore);
      return;
    }
    if (!mAnswer) {
      mAnswer = aStore.EventsAfter(mWatched);
      mWatched = mAnswer ? mWatched : 0;
      return;
    }
    mMirror->Apply(kKind, *mAnswer, kNow);
    mWatched = std::max(mWatched, mAnswer->mAsOf);
    mAnswer.reset();
  }

  void Restart() { *this = SimulatedInstance(); }

  /** Receives what it lacks from another instance. */
  void Receive(const SimulatedInstance& aFrom)
  {
    const auto& from = *aFrom.mMirror;
    if (!from.IsKnown(kKind)) {
      return;
    }
    const bool isBehind =
      !mMirror->IsKnown(kKind) ||
      (from.Digest(kKind) != mMirror->Digest(kKind) && from.AsOf(kKind) > mMirror->AsOf(kKind));
    if (isBehind) {
      const auto changes =
        mMirror->IsKnown(kKind) ? from.ChangesSince(kKind, mMirror->AsOf(kKind)) : std::nullopt;
      if (!changes || !mMirror->Apply(kKind, *changes, kNow)) {
        mMirror->Replace(kKind, from.Snapshot(kKind), kNow);
      }
    }
    mMirror->Confirm(kKind, from.Digest(kKind), from.AsOf(kKind));
  }

  std::map<std::string, StoreVersion> Objects() const
  {
    std::map<std::string, StoreVersion> objects;
    for (const auto& it : mMirror->Snapshot(kKind).mObjects) {
      objects[it.mName] = it.mRevision;
    }
    return objects;
  }

private:
  void AddPage(const SimulatedStore& aStore, bool aIsFirst)
  {
    for (const auto& [name, revision] : aStore.Objects()) {
      if ((name < std::to_string(kNames / 2)) == aIsFirst) {
        mListing->mObjects.push_back(Changed(name, revision));
      }
    }
  }

  std::unique_ptr<StoreMirror> mMirror =
    std::make_unique<StoreMirror>([](ObjectKind, const StoreObject&) {});
  std::optional<KindSnapshot> mListing;
  std::optional<StorePage> mAnswer;
  StoreVersion mWatched = 0;
};

/** Returns whether three instances hold what the store holds after random changes, calls,
   exchanges, restarts and returns of the store to a copy. */
bool DoInstancesConverge(std::uint32_t aSeed, RemovalRevision aRemovals)
{
  std::minstd_rand random(aSeed);
  SimulatedStore store(aRemovals);
  std::array<SimulatedInstance, 3> instances;
  const auto any = [&]() -> SimulatedInstance& { return instances[random() % instances.size()]; };
  for (int n = 0; n < kSteps; ++n) {
    const auto name = std::to_string(random() % kNames);
    switch (random() % 16) {
      case 0:
      case 1:
      case 2:
        store.Put(name);
        break;
      case 3:
      case 4:
        store.Remove(name);
        break;
      case 5:
        store.Skip();
        break;
      case 6:
        any().List(store);
        break;
      case 7:
        if (random() % 4 == 0) {
          any().Restart();
        }
        break;
      case 8:
        if (random() % 8 == 0) {
          store.RestoreCopy();
        } else if (random() % 4 == 0) {
          store.TakeCopy();
        }
        break;
      case 9:
      case 10:
      case 11:
        any().Receive(any());
        break;
      default:
        any().Watch(store);
    }
  }
  // Two calls a list or a watch, and a list after a change of era.
  for (auto& it : instances) {
    for (int n = 0; n < 8; ++n) {
      it.Watch(store);
    }
  }
  for (auto& to : instances) {
    for (const auto& from : instances) {
      to.Receive(from);
    }
  }
  return std::all_of(instances.begin(), instances.end(), [&](const SimulatedInstance& aInstance) {
    return aInstance.Objects() == store.Objects();
  });
}

int CountDiverged(std::uint32_t aSeeds)
{
  int diverged = 0;
  for (std::uint32_t seed = 1; seed <= aSeeds; ++seed) {
    diverged += DoInstancesConverge(seed, RemovalRevision::Own) ? 0 : 1;
    diverged += DoInstancesConverge(seed, RemovalRevision::OfLastChange) ? 0 : 1;
  }
  return diverged;
}

} // namespace

TEST_CASE("instances hold what the store holds after any order of changes, calls and exchanges")
{
  CHECK(CountDiverged(300) == 0);
}

TEST_CASE("instances hold what the store holds, many seeds", "[.many-seeds]")
{
  CHECK(CountDiverged(20000) == 0);
}
