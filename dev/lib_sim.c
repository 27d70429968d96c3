/* lib_sim.c - serving cores, engines, store and callers in virtual time. */
#include "lib_sim.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SYNC_US (2 * USEC_PER_MSEC)  /* of a claim at the voters */
#define DETECT_US (1 * USEC_PER_SEC) /* until callers see a lost daemon */
#define LEASE_US (1500 * USEC_PER_MSEC)
#define DRIFT_US (50 * USEC_PER_MSEC)
#define FOREVER_US (INT64_MAX / 4)
#define CHUNK_TOKENS 8u
#define PREFILL_TOKENS_PER_STEP 2048u
#define OVERSUBSCRIBED_SHARE 0.8
#define KEEP_RUN_US (30 * USEC_PER_SEC)
#define RELOAD_WINDOW_US (60 * USEC_PER_SEC)
#define ADDRESSES_MAX 4u
/* After a target said it leaves, new work counts as a broken promise. */
#define LEAVING_BOUND_US (5 * USEC_PER_SEC)
#define OUTCOME_BOUND_US (30 * USEC_PER_SEC)

const char *sim_violation_name(sim_violation_t v)
{
	static const char *const names[] = {
#define X(name, str) str,
		SIM_VIOLATIONS(X)
#undef X
	};

	return v < SIM_VIOLATION_COUNT ? names[v] : "none";
}

/* One attempt of a request at one daemon. */
typedef struct submit {
	uint64_t handle; /* index + 1 in p->submits */
	sim_request_t *req;
	sim_host_t *host;
	uint32_t life;
	char expect[160]; /* adapter@version decided when it was accepted */
	uint32_t runs;
	bool final;
	bool refused_not_run;
	buf_t text;
} submit_t;

/* An order as the port keeps it; freed with its run, load or event. */
typedef struct order {
	engine_order_t o; /* strings point into the copies below */
	sim_host_t *host;
	uint32_t life;
	char *adapter, *run_id, *body, *key;
} order_t;

typedef struct sim_run {
	struct cds_list_head node;
	order_t *order; /* whom the answer goes to; NULL once it ended */
	char *id, *adapter;
	uint64_t submit; /* handle of the attempt that it runs for */
	uint32_t max_tokens, tokens, prefill_steps;
	int32_t priority;
	bool running, head_sent, stalled;
	uint32_t drop_at; /* tokens after which the stream breaks; 0: none */
	size_t sent;
	uint32_t sent_tokens;
	buf_t text;
	int64_t ended_us;
	bool whole;
} sim_run_t;

/* A load on its way through the store. */
typedef struct load {
	struct cds_list_head node;
	sim_engine_t *engine;
	order_t *order;
	uint64_t boot_id;
	double left_us;
} load_t;

typedef struct kept {
	host_id_t host[ADDRESSES_MAX];
	size_t n;
	int64_t until_us;
} kept_t;

typedef struct claim_row {
	char *holder;
	uint64_t body_hash;
	enum {
		ROW_TAKEN,
		ROW_ANSWERED,
		ROW_UNKNOWN
	} state;
	int status;
	buf_t body;
} claim_row_t;

typedef struct event event_t;
typedef void (*event_fn_t)(sim_t *s, event_t *ev);

/* Something that happens later; freed after it happened. */
struct event {
	struct cds_list_head node;
	timer_sub_t sub;
	sim_t *sim;
	event_fn_t fn;
	sim_host_t *host;
	uint32_t life;
	sim_engine_t *engine;
	void *p; /* owned by what fn says */
	uint64_t x;
	buf_t data;
	union {
		engine_event_t engine_event;
		serve_reply_t reply;
		claim_result_t claim;
	} u;
	char text[160];
};

struct sim_private {
	struct cds_list_head events;
	struct cds_list_head loads;
	event_t *load_event; /* end of the next load; NULL: none */
	int64_t loads_at_us;
	GPtrArray *submits;
	GHashTable *kept;     /* "caller model" -> kept_t */
	GHashTable *claims;   /* "org key" -> claim_row_t */
	GHashTable *key_runs; /* key -> count */
	GHashTable *evicted;  /* adapter -> int64_t of the last eviction */
	uint64_t next_boot;
	bool log_orders;
};

int64_t sim_now(const sim_t *s)
{
	return timer_svc_now(s->timers);
}

void sim_run_until(sim_t *s, int64_t us)
{
	timer_svc_run_until(s->timers, us);
}

void sim_log(sim_t *s, const char *fmt, ...)
{
	char line[512];
	va_list ap;

	if (!s->cfg.log)
		return;
	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	s->cfg.log(s->cfg.log_ctx, sim_now(s), line);
}

static void violation(sim_t *s, sim_violation_t v, const char *detail)
{
	s->violations[v]++;
	sim_log(s, "violation %s %s", sim_violation_name(v), detail);
}

/* --- events ------------------------------------------------------------- */

static void event_fire(void *ctx, int64_t now)
{
	event_t *ev = ctx;

	cds_list_del(&ev->node);
	ev->fn(ev->sim, ev);
	buf_free(&ev->data);
	free(ev);
}

static event_t *event_new(sim_t *s, event_fn_t fn)
{
	event_t *ev = xcalloc(1, sizeof(*ev));

	ev->sim = s;
	ev->fn = fn;
	timer_sub_init(&ev->sub, event_fire, ev);
	cds_list_add_tail(&ev->node, &s->p->events);
	return ev;
}

static void event_at(event_t *ev, int64_t us)
{
	timer_svc_arm(ev->sim->timers, &ev->sub, us);
}

static void event_after(event_t *ev, int64_t us)
{
	event_at(ev, sim_now(ev->sim) + us);
}

static void event_to_host(event_t *ev, sim_host_t *h)
{
	ev->host = h;
	ev->life = h->life;
}

/* The daemon that the event was meant for still runs and is reachable. */
static bool host_there(const event_t *ev)
{
	return ev->host->core && ev->host->life == ev->life &&
	       !ev->host->silent;
}

static int64_t zone_delay(const sim_t *s, size_t a, size_t b)
{
	return a == b ? s->cfg.deploy->local_delay_us
		      : s->cfg.deploy->zone_delay_us;
}

static sim_host_t *host_of(sim_t *s, host_id_t id)
{
	return id && id <= s->n_hosts ? &s->hosts[id - 1] : NULL;
}

/* --- from engines to owners --------------------------------------------- */

static order_t *order_copy(sim_host_t *h, const engine_order_t *o)
{
	order_t *c = xcalloc(1, sizeof(*c));

	c->o = *o;
	c->host = h;
	c->life = h->life;
	c->adapter = str_dup(o->adapter);
	c->run_id = str_dup(o->run_id);
	c->body = str_dup(o->body);
	c->key = str_dup(o->idempotency_key);
	return c;
}

