/* lib_sim_caller.c - callers, their kept addresses, and claims. */
#include "lib_sim_priv.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SYNC_US (2 * USEC_PER_MSEC)  /* of a claim at the voters */
#define DETECT_US (1 * USEC_PER_SEC) /* until callers see a lost daemon */

bool submit_refused_whole(const submit_t *sub)
{
	const sim_request_t *r = sub->req;

	return r->call ? r->refused_not_run == r->attempts
		       : sub->refused_not_run;
}

/* --- replies ------------------------------------------------------------ */

static void request_again(sim_t *s, sim_request_t *r, int64_t wait_us);

/* All tokens of one run, in order: no run's answer is like another's. */
static bool text_is_whole(const submit_t *sub)
{
	AUTO_BUF buf_t expected = {0};
	const char *first = sub->text.p ? strchr(sub->text.p, '.') : NULL;
	const char *second = first ? strchr(first + 1, '.') : NULL;
	uint64_t serial = second ? strtoull(second + 1, NULL, 10) : 0;

	for (uint32_t i = 0; i < sub->req->arrival->output_tokens; i++)
		buf_printf(&expected, " %" PRIu64 ".%u.%" PRIu64, sub->handle,
			   i, serial);
	return str_eq(buf_str(&expected), buf_str(&sub->text));
}

static void request_end(sim_t *s, sim_request_t *r, sim_state_t state)
{
	r->state = state;
	r->ended_us = sim_now(s);
	if (state == SIM_ANSWERED)
		sim_log(s, "answered request=%u by=%s%s", r->id, r->answered_by,
			r->ended_us > r->due_us ? " late" : "");
	else
		sim_log(s, "refused request=%u reason=%s run=%s", r->id,
			reason_info(r->reason)->name, run_state_name(r->run));
}

static void reply_done(sim_t *s, submit_t *sub, const serve_reply_t *rep,
		       const char *adapter)
{
	sim_request_t *r = sub->req;
	char expected[80];

	if (r->call) {
		snprintf(expected, sizeof(expected), "ran:%s", r->key);
		if (!str_eq(buf_str(&sub->text), str_c(expected)))
			sim_violation(s, SIM_WRONG_ANSWER, r->key);
	} else {
		if (strcmp(adapter, sub->expect))
			sim_violation(s, SIM_WRONG_ADAPTER, adapter);
		if (!text_is_whole(sub))
			sim_violation(s, SIM_SHORT_ANSWER, adapter);
	}
	snprintf(r->answered_by, sizeof(r->answered_by), "%s", adapter);
	r->expecting = false;
	if (r->state == SIM_WAITING)
		request_end(s, r, SIM_ANSWERED);
}

static void reply_fail(sim_t *s, submit_t *sub, const serve_reply_t *rep)
{
	sim_request_t *r = sub->req;
	char what[64];

	if (rep->run_state == RUN_NO) {
		sub->refused_not_run = true;
		r->refused_not_run++;
		snprintf(what, sizeof(what), "request=%u", r->id);
		if (submit_refused_whole(sub) &&
		    (r->call ? sim_runs_of_key(s, r->key) : sub->runs))
			sim_violation(s, SIM_RAN_THOUGH_REFUSED, what);
	}
	if (rep->reason == REASON_SHUTDOWN && sub->host->draining)
		sim_violation(s, SIM_CUT_OFF_BY_DRAIN, "");
	r->reason = rep->reason;
	r->run = rep->run_state;
	r->expecting = false;
	if (r->state != SIM_WAITING)
		return;
	if (!s->cfg.retry || !rep->retry_ms)
		request_end(s, r, SIM_REFUSED);
	else
		request_again(s, r, rep->retry_ms * USEC_PER_MSEC);
}

static void deliver_reply(sim_t *s, event_t *ev)
{
	submit_t *sub = s->p->submits->pdata[ev->x - 1];
	serve_reply_t *rep = &ev->u.reply;

	if (sub->final) {
		sim_violation(s, SIM_REPLY_AFTER_FINAL, ev->text);
		return;
	}
	switch (rep->kind) {
	case REPLY_HEAD:
		break;
	case REPLY_CHUNK:
		buf_put(&sub->text, ev->data.p, ev->data.n);
		break;
	case REPLY_DONE:
		sub->final = true;
		reply_done(s, sub, rep, ev->text);
		break;
	case REPLY_FAIL:
		sub->final = true;
		reply_fail(s, sub, rep);
		break;
	}
	if (sub->final)
		buf_free(&sub->text);
}

