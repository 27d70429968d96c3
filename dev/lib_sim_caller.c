/* lib_sim_caller.c - callers, their cached addresses, and claims. */
#include "lib_sim_priv.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time in which the voters sync a claim to their disks. */
#define CLAIM_SYNC_US (2 * USEC_PER_MSEC)
/* Time until callers notice that a daemon is down. */
#define HOST_LOSS_DETECT_US (1 * USEC_PER_SEC)

bool attempt_refused_not_run(const attempt_t *attempt)
{
	const sim_request_t *r = attempt->req;

	return r->is_service_call ? r->refused_not_run == r->n_attempts
				  : attempt->refused_not_run;
}

/* --- replies ------------------------------------------------------------ */

static void request_retry(sim_t *s, sim_request_t *r, int64_t wait_us);

/*
 * Returns whether the answer is all tokens of one run, in order. Each token
 * names the attempt, its own index and the serial number of the run.
 */
static bool answer_is_complete(const attempt_t *attempt)
{
	AUTO_BUF buf_t expected = {0};
	const char *first =
		attempt->text.p ? strchr(attempt->text.p, '.') : NULL;
	const char *second = first ? strchr(first + 1, '.') : NULL;
	uint64_t serial = second ? strtoull(second + 1, NULL, 10) : 0;

	for (uint32_t i = 0; i < attempt->req->arrival->output_tokens; i++)
		buf_printf(&expected, " %" PRIu64 ".%u.%" PRIu64,
			   attempt->handle, i, serial);
	return str_eq(buf_str(&expected), buf_str(&attempt->text));
}

static void request_end(sim_t *s, sim_request_t *r, sim_request_state_t state)
{
	r->state = state;
	r->ended_us = sim_now(s);
	if (state == SIM_ANSWERED)
		sim_log(s, "answered request=%u by=%s%s", r->id, r->answered_by,
			r->ended_us > r->due_us ? " late" : "");
	else
		sim_log(s, "refused request=%u reason=%s run=%s", r->id,
			reason_info(r->reason)->name,
			run_state_name(r->run_state));
}

static void reply_done(sim_t *s, attempt_t *attempt, const serve_reply_t *rep,
		       const char *adapter)
{
	sim_request_t *r = attempt->req;
	char expected[80];

	if (r->is_service_call) {
		snprintf(expected, sizeof(expected), "ran:%s", r->key);
		if (!str_eq(buf_str(&attempt->text), str_c(expected)))
			sim_violation(s, SIM_WRONG_ANSWER, r->key);
	} else {
		if (strcmp(adapter, attempt->expected_model))
			sim_violation(s, SIM_WRONG_ADAPTER, adapter);
		if (!answer_is_complete(attempt))
			sim_violation(s, SIM_SHORT_ANSWER, adapter);
	}
	snprintf(r->answered_by, sizeof(r->answered_by), "%s", adapter);
	r->attempt_pending = false;
	if (r->state == SIM_WAITING)
		request_end(s, r, SIM_ANSWERED);
}

static void reply_fail(sim_t *s, attempt_t *attempt, const serve_reply_t *rep)
{
	sim_request_t *r = attempt->req;
	char detail[64];

	if (rep->run_state == RUN_NO) {
		attempt->refused_not_run = true;
		r->refused_not_run++;
		snprintf(detail, sizeof(detail), "request=%u", r->id);
		if (attempt_refused_not_run(attempt) &&
		    (r->is_service_call ? sim_key_run_count(s, r->key)
					: attempt->runs))
			sim_violation(s, SIM_RAN_THOUGH_REFUSED, detail);
	}
	if (rep->reason == REASON_SHUTDOWN && attempt->host->draining)
		sim_violation(s, SIM_CUT_OFF_BY_DRAIN, "");
	r->reason = rep->reason;
	r->run_state = rep->run_state;
	r->attempt_pending = false;
	if (r->state != SIM_WAITING)
		return;
	if (!s->cfg.retry || !rep->retry_ms)
		request_end(s, r, SIM_REFUSED);
	else
		request_retry(s, r, rep->retry_ms * USEC_PER_MSEC);
}

