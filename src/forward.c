/* forward.c - the sending side: requests of this daemon to the leader. */
#include "forward.h"

#include <stdlib.h>
#include <string.h>

#include <urcu/list.h>

#include "pb.h"

/*
 * Most attempts that are sent for one request. Each has a bit in the 64 of
 * request_t.refused.
 */
#define ATTEMPTS_MAX 62u
/*
 * Not used. It was meant to divide retry_us for a request that the known leader
 * has refused.
 */
#define REFUSED_DIV 8

typedef struct request {
	struct cds_list_head node;
	uint64_t id;  /* ascending, unique in the session */
	uint64_t tag; /* the caller's own, handed back with the outcome */
	bool is_claim;
	bool is_docs;
	buf_t change;	    /* the change, or Docs where is_docs */
	claim_req_t claim;  /* its strings are owned */
	uint32_t attempts;  /* attempts sent */
	uint64_t refused;   /* bit n: attempt n was certainly not appended */
	uint64_t sent_term; /* of the leader of the newest attempt */
	int64_t retry_due_us;
	int64_t deadline_us;
} request_t;

struct forward {
	forward_ops_t ops;
	void *ctx;
	uint64_t session; /* of this daemon; request ids are unique within it */
	int64_t retry_us; /* time between attempts */
	int64_t timeout_us; /* a request without a result ends after this */
	uint64_t next_id;
	host_id_t leader;	       /* 0: not known */
	uint64_t term;		       /* of that leader */
	struct cds_list_head requests; /* request_t, ascending by id */
	size_t n_requests;
};

static void request_free(forward_t *f, request_t *r)
{
	cds_list_del(&r->node);
	f->n_requests--;
	buf_free(&r->change);
	str_free(&r->claim.key);
	str_free(&r->claim.holder);
	str_free(&r->claim.body);
	free(r);
}

static uint64_t oldest_request_id(const forward_t *f)
{
	if (f->n_requests == 0)
		return f->next_id;
	return cds_list_entry(f->requests.next, request_t, node)->id;
}

static void send_request(forward_t *f, request_t *r, int64_t now_us)
{
	Peer__Msg msg = PEER__MSG__INIT;
	Peer__Propose pb = PEER__PROPOSE__INIT;
	Peer__ClaimReq claim = PEER__CLAIM_REQ__INIT;

	r->retry_due_us = now_us + f->retry_us;
	if (!f->leader || r->attempts == ATTEMPTS_MAX)
		return;
	pb.id = r->id;
	pb.session = f->session;
	pb.attempt = r->attempts++;
	pb.term = f->term;
	pb.oldest = oldest_request_id(f);
	r->sent_term = f->term;
	if (r->is_claim) {
		claim.op = r->claim.op;
		claim.org_id = r->claim.org_id;
		claim.body_hash = r->claim.body_hash;
		claim.ttl_ms = r->claim.ttl_ms;
		claim.http_status = (uint32_t)r->claim.http_status;
		claim.key = pb_bytes(r->claim.key);
		claim.holder = pb_bytes(r->claim.holder);
		claim.body = pb_bytes(r->claim.body);
		pb.claim = &claim;
	} else {
		pb.change = pb_bytes(buf_str(&r->change));
		pb.docs = r->is_docs;
	}
	msg.body_case = PEER__MSG__BODY_PROPOSE;
	msg.propose = &pb;
	f->ops.send(f->ctx, f->leader, &msg);
}

static request_t *request_new(forward_t *f, uint64_t tag, int64_t now_us)
{
	request_t *r = xcalloc(1, sizeof(*r));

	r->id = f->next_id++;
	r->tag = tag;
	r->deadline_us = now_us + f->timeout_us;
	cds_list_add_tail(&r->node, &f->requests);
	f->n_requests++;
	return r;
}

void forward_change(forward_t *f, uint64_t tag, str_t change, int64_t now_us)
{
	request_t *r = request_new(f, tag, now_us);

	buf_put(&r->change, change.p, change.n);
	send_request(f, r, now_us);
}

void forward_docs(forward_t *f, uint64_t tag, str_t docs, int64_t now_us)
{
	request_t *r = request_new(f, tag, now_us);

	r->is_docs = true;
	buf_put(&r->change, docs.p, docs.n);
	send_request(f, r, now_us);
}