static void order_free(order_t *c)
{
	if (!c)
		return;
	free(c->adapter);
	free(c->run_id);
	free(c->body);
	free(c->key);
	free(c);
}

static void deliver_engine_event(sim_t *s, event_t *ev)
{
	engine_event_t *e = &ev->u.engine_event;
	engine_resident_t *resident = ev->p;

	if (host_there(ev)) {
		e->data = buf_str(&ev->data);
		e->served_by = str_c(ev->text);
		e->resident = resident;
		serve_engine_event(ev->host->core, e);
	}
	for (size_t i = 0; i < e->n_resident; i++)
		str_free(&resident[i].adapter);
	free(resident);
}

/* An event of the order on its way to the owner; armed by the caller. */
static event_t *engine_event(sim_t *s, sim_engine_t *e, const order_t *o,
			     engine_event_kind_t kind)
{
	event_t *ev = event_new(s, deliver_engine_event);
	engine_event_t *x = &ev->u.engine_event;

	ev->host = o->host;
	ev->life = o->life;
	x->order_id = o->o.id;
	x->target = e->id;
	x->kind = kind;
	x->boot_id = e->boot_id;
	return ev;
}

static void engine_send(event_t *ev, const sim_engine_t *e)
{
	event_after(ev, zone_delay(ev->sim, e->zone, ev->host->zone));
}

static void engine_fail(sim_t *s, sim_engine_t *e, const order_t *o,
			reason_t reason, int status, bool sent)
{
	event_t *ev = engine_event(s, e, o, EVENT_FAILED);

	ev->u.engine_event.reason = reason;
	ev->u.engine_event.http_status = status;
	ev->u.engine_event.sent = sent;
	ev->u.engine_event.target_leaving = e->leaving;
	engine_send(ev, e);
}

static void engine_done(sim_t *s, sim_engine_t *e, const order_t *o)
{
	engine_send(engine_event(s, e, o, EVENT_DONE), e);
}

/* --- slots of an engine ------------------------------------------------- */

static sim_slot_t *slot_find(sim_engine_t *e, const char *adapter)
{
	for (uint32_t i = 0; i < e->n_slots; i++)
		if (e->slots[i].adapter &&
		    !strcmp(e->slots[i].adapter, adapter))
			return &e->slots[i];
	return NULL;
}

static sim_slot_t *slot_free(sim_engine_t *e)
{
	for (uint32_t i = 0; i < e->n_slots; i++)
		if (!e->slots[i].adapter)
			return &e->slots[i];
	return NULL;
}

static void slot_clear(sim_slot_t *slot)
{
	free(slot->adapter);
	memset(slot, 0, sizeof(*slot));
}

static uint32_t runs_on(sim_engine_t *e, const char *adapter)
{
	uint32_t n = 0;
	sim_run_t *r;

	cds_list_for_each_entry (r, &e->runs, node)
		if (!adapter || !strcmp(r->adapter, adapter))
			n++;
	return n;
}

/* --- the weight store --------------------------------------------------- */

static double store_speed(const sim_t *s)
{
	double n = 0, c = (double)s->cfg.deploy->store_concurrency;
	load_t *l;

	cds_list_for_each_entry (l, &s->p->loads, node)
		n++;
	if (n <= c)
		return 1 / s->store_factor;
	return OVERSUBSCRIBED_SHARE * c / n / s->store_factor;
}

static void store_advance(sim_t *s)
{
	double passed = (double)(sim_now(s) - s->p->loads_at_us);
	double speed = store_speed(s);
	load_t *l;

	cds_list_for_each_entry (l, &s->p->loads, node)
		l->left_us -= passed * speed;
	s->p->loads_at_us = sim_now(s);
}

static void loads_due(sim_t *s, event_t *ev);

static void store_schedule(sim_t *s)
{
	double least = -1;
	load_t *l;

	cds_list_for_each_entry (l, &s->p->loads, node)
		if (least < 0 || l->left_us < least)
			least = l->left_us;
	if (least < 0)
		return;
	if (!s->p->load_event)
		s->p->load_event = event_new(s, loads_due);
	event_after(s->p->load_event,
		    (int64_t)(MAX(least, 0) / store_speed(s)) + 1);
}

static void load_end(sim_t *s, load_t *l)
{
	sim_engine_t *e = l->engine;
	sim_slot_t *slot = slot_find(e, l->order->adapter);
	bool failed = s->load_failure_share > 0 &&
		      g_rand_double(s->rand) < s->load_failure_share;

	if (e->down || l->boot_id != e->boot_id || !slot)
		return; /* its failure was told when the engine went */
	if (!failed && e->faults.fail_loads) {
		e->faults.fail_loads--;
		failed = true;
	}
	if (failed) {
		slot_clear(slot);
		engine_fail(s, e, l->order, REASON_LOAD_FAILED, 500, true);
		return;
	}
	slot->loading = false;
	slot->resident_us = sim_now(s);
	sim_log(s, "loaded %s on %s", slot->adapter, e->name);
	engine_done(s, e, l->order);
}

static void loads_due(sim_t *s, event_t *ev)
{
	load_t *l, *next;

	s->p->load_event = NULL;
	store_advance(s);
	cds_list_for_each_entry_safe (l, next, &s->p->loads, node) {
		if (l->left_us > 0.5)
			continue;
		cds_list_del(&l->node);
		load_end(s, l);
		order_free(l->order);
		free(l);
	}
	store_schedule(s);
}

static void count_load(sim_t *s, const char *adapter)
{
	int64_t *at = g_hash_table_lookup(s->p->evicted, adapter);

	s->figures.loads++;
	if (at && *at > sim_now(s) - RELOAD_WINDOW_US)
		s->figures.reloads_60s++;
}

static void count_eviction(sim_t *s, const char *adapter)
{
	int64_t *at = xmalloc(sizeof(*at));

	*at = sim_now(s);
	s->figures.evictions++;
	g_hash_table_insert(s->p->evicted, g_strdup(adapter), at);
}

static bool order_load(sim_t *s, sim_engine_t *e, order_t *o)
{
	sim_slot_t *slot = slot_find(e, o->adapter);
	load_t *l;

	if (slot && !slot->loading) {
		engine_done(s, e, o);
		return false;
	}
	if (slot || !slot_free(e)) {
		engine_fail(s, e, o, REASON_LOAD_FAILED, 409, true);
		return false;
	}
	slot = slot_free(e);
	slot->adapter = str_dup(str_c(o->adapter));
	slot->loading = true;
	count_load(s, o->adapter);
	store_advance(s);
	l = xcalloc(1, sizeof(*l));
	l->engine = e;
	l->order = o;
	l->boot_id = e->boot_id;
	l->left_us = (double)s->cfg.deploy->load_ms * USEC_PER_MSEC;
	cds_list_add_tail(&l->node, &s->p->loads);
	store_schedule(s);
	return true;
}