void op_reply(void *ctx, uint64_t handle, const serve_reply_t *rep)
{
	sim_host_t *h = ctx;
	sim_t *s = h->sim;
	event_t *ev;

	ev = event_new(s, deliver_reply);
	ev->x = handle;
	ev->u.reply = *rep;
	buf_put(&ev->data, rep->data.p, rep->data.n);
	snprintf(ev->text, sizeof(ev->text), "%.*s", STR_ARG(rep->adapter));
	event_after(ev, s->cfg.deploy->caller_delay_us);
}
/* --- claims: a map at the leader ---------------------------------------- */

void claim_row_free(gpointer p)
{
	claim_row_t *row = p;

	free(row->holder);
	buf_free(&row->body);
	free(row);
}

typedef struct claim_copy {
	claim_req_t req;
	gchar *name;
	char *holder;
	buf_t body;
} claim_copy_t;

static void claim_copy_free(claim_copy_t *c)
{
	g_free(c->name);
	free(c->holder);
	buf_free(&c->body);
	free(c);
}

static claim_outcome_t claim_take(sim_t *s, const claim_copy_t *c,
				  claim_row_t *row)
{
	if (!row) {
		row = xcalloc(1, sizeof(*row));
		row->holder = str_dup(str_c(c->holder));
		row->body_hash = c->req.body_hash;
		g_hash_table_insert(s->p->claims, g_strdup(c->name), row);
		return CLAIM_GRANTED;
	}
	if (row->body_hash != c->req.body_hash)
		return CLAIM_BODY_MISMATCH;
	if (row->state == ROW_ANSWERED)
		return CLAIM_ANSWERED;
	if (row->state == ROW_UNKNOWN)
		return CLAIM_OUTCOME_UNKNOWN;
	return strcmp(row->holder, c->holder) ? CLAIM_IN_PROGRESS
					      : CLAIM_GRANTED;
}

static claim_outcome_t claim_apply(sim_t *s, const claim_copy_t *c)
{
	claim_row_t *row = g_hash_table_lookup(s->p->claims, c->name);

	if (c->req.op == CLAIM_OP_TAKE)
		return claim_take(s, c, row);
	if (!row || strcmp(row->holder, c->holder))
		return CLAIM_NOT_APPLIED;
	if (c->req.op == CLAIM_OP_RELEASE) {
		g_hash_table_remove(s->p->claims, c->name);
	} else if (c->req.op == CLAIM_OP_ANSWER) {
		row->state = ROW_ANSWERED;
		row->status = c->req.http_status;
		buf_reset(&row->body);
		buf_put(&row->body, c->body.p, c->body.n);
	} else if (row->state == ROW_TAKEN) {
		row->state = ROW_UNKNOWN;
	}
	return CLAIM_RECORDED;
}

static void deliver_claimed(sim_t *s, event_t *ev)
{
	ev->u.claim.body = buf_str(&ev->data);
	if (event_host_there(ev))
		serve_claim_result(ev->host->core, &ev->u.claim);
}

static void claim_arrives(sim_t *s, event_t *ev)
{
	claim_copy_t *c = ev->p;
	event_t *out = event_new(s, deliver_claimed);
	claim_row_t *row;

	out->host = ev->host;
	out->life = ev->life;
	out->u.claim.tag = c->req.tag;
	out->u.claim.outcome = claim_apply(s, c);
	row = g_hash_table_lookup(s->p->claims, c->name);
	if (out->u.claim.outcome == CLAIM_ANSWERED) {
		out->u.claim.http_status = row->status;
		buf_put(&out->data, row->body.p, row->body.n);
	}
	event_after(out, s->cfg.deploy->zone_delay_us);
	claim_copy_free(c);
}

void op_claim(void *ctx, const claim_req_t *req)
{
	sim_host_t *h = ctx;
	claim_copy_t *c;
	event_t *ev;

	if (h->sim->cfg.state) {
		state_claim_at(h, req);
		return;
	}
	c = xcalloc(1, sizeof(*c));
	ev = event_new(h->sim, claim_arrives);

	c->req = *req;
	c->name = g_strdup_printf("%u %.*s", req->org_id, STR_ARG(req->key));
	c->holder = str_dup(req->holder);
	buf_put(&c->body, req->body.p, req->body.n);
	event_to_host(ev, h);
	ev->p = c;
	event_after(ev, 2 * h->sim->cfg.deploy->zone_delay_us + SYNC_US);
}