static void deliver_reply(sim_t *s, event_t *ev)
{
	attempt_t *attempt = s->p->attempts->pdata[ev->value - 1];
	serve_reply_t *rep = &ev->u.reply;

	if (attempt->final) {
		sim_violation(s, SIM_REPLY_AFTER_FINAL, ev->text);
		return;
	}
	switch (rep->kind) {
	case REPLY_HEAD:
		break;
	case REPLY_CHUNK:
		buf_put(&attempt->text, ev->data.p, ev->data.n);
		break;
	case REPLY_DONE:
		attempt->final = true;
		reply_done(s, attempt, rep, ev->text);
		break;
	case REPLY_FAIL:
		attempt->final = true;
		reply_fail(s, attempt, rep);
		break;
	}
	if (attempt->final)
		buf_free(&attempt->text);
}

void op_reply(void *ctx, uint64_t handle, const serve_reply_t *rep)
{
	sim_host_t *h = ctx;
	sim_t *s = h->sim;
	event_t *ev;

	ev = event_new(s, deliver_reply);
	ev->value = handle;
	ev->u.reply = *rep;
	buf_put(&ev->data, rep->data.p, rep->data.n);
	snprintf(ev->text, sizeof(ev->text), "%.*s", STR_ARG(rep->adapter));
	event_schedule_after(ev, s->cfg.deploy->caller_delay_us);
}

/* --- claims without state cores: a table at the leader ------------------ */

void claim_row_free(gpointer p)
{
	claim_row_t *row = p;

	free(row->holder);
	buf_free(&row->body);
	free(row);
}

/* A claim operation on its way to the leader. */
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
	if (event_host_alive(ev))
		serve_claim_result(ev->host->core, &ev->u.claim);
}

static void claim_arrives(sim_t *s, event_t *ev)
{
	claim_copy_t *c = ev->arg;
	event_t *out = event_new(s, deliver_claimed);
	claim_row_t *row;

	out->host = ev->host;
	out->generation = ev->generation;
	out->u.claim.tag = c->req.tag;
	out->u.claim.outcome = claim_apply(s, c);
	row = g_hash_table_lookup(s->p->claims, c->name);
	if (out->u.claim.outcome == CLAIM_ANSWERED) {
		out->u.claim.http_status = row->status;
		buf_put(&out->data, row->body.p, row->body.n);
	}
	event_schedule_after(out, s->cfg.deploy->zone_delay_us);
	claim_copy_free(c);
}

void op_claim(void *ctx, const claim_req_t *req)
{
	sim_host_t *h = ctx;
	claim_copy_t *c;
	event_t *ev;

	if (h->sim->cfg.with_state_cores) {
		sim_state_claim(h, req);
		return;
	}
	c = xcalloc(1, sizeof(*c));
	ev = event_new(h->sim, claim_arrives);

	c->req = *req;
	c->name = g_strdup_printf("%u %.*s", req->org_id, STR_ARG(req->key));
	c->holder = str_dup(req->holder);
	buf_put(&c->body, req->body.p, req->body.n);
	event_bind_host(ev, h);
	ev->arg = c;
	event_schedule_after(ev, 2 * h->sim->cfg.deploy->zone_delay_us +
					 CLAIM_SYNC_US);
}

/* --- callers ------------------------------------------------------------ */

static gchar *cache_key(const sim_request_t *r)
{
	return g_strdup_printf("%u %s", r->caller, r->arrival->adapter);
}

static void request_attempt(sim_t *s, sim_request_t *r);

static void request_due(sim_t *s, event_t *ev)
{
	sim_request_t *r = ev->arg;

	if (r->state == SIM_WAITING && !r->attempt_pending)
		request_attempt(s, r);
}

/* Schedules a retry, without cached addresses; refuses after the deadline. */
static void request_retry(sim_t *s, sim_request_t *r, int64_t wait_us)
{
	gchar *key = cache_key(r);
	event_t *ev;

	g_hash_table_remove(s->p->address_caches, key);
	g_free(key);
	if (sim_now(s) + wait_us >= r->due_us) {
		request_end(s, r, SIM_REFUSED);
		return;
	}
	ev = event_new(s, request_due);
	ev->arg = r;
	event_schedule_after(ev, wait_us);
}

