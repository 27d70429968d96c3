/*
 * wal.h - interface between the replicated log and its disk, which holds an
 * append-only sequence of records, the term and vote, and one snapshot. wal.c
 * keeps them in a folder; a disk in memory, for the tests, loses what was not
 * synced.
 */
#ifndef DK_WAL_H
#define DK_WAL_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

/* X(NAME, "text") */
#define WAL_ERRORS(X)                                                    \
	X(OK, "no error")                                                \
	X(IO, "reading or writing the data folder failed")               \
	X(FULL, "the disk is full")                                      \
	X(SYNC, "syncing the data folder failed")                        \
	X(CORRUPT, "a record inside the log is corrupt")                 \
	X(SNAPSHOT, "the snapshot is corrupt")                           \
	X(FOREIGN, "the data folder belongs to another cluster or host") \
	X(LOCKED, "another process uses the data folder")                \
	X(VERSION, "the data folder has an unknown format version")      \
	X(MISSING, "there is no log in the data folder")                 \
	X(REPLACED, "the log was recovered from another data folder")

typedef enum wal_code {
#define X(name, text) WAL_##name,
	WAL_ERRORS(X)
#undef X
} wal_code_t;

typedef struct wal_err {
	wal_code_t code;
	int sys_errno;
	char detail[160]; /* file, offset and cause */
} wal_err_t;

const char *wal_code_text(wal_code_t code);

/* One log record; its data is not owned. */
typedef struct wal_rec {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	str_t data;
} wal_rec_t;

typedef struct wal wal_t;

/*
 * Operations of a disk. All return 0, or -1 with *err filled. The effects of
 * append, truncate and set_vote are durable only once sync has returned 0.
 */
typedef struct wal_ops {
	int (*append)(void *ctx, const wal_rec_t *recs, size_t n,
		      wal_err_t *err);
	/* Removes the records at index from and above. */
	int (*truncate)(void *ctx, uint64_t from, wal_err_t *err);
	int (*set_vote)(void *ctx, uint64_t term, uint32_t voted_for,
			wal_err_t *err);
	int (*sync)(void *ctx, wal_err_t *err);
	/*
	 * Replaces the snapshot, which is durable when this returns, and may
	 * remove the records up to index.
	 */
	int (*snapshot)(void *ctx, uint64_t index, uint64_t term, str_t data,
			wal_err_t *err);
	/*
	 * Calls visit for all records after the snapshot, in order; fails where
	 * a call does not return 0.
	 */
	int (*replay)(void *ctx, int (*visit)(void *arg, const wal_rec_t *rec),
		      void *arg, wal_err_t *err);
} wal_ops_t;

/* What a disk held when it was opened. */
typedef struct wal_recovered {
	uint64_t term;
	uint32_t voted_for;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	str_t snapshot;	      /* valid until the first snapshot operation */
	bool empty;	      /* the folder was new or had been emptied */
	uint64_t incarnation; /* random number of this folder; never 0 */
	uint32_t host;	      /* that the folder belongs to */
	uint64_t torn_bytes;  /* removed from the end of the last file */
} wal_recovered_t;

struct wal {
	const wal_ops_t *ops;
	void *ctx;
	wal_recovered_t recovered;
};

/*
 * Opens the data folder of one host of one cluster, or creates it, and locks
 * it. Returns NULL, with *err filled, where that fails.
 */
wal_t *wal_open(str_t folder, str_t cluster, uint32_t host, wal_err_t *err);
/* The same for a folder that exists, of whichever cluster and host. */
wal_t *wal_open_existing(str_t folder, wal_err_t *err);
void wal_close(wal_t *w);

#ifdef __cplusplus
}
#endif
#endif
