/* lib_sim_engine.c - engines, plain services and the weight store. */
#include "lib_sim_priv.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHUNK_TOKENS 8u /* in one chunk; the first token is sent alone */
#define PREFILL_TOKENS_PER_STEP 2048u
/*
 * Share of the store's throughput that remains while it serves more loads at
 * once than store_concurrency.
 */
#define OVERSUBSCRIBED_SHARE 0.8
/* How long a run can be resumed after its end. */
#define ENDED_RUN_KEEP_US (30 * USEC_PER_SEC)
/* For sim_counters_t.reloads_60s. */
#define RELOAD_WINDOW_US (60 * USEC_PER_SEC)
/* Time after which a new run at a leaving target counts as a violation. */
#define LEAVING_GRACE_US (5 * USEC_PER_SEC)

/* --- orders, and events on their way to owners -------------------------- */

order_t *order_copy(sim_host_t *h, const engine_order_t *o)
{
	order_t *copy = xcalloc(1, sizeof(*copy));

	copy->spec = *o;
	copy->host = h;
	copy->generation = h->generation;
	copy->adapter = str_dup(o->adapter);
	copy->run_id = str_dup(o->run_id);
	copy->body = str_dup(o->body);
	copy->key = str_dup(o->idempotency_key);
	return copy;
}

void order_free(order_t *order)
{
	if (!order)
		return;
	free(order->adapter);
	free(order->run_id);
	free(order->body);
	free(order->key);
	free(order);
}

static void residents_free(event_t *ev)
{
	engine_resident_t *residents = ev->arg;

	for (size_t i = 0; i < ev->u.engine_event.n_resident; i++)
		str_free(&residents[i].adapter);
	free(residents);
}

static void deliver_engine_event(sim_t *s, event_t *ev)
{
	engine_event_t *e = &ev->u.engine_event;
	engine_resident_t *resident = ev->arg;

	if (event_host_alive(ev)) {
		e->data = buf_str(&ev->data);
		e->served_by = str_c(ev->text);
		e->resident = resident;
		serve_engine_event(ev->host->core, e);
	}
	residents_free(ev);
}

/* Creates an event for the daemon that sent the order; does not schedule it. */
static event_t *engine_event(sim_t *s, sim_engine_t *e, const order_t *o,
			     engine_event_kind_t kind)
{
	event_t *ev = event_new(s, deliver_engine_event);
	engine_event_t *info = &ev->u.engine_event;

	ev->host = o->host;
	ev->generation = o->generation;
	info->order_id = o->spec.id;
	info->target = e->id;
	info->kind = kind;
	info->boot_id = e->boot_id;
	return ev;
}

/* Schedules the event for after the delay between target and daemon. */
static void engine_event_send(event_t *ev, const sim_engine_t *e)
{
	event_schedule_after(ev,
			     sim_zone_delay(ev->sim, e->zone, ev->host->zone));
}

/* Reports to the daemon that the order failed. */
static void order_fail(sim_t *s, sim_engine_t *e, const order_t *o,
		       reason_t reason, int status, bool sent)
{
	event_t *ev = engine_event(s, e, o, EVENT_FAILED);

	ev->u.engine_event.reason = reason;
	ev->u.engine_event.http_status = status;
	ev->u.engine_event.sent = sent;
	ev->u.engine_event.target_leaving = e->leaving;
	engine_event_send(ev, e);
}