static void order_unload(sim_t *s, sim_engine_t *e, order_t *o)
{
	sim_slot_t *slot = slot_find(e, o->adapter);

	if (slot && runs_on(e, o->adapter)) {
		violation(s, SIM_EVICTED_RUNNING, o->adapter);
		engine_fail(s, e, o, REASON_TARGET_REFUSED, 409, true);
		return;
	}
	if (slot && slot->loading) {
		engine_fail(s, e, o, REASON_TARGET_REFUSED, 409, true);
		return;
	}
	if (slot) {
		count_eviction(s, o->adapter);
		sim_log(s, "evicted %s from %s", o->adapter, e->name);
		slot_clear(slot);
	}
	engine_done(s, e, o);
}

/* --- runs --------------------------------------------------------------- */

static void run_free(sim_run_t *r)
{
	order_free(r->order);
	free(r->id);
	free(r->adapter);
	buf_free(&r->text);
	free(r);
}

static void run_flush(sim_t *s, sim_engine_t *e, sim_run_t *r)
{
	event_t *ev;

	if (!r->order || r->stalled)
		return;
	if (!r->head_sent) {
		ev = engine_event(s, e, r->order, EVENT_HEAD);
		ev->u.engine_event.http_status = 200;
		snprintf(ev->text, sizeof(ev->text), "%s", r->adapter);
		engine_send(ev, e);
		r->head_sent = true;
	}
	if (r->text.n == r->sent)
		return;
	ev = engine_event(s, e, r->order, EVENT_CHUNK);
	ev->u.engine_event.offset = r->sent;
	ev->u.engine_event.tokens = r->tokens - r->sent_tokens;
	buf_put(&ev->data, r->text.p + r->sent, r->text.n - r->sent);
	r->sent = r->text.n;
	r->sent_tokens = r->tokens;
	engine_send(ev, e);
}

/* Takes the run off the batch; its order is told apart. */
static void run_end(sim_t *s, sim_engine_t *e, sim_run_t *r, bool whole)
{
	cds_list_del(&r->node);
	cds_list_add_tail(&r->node, &e->ended);
	r->ended_us = sim_now(s);
	r->whole = whole;
	r->running = false;
}

static void run_detach(sim_run_t *r)
{
	order_free(r->order);
	r->order = NULL;
}

static void run_break(sim_t *s, sim_engine_t *e, sim_run_t *r, reason_t reason,
		      int64_t after_us)
{
	event_t *ev;

	if (!r->order)
		return;
	ev = engine_event(s, e, r->order, EVENT_FAILED);
	ev->u.engine_event.reason = reason;
	ev->u.engine_event.sent = true;
	event_after(ev,
		    after_us + zone_delay(s, e->zone, r->order->host->zone));
	run_detach(r);
}

static void forget_ended(sim_t *s, sim_engine_t *e)
{
	sim_run_t *r, *next;

	cds_list_for_each_entry_safe (r, next, &e->ended, node) {
		if (r->ended_us > sim_now(s) - KEEP_RUN_US)
			return;
		cds_list_del(&r->node);
		run_free(r);
	}
}

static uint32_t batch_max(const sim_t *s)
{
	return (uint32_t)s->cfg.deploy->max_batch;
}

/* Admits waiting runs, the most urgent first; the number that runs. */
static uint32_t admit(sim_t *s, sim_engine_t *e)
{
	uint32_t n = 0;
	sim_run_t *r, *best;

	cds_list_for_each_entry (r, &e->runs, node)
		n += r->running;
	while (n < batch_max(s)) {
		best = NULL;
		cds_list_for_each_entry (r, &e->runs, node)
			if (!r->running &&
			    (!best || r->priority > best->priority))
				best = r;
		if (!best)
			break;
		best->running = true;
		n++;
	}
	return n;
}

static void step_end(sim_t *s, event_t *ev);

static void step_begin(sim_t *s, sim_engine_t *e)
{
	const deploy_t *d = s->cfg.deploy;
	uint32_t n;
	event_t *ev;

	forget_ended(s, e);
	n = e->down ? 0 : admit(s, e);
	e->stepping = n > 0;
	if (!n)
		return;
	s->figures.steps++;
	s->figures.step_runs += n;
	s->figures.step_slots += batch_max(s);
	ev = event_new(s, step_end);
	ev->engine = e;
	ev->x = e->boot_id;
	event_after(ev, (int64_t)((double)d->step_us *
				  (1 + d->step_growth * (n - 1))));
}

static void run_token(sim_t *s, sim_engine_t *e, sim_run_t *r)
{
	if (r->prefill_steps) {
		r->prefill_steps--;
		return;
	}
	buf_printf(&r->text, " %" PRIu64 ".%u", r->submit, r->tokens);
	r->tokens++;
	if (r->tokens == 1 || r->tokens % CHUNK_TOKENS == 0 ||
	    r->tokens == r->max_tokens)
		run_flush(s, e, r);
	if (r->drop_at && r->tokens == r->drop_at) {
		run_flush(s, e, r);
		run_break(s, e, r, REASON_TARGET_LOST, 0);
	}
	if (r->tokens < r->max_tokens)
		return;
	if (r->order && !r->stalled)
		engine_done(s, e, r->order);
	run_detach(r);
	run_end(s, e, r, true);
}

static void step_end(sim_t *s, event_t *ev)
{
	sim_engine_t *e = ev->engine;
	sim_run_t *r, *next;

	if (e->down || ev->x != e->boot_id)
		return;
	cds_list_for_each_entry_safe (r, next, &e->runs, node)
		if (r->running)
			run_token(s, e, r);
	step_begin(s, e);
}

/* The attempt that a body "... rHANDLE ..." belongs to; NULL if none. */
static submit_t *submit_of_body(sim_t *s, const char *body)
{
	const char *at = strstr(body, "attempt-");
	uint64_t handle = at ? strtoull(at + 8, NULL, 10) : 0;

	if (!handle || handle > s->p->submits->len)
		return NULL;
	return s->p->submits->pdata[handle - 1];
}

static uint32_t max_tokens_of(const char *body)
{
	const char *at = strstr(body, "\"max_tokens\":");

	return at ? (uint32_t)strtoul(at + 13, NULL, 10) : 1;
}

/* Whether every attempt of the request was refused as not run. */
static bool refused_whole(const submit_t *sub)
{
	const sim_request_t *r = sub->req;

	return r->call ? r->refused_not_run == r->attempts
		       : sub->refused_not_run;
}

