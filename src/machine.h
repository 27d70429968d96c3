/*
 * machine.h - the replicated state machine: decided tables, outcomes of
 * changes by change id, claims. Applied entry by entry in log order on voters;
 * learners apply the entries of the feed, which leaves claims out.
 * Deterministic: the same entries give the same bytes on every host.
 */
#ifndef DK_MACHINE_H
#define DK_MACHINE_H

#include "claim.h"
#include "decided.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum entry_kind {
	ENTRY_NOOP = 1,	   /* start of a leader's term */
	ENTRY_MEMBERS = 2, /* voters of the log; the log's own */
	ENTRY_CHANGE = 3,  /* operators' change; packed Change */
	ENTRY_CLAIM = 4,   /* batch of claim operations; voters only */
	ENTRY_ASSIGN = 5,  /* owners of targets, by the leader */
	ENTRY_DOC = 6,	   /* versions of documents; packed Docs */
} entry_kind_t;

typedef struct machine machine_t;

/* Which parts a snapshot holds. */
typedef enum machine_parts {
	MACHINE_ALL,	/* for voters */
	MACHINE_TABLES, /* for learners: tables and position only */
} machine_parts_t;

machine_t *machine_new(void);
void machine_free(machine_t *m);

/* One owner decision inside an ENTRY_ASSIGN. */
typedef struct assignment {
	target_id_t target;
	host_id_t owner; /* 0: unassigned */
	/* The previous owner ended cleanly: nobody is to be waited out. */
	bool released;
} assignment_t;

/* Results of one applied entry, by its position inside the entry. */
typedef struct machine_sink {
	void (*changed)(void *ctx, str_t change_id, const change_outcome_t *o);
	void (*claimed)(void *ctx, size_t pos, const claim_result_t *res);
	void *ctx;
} machine_sink_t;

/*
 * Applies one committed entry; index must be above machine_index(). sink may
 * be NULL. 0, or -1 on an entry that cannot be decoded (never decided by a
 * correct host; the caller stops).
 */
int machine_apply(machine_t *m, uint64_t index, entry_kind_t kind, str_t data,
		  const machine_sink_t *sink);
uint64_t machine_index(const machine_t *m);
/* Latest time of a leader's clock that an applied entry held. */
uint64_t machine_clock_ms(const machine_t *m);
/* The current tables; the caller owns one reference. */
decided_t *machine_tables(const machine_t *m);

/* Packing of entries. */
void machine_pack_assign(buf_t *out, const assignment_t *a, size_t n);
/* now_ms is the leader's clock, for the expiry of stored answers. */
void machine_pack_claims(buf_t *out, const claim_req_t *reqs, size_t n,
			 uint64_t now_ms);

/* A document whose version is above the one held replaces it. */
void machine_pack_doc(buf_t *out, const doc_t *doc);

/*
 * Known outcome of a decided change id, for resends; false where there is
 * none, or only a refusal, which decided nothing.
 */
bool machine_change_outcome(const machine_t *m, str_t change_id,
			    change_outcome_t *out);
/*
 * Checks a packed Change against the current tables without applying it.
 * out->status tells what applying it now would give; out->error points into
 * *error, which the caller owns.
 */
void machine_check_change(const machine_t *m, str_t change,
			  change_outcome_t *out, buf_t *error);

void machine_save(const machine_t *m, machine_parts_t parts, buf_t *out);
/* Replaces all; 0, or -1 where the bytes are corrupt (m is unchanged). */
int machine_load(machine_t *m, str_t snapshot);

#ifdef __cplusplus
}
#endif
#endif
