/*
 * machine.h - the replicated state machine. It holds the decided tables, the
 * outcomes of changes by change id, and the claims of idempotency keys. Voters
 * apply all entries in log order; learners apply those that the feed carries,
 * which has no claims. It is deterministic: the same entries give the same
 * bytes on every host.
 */
#ifndef DK_MACHINE_H
#define DK_MACHINE_H

#include "claim.h"
#include "decided.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Kinds of log records; a record is called an entry in this file. */
typedef enum entry_kind {
	ENTRY_NOOP = 1,	   /* first entry of a leader's term; no data */
	ENTRY_MEMBERS = 2, /* voters of the log; only rlog uses its data */
	ENTRY_CHANGE = 3,  /* operators' change; packed Change */
	ENTRY_CLAIM = 4,   /* batch of claim operations; not in the feed */
	ENTRY_ASSIGN = 5,  /* the leader's assignment of targets to owners */
	ENTRY_DOC = 6,	   /* new versions of documents; packed Docs */
} entry_kind_t;

typedef struct machine machine_t;

/* Which parts a snapshot holds. */
typedef enum machine_parts {
	MACHINE_ALL,	/* for voters */
	MACHINE_TABLES, /* for learners: tables and log index, no claims */
} machine_parts_t;

machine_t *machine_new(void);
void machine_free(machine_t *m);

/* A new owner for one target; an ENTRY_ASSIGN holds several. */
typedef struct assignment {
	target_id_t target;
	host_id_t owner; /* 0: unassigned */
	/*
	 * The previous owner ended cleanly, so that nobody needs to wait until
	 * it surely has stopped using the target.
	 */
	bool released;
} assignment_t;

/* Receives the results of one applied entry. */
typedef struct machine_sink {
	void (*changed)(void *ctx, str_t change_id, const change_outcome_t *o);
	/* pos: position of the operation in its batch. */
	void (*claimed)(void *ctx, size_t pos, const claim_result_t *res);
	void *ctx;
} machine_sink_t;

/*
 * Applies one committed entry; index must be above machine_index(). sink may be
 * NULL. Returns 0, or -1 where the entry cannot be decoded; a correct leader
 * never appends such an entry, and the caller must stop.
 */
int machine_apply(machine_t *m, uint64_t index, entry_kind_t kind, str_t data,
		  const machine_sink_t *sink);
/* Log index of the last applied entry. */
uint64_t machine_index(const machine_t *m);
/* Latest time of a leader's clock in the applied entries. */
uint64_t machine_clock_ms(const machine_t *m);
/* The current tables; the caller owns one reference. */
decided_t *machine_tables(const machine_t *m);

/* Each appends the data of one entry to out. */
void machine_pack_assign(buf_t *out, const assignment_t *a, size_t n);
/* now_ms: the leader's clock, by which claims and stored answers expire. */
void machine_pack_claims(buf_t *out, const claim_req_t *reqs, size_t n,
			 uint64_t now_ms);
/* The document replaces the one held where its version is higher. */
void machine_pack_doc(buf_t *out, const doc_t *doc);

/*
 * Fills the outcome of the decided change with this id, for changes that are
 * sent again. Returns false where there is none; refused changes have none, as
 * they are not decided.
 */
bool machine_change_outcome(const machine_t *m, str_t change_id,
			    change_outcome_t *out);
/*
 * Checks a packed Change against the current tables without applying it.
 * out->status is the status that it would get if applied now. out->error points
 * into *error, which the caller owns.
 */
void machine_check_change(const machine_t *m, str_t change,
			  change_outcome_t *out, buf_t *error);

/* Appends a snapshot to out. */
void machine_save(const machine_t *m, machine_parts_t parts, buf_t *out);
/*
 * Replaces the whole state by that of a snapshot. Returns 0, or -1 where the
 * bytes are corrupt; m is unchanged then.
 */
int machine_load(machine_t *m, str_t snapshot);

#ifdef __cplusplus
}
#endif
#endif