/* Checks of the oracle when an engine or service starts a run. */
static void check_start(sim_t *s, sim_engine_t *e, const order_t *o,
			submit_t *sub)
{
	char what[256];

	snprintf(what, sizeof(what), "request=%u target=%s adapter=%s",
		 sub->req->id, e->name, o->adapter);
	sub->runs++;
	if (refused_whole(sub))
		violation(s, SIM_RAN_THOUGH_REFUSED, what);
	if (!e->service && strcmp(sub->expect, o->adapter))
		violation(s, SIM_WRONG_ADAPTER, what);
	if (e->leaving && sim_now(s) > e->leaving_us + LEAVING_BOUND_US)
		violation(s, SIM_WORK_FOR_LEAVING, what);
	sim_log(s, "run request=%u target=%s adapter=%s", sub->req->id, e->name,
		o->adapter);
}

static void note_stall(sim_t *s, const sim_engine_t *e, const order_t *o,
		       sim_request_t *req)
{
	sim_slot_t *slot = slot_find((sim_engine_t *)e, o->adapter);
	int64_t resident = slot ? slot->resident_us : 0;

	if (req->state != SIM_WAITING)
		return;
	req->started = true;
	req->stall_us = MAX(0, resident - req->arrived_us);
}

static sim_run_t *run_find(sim_engine_t *e, const char *id)
{
	sim_run_t *r;

	cds_list_for_each_entry (r, &e->runs, node)
		if (!strcmp(r->id, id))
			return r;
	cds_list_for_each_entry_reverse(r, &e->ended,
					node) if (!strcmp(r->id, id)) return r;
	return NULL;
}

/* True where the run took over the order. */
static bool order_resume(sim_t *s, sim_engine_t *e, order_t *o)
{
	sim_run_t *r = run_find(e, o->run_id);

	if (!r || o->o.resume_offset > r->text.n ||
	    (r->ended_us && !r->whole)) {
		engine_fail(s, e, o, REASON_TARGET_REFUSED, 404, false);
		return false;
	}
	run_detach(r);
	r->order = o;
	r->sent = o->o.resume_offset;
	r->sent_tokens = r->tokens;
	r->head_sent = false;
	r->stalled = false;
	r->drop_at = 0;
	run_flush(s, e, r);
	if (r->ended_us) {
		engine_done(s, e, o);
		run_detach(r);
	}
	return true;
}

static bool order_run(sim_t *s, sim_engine_t *e, order_t *o)
{
	submit_t *sub = submit_of_body(s, o->body);
	sim_slot_t *slot = slot_find(e, o->adapter);
	sim_run_t *r;

	if (e->leaving) {
		engine_fail(s, e, o, REASON_TARGET_REFUSED, 503, false);
		return false;
	}
	if (e->faults.refuse) {
		e->faults.refuse--;
		engine_fail(s, e, o, REASON_TARGET_REFUSED, 503, false);
		return false;
	}
	if (!sub || !slot || slot->loading) {
		engine_fail(s, e, o, REASON_TARGET_REFUSED, 404, false);
		return false;
	}
	check_start(s, e, o, sub);
	note_stall(s, e, o, sub->req);
	r = xcalloc(1, sizeof(*r));
	r->order = o;
	r->id = str_dup(str_c(o->run_id));
	r->adapter = str_dup(str_c(o->adapter));
	r->submit = sub->handle;
	r->max_tokens = max_tokens_of(o->body);
	r->prefill_steps =
		1 + sub->req->arrival->prompt_tokens / PREFILL_TOKENS_PER_STEP;
	r->priority = o->o.priority;
	if (e->faults.drop) {
		e->faults.drop--;
		r->drop_at = 1 + r->max_tokens / 2;
	} else if (e->faults.stall) {
		e->faults.stall--;
		run_flush(s, e, r);
		run_break(s, e, r, REASON_TARGET_STALLED,
			  o->o.progress_us ? o->o.progress_us
					   : s->cfg.serve.progress_us);
	}
	cds_list_add_tail(&r->node, &e->runs);
	if (!e->stepping)
		step_begin(s, e);
	return true;
}

/* --- plain services ----------------------------------------------------- */

static void call_end(sim_t *s, event_t *ev)
{
	order_t *o = ev->p;
	sim_engine_t *e = ev->engine;
	event_t *out;

	if (e->down || ev->x != e->boot_id) {
		order_free(o);
		return;
	}
	out = engine_event(s, e, o, EVENT_HEAD);
	out->u.engine_event.http_status = 200;
	engine_send(out, e);
	out = engine_event(s, e, o, EVENT_CHUNK);
	buf_printf(&out->data, "ran:%s", o->key);
	engine_send(out, e);
	engine_done(s, e, o);
	order_free(o);
}

static void count_key(sim_t *s, submit_t *sub, const char *key)
{
	gpointer n = g_hash_table_lookup(s->p->key_runs, key);
	guint runs = GPOINTER_TO_UINT(n) + 1;

	g_hash_table_insert(s->p->key_runs, g_strdup(key),
			    GUINT_TO_POINTER(runs));
	if (runs > 1 && sub->req->not_repeatable)
		violation(s, SIM_DOUBLE_RUN, key);
}

/* The latest attempt of the call with a key; NULL if none. */
static submit_t *submit_of_key(sim_t *s, const char *key)
{
	for (guint i = s->p->submits->len; i > 0; i--) {
		submit_t *sub = s->p->submits->pdata[i - 1];

		if (sub->req->call && !strcmp(sub->req->key, key))
			return sub;
	}
	return NULL;
}

static bool order_call(sim_t *s, sim_engine_t *e, order_t *o)
{
	submit_t *sub = submit_of_key(s, o->key);
	bool stall = e->faults.stall > 0, drop = e->faults.drop > 0;
	event_t *ev;

	if (e->leaving || e->faults.refuse) {
		e->faults.refuse -= e->faults.refuse > 0;
		engine_fail(s, e, o, REASON_TARGET_REFUSED, 503, false);
		return false;
	}
	if (sub) {
		check_start(s, e, o, sub);
		count_key(s, sub, sub->req->key);
	}
	if (stall || drop) {
		e->faults.stall -= stall;
		e->faults.drop -= drop && !stall;
		ev = engine_event(s, e, o, EVENT_FAILED);
		ev->u.engine_event.reason =
			stall ? REASON_TARGET_STALLED : REASON_TARGET_LOST;
		ev->u.engine_event.sent = true;
		event_after(ev, stall ? s->cfg.serve.progress_us
				      : s->cfg.deploy->service_delay_ms *
						USEC_PER_MSEC);
		return false;
	}
	ev = event_new(s, call_end);
	ev->engine = e;
	ev->p = o;
	ev->x = e->boot_id;
	event_after(ev, s->cfg.deploy->service_delay_ms * USEC_PER_MSEC);
	return true;
}

