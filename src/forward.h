/*
 * forward.h - how changes and claims get from any daemon to the leader's log,
 * and their outcomes back.
 *
 * A forward_t is the sending side, on every daemon. It sends each request to
 * the leader, sends it again where the answer is overdue or the leader has
 * changed, and reports exactly one outcome. An intake_t is the receiving side,
 * on the leader. It collects requests for the log and sends the outcomes back.
 *
 * Each attempt names the term of the leader that it is for. A host that does
 * not lead that term refuses the attempt and will never append it from then on;
 * its answer says whether it certainly did not append it before. The outcome
 * "not decided" is therefore certain where all attempts were refused with that
 * certainty. Within its term the leader appends a request once, whatever the
 * network repeats. Across terms the state machine recognises repeats by the
 * change id, or by the key and the holder of a claim.
 */
#ifndef DK_FORWARD_H
#define DK_FORWARD_H

#include "machine.h"
#include "state.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct forward forward_t;

typedef struct forward_ops {
	void (*send)(void *ctx, host_id_t to, const Peer__Msg *msg);
	/* The outcome of a change or of Docs; tag as in forward_change(). */
	void (*changed)(void *ctx, uint64_t tag, const change_outcome_t *out);
	/* The outcome of a claim; res->tag is that of the request. */
	void (*claimed)(void *ctx, const claim_result_t *res);
} forward_ops_t;

/*
 * session distinguishes this run of the daemon from earlier ones. A request is
 * sent again every retry_us and ends after timeout_us.
 */
forward_t *forward_new(uint64_t session, int64_t retry_us, int64_t timeout_us,
		       const forward_ops_t *ops, void *ctx);
/* Outstanding requests get no outcome. */
void forward_free(forward_t *f);
/* Sends an encoded change to the leader, or as soon as one is known. */
void forward_change(forward_t *f, uint64_t tag, str_t change, int64_t now_us);
/* As forward_change(), for serialized Docs (proto/state.proto). */
void forward_docs(forward_t *f, uint64_t tag, str_t docs, int64_t now_us);
/* As forward_change(), for a claim; the outcome has the tag of req. */
void forward_claim(forward_t *f, const claim_req_t *req, int64_t now_us);
/*
 * Sets the leader that this daemon knows (0: none) and its term. Sends it the
 * requests that no attempt of this term was sent for.
 */
void forward_set_leader(forward_t *f, host_id_t leader, uint64_t term,
			int64_t now_us);
/*
 * Handles the answer to an attempt. True where the answer refuses the attempt
 * and names a leader of a later term, given in *leader and *term.
 */
bool forward_handle_result(forward_t *f, const Peer__ProposeRes *answer,
			   host_id_t *leader, uint64_t *term);
/* Sends again or ends requests that are due; returns when to call it again. */
int64_t forward_tick(forward_t *f, int64_t now_us);
/* Requests that have no outcome yet. */
size_t forward_pending_count(const forward_t *f);

typedef struct intake intake_t;

typedef struct intake_ops {
	void (*send)(void *ctx, host_id_t to, const Peer__Msg *msg);
	/* Appends to the log; returns the index, or 0 if not the leader. */
	uint64_t (*append)(void *ctx, entry_kind_t kind, str_t data);
} intake_ops_t;

intake_t *intake_new(const intake_ops_t *ops, void *ctx);
void intake_free(intake_t *in);
/* Forgets all requests, as this host begins to lead a term. */
void intake_reset(intake_t *in);
/*
 * This host no longer leads its term: drops the requests that were not appended
 * and now never will be, and expects no more results.
 */
void intake_step_down(intake_t *in);
/*
 * Whether a request to the leader of the last term that this host led may have
 * been appended. Answers the request where its result is known.
 */
bool intake_lookup(intake_t *in, host_id_t from, const Peer__Propose *p);
/*
 * Accepts a request to this leader, or answers one whose result is known. True
 * where the request is new and waits for intake_flush().
 */
bool intake_propose(intake_t *in, host_id_t from, const Peer__Propose *p);
/* Appends the requests collected; now_ms as for machine_pack_claims(). */
void intake_flush(intake_t *in, uint64_t now_ms);
/* Take the results of the applied record at index and answer the requests. */
void intake_change_applied(intake_t *in, uint64_t index,
			   const change_outcome_t *o);
void intake_claim_applied(intake_t *in, uint64_t index, size_t pos,
			  const claim_result_t *res);

#ifdef __cplusplus
}
#endif
#endif
