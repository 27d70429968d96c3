/*
 * rlog_recover.h - the log in a data folder whose daemon does not run: what it holds, and
 * how it goes on where its quorum is gone for good.
 */
#ifndef DK_RLOG_RECOVER_H
#define DK_RLOG_RECOVER_H

#include "rlog.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct rlog_summary {
	host_id_t host;
	uint64_t log_id;
	uint64_t term; /* of the last record: the higher one is the newer */
	/* Of the last record: of two logs of one term the higher one is newer. */
	uint64_t index;
	bool votes;
	host_id_t voters[RLOG_VOTERS_MAX];
	size_t n_voters;
} rlog_summary_t;

/* 0, or -1 with *err set; WAL_MISSING: the folder holds no log yet. */
int rlog_summarize(wal_t *wal, rlog_summary_t *out, wal_err_t *err);
/*
 * Makes the folder's host the only voter of a log that goes on from all that the folder
 * holds, also what was never committed. The log gets another id, and hosts with the
 * earlier one stop theirs as soon as they reach it. 0, or -1 with *err set.
 */
int rlog_recover(wal_t *wal, wal_err_t *err);

#ifdef __cplusplus
}
#endif
#endif
