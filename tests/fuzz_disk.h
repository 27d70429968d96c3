// A disk for property tests: a wal in memory that can lose unsynced writes.
#ifndef TESTS_FUZZ_DISK_H
#define TESTS_FUZZ_DISK_H

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "change_util.h"
#include "wal.h"

// Writes take effect on the durable image once they are synced. A crash keeps a
// leading part, of random length, of the writes that were not.
class FuzzDisk
{
      public:
	struct Rec {
		uint64_t index, term;
		uint32_t kind;
		std::string data;
	};
	struct Image {
		uint64_t term = 0;
		uint32_t voted_for = 0;
		uint64_t snap_index = 0, snap_term = 0;
		std::string snap;
		std::vector<Rec> recs;
	};

	explicit FuzzDisk(uint64_t incarnation) : incarnation_(incarnation)
	{
		wal_.ops = &ops_;
		wal_.ctx = this;
	}

	// The wal that a daemon gets when it starts.
	wal_t *open()
	{
		const Image &d = durable_;
		current_ = d;
		unsynced_.clear();
		wal_.recovered = {};
		wal_.recovered.term = d.term;
		wal_.recovered.voted_for = d.voted_for;
		wal_.recovered.snapshot_index = d.snap_index;
		wal_.recovered.snapshot_term = d.snap_term;
		wal_.recovered.snapshot = view(d.snap);
		wal_.recovered.empty =
			!d.term && d.recs.empty() && !d.snap_index;
		wal_.recovered.incarnation = incarnation_;
		return &wal_;
	}

	// Loss of power: a random number of the oldest unsynced writes stays.
	void crash(std::mt19937_64 &rng)
	{
		size_t n_survive =
			unsynced_.empty() ? 0 : rng() % (unsynced_.size() + 1);
		for (size_t i = 0; i < n_survive; i++)
			unsynced_[i](durable_);
		unsynced_.clear();
	}

	// Opens the folder again after a failure; a random number of the oldest
	// writes that failed to be synced is found there. Null: it still fails.
	wal_t *reopen(std::mt19937_64 &rng)
	{
		wal_err_t err = {};

		crash(rng);
		return sync(&err) ? open() : nullptr;
	}

	// Loses everything; the next open gives an empty folder with the given
	// incarnation.
	void wipe(uint64_t incarnation)
	{
		durable_ = Image();
		unsynced_.clear();
		incarnation_ = incarnation;
	}

	const Image &durable() const
	{
		return durable_;
	}

	// Called before each sync or snapshot, which fails if it returns false.
	std::function<bool()> on_sync;
	bool full = false;	 // takes no more bytes; syncs succeed
	bool skip_syncs = false; // deliberate fault: syncs do nothing
	uint64_t syncs = 0;

      private:
	typedef std::function<void(Image &)> Write;

	static FuzzDisk *self(void *ctx)
	{
		return static_cast<FuzzDisk *>(ctx);
	}

	bool write(Write op, wal_err_t *err)
	{
		if (full) {
			err->code = WAL_FULL;
			return false;
		}
		op(current_);
		unsynced_.push_back(op);
		return true;
	}

	bool sync(wal_err_t *err)
	{
		syncs++;
		if (on_sync && !on_sync()) {
			err->code = WAL_SYNC;
			return false;
		}
		if (skip_syncs)
			return true;
		for (auto &op : unsynced_)
			op(durable_);
		unsynced_.clear();
		return true;
	}

	static int append(void *ctx, const wal_rec_t *recs, size_t n,
			  wal_err_t *err)
	{
		for (size_t i = 0; i < n; i++) {
			Rec r = {recs[i].index, recs[i].term, recs[i].kind,
				 text(recs[i].data)};
			Write op = [r](Image &im) { im.recs.push_back(r); };
			if (!self(ctx)->write(op, err))
				return -1;
		}
		return 0;
	}

	static int truncate(void *ctx, uint64_t from, wal_err_t *err)
	{
		Write op = [from](Image &im) {
			while (!im.recs.empty() && im.recs.back().index >= from)
				im.recs.pop_back();
		};
		return self(ctx)->write(op, err) ? 0 : -1;
	}

	static int set_vote(void *ctx, uint64_t term, uint32_t voted_for,
			    wal_err_t *err)
	{
		Write op = [=](Image &im) {
			im.term = term;
			im.voted_for = voted_for;
		};
		return self(ctx)->write(op, err) ? 0 : -1;
	}

	static int sync_op(void *ctx, wal_err_t *err)
	{
		return self(ctx)->sync(err) ? 0 : -1;
	}

	static int snapshot(void *ctx, uint64_t index, uint64_t term,
			    str_t data, wal_err_t *err)
	{
		std::string bytes = text(data);
		Write op = [=](Image &im) {
			im.snap_index = index;
			im.snap_term = term;
			im.snap = bytes;
			size_t n = 0;
			while (n < im.recs.size() && im.recs[n].index <= index)
				n++;
			im.recs.erase(im.recs.begin(), im.recs.begin() + n);
		};
		if (!self(ctx)->write(op, err))
			return -1;
		return self(ctx)->sync(err) ? 0 : -1;
	}

	static int replay(void *ctx, int (*visit)(void *, const wal_rec_t *),
			  void *arg, wal_err_t *err)
	{
		for (auto &r : self(ctx)->durable_.recs) {
			wal_rec_t rec = {r.index, r.term, r.kind, view(r.data)};
			if (visit(arg, &rec)) {
				err->code = WAL_CORRUPT;
				return -1;
			}
		}
		return 0;
	}

	static constexpr wal_ops_t ops_ = {append,  truncate, set_vote,
					   sync_op, snapshot, replay};
	wal_t wal_ = {};
	uint64_t incarnation_;
	Image durable_, current_;
	std::vector<Write> unsynced_;
};

#endif
