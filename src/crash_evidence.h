/*
 * crash_evidence.h - finds what crashes runners: a part of prompts, whatever else a
 * prompt holds, or one request that comes again alike. Each crash counts against the
 * requests that were about to be answered there, and against the shared parts of their
 * prompts; each answer clears its request, and its parts, of all crashes so far.
 *
 * A part that crashes of several prompts count against, without another such part in
 * all of them, is the culprit; a part of most prompts stands in every crash anyway, and
 * takes more of them. A request that several crashes count against is the culprit.
 *
 * The state is bounded, whatever number of causes is seen. Not thread-safe; the caller
 * passes in the time.
 */
#ifndef DK_CRASH_EVIDENCE_H
#define DK_CRASH_EVIDENCE_H

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct crash_evidence crash_evidence_t;

crash_evidence_t *crash_evidence_new(void);
/* e may be NULL. */
void crash_evidence_free(crash_evidence_t *e);

typedef enum crash_cause_kind {
	CAUSE_PART,    /* of prompts */
	CAUSE_REQUEST, /* all that have this digest */
	CAUSE_KIND_COUNT,
} crash_cause_kind_t;

/* What may crash runners. */
typedef struct crash_cause {
	crash_cause_kind_t kind;
	uint64_t id; /* of the part, or the digest */
} crash_cause_t;

bool crash_cause_equal(crash_cause_t a, crash_cause_t b);

/* A request with these shared parts has come: tells which parts are common. */
void crash_evidence_note_asked(crash_evidence_t *e, const uint64_t *parts,
			       size_t n);

/* A request that was about to be answered as its runner ended. */
typedef struct crashed_request {
	uint64_t digest;       /* 0: not known */
	const uint64_t *parts; /* of its prompt, that other prompts may share */
	size_t n;
	uint64_t own_part; /* tells its prompt from others; 0: it has none */
} crashed_request_t;

/*
 * The runner ended at at_us as it was about to answer this request. All that is told of
 * one runner counts as one crash, however often it is told. Against a part, all crashes
 * of one prompt, which may have been sent again, count as one.
 */
void crash_evidence_add(crash_evidence_t *e, str_t runner,
			const crashed_request_t *request, int64_t at_us);
/* The runner's end is explained, by a cause that is known to be the culprit. */
void crash_evidence_explain(crash_evidence_t *e, str_t runner, int64_t at_us);
/* Whether the runner has ended, by what was told and not withdrawn. */
bool crash_evidence_has_ended(const crash_evidence_t *e, str_t runner);
/* The runner answers, so it has not ended: its connections were only lost. */
void crash_evidence_withdraw(crash_evidence_t *e, str_t runner, int64_t now_us);
/*
 * A request of this cause was answered at at_us, and its runner lived on; it may be
 * told late.
 */
void crash_evidence_clear(crash_evidence_t *e, crash_cause_t cause,
			  int64_t at_us);

typedef struct culprit {
	crash_cause_t cause;
	uint32_t crashes; /* against a part, of different prompts */
	/* Where none is found: when to look again; INT64_MAX: after a crash. */
	int64_t again_us;
} culprit_t;

/*
 * Whether there is a culprit among the causes that a crash since since_us counts
 * against; its crashes are taken as explained, so that each cause is found once.
 */
bool crash_evidence_find(crash_evidence_t *e, int64_t since_us, int64_t now_us,
			 culprit_t *out);
/*
 * Crashes that count against the cause, so far without being explained: of different
 * prompts, or of runners that did not end together.
 */
uint32_t crash_evidence_count(const crash_evidence_t *e, crash_cause_t cause);
/* When the last of them was; INT64_MIN: there is none. */
int64_t crash_evidence_last_us(const crash_evidence_t *e, crash_cause_t cause);
/* Forgets all that counts against the cause. */
void crash_evidence_forget(crash_evidence_t *e, crash_cause_t cause);

#ifdef __cplusplus
}
#endif
#endif