void forward_claim(forward_t *f, const claim_req_t *req, int64_t now_us)
{
	request_t *r = request_new(f, req->tag, now_us);

	r->is_claim = true;
	r->claim = *req;
	r->claim.key = str_copy(req->key);
	r->claim.holder = str_copy(req->holder);
	r->claim.body = str_copy(req->body);
	send_request(f, r, now_us);
}

void forward_set_leader(forward_t *f, host_id_t leader, uint64_t term,
			int64_t now_us)
{
	request_t *r, *tmp;

	if (f->leader == leader && f->term == term)
		return;
	f->leader = leader;
	f->term = term;
	cds_list_for_each_entry_safe (r, tmp, &f->requests, node) {
		if (leader && r->sent_term != term)
			send_request(f, r, now_us);
	}
}

/*
 * Ends a request that has no result in time. The outcome is "not decided" only
 * where every attempt was certainly not appended.
 */
static void request_time_out(forward_t *f, request_t *r)
{
	bool certain = r->refused == ((uint64_t)1 << r->attempts) - 1;

	if (r->is_claim) {
		claim_result_t res = {.tag = r->tag};

		res.outcome = certain ? CLAIM_NOT_APPLIED : CLAIM_MAYBE_APPLIED;
		f->ops.claimed(f->ctx, &res);
	} else {
		change_outcome_t out = {0};

		out.status = certain ? CHANGE_NO_QUORUM : CHANGE_MAYBE_DECIDED;
		f->ops.changed(f->ctx, r->tag, &out);
	}
	request_free(f, r);
}

static request_t *request_find(forward_t *f, uint64_t id)
{
	request_t *r;

	cds_list_for_each_entry (r, &f->requests, node) {
		if (r->id == id)
			return r;
	}
	return NULL;
}

bool forward_handle_result(forward_t *f, const Peer__ProposeRes *answer,
			   host_id_t *leader, uint64_t *term)
{
	request_t *r = answer->session == f->session
			       ? request_find(f, answer->id)
			       : NULL;

	if (!r || answer->attempt >= r->attempts)
		return false;
	if (answer->refused) {
		if (answer->certain)
			r->refused |= (uint64_t)1 << answer->attempt;
		*leader = answer->leader;
		*term = answer->leader_term;
		return answer->leader_term > f->term && answer->leader;
	}
	if (r->is_claim) {
		claim_result_t res = {.tag = r->tag};

		res.outcome = (claim_outcome_t)answer->status;
		res.http_status = (int)answer->http_status;
		res.body = str_n((char *)answer->body.data, answer->body.len);
		f->ops.claimed(f->ctx, &res);
	} else {
		change_outcome_t out = {0};

		out.status = (change_status_t)answer->status;
		out.revision = answer->revision;
		out.error =
			str_n((char *)answer->error.data, answer->error.len);
		out.resent = answer->resent;
		f->ops.changed(f->ctx, r->tag, &out);
	}
	request_free(f, r);
	return false;
}

int64_t forward_tick(forward_t *f, int64_t now_us)
{
	int64_t due = INT64_MAX;
	request_t *r, *tmp;

	cds_list_for_each_entry_safe (r, tmp, &f->requests, node) {
		if (now_us >= r->deadline_us) {
			request_time_out(f, r);
			continue;
		}
		if (now_us >= r->retry_due_us)
			send_request(f, r, now_us);
		if (r->retry_due_us < due)
			due = r->retry_due_us;
		if (r->deadline_us < due)
			due = r->deadline_us;
	}
	return due;
}

size_t forward_pending_count(const forward_t *f)
{
	return f->n_requests;
}

forward_t *forward_new(uint64_t session, int64_t retry_us, int64_t timeout_us,
		       const forward_ops_t *ops, void *ctx)
{
	forward_t *f = xcalloc(1, sizeof(*f));

	f->ops = *ops;
	f->ctx = ctx;
	f->session = session;
	f->retry_us = retry_us;
	f->timeout_us = timeout_us;
	f->next_id = 1;
	CDS_INIT_LIST_HEAD(&f->requests);
	return f;
}

void forward_free(forward_t *f)
{
	request_t *r, *tmp;

	if (!f)
		return;
	cds_list_for_each_entry_safe (r, tmp, &f->requests, node) {
		request_free(f, r);
	}
	free(f);
}