/* --- orders arriving at targets ----------------------------------------- */

static void order_state(sim_t *s, sim_engine_t *e, const order_t *o)
{
	event_t *ev = engine_event(s, e, o, EVENT_STATE);
	engine_event_t *x = &ev->u.engine_event;
	engine_resident_t *v = xcalloc(e->n_slots + 1, sizeof(*v));

	for (uint32_t i = 0; i < e->n_slots; i++) {
		const sim_slot_t *slot = &e->slots[i];

		if (!slot->adapter)
			continue;
		v[x->n_resident].adapter = str_copy(str_c(slot->adapter));
		v[x->n_resident].loading = slot->loading;
		v[x->n_resident].running = runs_on(e, slot->adapter);
		x->n_resident++;
	}
	ev->p = v;
	x->n_running = runs_on(e, NULL);
	x->target_leaving = e->leaving;
	engine_send(ev, e);
}

static void order_cancel(sim_t *s, sim_engine_t *e, const order_t *o)
{
	sim_run_t *r, *next;

	cds_list_for_each_entry_safe (r, next, &e->runs, node) {
		if (!r->order || r->order->host != o->host ||
		    r->order->o.id != o->o.cancel_id)
			continue;
		engine_fail(s, e, r->order, REASON_CANCELLED, 0, true);
		run_detach(r);
		run_end(s, e, r, false);
	}
}

static bool fenced_off(sim_engine_t *e, const order_t *o)
{
	if (o->o.kind == ORDER_STATE || e->ignores_fence)
		return false;
	if (o->o.fence >= e->top_fence) {
		e->top_fence = o->o.fence;
		return false;
	}
	return true;
}

/* True where the order was taken over. */
static bool engine_take(sim_t *s, sim_engine_t *e, order_t *o)
{
	event_t *ev;

	if (fenced_off(e, o) && o->o.kind != ORDER_CANCEL) {
		ev = engine_event(s, e, o, EVENT_FAILED);
		ev->u.engine_event.reason = REASON_TARGET_REFUSED;
		ev->u.engine_event.http_status = 409;
		ev->u.engine_event.old_fence = true;
		engine_send(ev, e);
		return false;
	}
	switch (o->o.kind) {
	case ORDER_LOAD:
		return order_load(s, e, o);
	case ORDER_UNLOAD:
		order_unload(s, e, o);
		return false;
	case ORDER_RUN:
		return e->service ? order_call(s, e, o) : order_run(s, e, o);
	case ORDER_RESUME:
		return order_resume(s, e, o);
	case ORDER_CANCEL:
		order_cancel(s, e, o);
		return false;
	case ORDER_STATE:
		order_state(s, e, o);
		return false;
	}
	return false;
}

static void order_arrives(sim_t *s, event_t *ev)
{
	order_t *o = ev->p;
	sim_engine_t *e = ev->engine;
	bool taken = false;

	if (e->down) {
		if (o->o.kind != ORDER_CANCEL)
			engine_fail(s, e, o, REASON_TARGET_LOST, 0, false);
	} else {
		taken = engine_take(s, e, o);
	}
	/* A finished resumption has freed its order with the run's. */
	if (!taken)
		order_free(o);
}

/* --- what the cores ask of their daemon --------------------------------- */

static void op_order(void *ctx, const engine_order_t *o)
{
	sim_host_t *h = ctx;
	sim_t *s = h->sim;
	event_t *ev;

	if (!o->target || o->target > s->n_engines)
		return;
	ev = event_new(s, order_arrives);
	ev->engine = &s->engines[o->target - 1];
	ev->p = order_copy(h, o);
	event_after(ev, zone_delay(s, h->zone, ev->engine->zone));
}

static void deliver_message(sim_t *s, event_t *ev)
{
	if (host_there(ev))
		serve_recv(ev->host->core, (host_id_t)ev->x, ev->data.p,
			   ev->data.n);
}

static void op_send(void *ctx, host_id_t to, const void *p, size_t n)
{
	sim_host_t *from = ctx, *h = host_of(from->sim, to);
	event_t *ev;

	if (!h || from->silent || !h->core)
		return;
	ev = event_new(from->sim, deliver_message);
	event_to_host(ev, h);
	ev->x = from->id;
	buf_put(&ev->data, p, n);
	event_after(ev,
		    h == from ? 1 : zone_delay(from->sim, from->zone, h->zone));
}

static void request_again(sim_t *s, sim_request_t *r, int64_t wait_us);

static bool text_is_whole(const submit_t *sub)
{
	AUTO_BUF buf_t expected = {0};

	for (uint32_t i = 0; i < sub->req->arrival->output_tokens; i++)
		buf_printf(&expected, " %" PRIu64 ".%u", sub->handle, i);
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
			violation(s, SIM_WRONG_ANSWER, r->key);
	} else {
		if (strcmp(adapter, sub->expect))
			violation(s, SIM_WRONG_ADAPTER, adapter);
		if (!text_is_whole(sub))
			violation(s, SIM_SHORT_ANSWER, adapter);
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

	if (rep->run == RUN_NO) {
		sub->refused_not_run = true;
		r->refused_not_run++;
		snprintf(what, sizeof(what), "request=%u", r->id);
		if (refused_whole(sub) &&
		    (r->call ? sim_runs_of_key(s, r->key) : sub->runs))
			violation(s, SIM_RAN_THOUGH_REFUSED, what);
	}
	if (rep->reason == REASON_SHUTDOWN && sub->host->draining)
		violation(s, SIM_CUT_OFF_BY_DRAIN, "");
	r->reason = rep->reason;
	r->run = rep->run;
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
		violation(s, SIM_REPLY_AFTER_FINAL, ev->text);
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

static void op_reply(void *ctx, uint64_t handle, const serve_reply_t *rep)
{
	sim_host_t *h = ctx;
	sim_t *s = h->sim;
	event_t *ev;

	if (h->silent)
		return;
	ev = event_new(s, deliver_reply);
	ev->x = handle;
	ev->u.reply = *rep;
	buf_put(&ev->data, rep->data.p, rep->data.n);
	snprintf(ev->text, sizeof(ev->text), "%.*s", STR_ARG(rep->adapter));
	event_after(ev, s->cfg.deploy->caller_delay_us);
}

/* --- claims: a map at the leader ---------------------------------------- */

static void claim_row_free(gpointer p)
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
		return CLAIM_MISMATCH;
	if (row->state == ROW_ANSWERED)
		return CLAIM_ANSWERED;
	if (row->state == ROW_UNKNOWN)
		return CLAIM_IS_UNKNOWN;
	return strcmp(row->holder, c->holder) ? CLAIM_IN_PROGRESS
					      : CLAIM_GRANTED;
}

