// A disk in memory for journals of streams: it can lose unsynced writes, be full,
// fail its syncs and stall.
#ifndef TESTS_JOURNAL_UTIL_H
#define TESTS_JOURNAL_UTIL_H

#include <cerrno>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "stream_journal.h"

// A file holds what its last sync covered; after a loss of power, what was appended
// later is present, missing or torn, and files that were removed may be back.
class JournalDisk
{
      public:
	struct File {
		std::string bytes;
		size_t synced = 0;
		bool removed = false;
	};
	journal_disk_t ops()
	{
		return {list, read,   create,  append,
			sync, remove, nullptr, this};
	}
	void lose_power(std::mt19937_64 &rng)
	{
		for (auto it = files.begin(); it != files.end();) {
			File &f = it->second;
			size_t unsynced = f.bytes.size() - f.synced;
			bool gone =
				f.removed ? rng() % 2 : !f.synced && rng() % 2;

			f.removed = false;
			if (gone) {
				it = files.erase(it);
				continue;
			}
			// Torn: some of it, and other bytes in place of a part.
			f.bytes.resize(f.synced + rng() % (unsynced + 1));
			if (f.bytes.size() > f.synced && rng() % 2)
				f.bytes[f.synced + rng() % (f.bytes.size() -
							    f.synced)] ^= 0x41;
			f.synced = f.bytes.size();
			++it;
		}
	}
	size_t n_files() const
	{
		size_t n = 0;

		for (auto &f : files)
			n += !f.second.removed;
		return n;
	}
	void set_stalled(bool on)
	{
		std::lock_guard<std::mutex> hold(lock);

		stalled = on;
		changed.notify_all();
	}

	std::map<uint64_t, File> files;
	uint64_t current = 0;
	size_t syncs = 0;
	size_t max_bytes = SIZE_MAX; // of all files; what exceeds it is refused
	bool sync_fails = false;

      private:
	std::mutex lock;
	std::condition_variable changed;
	bool stalled = false;

	static JournalDisk *self(void *ctx)
	{
		return (JournalDisk *)ctx;
	}
	static int fail(int error)
	{
		errno = error;
		return -1;
	}
	static int list(void *ctx, void (*visit)(void *, uint64_t), void *arg)
	{
		for (auto &f : self(ctx)->files)
			if (!f.second.removed)
				visit(arg, f.first);
		return 0;
	}
	static int read(void *ctx, uint64_t seq, buf_t *out)
	{
		const std::string &bytes = self(ctx)->files.at(seq).bytes;

		buf_put(out, bytes.data(), bytes.size());
		return 0;
	}
	static int create(void *ctx, uint64_t seq)
	{
		JournalDisk *d = self(ctx);

		if (d->files.count(seq))
			return fail(EEXIST);
		d->files[seq] = {};
		d->current = seq;
		return 0;
	}
	// A full disk takes a part of what does not fit.
	static int append(void *ctx, str_t bytes)
	{
		JournalDisk *d = self(ctx);
		size_t used = 0;

		for (auto &f : d->files)
			if (!f.second.removed)
				used += f.second.bytes.size();
		size_t room = d->max_bytes > used ? d->max_bytes - used : 0;
		d->files.at(d->current)
			.bytes.append(bytes.p, std::min(bytes.n, room));
		return bytes.n <= room ? 0 : fail(ENOSPC);
	}
	static int sync(void *ctx)
	{
		JournalDisk *d = self(ctx);
		std::unique_lock<std::mutex> hold(d->lock);

		d->syncs++;
		d->changed.wait(hold, [&] { return !d->stalled; });
		if (d->sync_fails)
			return fail(EIO);
		File &f = d->files.at(d->current);
		f.synced = f.bytes.size();
		return 0;
	}
	static int remove(void *ctx, uint64_t seq)
	{
		self(ctx)->files.at(seq).removed = true;
		return 0;
	}
};

#endif