/* The caller notices that the daemon it waits for is gone. */
static void host_loss_detected(sim_t *s, event_t *ev)
{
	attempt_t *attempt = s->p->attempts->pdata[ev->value - 1];
	sim_request_t *r = attempt->req;

	if (attempt->final)
		return;
	attempt->final = true;
	buf_free(&attempt->text);
	r->attempt_pending = false;
	r->reason = REASON_OWNER_LOST;
	r->run_state = RUN_UNKNOWN;
	if (r->state != SIM_WAITING)
		return;
	if (s->cfg.retry)
		request_retry(s, r, RETRY_SOON * USEC_PER_MSEC);
	else
		request_end(s, r, SIM_REFUSED);
}

/* Writes the adapter and version that a request gets by the tables d. */
static void expected_adapter(const decided_t *d, const arrival_t *a, char *out,
			     size_t n)
{
	const adapter_t *row = decided_adapter_by_name(d, str_c(a->adapter));
	uint32_t given_version = a->version;

	if (!given_version)
		given_version = row ? row->current_version : 0;
	snprintf(out, n, "%s@%u", a->adapter, given_version);
}

static void make_body(buf_t *body, const attempt_t *attempt)
{
	const sim_request_t *r = attempt->req;

	if (r->is_service_call)
		buf_printf(body, "{\"entry\":\"%s\"}", r->key);
	else
		buf_printf(body,
			   "{\"prompt\":\"attempt-%" PRIu64
			   " of request %u\",\"max_tokens\":%u}",
			   attempt->handle, r->id, r->arrival->output_tokens);
}

static void attempt_arrives(sim_t *s, event_t *ev)
{
	attempt_t *attempt = s->p->attempts->pdata[ev->value - 1];
	sim_request_t *r = attempt->req;
	const arrival_t *a = r->arrival;
	AUTO_BUF buf_t body = {0};
	char model[160], id[64];
	const decided_t *tables;
	const org_t *org;
	serve_req_t req = {.handle = attempt->handle};
	event_t *gone;

	if (!event_host_alive(ev)) {
		gone = event_new(s, host_loss_detected);
		gone->value = attempt->handle;
		event_schedule_after(gone, HOST_LOSS_DETECT_US);
		return;
	}
	tables = ev->host->tables ? ev->host->tables : s->tables;
	org = decided_org_by_name(tables, str_c(a->org));
	expected_adapter(tables, a, attempt->expected_model,
			 sizeof(attempt->expected_model));
	make_body(&body, attempt);
	if (a->version)
		snprintf(model, sizeof(model), "%s@%u", a->adapter, a->version);
	else
		snprintf(model, sizeof(model), "%s", a->adapter);
	snprintf(id, sizeof(id), "r%u.%" PRIu64, r->id, attempt->handle);
	req.request_id = str_c(id);
	req.org_id = org ? org->id : 0;
	req.is_call = r->is_service_call;
	req.model = r->is_service_call ? str_n(NULL, 0) : str_c(model);
	req.service = r->is_service_call ? str_c(a->adapter) : str_n(NULL, 0);
	req.path = r->is_service_call ? STR("/entries") : str_n(NULL, 0);
	req.body = buf_str(&body);
	req.prompt_tokens = a->prompt_tokens;
	req.max_tokens = a->output_tokens;
	req.priority = a->priority;
	req.deadline_us = r->due_us - s->cfg.deploy->caller_delay_us;
	req.not_repeatable = r->not_repeatable;
	req.idempotency_key = str_c(r->key);
	serve_submit(ev->host->core, &req);
}

void sim_request_send(sim_t *s, sim_request_t *r, host_id_t id)
{
	attempt_t *attempt = xcalloc(1, sizeof(*attempt));
	event_t *ev;

	if (!r->arrived_us) {
		r->arrived_us = sim_now(s);
		r->due_us = r->arrived_us + r->arrival->deadline_us;
	}
	g_ptr_array_add(s->p->attempts, attempt);
	attempt->handle = s->p->attempts->len;
	attempt->req = r;
	attempt->host = sim_host(s, id);
	attempt->generation = attempt->host->generation;
	attempt->sent_us = sim_now(s);
	r->n_attempts++;
	r->attempt_pending = true;
	ev = event_new(s, attempt_arrives);
	event_bind_host(ev, attempt->host);
	ev->value = attempt->handle;
	event_schedule_after(ev, s->cfg.deploy->caller_delay_us);
}