static claim_outcome_t claim_apply(sim_t *s, const claim_copy_t *c)
{
	claim_row_t *row = g_hash_table_lookup(s->p->claims, c->name);

	if (c->req.op == CLAIM_TAKE)
		return claim_take(s, c, row);
	if (!row || strcmp(row->holder, c->holder))
		return CLAIM_NOT_TAKEN;
	if (c->req.op == CLAIM_RELEASE) {
		g_hash_table_remove(s->p->claims, c->name);
	} else if (c->req.op == CLAIM_ANSWER) {
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
	if (host_there(ev))
		serve_claimed(ev->host->core, &ev->u.claim);
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
	g_free(c->name);
	free(c->holder);
	buf_free(&c->body);
	free(c);
}

static void op_claim(void *ctx, const claim_req_t *req)
{
	sim_host_t *h = ctx;
	claim_copy_t *c = xcalloc(1, sizeof(*c));
	event_t *ev = event_new(h->sim, claim_arrives);

	c->req = *req;
	c->name = g_strdup_printf("%u %.*s", req->org_id, STR_ARG(req->key));
	c->holder = str_dup(req->holder);
	buf_put(&c->body, req->body.p, req->body.n);
	event_to_host(ev, h);
	ev->p = c;
	event_after(ev, 2 * h->sim->cfg.deploy->zone_delay_us + SYNC_US);
}

static const serve_ops_t sim_ops = {
	.order = op_order,
	.send = op_send,
	.reply = op_reply,
	.claim = op_claim,
};

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

static void expected_adapter(const sim_t *s, const arrival_t *a, char *out,
			     size_t n)
{
	const adapter_t *row = decided_adapter(s->tables, str_c(a->adapter));
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
	const org_t *org = decided_org_by_name(s->tables, str_c(a->org));
	serve_req_t req = {.handle = sub->handle};
	event_t *gone;

	if (!host_there(ev)) {
		gone = event_new(s, daemon_gone);
		gone->x = sub->handle;
		event_after(gone, DETECT_US);
		return;
	}
	expected_adapter(s, a, sub->expect, sizeof(sub->expect));
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
	sub->host = host_of(s, id);
	sub->life = sub->host->life;
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
	if (host_there(ev)) {
		k->n = serve_addresses(ev->host->core,
				       str_c(r->arrival->adapter), addr,
				       ADDRESSES_MAX, &d);
		for (size_t i = 0; i < k->n; i++)
			k->host[i] = addr[i].host;
		decided_unref(d);
	}
	if (!k->n && r->call && host_there(ev))
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
	event_after(ev, h->core && !h->silent
				? 2 * s->cfg.deploy->caller_delay_us
				: DETECT_US);
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

static sim_request_t *request_new(sim_t *s, const arrival_t *a)
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

sim_request_t *sim_request(sim_t *s, const arrival_t *a)
{
	sim_request_t *r = request_new(s, a);
	event_t *ev = event_new(s, again_due);

	ev->p = r;
	event_at(ev, a->at_us);
	return r;
}

sim_request_t *sim_call(sim_t *s, const arrival_t *a, const char *key,
			bool not_repeatable)
{
	sim_request_t *r = sim_request(s, a);

	r->call = true;
	r->not_repeatable = not_repeatable;
	snprintf(r->key, sizeof(r->key), "%s", key);
	return r;
}

/* --- control ------------------------------------------------------------ */

static size_t live_hosts(const sim_t *s, host_id_t *out)
{
	size_t n = 0;

	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && !s->hosts[i].silent)
			out[n++] = s->hosts[i].id;
	return n;
}

void sim_standing(sim_t *s, host_id_t id, int64_t lease_until_us,
		  int64_t fresh_until_us)
{
	AUTO_FREE host_id_t *live = xcalloc(s->n_hosts, sizeof(*live));
	sim_host_t *h = host_of(s, id);
	standing_t st = {.lease_until_us = lease_until_us,
			 .fresh_until_us = fresh_until_us,
			 .leader = s->leader,
			 .term = 1,
			 .is_leader = id == s->leader,
			 .live = live};

	st.n_live = live_hosts(s, live);
	if (h->core)
		serve_standing(h->core, &st);
}

void sim_publish(sim_t *s, host_id_t id)
{
	sim_host_t *h = host_of(s, id);

	if (h->core && !h->silent)
		serve_tables(h->core, s->tables);
}

static void publish_all(sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		sim_publish(s, s->hosts[i].id);
}

static void stand_all(sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		if (!s->hosts[i].silent)
			sim_standing(s, s->hosts[i].id, FOREVER_US, FOREVER_US);
}

/* Rendezvous over live daemons, those of the target's zone first. */
static host_id_t choose_owner(const sim_t *s, const sim_engine_t *e)
{
	uint64_t key = hash_bytes(e->name, strlen(e->name), 0), best = 0;
	host_id_t owner = 0;
	bool same = false;

	for (size_t i = 0; i < s->n_hosts; i++) {
		const sim_host_t *h = &s->hosts[i];
		uint64_t score = rendezvous_score(key, h->id);
		bool near = h->zone == e->zone;

		if (!h->core || h->silent || h->draining)
			continue;
		if (owner && (near < same || (near == same && score < best)))
			continue;
		owner = h->id;
		same = near;
		best = score;
	}
	return owner;
}

void sim_assign(sim_t *s)
{
	decided_t *d = decided_edit(decided_ref(s->tables));

	s->index++;
	for (size_t i = 0; i < s->n_engines; i++) {
		target_t row = *decided_target(d, s->engines[i].id);
		host_id_t owner = choose_owner(s, &s->engines[i]);

		if (owner == row.owner)
			continue;
		row.previous_owner = row.owner;
		row.owner = owner;
		row.fence = s->index;
		decided_put_target(d, &row);
		sim_log(s, "owner of %s is host-%u", s->engines[i].name, owner);
	}
	decided_set_position(d, s->index, decided_revision(d));
	decided_unref(s->tables);
	s->tables = d;
	publish_all(s);
}

void sim_set_version(sim_t *s, const char *adapter, uint32_t version)
{
	decided_t *d = decided_edit(decided_ref(s->tables));
	adapter_t row = *decided_adapter(d, str_c(adapter));
	uint32_t versions[64];
	size_t n = 0;

	for (size_t i = 0; i < row.n_versions && n < 63; i++)
		versions[n++] = row.versions[i];
	if (!adapter_has_version(&row, version))
		versions[n++] = version;
	row.versions = versions;
	row.n_versions = n;
	row.current_version = version;
	decided_put_adapter(d, &row);
	s->index++;
	decided_set_position(d, s->index, decided_revision(d) + 1);
	decided_unref(s->tables);
	s->tables = d;
	publish_all(s);
}

static void tell_links(sim_t *s, host_id_t id, bool up)
{
	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && s->hosts[i].id != id)
			serve_link(s->hosts[i].core, id, up);
}