/* --- callers ------------------------------------------------------------ */

static gchar *kept_key(const sim_request_t *r)
{
	return g_strdup_printf("%u %s", r->caller, r->arrival->adapter);
}

static void request_go(sim_t *s, sim_request_t *r);

static void again_due(sim_t *s, event_t *ev)
{
	sim_request_t *r = ev->p;

	if (r->state == SIM_WAITING && !r->expecting)
		request_go(s, r);
}

static void request_again(sim_t *s, sim_request_t *r, int64_t wait_us)
{
	gchar *key = kept_key(r);
	event_t *ev;

	g_hash_table_remove(s->p->kept, key);
	g_free(key);
	if (sim_now(s) + wait_us >= r->due_us) {
		request_end(s, r, SIM_REFUSED);
		return;
	}
	ev = event_new(s, again_due);
	ev->p = r;
	event_after(ev, wait_us);
}

/* The caller sees that the daemon it waited for is gone. */
static void daemon_gone(sim_t *s, event_t *ev)
{
	submit_t *sub = s->p->submits->pdata[ev->x - 1];
	sim_request_t *r = sub->req;

	if (sub->final)
		return;
	sub->final = true;
	buf_free(&sub->text);
	r->expecting = false;
	r->reason = REASON_OWNER_LOST;
	r->run = RUN_UNKNOWN;
	if (r->state != SIM_WAITING)
		return;
	if (s->cfg.retry)
		request_again(s, r, RETRY_SOON * USEC_PER_MSEC);
	else
		request_end(s, r, SIM_REFUSED);
}

/* The adapter and version by the tables in force at the daemon. */
static void expected_adapter(const decided_t *d, const arrival_t *a, char *out,
			     size_t n)
{
	const adapter_t *row = decided_adapter_by_name(d, str_c(a->adapter));
	uint32_t v = a->version;

	if (!v)
		v = row ? row->current_version : 0;
	snprintf(out, n, "%s@%u", a->adapter, v);
}

static void make_body(buf_t *body, const submit_t *sub)
{
	const sim_request_t *r = sub->req;

	if (r->call)
		buf_printf(body, "{\"entry\":\"%s\"}", r->key);
	else
		buf_printf(body,
			   "{\"prompt\":\"attempt-%" PRIu64
			   " of request %u\",\"max_tokens\":%u}",
			   sub->handle, r->id, r->arrival->output_tokens);
}

static void submit_arrives(sim_t *s, event_t *ev)
{
	submit_t *sub = s->p->submits->pdata[ev->x - 1];
	sim_request_t *r = sub->req;
	const arrival_t *a = r->arrival;
	AUTO_BUF buf_t body = {0};
	char model[160], id[64];
	const decided_t *tables;
	const org_t *org;
	serve_req_t req = {.handle = sub->handle};
	event_t *gone;

	if (!event_host_there(ev)) {
		gone = event_new(s, daemon_gone);
		gone->x = sub->handle;
		event_after(gone, DETECT_US);
		return;
	}
	tables = ev->host->tables ? ev->host->tables : s->tables;
	org = decided_org_by_name(tables, str_c(a->org));
	expected_adapter(tables, a, sub->expect, sizeof(sub->expect));
	make_body(&body, sub);
	if (a->version)
		snprintf(model, sizeof(model), "%s@%u", a->adapter, a->version);
	else
		snprintf(model, sizeof(model), "%s", a->adapter);
	snprintf(id, sizeof(id), "r%u.%" PRIu64, r->id, sub->handle);
	req.request_id = str_c(id);
	req.org_id = org ? org->id : 0;
	req.is_call = r->call;
	req.model = r->call ? str_n(NULL, 0) : str_c(model);
	req.service = r->call ? str_c(a->adapter) : str_n(NULL, 0);
	req.path = r->call ? STR("/entries") : str_n(NULL, 0);
	req.body = buf_str(&body);
	req.prompt_tokens = a->prompt_tokens;
	req.max_tokens = a->output_tokens;
	req.priority = a->priority;
	req.deadline_us = r->due_us - s->cfg.deploy->caller_delay_us;
	req.not_repeatable = r->not_repeatable;
	req.idempotency_key = str_c(r->key);
	serve_submit(ev->host->core, &req);
}