static void send_to_cached(sim_t *s, sim_request_t *r,
			   const address_cache_t *cache)
{
	sim_request_send(s, r, cache->host[r->n_attempts % cache->n]);
}

static void addresses_arrive(sim_t *s, event_t *ev)
{
	sim_request_t *r = ev->arg;
	address_cache_t *cache = xcalloc(1, sizeof(*cache));
	serve_addr_t addr[CACHED_ADDRESSES_MAX];
	decided_t *d = NULL;

	r->attempt_pending = false;
	if (event_host_alive(ev)) {
		cache->n = serve_addresses(ev->host->core,
					   str_c(r->arrival->adapter), addr,
					   CACHED_ADDRESSES_MAX, &d);
		for (size_t i = 0; i < cache->n; i++)
			cache->host[i] = addr[i].host;
		decided_unref(d);
	}
	if (!cache->n && r->is_service_call && event_host_alive(ev))
		cache->host[cache->n++] = ev->host->id;
	if (!cache->n) {
		free(cache);
		r->reason = REASON_NO_OWNER;
		r->run_state = RUN_NO;
		request_retry(s, r, RETRY_SOON * USEC_PER_MSEC);
		return;
	}
	cache->until_us = sim_now(s) + s->cfg.serve.address_ttl_us;
	g_hash_table_insert(s->p->address_caches, cache_key(r), cache);
	r->attempt_pending = true;
	send_to_cached(s, r, cache);
}

/* Asks a random daemon for addresses of the request's model. */
static void ask_addresses(sim_t *s, sim_request_t *r)
{
	sim_host_t *h = &s->hosts[g_rand_int_range(s->callers_rand, 0,
						   (gint32)s->n_hosts)];
	event_t *ev = event_new(s, addresses_arrive);

	event_bind_host(ev, h);
	ev->arg = r;
	r->attempt_pending = true;
	event_schedule_after(ev, h->core ? 2 * s->cfg.deploy->caller_delay_us
					 : HOST_LOSS_DETECT_US);
}

static void request_attempt(sim_t *s, sim_request_t *r)
{
	gchar *key = cache_key(r);
	const address_cache_t *cache =
		g_hash_table_lookup(s->p->address_caches, key);

	if (!r->arrived_us) {
		r->arrived_us = sim_now(s);
		r->due_us = r->arrived_us + r->arrival->deadline_us;
	}
	if (cache && cache->until_us > sim_now(s))
		send_to_cached(s, r, cache);
	else
		ask_addresses(s, r);
	g_free(key);
}

sim_request_t *sim_request_new(sim_t *s, const arrival_t *a)
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
	event_t *ev = event_new(s, request_due);

	ev->arg = r;
	event_schedule_at(ev, r->arrival->at_us);
}

sim_request_t *sim_request(sim_t *s, const arrival_t *a)
{
	sim_request_t *r = sim_request_new(s, a);

	sim_request_start(s, r);
	return r;
}

bool callers_waiting_for(sim_t *s, const sim_host_t *h)
{
	for (guint i = 0; i < s->p->attempts->len; i++) {
		const attempt_t *attempt = s->p->attempts->pdata[i];

		if (!attempt->final && attempt->host == h &&
		    attempt->generation == h->generation)
			return true;
	}
	return false;
}

void callers_notice_host_loss(sim_t *s, sim_host_t *h)
{
	for (guint i = 0; i < s->p->attempts->len; i++) {
		attempt_t *attempt = s->p->attempts->pdata[i];
		event_t *ev;

		if (attempt->final || attempt->host != h)
			continue;
		ev = event_new(s, host_loss_detected);
		ev->value = attempt->handle;
		event_schedule_after(ev, HOST_LOSS_DETECT_US);
	}
}

void claim_event_free_arg(event_t *ev)
{
	if (ev->fn == claim_arrives)
		claim_copy_free(ev->arg);
}