void sim_host_kill(sim_t *s, host_id_t id)
{
	sim_host_t *h = host_of(s, id);

	if (!h->core)
		return;
	serve_free(h->core);
	h->core = NULL;
	h->life++;
	sim_log(s, "host-%u is down", id);
	for (guint i = 0; i < s->p->submits->len; i++) {
		submit_t *sub = s->p->submits->pdata[i];
		event_t *ev;

		if (sub->final || sub->host != h)
			continue;
		ev = event_new(s, daemon_gone);
		ev->x = sub->handle;
		event_after(ev, DETECT_US);
	}
	tell_links(s, id, false);
}

static void host_boot(sim_t *s, sim_host_t *h)
{
	serve_cfg_t cfg = s->cfg.serve;

	cfg.self = h->id;
	cfg.zone = str_c(s->cfg.deploy->zones[h->zone]);
	cfg.seed = hash_bytes(&h->id, sizeof(h->id), s->cfg.seed) + h->life;
	h->life++;
	h->silent = false;
	h->draining = false;
	h->core = serve_new(&cfg, &sim_ops, h, s->timers);
}

void sim_host_start(sim_t *s, host_id_t id)
{
	sim_host_t *h = host_of(s, id);

	if (h->core)
		return;
	host_boot(s, h);
	sim_log(s, "host-%u is up", id);
	sim_publish(s, id);
	stand_all(s);
	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core && s->hosts[i].id != id)
			serve_link(h->core, s->hosts[i].id, true);
	tell_links(s, id, true);
}

void sim_host_silence(sim_t *s, host_id_t id, bool silent)
{
	host_of(s, id)->silent = silent;
	sim_log(s, "host-%u is %s", id, silent ? "cut off" : "back");
}

void sim_host_drain(sim_t *s, host_id_t id)
{
	sim_host_t *h = host_of(s, id);

	h->draining = true;
	sim_log(s, "host-%u drains", id);
	if (h->core)
		serve_drain(h->core);
}

static void lease_over(sim_t *s, event_t *ev)
{
	sim_assign(s);
	stand_all(s);
}

void sim_lose_host(sim_t *s, host_id_t id)
{
	sim_host_kill(s, id);
	event_after(event_new(s, lease_over), LEASE_US + DRIFT_US);
}

host_id_t sim_some_owner(sim_t *s)
{
	for (size_t i = 0; i < s->n_engines; i++) {
		const target_t *t = decided_target(s->tables, s->engines[i].id);

		if (t->owner && t->owner != s->leader)
			return t->owner;
	}
	return 0;
}

sim_engine_t *sim_engine(sim_t *s, const char *name)
{
	for (size_t i = 0; i < s->n_engines; i++)
		if (!strcmp(s->engines[i].name, name))
			return &s->engines[i];
	return NULL;
}

/* All that the engine held is gone; its orders end as lost. */
static void engine_lose_all(sim_t *s, sim_engine_t *e)
{
	sim_run_t *r, *next;
	load_t *l;

	cds_list_for_each_entry_safe (r, next, &e->runs, node) {
		run_break(s, e, r, REASON_TARGET_LOST, 0);
		run_end(s, e, r, false);
	}
	cds_list_for_each_entry (l, &s->p->loads, node)
		if (l->engine == e && l->boot_id == e->boot_id)
			engine_fail(s, e, l->order, REASON_TARGET_LOST, 0,
				    true);
	for (uint32_t i = 0; i < e->n_slots; i++)
		slot_clear(&e->slots[i]);
	e->stepping = false;
	e->boot_id = ++s->p->next_boot;
}

void sim_engine_restart(sim_t *s, sim_engine_t *e)
{
	sim_log(s, "%s restarts empty", e->name);
	engine_lose_all(s, e);
	e->down = false;
}

void sim_engine_kill(sim_t *s, sim_engine_t *e)
{
	sim_log(s, "%s is down", e->name);
	engine_lose_all(s, e);
	e->down = true;
}

void sim_engine_leave(sim_t *s, sim_engine_t *e)
{
	e->leaving = true;
	e->leaving_us = sim_now(s);
	sim_log(s, "%s is leaving", e->name);
}

uint32_t sim_runs_of_key(sim_t *s, const char *key)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(s->p->key_runs, key));
}

uint64_t sim_violation_sum(const sim_t *s)
{
	uint64_t n = 0;

	for (size_t i = 0; i < SIM_VIOLATION_COUNT; i++)
		n += s->violations[i];
	return n;
}

void sim_check_outcomes(sim_t *s)
{
	for (guint i = 0; i < s->requests->len; i++) {
		const sim_request_t *r = s->requests->pdata[i];
		char what[64];

		if (r->state != SIM_WAITING || !r->arrived_us ||
		    sim_now(s) < r->due_us + OUTCOME_BOUND_US)
			continue;
		snprintf(what, sizeof(what), "request=%u", r->id);
		violation(s, SIM_NO_OUTCOME, what);
	}
}

void sim_figures_reset(sim_t *s)
{
	memset(&s->figures, 0, sizeof(s->figures));
}

/* --- making and freeing ------------------------------------------------- */

static void put_hosts(sim_t *s, decided_t *d)
{
	const deploy_t *dep = s->cfg.deploy;

	for (size_t i = 0; i < s->n_hosts; i++) {
		char name[64], addr[64], peer[64];
		host_t row = {.id = (host_id_t)i + 1};

		snprintf(name, sizeof(name), "entry-%zu", i + 1);
		snprintf(addr, sizeof(addr), "10.0.0.%zu:80", i + 1);
		snprintf(peer, sizeof(peer), "10.0.0.%zu:90", i + 1);
		row.name = str_c(name);
		row.zone = str_c(dep->zones[i % dep->n_zones]);
		row.region = str_c(dep->region);
		row.caller_addr = str_c(addr);
		row.peer_addr = str_c(peer);
		row.voter = i < (size_t)dep->voters;
		decided_put_host(d, &row);
	}
}