void sim_send(sim_t *s, sim_request_t *r, host_id_t id)
{
	submit_t *sub = xcalloc(1, sizeof(*sub));
	event_t *ev;

	if (!r->arrived_us) {
		r->arrived_us = sim_now(s);
		r->due_us = r->arrived_us + r->arrival->deadline_us;
	}
	g_ptr_array_add(s->p->submits, sub);
	sub->handle = s->p->submits->len;
	sub->req = r;
	sub->host = sim_host(s, id);
	sub->life = sub->host->life;
	sub->sent_us = sim_now(s);
	r->attempts++;
	r->expecting = true;
	ev = event_new(s, submit_arrives);
	event_to_host(ev, sub->host);
	ev->x = sub->handle;
	event_after(ev, s->cfg.deploy->caller_delay_us);
}

static void send_to_kept(sim_t *s, sim_request_t *r, const kept_t *k)
{
	sim_send(s, r, k->host[r->attempts % k->n]);
}

static void addresses_come(sim_t *s, event_t *ev)
{
	sim_request_t *r = ev->p;
	kept_t *k = xcalloc(1, sizeof(*k));
	serve_addr_t addr[ADDRESSES_MAX];
	decided_t *d = NULL;

	r->expecting = false;
	if (event_host_there(ev)) {
		k->n = serve_addresses(ev->host->core,
				       str_c(r->arrival->adapter), addr,
				       ADDRESSES_MAX, &d);
		for (size_t i = 0; i < k->n; i++)
			k->host[i] = addr[i].host;
		decided_unref(d);
	}
	if (!k->n && r->call && event_host_there(ev))
		k->host[k->n++] = ev->host->id;
	if (!k->n) {
		free(k);
		r->reason = REASON_NO_OWNER;
		r->run = RUN_NO;
		request_again(s, r, RETRY_SOON * USEC_PER_MSEC);
		return;
	}
	k->until_us = sim_now(s) + s->cfg.serve.address_ttl_us;
	g_hash_table_insert(s->p->kept, kept_key(r), k);
	r->expecting = true;
	send_to_kept(s, r, k);
}

static void ask_addresses(sim_t *s, sim_request_t *r)
{
	sim_host_t *h = &s->hosts[g_rand_int_range(s->callers_rand, 0,
						   (gint32)s->n_hosts)];
	event_t *ev = event_new(s, addresses_come);

	event_to_host(ev, h);
	ev->p = r;
	r->expecting = true;
	event_after(ev,
		    h->core ? 2 * s->cfg.deploy->caller_delay_us : DETECT_US);
}

static void request_go(sim_t *s, sim_request_t *r)
{
	gchar *key = kept_key(r);
	const kept_t *k = g_hash_table_lookup(s->p->kept, key);

	if (!r->arrived_us) {
		r->arrived_us = sim_now(s);
		r->due_us = r->arrived_us + r->arrival->deadline_us;
	}
	if (k && k->until_us > sim_now(s))
		send_to_kept(s, r, k);
	else
		ask_addresses(s, r);
	g_free(key);
}

sim_request_t *sim_request_make(sim_t *s, const arrival_t *a)
{
	sim_request_t *r = xcalloc(1, sizeof(*r));
	guint callers = (guint)MAX(s->cfg.deploy->callers, 1);

	r->id = s->requests->len + 1;
	r->arrival = a;
	r->caller = g_str_hash(a->org) % callers;
	r->caller = (r->caller + r->id) % callers;
	g_ptr_array_add(s->requests, r);
	return r;
}

void sim_request_start(sim_t *s, sim_request_t *r)
{
	event_t *ev = event_new(s, again_due);

	ev->p = r;
	event_at(ev, r->arrival->at_us);
}

sim_request_t *sim_request(sim_t *s, const arrival_t *a)
{
	sim_request_t *r = sim_request_make(s, a);

	sim_request_start(s, r);
	return r;
}

bool callers_wait_for(sim_t *s, const sim_host_t *h)
{
	for (guint i = 0; i < s->p->submits->len; i++) {
		const submit_t *sub = s->p->submits->pdata[i];

		if (!sub->final && sub->host == h && sub->life == h->life)
			return true;
	}
	return false;
}

void callers_lose_host(sim_t *s, sim_host_t *h)
{
	for (guint i = 0; i < s->p->submits->len; i++) {
		submit_t *sub = s->p->submits->pdata[i];
		event_t *ev;

		if (sub->final || sub->host != h)
			continue;
		ev = event_new(s, daemon_gone);
		ev->x = sub->handle;
		event_after(ev, DETECT_US);
	}
}

void claim_event_drop(event_t *ev)
{
	if (ev->fn == claim_arrives)
		claim_copy_free(ev->p);
}