/* Reports to the daemon that the order was carried out. */
static void order_done(sim_t *s, sim_engine_t *e, const order_t *o)
{
	engine_event_send(engine_event(s, e, o, EVENT_DONE), e);
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

static sim_slot_t *slot_find_free(sim_engine_t *e)
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

/* Counts the runs of an adapter, or all where it is NULL. */
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

/* Returns the speed of each load in progress, relative to a load alone. */
static double store_speed(const sim_t *s)
{
	double n = 0, capacity = (double)s->cfg.deploy->store_concurrency;
	load_t *l;

	cds_list_for_each_entry (l, &s->p->loads, node)
		n++;
	if (n <= capacity)
		return 1 / s->store_factor;
	return OVERSUBSCRIBED_SHARE * capacity / n / s->store_factor;
}

/* Brings the remaining time of all loads up to now. */
static void store_advance(sim_t *s)
{
	double passed = (double)(sim_now(s) - s->p->loads_updated_us);
	double speed = store_speed(s);
	load_t *l;

	cds_list_for_each_entry (l, &s->p->loads, node)
		l->remaining_us -= passed * speed;
	s->p->loads_updated_us = sim_now(s);
}

static void finish_due_loads(sim_t *s, event_t *ev);

/* Schedules the end of the load that ends first. */
static void store_schedule(sim_t *s)
{
	double min_remaining_us = -1;
	load_t *l;

	cds_list_for_each_entry (l, &s->p->loads, node)
		if (min_remaining_us < 0 || l->remaining_us < min_remaining_us)
			min_remaining_us = l->remaining_us;
	if (min_remaining_us < 0)
		return;
	if (!s->p->load_end_event)
		s->p->load_end_event = event_new(s, finish_due_loads);
	event_schedule_after(
		s->p->load_end_event,
		(int64_t)(MAX(min_remaining_us, 0) / store_speed(s)) + 1);
}

static void load_finish(sim_t *s, load_t *l)
{
	sim_engine_t *e = l->engine;
	sim_slot_t *slot = slot_find(e, l->order->adapter);
	bool failed = s->load_failure_share > 0 &&
		      g_rand_double(s->rand) < s->load_failure_share;

	if (e->down || l->boot_id != e->boot_id || !slot)
		return; /* reported as failed when the engine went down */
	if (!failed && e->faults.fail_loads) {
		e->faults.fail_loads--;
		failed = true;
	}
	if (failed) {
		slot_clear(slot);
		order_fail(s, e, l->order, REASON_LOAD_FAILED, 500, true);
		return;
	}
	slot->loading = false;
	slot->resident_us = sim_now(s);
	sim_log(s, "loaded %s on %s", slot->adapter, e->name);
	order_done(s, e, l->order);
}

static void finish_due_loads(sim_t *s, event_t *ev)
{
	load_t *l, *next;

	s->p->load_end_event = NULL;
	store_advance(s);
	cds_list_for_each_entry_safe (l, next, &s->p->loads, node) {
		if (l->remaining_us > 0.5)
			continue;
		cds_list_del(&l->node);
		load_finish(s, l);
		load_free(l);
	}
	store_schedule(s);
}

static void count_load(sim_t *s, const char *adapter)
{
	int64_t *at = g_hash_table_lookup(s->p->evicted_at, adapter);

	s->counters.loads++;
	if (at && *at > sim_now(s) - RELOAD_WINDOW_US)
		s->counters.reloads_60s++;
}

static void count_eviction(sim_t *s, const char *adapter)
{
	int64_t *at = xmalloc(sizeof(*at));

	*at = sim_now(s);
	s->counters.evictions++;
	g_hash_table_insert(s->p->evicted_at, g_strdup(adapter), at);
}

/* Returns whether the load took the order over. */
static bool order_load(sim_t *s, sim_engine_t *e, order_t *o)
{
	sim_slot_t *slot = slot_find(e, o->adapter);
	load_t *l;

	if (slot && !slot->loading) {
		order_done(s, e, o);
		return false;
	}
	if (slot || !slot_find_free(e)) {
		order_fail(s, e, o, REASON_LOAD_FAILED, 409, true);
		return false;
	}
	slot = slot_find_free(e);
	slot->adapter = str_dup(str_c(o->adapter));
	slot->loading = true;
	count_load(s, o->adapter);
	store_advance(s);
	l = xcalloc(1, sizeof(*l));
	l->engine = e;
	l->order = o;
	l->boot_id = e->boot_id;
	l->remaining_us = (double)s->cfg.deploy->load_ms * USEC_PER_MSEC;
	cds_list_add_tail(&l->node, &s->p->loads);
	store_schedule(s);
	return true;
}

static void order_unload(sim_t *s, sim_engine_t *e, order_t *o)
{
	sim_slot_t *slot = slot_find(e, o->adapter);

	if (slot && runs_on(e, o->adapter)) {
		sim_violation(s, SIM_EVICTED_RUNNING, o->adapter);
		order_fail(s, e, o, REASON_TARGET_REFUSED, 409, true);
		return;
	}
	if (slot && slot->loading) {
		order_fail(s, e, o, REASON_TARGET_REFUSED, 409, true);
		return;
	}
	if (slot) {
		count_eviction(s, o->adapter);
		sim_log(s, "evicted %s from %s", o->adapter, e->name);
		slot_clear(slot);
	}
	order_done(s, e, o);
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

/* Sends the tokens that are not sent yet, after the head of the answer. */
static void run_send_tokens(sim_t *s, sim_engine_t *e, sim_run_t *r)
{
	event_t *ev;

	if (!r->order || r->stalled)
		return;
	if (!r->head_sent) {
		ev = engine_event(s, e, r->order, EVENT_HEAD);
		ev->u.engine_event.http_status = 200;
		snprintf(ev->text, sizeof(ev->text), "%s", r->adapter);
		engine_event_send(ev, e);
		r->head_sent = true;
	}
	if (r->text.n == r->sent_bytes)
		return;
	ev = engine_event(s, e, r->order, EVENT_CHUNK);
	ev->u.engine_event.offset = r->sent_bytes;
	ev->u.engine_event.tokens = r->tokens - r->sent_tokens;
	buf_put(&ev->data, r->text.p + r->sent_bytes,
		r->text.n - r->sent_bytes);
	r->sent_bytes = r->text.n;
	r->sent_tokens = r->tokens;
	engine_event_send(ev, e);
}

/* Moves the run to the ended ones; the caller reports the end of its order. */
static void run_end(sim_t *s, sim_engine_t *e, sim_run_t *r, bool complete)
{
	cds_list_del(&r->node);
	cds_list_add_tail(&r->node, &e->ended_runs);
	r->ended_us = sim_now(s);
	r->complete = complete;
	r->running = false;
}

/* Frees the order, so that no further event of the run is reported. */
static void run_drop_order(sim_run_t *r)
{
	order_free(r->order);
	r->order = NULL;
}

/* Reports a failure to the daemon after a delay; the run itself goes on. */
static void run_fail(sim_t *s, sim_engine_t *e, sim_run_t *r, reason_t reason,
		     int64_t after_us)
{
	event_t *ev;

	if (!r->order)
		return;
	ev = engine_event(s, e, r->order, EVENT_FAILED);
	ev->u.engine_event.reason = reason;
	ev->u.engine_event.sent = true;
	event_schedule_after(ev,
			     after_us + sim_zone_delay(s, e->zone,
						       r->order->host->zone));
	run_drop_order(r);
}

static void free_expired_runs(sim_t *s, sim_engine_t *e)
{
	sim_run_t *r, *next;

	cds_list_for_each_entry_safe (r, next, &e->ended_runs, node) {
		if (r->ended_us > sim_now(s) - ENDED_RUN_KEEP_US)
			return;
		cds_list_del(&r->node);
		run_free(r);
	}
}

static uint32_t batch_max(const sim_t *s)
{
	return (uint32_t)s->cfg.deploy->max_batch;
}

/*
 * Fills the batch with waiting runs, by descending priority. Returns the number
 * of runs in the batch.
 */
static uint32_t admit_runs(sim_t *s, sim_engine_t *e)
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

	free_expired_runs(s, e);
	n = e->down ? 0 : admit_runs(s, e);
	e->stepping = n > 0;
	if (!n)
		return;
	s->counters.steps++;
	s->counters.step_runs += n;
	s->counters.step_slots += batch_max(s);
	ev = event_new(s, step_end);
	ev->engine = e;
	ev->value = e->boot_id;
	event_schedule_after(ev, (int64_t)((double)d->step_us *
					   (1 + d->step_growth * (n - 1))));
}

/* Advances a run by one step: prefill, or the next token. */
static void run_token(sim_t *s, sim_engine_t *e, sim_run_t *r)
{
	if (r->prefill_steps) {
		r->prefill_steps--;
		return;
	}
	buf_printf(&r->text, " %" PRIu64 ".%u.%" PRIu64, r->attempt_handle,
		   r->tokens, r->serial);
	r->tokens++;
	if (r->tokens == 1 || r->tokens % CHUNK_TOKENS == 0 ||
	    r->tokens == r->max_tokens)
		run_send_tokens(s, e, r);
	if (r->break_at_token && r->tokens == r->break_at_token) {
		run_send_tokens(s, e, r);
		run_fail(s, e, r, REASON_TARGET_LOST, 0);
	}
	if (r->tokens < r->max_tokens)
		return;
	if (r->order && !r->stalled)
		order_done(s, e, r->order);
	run_drop_order(r);
	run_end(s, e, r, true);
}

static void step_end(sim_t *s, event_t *ev)
{
	sim_engine_t *e = ev->engine;
	sim_run_t *r, *next;

	if (e->down || ev->value != e->boot_id)
		return;
	cds_list_for_each_entry_safe (r, next, &e->runs, node)
		if (r->running)
			run_token(s, e, r);
	step_begin(s, e);
}

/* The attempt that a body names: "... attempt-HANDLE ..."; NULL if none. */
static attempt_t *attempt_of_body(sim_t *s, const char *body)
{
	const char *at = strstr(body, "attempt-");
	uint64_t handle = at ? strtoull(at + 8, NULL, 10) : 0;

	if (!handle || handle > s->p->attempts->len)
		return NULL;
	return s->p->attempts->pdata[handle - 1];
}

static uint32_t max_tokens_of(const char *body)
{
	const char *at = strstr(body, "\"max_tokens\":");

	return at ? (uint32_t)strtoul(at + 13, NULL, 10) : 1;
}

/* A daemon must not offer runs to a target that has been leaving for long. */
static void check_leaving_target(sim_t *s, const sim_engine_t *e,
				 const order_t *o)
{
	if (sim_now(s) > e->leaving_since_us + LEAVING_GRACE_US)
		sim_violation(s, SIM_WORK_FOR_LEAVING, o->adapter);
}

/* A request that names no version must run on one that is in force. */
static void check_version(sim_t *s, sim_engine_t *e, const order_t *o,
			  const attempt_t *attempt)
{
	const char *at = strchr(o->adapter, '@');
	uint32_t oldest;

	if (e->is_service || attempt->req->arrival->version || !at)
		return;
	oldest = state_oldest_version(s, attempt->req->arrival->adapter,
				      attempt->sent_us);
	if (strtoul(at + 1, NULL, 10) < oldest)
		sim_violation(s, SIM_STALE_VERSION, o->adapter);
}

/* The oracle's checks when an engine or service starts a run. */
static void check_start(sim_t *s, sim_engine_t *e, const order_t *o,
			attempt_t *attempt)
{
	char detail[256];

	snprintf(detail, sizeof(detail), "request=%u target=%s adapter=%s",
		 attempt->req->id, e->name, o->adapter);
	attempt->runs++;
	if (attempt_refused_not_run(attempt))
		sim_violation(s, SIM_RAN_THOUGH_REFUSED, detail);
	if (!e->is_service && strcmp(attempt->expected_model, o->adapter))
		sim_violation(s, SIM_WRONG_ADAPTER, detail);
	check_version(s, e, o, attempt);
	sim_log(s, "run request=%u target=%s adapter=%s", attempt->req->id,
		e->name, o->adapter);
}

/* Records how long the request waited for its adapter to become resident. */
static void record_stall(sim_t *s, const sim_engine_t *e, const order_t *o,
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
	cds_list_for_each_entry_reverse(r, &e->ended_runs,
					node) if (!strcmp(r->id, id)) return r;
	return NULL;
}

/* Returns whether the run took the order over. */
static bool order_resume(sim_t *s, sim_engine_t *e, order_t *o)
{
	sim_run_t *r = run_find(e, o->run_id);

	if (!r || o->spec.resume_offset > r->text.n ||
	    (r->ended_us && !r->complete)) {
		order_fail(s, e, o, REASON_TARGET_REFUSED, 404, false);
		return false;
	}
	run_drop_order(r);
	r->order = o;
	r->sent_bytes = o->spec.resume_offset;
	r->sent_tokens = r->tokens;
	r->head_sent = false;
	r->stalled = false;
	r->break_at_token = 0;
	run_send_tokens(s, e, r);
	if (r->ended_us) {
		order_done(s, e, o);
		run_drop_order(r);
	}
	return true;
}

/* Returns whether a new run took the order over. */
static bool order_run(sim_t *s, sim_engine_t *e, order_t *o)
{
	attempt_t *attempt = attempt_of_body(s, o->body);
	sim_slot_t *slot = slot_find(e, o->adapter);
	sim_run_t *r;

	if (e->leaving) {
		check_leaving_target(s, e, o);
		order_fail(s, e, o, REASON_TARGET_REFUSED, 503, false);
		return false;
	}
	if (e->faults.refuse) {
		e->faults.refuse--;
		order_fail(s, e, o, REASON_TARGET_REFUSED, 503, false);
		return false;
	}
	if (!attempt || !slot || slot->loading) {
		order_fail(s, e, o, REASON_TARGET_REFUSED, 404, false);
		return false;
	}
	check_start(s, e, o, attempt);
	record_stall(s, e, o, attempt->req);
	r = xcalloc(1, sizeof(*r));
	r->order = o;
	r->id = str_dup(str_c(o->run_id));
	r->adapter = str_dup(str_c(o->adapter));
	r->attempt_handle = attempt->handle;
	r->serial = ++s->p->next_run;
	r->max_tokens = max_tokens_of(o->body);
	r->prefill_steps = 1 + attempt->req->arrival->prompt_tokens /
				       PREFILL_TOKENS_PER_STEP;
	r->priority = o->spec.priority;
	if (e->faults.drop) {
		e->faults.drop--;
		r->break_at_token = 1 + r->max_tokens / 2;
	} else if (e->faults.stall) {
		e->faults.stall--;
		run_send_tokens(s, e, r);
		run_fail(s, e, r, REASON_TARGET_STALLED,
			 o->spec.progress_timeout_us
				 ? o->spec.progress_timeout_us
				 : s->cfg.serve.progress_timeout_us);
	}
	cds_list_add_tail(&r->node, &e->runs);
	if (!e->stepping)
		step_begin(s, e);
	return true;
}

/* --- plain services ----------------------------------------------------- */

static void call_end(sim_t *s, event_t *ev)
{
	order_t *o = ev->arg;
	sim_engine_t *e = ev->engine;
	event_t *out;

	if (e->down || ev->value != e->boot_id) {
		order_free(o);
		return;
	}
	out = engine_event(s, e, o, EVENT_HEAD);
	out->u.engine_event.http_status = 200;
	engine_event_send(out, e);
	out = engine_event(s, e, o, EVENT_CHUNK);
	buf_printf(&out->data, "ran:%s", o->key);
	engine_event_send(out, e);
	order_done(s, e, o);
	order_free(o);
}

/* Counts a run of a call under its idempotency key. */
static void count_key_run(sim_t *s, attempt_t *attempt, const char *key)
{
	gpointer n = g_hash_table_lookup(s->p->key_run_counts, key);
	guint runs = GPOINTER_TO_UINT(n) + 1;

	g_hash_table_insert(s->p->key_run_counts, g_strdup(key),
			    GUINT_TO_POINTER(runs));
	if (runs > 1 && attempt->req->not_repeatable)
		sim_violation(s, SIM_DOUBLE_RUN, key);
}

/* The latest attempt of the service call with a key; NULL if none. */
static attempt_t *attempt_of_key(sim_t *s, const char *key)
{
	for (guint i = s->p->attempts->len; i > 0; i--) {
		attempt_t *attempt = s->p->attempts->pdata[i - 1];

		if (attempt->req->is_service_call &&
		    !strcmp(attempt->req->key, key))
			return attempt;
	}
	return NULL;
}

/* Returns whether the event of the call's end took the order over. */
static bool order_call(sim_t *s, sim_engine_t *e, order_t *o)
{
	attempt_t *attempt = attempt_of_key(s, o->key);
	bool stall = e->faults.stall > 0, drop = e->faults.drop > 0;
	event_t *ev;

	if (e->leaving)
		check_leaving_target(s, e, o);
	if (e->leaving || e->faults.refuse) {
		e->faults.refuse -= e->faults.refuse > 0;
		order_fail(s, e, o, REASON_TARGET_REFUSED, 503, false);
		return false;
	}
	if (attempt) {
		check_start(s, e, o, attempt);
		count_key_run(s, attempt, attempt->req->key);
	}
	if (stall || drop) {
		e->faults.stall -= stall;
		e->faults.drop -= drop && !stall;
		ev = engine_event(s, e, o, EVENT_FAILED);
		ev->u.engine_event.reason =
			stall ? REASON_TARGET_STALLED : REASON_TARGET_LOST;
		ev->u.engine_event.sent = true;
		event_schedule_after(ev,
				     stall ? s->cfg.serve.progress_timeout_us
					   : s->cfg.deploy->service_delay_ms *
						     USEC_PER_MSEC);
		return false;
	}
	ev = event_new(s, call_end);
	ev->engine = e;
	ev->arg = o;
	ev->value = e->boot_id;
	event_schedule_after(ev,
			     s->cfg.deploy->service_delay_ms * USEC_PER_MSEC);
	return true;
}

/* --- orders arriving at targets ----------------------------------------- */

static void order_report_state(sim_t *s, sim_engine_t *e, const order_t *o)
{
	event_t *ev = engine_event(s, e, o, EVENT_STATE);
	engine_event_t *info = &ev->u.engine_event;
	engine_resident_t *residents =
		xcalloc(e->n_slots + 1, sizeof(*residents));

	for (uint32_t i = 0; i < e->n_slots; i++) {
		const sim_slot_t *slot = &e->slots[i];

		if (!slot->adapter)
			continue;
		residents[info->n_resident].adapter =
			str_copy(str_c(slot->adapter));
		residents[info->n_resident].loading = slot->loading;
		residents[info->n_resident].running = runs_on(e, slot->adapter);
		info->n_resident++;
	}
	ev->arg = residents;
	info->n_running = runs_on(e, NULL);
	info->target_leaving = e->leaving;
	engine_event_send(ev, e);
}

static void order_cancel(sim_t *s, sim_engine_t *e, const order_t *o)
{
	sim_run_t *r, *next;

	cds_list_for_each_entry_safe (r, next, &e->runs, node) {
		if (!r->order || r->order->host != o->host ||
		    r->order->spec.id != o->spec.cancel_order_id)
			continue;
		order_fail(s, e, r->order, REASON_CANCELLED, 0, true);
		run_drop_order(r);
		run_end(s, e, r, false);
	}
}

/* Returns whether the order is fenced off; records the newest fence. */
static bool is_fenced_off(sim_engine_t *e, const order_t *o)
{
	if (o->spec.kind == ORDER_STATE || e->ignores_fence)
		return false;
	if (o->spec.fence >= e->max_fence) {
		e->max_fence = o->spec.fence;
		return false;
	}
	return true;
}

/* Returns whether the order was taken over; else the caller frees it. */
static bool engine_handle_order(sim_t *s, sim_engine_t *e, order_t *o)
{
	event_t *ev;

	if (is_fenced_off(e, o) && o->spec.kind != ORDER_CANCEL) {
		ev = engine_event(s, e, o, EVENT_FAILED);
		ev->u.engine_event.reason = REASON_TARGET_REFUSED;
		ev->u.engine_event.http_status = 409;
		ev->u.engine_event.old_fence = true;
		engine_event_send(ev, e);
		return false;
	}
	switch (o->spec.kind) {
	case ORDER_LOAD:
		return order_load(s, e, o);
	case ORDER_UNLOAD:
		order_unload(s, e, o);
		return false;
	case ORDER_RUN:
		return e->is_service ? order_call(s, e, o) : order_run(s, e, o);
	case ORDER_RESUME:
		return order_resume(s, e, o);
	case ORDER_CANCEL:
		order_cancel(s, e, o);
		return false;
	case ORDER_STATE:
		order_report_state(s, e, o);
		return false;
	}
	return false;
}

void order_arrives(sim_t *s, event_t *ev)
{
	order_t *o = ev->arg;
	sim_engine_t *e = ev->engine;
	bool taken = false;

	if (e->down) {
		if (o->spec.kind != ORDER_CANCEL)
			order_fail(s, e, o, REASON_TARGET_LOST, 0, false);
	} else {
		taken = engine_handle_order(s, e, o);
	}
	/* A resumption that is taken over may have freed its order already. */
	if (!taken)
		order_free(o);
}

sim_engine_t *sim_engine(sim_t *s, const char *name)
{
	for (size_t i = 0; i < s->n_engines; i++)
		if (!strcmp(s->engines[i].name, name))
			return &s->engines[i];
	return NULL;
}

/* Drops the engine's runs and resident adapters; its orders end as lost. */
static void engine_lose_all(sim_t *s, sim_engine_t *e)
{
	sim_run_t *r, *next;
	load_t *l;

	cds_list_for_each_entry_safe (r, next, &e->runs, node) {
		run_fail(s, e, r, REASON_TARGET_LOST, 0);
		run_end(s, e, r, false);
	}
	cds_list_for_each_entry (l, &s->p->loads, node)
		if (l->engine == e && l->boot_id == e->boot_id)
			order_fail(s, e, l->order, REASON_TARGET_LOST, 0, true);
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
	e->leaving_since_us = sim_now(s);
	sim_log(s, "%s is leaving", e->name);
}

void sim_engine_free(sim_engine_t *e)
{
	sim_run_t *r, *next;

	cds_list_for_each_entry_safe (r, next, &e->runs, node)
		run_free(r);
	cds_list_for_each_entry_safe (r, next, &e->ended_runs, node)
		run_free(r);
	for (uint32_t i = 0; i < e->n_slots; i++)
		slot_clear(&e->slots[i]);
	free(e->slots);
	free(e->name);
}

void load_free(load_t *l)
{
	order_free(l->order);
	free(l);
}

void engine_event_free_arg(event_t *ev)
{
	if (ev->fn == order_arrives || ev->fn == call_end)
		order_free(ev->arg);
	if (ev->fn == deliver_engine_event)
		residents_free(ev);
}
