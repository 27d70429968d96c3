// The journal of streams: what a loss of power leaves, that it stays within its bound,
// that nobody waits for its disk, and that streams go on at their own software version
// after all daemons have lost power in the middle of a rollout.
#include <gtest/gtest.h>

#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>

#include "counter.h"
#include "dispatch_world.h"
#include "journal_disk.h"
#include "journal_thread.h"
#include "journal_util.h"

using namespace dispatch_world;

namespace
{

constexpr int64_t SEC = USEC_PER_SEC;
constexpr int64_t T0 = 1700000000 * SEC; // a time of the wall clock
typedef std::map<uint64_t, std::string> Streams;

// One life of a daemon's journal.
struct Journal {
	explicit Journal(const journal_disk_t &ops, int64_t now = T0)
	    : j(stream_journal_new(&ops))
	{
		rc = stream_journal_read(j, now, visit, this, &found);
	}
	explicit Journal(JournalDisk &disk, int64_t now = T0)
	    : Journal(disk.ops(), now)
	{
	}
	~Journal()
	{
		stream_journal_free(j);
	}
	int put(const Streams &streams, int64_t now = T0,
		uint32_t keep_ms = 15000)
	{
		std::map<std::string, std::vector<journal_record_t>> by_build;
		std::vector<journal_batch_t> batches;

		for (auto &s : streams)
			by_build[s.second].push_back({s.first, keep_ms});
		for (auto &b : by_build)
			batches.push_back(
				{str_n(b.first.data(), b.first.size()),
				 b.second.data(), b.second.size()});
		return stream_journal_write(j, batches.data(), batches.size(),
					    now);
	}
	static void visit(void *ctx, uint64_t key, str_t build, int64_t left_us)
	{
		Journal *self = (Journal *)ctx;

		self->streams[key] = std::string(build.p, build.n);
		self->left_us[key] = left_us;
	}
	stream_journal_t *j;
	journal_found_t found;
	int rc;
	Streams streams; // read back
	std::map<uint64_t, int64_t> left_us;
};

// Guards against a torn or missing write that is taken for a record, and against the
// loss of one that was synced.
TEST(StreamJournal, SyncedStreamsSurviveALossOfPowerAndNothingIsInvented)
{
	std::mt19937_64 rng(1);

	for (int round = 0; round < 300; round++) {
		JournalDisk disk;
		Streams all, synced;
		uint64_t key = 0;

		for (int life = 0; life < 3; life++) {
			Journal journal(disk);

			for (auto &s : synced)
				ASSERT_EQ(s.second, journal.streams[s.first]);
			for (auto &s : journal.streams)
				ASSERT_EQ(s.second, all[s.first]);
			for (uint64_t n = rng() % 8; n; n--) {
				Streams batch;

				for (uint64_t k = 1 + rng() % 30; k; k--)
					batch[++key] = rng() % 2 ? "v1" : "v2";
				disk.sync_fails = rng() % 4 == 0;
				all.insert(batch.begin(), batch.end());
				if (journal.put(batch) == 0)
					synced.insert(batch.begin(),
						      batch.end());
			}
			disk.lose_power(rng);
		}
	}
}

TEST(StreamJournal, ADamagedByteNeverGivesAnotherVersion)
{
	JournalDisk disk;

	Journal(disk).put({{11, "v1"}, {12, "v2"}, {13, "v2"}});
	const std::string intact = disk.files.begin()->second.bytes;
	for (size_t i = 0; i < intact.size(); i++) {
		disk.files.begin()->second.bytes = intact;
		disk.files.begin()->second.bytes[i] ^= 0x20;
		disk.files.begin()->second.removed = false;
		Journal journal(disk);

		EXPECT_LT(journal.streams.size(), 3u);
		EXPECT_GT(journal.found.torn_bytes, 0u);
		for (auto &s : journal.streams)
			EXPECT_EQ(s.first == 11 ? "v1" : "v2", s.second);
	}
}

TEST(StreamJournal, AFullDiskRefusesWritesAndLosesNoSyncedStream)
{
	JournalDisk disk;
	Journal journal(disk);

	ASSERT_EQ(0, journal.put({{1, "v1"}}));
	disk.max_bytes = 80;
	for (uint64_t i = 10; i < 40; i++)
		EXPECT_EQ(-1, journal.put({{i, "v2"}}));
	EXPECT_LE(disk.n_files(), 2u);
	disk.max_bytes = SIZE_MAX;
	ASSERT_EQ(0, journal.put({{2, "v2"}}));
	EXPECT_EQ((Streams{{1, "v1"}, {2, "v2"}}), Journal(disk).streams);
}

TEST(StreamJournal, ExpiredStreamsAreNotReadAndTheirSegmentsAreRemoved)
{
	JournalDisk disk;
	{
		Journal journal(disk);

		journal.put({{1, "v1"}}, T0, 2000);
		journal.put({{2, "v1"}}, T0, 9000);
		EXPECT_EQ(T0 + 9 * SEC, stream_journal_sweep(journal.j, T0));
	}
	EXPECT_EQ((Streams{{2, "v1"}}), Journal(disk, T0 + 3 * SEC).streams);
	// A clock that was set back keeps no stream for longer than recorded.
	EXPECT_EQ(2 * SEC, Journal(disk, T0 - 9999 * SEC).left_us[1]);
	EXPECT_EQ(1u, disk.n_files());
	EXPECT_EQ(Streams(), Journal(disk, T0 + 10 * SEC).streams);
	EXPECT_EQ(0u, disk.n_files());
}

TEST(StreamJournal, ItStaysWithinItsBoundAndKeepsTheNewest)
{
	JournalDisk disk;
	std::mt19937_64 rng(1);
	uint64_t key = 0;
	{
		Journal journal(disk);

		while (key < 1000000) {
			Streams batch;

			for (int i = 0; i < 2000; i++)
				batch[++key] = "v1";
			ASSERT_EQ(0, journal.put(batch, T0 + (int64_t)key));
			ASSERT_LE(stream_journal_bytes(journal.j),
				  JOURNAL_BYTES_MAX);
		}
	}
	disk.lose_power(rng); // brings removed segments back
	Journal journal(disk, T0 + SEC);

	EXPECT_LE(stream_journal_bytes(journal.j), JOURNAL_BYTES_MAX);
	EXPECT_GT(journal.streams.size(), 300000u);
	EXPECT_EQ(1u, journal.streams.count(key));
}

TEST(StreamJournal, AFolderKeepsItOverARestartWithATornTail)
{
	char path[] = "/tmp/journal_test.XXXXXX";
	ASSERT_TRUE(mkdtemp(path));
	std::ofstream(std::string(path) + "/log-00000000000000000001") << "x";
	for (int life = 0; life < 2; life++) {
		journal_disk_t ops;

		ASSERT_EQ(0, journal_disk_open(str_c(path), &ops));
		Journal journal(ops);
		ASSERT_EQ(0, journal.rc);
		EXPECT_EQ(life ? (Streams{{1, "v1"}, {2, "v2"}}) : Streams(),
			  journal.streams);
		EXPECT_EQ(life ? 4u : 0u, journal.found.torn_bytes);
		ASSERT_EQ(0, journal.put({{1, "v1"}, {2, "v2"}}));
		for (auto &f : std::filesystem::directory_iterator(path))
			if (f.path().filename().string()[0] == 's')
				std::ofstream(f.path(), std::ios::app)
					<< "torn";
	}
	std::filesystem::remove_all(path);
}

// Guards against a loop that waits for a disk: a put returns while a sync hangs, and
// what waits is bounded.
TEST(StreamJournal, AStalledDiskDelaysNobodyAndIsBounded)
{
	JournalDisk disk;
	journal_disk_t ops = disk.ops();
	std::vector<uint64_t> keys(1000, 1);
	std::vector<int64_t> keep_us(1000, SEC);
	uint64_t dropped = counter_get(CTR_STREAM_JOURNAL_DROPPED);
	auto began = std::chrono::steady_clock::now();

	disk.set_stalled(true);
	journal_thread_t *t = journal_thread_start(
		&ops, [](void *, stream_builds_t *b) { stream_builds_free(b); },
		nullptr);
	ASSERT_TRUE(t);
	for (int i = 0; i < 100; i++)
		journal_thread_put(t, STR("v1"), keys.data(), keep_us.data(),
				   keys.size());
	EXPECT_LT(std::chrono::steady_clock::now() - began,
		  std::chrono::seconds(1));
	dropped = counter_get(CTR_STREAM_JOURNAL_DROPPED) - dropped;
	EXPECT_GE(dropped, 100000 - 2 * JOURNAL_QUEUE_MAX);
	EXPECT_LT(dropped, 100000u);
	disk.set_stalled(false);
	journal_thread_stop(t);
	EXPECT_LE(disk.syncs, 2u);
}

// Guards against text joined from two versions where two tellers disagree.
TEST(StreamJournal, AStreamToldAsOfTwoVersionsGoesOnAtNone)
{
	World w(1, {});

	w.runners[1].build = w.runners[2].build = "v2";
	w.run(5000 * MS, 0);
	w.decide_builds("llm\tv1\nllm\tv2\n");
	w.tell_stream(11, "v1");
	w.tell_stream(11, "v2");
	w.tell_stream(11, "v1");
	uint64_t id = w.take_up(11);

	EXPECT_EQ(REASON_STREAM_UNKNOWN, w.requests[id].refusal);
}

// A host with a disk comes back late: until then, take-ups wait or are told to come
// back; they are refused for good only once it has told.
TEST(StreamJournal, TakeUpsWaitForHostsThatHaveNotTold)
{
	World w(1, {});

	w.runners[1].build = w.runners[2].build = "v2";
	w.run(5000 * MS, 0);
	w.decide_builds("llm\tv1\nllm\tv2\n");
	w.decide_journal(21);
	w.decide_journal(22);
	w.begin(false);
	w.tell_journal(21);
	uint64_t early = w.take_up(11);

	w.run(1200 * MS, 0);
	EXPECT_EQ(REASON_STREAM_UNKNOWN, w.requests[early].refusal);
	EXPECT_GT(w.requests[early].refusal_retry_us, 0);
	EXPECT_EQ(std::set<host_id_t>{22}, w.journals_asked);
	uint64_t waits = w.take_up(11);
	uint64_t unknown = w.take_up(12);
	w.run(300 * MS, 0);
	EXPECT_EQ(0, w.requests[waits].refusals + w.requests[waits].grants);
	w.tell_stream(11, "v1");
	w.tell_journal(22);
	w.run(50 * MS, 0);
	EXPECT_EQ("i-0", w.requests[waits].runner);
	EXPECT_EQ(REASON_STREAM_UNKNOWN, w.requests[unknown].refusal);
	EXPECT_EQ(0, w.requests[unknown].refusal_retry_us);
}

// Guards against new requests that wait behind all take-ups of unknown streams, as these
// come first in the queue and only so many are decided in one tick.
TEST(StreamJournal, TakeUpsOfUnknownStreamsDelayNoOtherRequest)
{
	size_t n_granted[2] = {};

	for (size_t n_unknown : {0, 200}) {
		World w(1, {});

		w.runners[1].build = w.runners[2].build = "v2";
		w.run(5000 * MS, 0);
		w.decide_builds("llm\tv1\nllm\tv2\n");
		w.decide_journal(21);
		w.begin(false);
		for (uint64_t key = 1; key <= n_unknown; key++)
			w.take_up(key);
		std::vector<uint64_t> fresh;
		for (int i = 0; i < 20; i++)
			fresh.push_back(w.ask("", 800 * MS, 8000 * MS, 2000));
		w.run(600 * MS, 0);
		for (uint64_t id : fresh)
			n_granted[n_unknown > 0] += w.requests[id].grants;
	}
	EXPECT_GT(n_granted[0], 10u);
	EXPECT_EQ(n_granted[0], n_granted[1]);
}

// Guards against a take-up that waits for its version and is then refused as late: its
// objective was that of the first event, which has come long ago.
TEST(StreamJournal, ATakeUpThatHasWaitedForItsVersionIsNotTooLate)
{
	World w(1, {});

	w.runners[1].build = w.runners[2].build = "v2";
	w.run(5000 * MS, 0);
	w.decide_builds("llm\tv1\nllm\tv2\n");
	w.decide_journal(21);
	w.begin(false);
	uint64_t id = w.take_up(11);

	w.run(900 * MS, 0);
	w.tell_stream(11, "v1");
	w.run(50 * MS, 0);
	EXPECT_EQ("i-0", w.requests[id].runner);
}

// All daemons lose power during a rollout, each stream recorded at two of three hosts
// with a disk, one of which may not come back. Those whose record was synced at a host
// that did go on at their own version; the others are refused; none is joined.
TEST(StreamJournal, StreamsGoOnAtTheirVersionAfterAllDaemonsLostPower)
{
	size_t n_known = 0, n_went_on = 0, n_unknown = 0;

	for (uint64_t seed = 1; seed <= 40; seed++) {
		World w(seed, {}, fleet_of(8));
		JournalDisk disks[3];
		std::map<uint64_t, std::set<int>> synced_at; // stream -> disks
		Streams began;

		for (size_t i = 0; i < 4; i++)
			w.runners[i].build = "v2";
		w.run(5000 * MS, 0);
		w.decide_builds("llm\tv1\nllm\tv2\n");
		for (host_id_t i = 0; i < 3; i++)
			w.decide_journal(100 + i);
		{
			Journal hosts[3] = {Journal(disks[0]),
					    Journal(disks[1]),
					    Journal(disks[2])};
			for (uint64_t key = 1; key <= 40; key++) {
				began[key] = w.rng() % 2 ? "v1" : "v2";
				for (uint64_t k = 0; k < 2; k++) {
					int at = (int)((key + k) % 3);

					disks[at].sync_fails = w.rng() % 8 == 0;
					if (!hosts[at].put({{key, began[key]}}))
						synced_at[key].insert(at);
				}
			}
		}
		for (auto &disk : disks)
			disk.lose_power(w.rng);
		w.another_takes_over();
		std::map<uint64_t, uint64_t> taken_up; // request -> stream
		for (uint64_t key = 1; key <= 44; key++)
			taken_up[w.take_up(key)] = key;
		bool lost = w.rng() % 2;
		for (int i = 0; i < 3; i++) {
			w.run((int64_t)(w.rng() % 200) * MS, 0);
			if (i == 0 && lost)
				continue;
			for (auto &s : Journal(disks[i], T0 + SEC).streams)
				w.tell_stream(s.first, s.second.c_str());
			w.tell_journal(100 + (host_id_t)i);
		}
		w.run(5000 * MS, 0);
		for (auto &t : taken_up) {
			const Request &req = w.requests[t.first];
			std::set<int> at = synced_at[t.second];

			if (lost)
				at.erase(0);
			n_known += !at.empty();
			n_unknown += t.second > 40;
			n_went_on += !at.empty() && req.grants;
			EXPECT_TRUE(t.second <= 40 ||
				    req.refusal == REASON_STREAM_UNKNOWN);
			EXPECT_TRUE(at.empty() ||
				    req.refusal != REASON_STREAM_UNKNOWN);
			EXPECT_TRUE(!req.grants ||
				    began[t.second] ==
					    w.find_runner(req.runner)->build);
			EXPECT_EQ(1, req.grants + req.refusals);
		}
	}
	EXPECT_EQ(160u, n_unknown);
	EXPECT_GT(n_known, 1200u);
	// The rest found no place in time.
	EXPECT_GT(n_went_on * 10, n_known * 9);
}

} // namespace
