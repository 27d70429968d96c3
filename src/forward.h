/*
 * forward.h - changes and claims on their way to the leader and back.
 *
 * A forward_t is the asking side, on every daemon: it sends each request to
 * the leader, again where an answer is overdue or the leader has changed, and
 * gives exactly one outcome. An intake_t is the answering side, on the leader:
 * it gathers requests for the log and sends the outcomes back.
 *
 * An attempt is meant for the leader of one term. A host that does not lead
 * that term refuses, and will never append that attempt, so an outcome "not
 * decided" is certain where all attempts were refused. In its term the leader
 * appends a request once, whatever the network repeats; across terms the state
 * machine tells repeats by change id, or by key and holder.
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
	void (*changed)(void *ctx, uint64_t tag, const change_outcome_t *out);
	void (*claimed)(void *ctx, const claim_result_t *res);
} forward_ops_t;

forward_t *forward_new(uint64_t session, int64_t retry_us, int64_t timeout_us,
		       const forward_ops_t *ops, void *ctx);
/* Outstanding requests get no outcome any more. */
void forward_free(forward_t *f);
void forward_change(forward_t *f, uint64_t tag, str_t change, int64_t now_us);
/* As forward_change() for packed Docs (proto/state.proto). */
void forward_docs(forward_t *f, uint64_t tag, str_t docs, int64_t now_us);
void forward_claim(forward_t *f, const claim_req_t *req, int64_t now_us);
/* The leader as far as known here; 0: none. Sends what waits. */
void forward_set_leader(forward_t *f, host_id_t leader, uint64_t term,
			int64_t now_us);
/* True where the answer names a later leader (*leader, *term). */
bool forward_handle_result(forward_t *f, const Peer__ProposeRes *r,
			   host_id_t *leader, uint64_t *term);
/* Resends, gives up; returns when it wants to be called again. */
int64_t forward_tick(forward_t *f, int64_t now_us);
size_t forward_pending_count(const forward_t *f);

typedef struct intake intake_t;

typedef struct intake_ops {
	void (*send)(void *ctx, host_id_t to, const Peer__Msg *msg);
	/* Appends to the log; the index, or 0 where this is not the leader. */
	uint64_t (*append)(void *ctx, entry_kind_t kind, str_t data);
} intake_ops_t;

intake_t *intake_new(const intake_ops_t *ops, void *ctx);
void intake_free(intake_t *in);
/* Forgets all: this host begins to lead a term. */
void intake_reset(intake_t *in);
/* Its term is over: what was not appended never will be. */
void intake_step_down(intake_t *in);
/*
 * Whether a request of the term that was led last may have been appended;
 * answers it where its result is known.
 */
bool intake_lookup(intake_t *in, host_id_t from, const Peer__Propose *p);
/* A request for this leader. True where something waits for intake_flush(). */
bool intake_propose(intake_t *in, host_id_t from, const Peer__Propose *p);
/* Appends what has gathered; now_ms as for machine_pack_claims(). */
void intake_flush(intake_t *in, uint64_t now_ms);
/* Results of the applied record at index. */
void intake_change_applied(intake_t *in, uint64_t index,
			   const change_outcome_t *o);
void intake_claim_applied(intake_t *in, uint64_t index, size_t pos,
			  const claim_result_t *res);

#ifdef __cplusplus
}
#endif
#endif