static void put_target(sim_t *s, decided_t *d, size_t i)
{
	const deploy_t *dep = s->cfg.deploy;
	sim_engine_t *e = &s->engines[i];
	char url[64];
	target_t row = {.id = (target_id_t)i + 1};

	e->id = (target_id_t)i + 1;
	e->service = i >= (size_t)dep->runners;
	e->zone = i % dep->n_zones;
	e->boot_id = ++s->p->next_boot;
	e->n_slots = e->service ? 0 : (uint32_t)dep->slots;
	e->slots = xcalloc(e->n_slots, sizeof(*e->slots));
	CDS_INIT_LIST_HEAD(&e->runs);
	CDS_INIT_LIST_HEAD(&e->ended);
	if (e->service)
		e->name = g_strdup_printf("%s-%zu", dep->service_name,
					  i - (size_t)dep->runners + 1);
	else
		e->name = g_strdup_printf("%s-%zu", dep->runner_name, i + 1);
	snprintf(url, sizeof(url), "http://10.1.0.%zu", i + 1);
	row.name = str_c(e->name);
	row.kind = e->service ? TARGET_SERVICE : TARGET_RUNNER;
	row.url = str_c(url);
	row.zone = str_c(dep->zones[e->zone]);
	row.base = str_c(e->service ? dep->service_name : dep->base_model);
	row.slots = e->n_slots;
	row.max_batch = (uint32_t)dep->max_batch;
	row.checks_fence = true;
	decided_put_target(d, &row);
}

static void put_adapters(sim_t *s, decided_t *d)
{
	const deploy_t *dep = s->cfg.deploy;
	static const uint32_t first[] = {1};
	char name[256];

	for (size_t i = 0; i < dep->n_orgs; i++) {
		char token[32] = {0};
		org_t row = {.id = (uint32_t)i + 1};

		snprintf(token, sizeof(token), "%zu", i);
		row.name = str_c(dep->orgs[i]);
		row.token_hash = str_n(token, sizeof(token));
		decided_put_org(d, &row);
	}
	for (size_t i = 0; i < deploy_adapter_count(dep); i++) {
		adapter_t row = {.id = (uint32_t)i + 1};

		deploy_adapter_name(dep, i, name, sizeof(name));
		row.name = str_c(name);
		row.base = str_c(dep->base_model);
		row.org_id = (uint32_t)deploy_adapter_org(dep, i) + 1;
		row.current_version = 1;
		row.load_ms = (uint32_t)dep->load_ms;
		row.versions = first;
		row.n_versions = 1;
		decided_put_adapter(d, &row);
	}
}

static void boot_all(sim_t *s)
{
	for (size_t i = 0; i < s->n_hosts; i++) {
		sim_host_t *h = &s->hosts[i];

		h->id = (host_id_t)i + 1;
		h->zone = i % s->cfg.deploy->n_zones;
		h->sim = s;
		host_boot(s, h);
	}
	for (size_t i = 0; i < s->n_hosts; i++)
		for (size_t j = 0; j < s->n_hosts; j++)
			if (i != j)
				serve_link(s->hosts[i].core, s->hosts[j].id,
					   true);
}

sim_t *sim_new(const sim_cfg_t *cfg)
{
	sim_t *s = xcalloc(1, sizeof(*s));
	struct sim_private *p = xcalloc(1, sizeof(*p));

	s->cfg = *cfg;
	s->p = p;
	s->timers = timer_svc_new_virtual(1);
	s->rand = g_rand_new_with_seed((guint32)cfg->seed);
	s->callers_rand = g_rand_new_with_seed((guint32)cfg->seed + 1);
	s->store_factor = 1;
	s->leader = 1;
	s->requests = g_ptr_array_new_with_free_func(free);
	CDS_INIT_LIST_HEAD(&p->events);
	CDS_INIT_LIST_HEAD(&p->loads);
	p->submits = g_ptr_array_new();
	p->kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	p->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  claim_row_free);
	p->key_runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->evicted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
	s->n_hosts = (size_t)cfg->deploy->hosts;
	s->hosts = xcalloc(s->n_hosts, sizeof(*s->hosts));
	s->n_engines = (size_t)(cfg->deploy->runners + cfg->deploy->services);
	s->engines = xcalloc(s->n_engines, sizeof(*s->engines));
	s->tables = decided_new();
	put_hosts(s, s->tables);
	for (size_t i = 0; i < s->n_engines; i++)
		put_target(s, s->tables, i);
	put_adapters(s, s->tables);
	s->index = 1;
	decided_set_position(s->tables, s->index, 1);
	boot_all(s);
	sim_assign(s);
	stand_all(s);
	return s;
}

static void free_pending(sim_t *s)
{
	event_t *ev, *next;

	cds_list_for_each_entry_safe (ev, next, &s->p->events, node) {
		if (ev->fn == order_arrives || ev->fn == call_end)
			order_free(ev->p);
		if (ev->fn == deliver_engine_event) {
			engine_resident_t *v = ev->p;

			for (size_t i = 0; i < ev->u.engine_event.n_resident;
			     i++)
				str_free(&v[i].adapter);
			free(v);
		}
		if (ev->fn == claim_arrives) {
			claim_copy_t *c = ev->p;

			g_free(c->name);
			free(c->holder);
			buf_free(&c->body);
			free(c);
		}
		timer_svc_cancel(s->timers, &ev->sub);
		buf_free(&ev->data);
		free(ev);
	}
}

static void engine_free(sim_engine_t *e)
{
	sim_run_t *r, *next;

	cds_list_for_each_entry_safe (r, next, &e->runs, node)
		run_free(r);
	cds_list_for_each_entry_safe (r, next, &e->ended, node)
		run_free(r);
	for (uint32_t i = 0; i < e->n_slots; i++)
		slot_clear(&e->slots[i]);
	free(e->slots);
	free(e->name);
}

void sim_free(sim_t *s)
{
	load_t *l, *next;

	for (size_t i = 0; i < s->n_hosts; i++)
		if (s->hosts[i].core)
			serve_free(s->hosts[i].core);
	free_pending(s);
	cds_list_for_each_entry_safe (l, next, &s->p->loads, node) {
		order_free(l->order);
		free(l);
	}
	for (size_t i = 0; i < s->n_engines; i++)
		engine_free(&s->engines[i]);
	for (guint i = 0; i < s->p->submits->len; i++) {
		submit_t *sub = s->p->submits->pdata[i];

		buf_free(&sub->text);
		free(sub);
	}
	g_ptr_array_free(s->p->submits, TRUE);
	g_hash_table_destroy(s->p->kept);
	g_hash_table_destroy(s->p->claims);
	g_hash_table_destroy(s->p->key_runs);
	g_hash_table_destroy(s->p->evicted);
	g_ptr_array_free(s->requests, TRUE);
	decided_unref(s->tables);
	timer_svc_free(s->timers);
	g_rand_free(s->rand);
	g_rand_free(s->callers_rand);
	free(s->engines);
	free(s->hosts);
	free(s->p);
	free(s);
}
