/*
 * orders.c - orders runners to load and unload adapters and models. Each runner
 * gets one order at a time. An order names the number of orders that the runner
 * has to have accepted before it, so that an order that arrives late, after
 * others, fails. After a lost or unexpected answer, the runner's report is read
 * before the next order.
 */
#include "dispatch_int.h"

#include "log.h"

/*
 * A request that is refused because its adapter is not there yet raises the
 * learnt load time to STEP_UP more than the time that it has shown to be too
 * short. One that is answered lowers it by STEP_DOWN. So about one request in
 * 30 may come too early.
 */
#define LOAD_TIME_STEP_UP_US (8 * USEC_PER_MSEC)
#define LOAD_TIME_STEP_DOWN_US (LOAD_TIME_STEP_UP_US / 30)
#define ADAPTER_LOAD_MIN_US (50 * USEC_PER_MSEC)
#define ADAPTER_LOAD_MAX_US (2 * USEC_PER_SEC)
/* Requests later than this after the predicted time teach no load time. */
#define LEARN_WINDOW_US (150 * USEC_PER_MSEC)
/* An adapter that the runner held recently loads faster by this factor. */
#define RECENT_LOAD_SPEEDUP 10
/* From the answer to an order until its effect is certain. */
#define LOAD_MARGIN_US (15 * USEC_PER_MSEC)
#define ADAPTER_SLOTS_DEFAULT 8u
/* A copy that was used within this time is not evicted. */
#define EVICT_MIN_IDLE_US (300 * USEC_PER_MSEC)
/* How long a runner is suspended if another runner has its address. */
#define OTHER_RUNNER_SUSPEND_US (3 * USEC_PER_SEC)
#define REPORT_RETRY_US (300 * USEC_PER_MSEC)
/* Interval at which orders that were not possible are tried again. */
#define ORDER_RETRY_US (10 * USEC_PER_MSEC)
/* Longest time between two calls of orders_tick(). */
#define TICK_INTERVAL_MAX_US (250 * USEC_PER_MSEC)
/* A request that waits longer for an adapter is answered late in most cases. */
#define ON_TIME_WAIT_US (500 * USEC_PER_MSEC)
/* An answer on time is worth as much as this many late ones. */
#define ON_TIME_WORTH 3u
/*
 * To learn what the store can do, a trial requests this many times
 * store_concurrency adapters at once.
 */
#define TRIAL_FACTOR 2u
/* Adapters that are ordered within this time take part in a trial. */
#define TRIAL_DURATION_US (250 * USEC_PER_MSEC)
#define TRIAL_INTERVAL_US (30 * USEC_PER_SEC)
/* Delay, after TRIAL_FACTOR load times, of the report that judges a trial. */
#define TRIAL_REPORT_DELAY_US (20 * USEC_PER_MSEC)
/* Time between two loads of models from the store, if not configured. */
#define MODEL_LOAD_INTERVAL_US (400 * USEC_PER_MSEC)

/*
 * Whether a trial of the store overlapped with the load of the copy. Then more
 * adapters than usual were requested, so that all loads took longer.
 */
static bool overlaps_trial(const dispatch_t *d, const copy_t *c, int64_t now_us)
{
	return d->trial_ends_us &&
	       now_us > d->trial_ends_us - TRIAL_DURATION_US &&
	       c->accepted_us <
		       d->trial_ends_us + d->adapter_load_us * TRIAL_FACTOR;
}

/*
 * A request has found that the copy is not there yet: raises the learnt load
 * time to at least the time since the order.
 */
static void learn_late_load(dispatch_t *d, copy_t *c, int64_t now_us)
{
	int64_t min_load_us =
		now_us - c->accepted_us - LOAD_MARGIN_US + LOAD_TIME_STEP_UP_US;
	int64_t slowest_ready_us = c->accepted_us +
				   d->adapter_load_us * TRIAL_FACTOR +
				   LOAD_MARGIN_US;

	copy_set_state(d, c, COPY_LOADING);
	c->ready_us = now_us + LOAD_MARGIN_US;
	if (!c->load_time_unconfirmed)
		return;
	if (overlaps_trial(d, c, now_us)) {
		if (slowest_ready_us > c->ready_us)
			copy_predict_ready(c, slowest_ready_us);
		return;
	}
	if (d->adapter_load_us < min_load_us)
		d->adapter_load_us = MIN(min_load_us, ADAPTER_LOAD_MAX_US);
}

void orders_learn_load_time(dispatch_t *d, copy_t *c, bool refused,
			    int64_t now_us)
{
	if (now_us - c->predicted_us > LEARN_WINDOW_US)
		return;
	if (refused) {
		learn_late_load(d, c, now_us);
		return;
	}
	if (!c->load_time_unconfirmed)
		return;
	c->load_time_unconfirmed = false;
	d->adapter_load_us -= LOAD_TIME_STEP_DOWN_US;
	d->adapter_load_us = MAX(d->adapter_load_us, ADAPTER_LOAD_MIN_US);
}

/*
 * How long one more adapter waits for the store: each of the store_concurrency
 * concurrent loads makes room for another one once in a load time.
 */
static int64_t store_wait_us(const dispatch_t *d)
{
	uint32_t ahead = d->adapters_loading + d->n_wanted;

	if (ahead < d->store_concurrency)
		return 0;
	return d->adapter_load_us *
	       (int64_t)(ahead - d->store_concurrency + 1) /
	       d->store_concurrency;
}

int64_t orders_estimate_load_us(const dispatch_t *d, const runner_t *r,
				str_t adapter, uint64_t version)
{
	if (runner_held_recently(r, adapter, version))
		return d->adapter_load_us / RECENT_LOAD_SPEEDUP +
		       LOAD_MARGIN_US;
	return d->adapter_load_us + store_wait_us(d) + LOAD_MARGIN_US;
}

int64_t orders_estimate_wanted_us(const dispatch_t *d, const runner_t *r,
				  str_t adapter, uint64_t version,
				  int64_t now_us)
{
	return MAX(d->orders_from_us - now_us, 0) +
	       orders_estimate_load_us(d, r, adapter, version);
}

/* Whether the runner can load the adapter without the store. */
static bool is_cached_adapter(const dispatch_t *d, const runner_t *r,
			      const copy_t *c)
{
	return runner_held_recently(r, c->adapter, decided_version(d, c->key));
}

static uint32_t adapter_slots(const dispatch_t *d, const runner_t *r)
{
	const service_t *s =
		d->manifest ? manifest_find_service(d->manifest, r->service)
			    : NULL;

	return s && s->adapter_slots ? s->adapter_slots : ADAPTER_SLOTS_DEFAULT;
}

/* While a version is loaded, it takes a slot beside the one it replaces. */
static uint32_t adapter_slots_taken(const runner_t *r)
{
	const copy_t *c;
	uint32_t n = 0;

	cds_list_for_each_entry (c, &r->copies, node) {
		if (!c->adapter.n)
			continue;
		n += c->occupies_slot;
		n += c->state == COPY_LOAD_ORDERED ||
		     c->state == COPY_LOADING || c->old_version_held;
	}
	return n;
}

static bool may_evict(const copy_t *c, int64_t now_us)
{
	return c->adapter.n && c->state == COPY_READY && !c->active_grants &&
	       !c->waiting_requests &&
	       now_us - c->last_used_us >= EVICT_MIN_IDLE_US;
}

/* The copy to evict: one of an old version, else the least recently used. */
static copy_t *pick_victim(const dispatch_t *d, const runner_t *r,
			   int64_t now_us)
{
	copy_t *best = NULL;
	copy_t *c;

	cds_list_for_each_entry (c, &r->copies, node) {
		if (!may_evict(c, now_us))
			continue;
		if (!copy_is_current(d, c))
			return c;
		if (!best || c->last_used_us < best->last_used_us)
			best = c;
	}
	return best;
}

load_room_t orders_load_room(const dispatch_t *d, const runner_t *r,
			     int64_t now_us)
{
	load_room_t room = {.victim_idle_us = INT64_MAX};
	uint32_t slots = adapter_slots(d, r);
	const copy_t *victim;
	const copy_t *c;
	uint32_t in_use = 0;
	uint32_t held = 0;

	cds_list_for_each_entry (c, &r->copies, node) {
		if (!c->adapter.n)
			continue;
		room.n_loading += c->state == COPY_WANTED ||
				  c->state == COPY_LOAD_ORDERED ||
				  c->state == COPY_LOADING;
		in_use += c->active_grants || c->waiting_requests ||
			  c->state != COPY_READY;
		held += 1 + c->old_version_held;
	}
	room.possible = in_use < slots && room.n_loading < RUNNER_LOADS_MAX * 2;
	if (held < slots)
		return room;
	victim = pick_victim(d, r, now_us);
	room.victim_idle_us = victim ? now_us - victim->last_used_us : 0;
	if (victim && !copy_is_current(d, victim))
		room.victim_idle_us = INT64_MAX;
	return room;
}

static bool may_order(const dispatch_t *d, const runner_t *r, int64_t now_us)
{
	return d->active && now_us >= d->orders_from_us &&
	       now_us < d->lease_until_us && !r->order_pending &&
	       !runner_is_leaving(r) && now_us >= r->suspended_until_us;
}

static void request_report_by(runner_t *r, int64_t at_us)
{
	if (r->report_due_us > at_us)
		r->report_due_us = at_us;
}

/* Requests a report because the number of accepted orders is unknown. */
static void request_resync_by(runner_t *r, int64_t at_us)
{
	r->seq_known = false;
	request_report_by(r, at_us);
}

static void send_order(dispatch_t *d, runner_t *r, copy_t *c, bool load,
		       int64_t now_us)
{
	runner_order_t o = {
		.load = load,
		.model = c->model,
		.adapter = c->adapter,
		.version = load ? decided_version(d, c->key) : 0,
		.holder = d->cfg.holder,
		.fence = d->term,
		.expected_seq = r->seq,
	};

	r->order_pending = true;
	r->ordered_copy = c;
	c->ordered_us = now_us;
	copy_set_state(d, c, load ? COPY_LOAD_ORDERED : COPY_UNLOAD_ORDERED);
	if (load) {
		c->version = o.version;
		c->confirmed = false;
	}
	d->ops.order(d->ctx, r->id, r->addr, &o);
}

static uint32_t count_loading(const runner_t *r)
{
	const copy_t *c;
	uint32_t n = 0;

	cds_list_for_each_entry (c, &r->copies, node)
		n += c->adapter.n && (c->state == COPY_LOADING ||
				      c->state == COPY_LOAD_ORDERED);
	return n;
}

static bool holds_model(const runner_t *r)
{
	const copy_t *c;

	cds_list_for_each_entry (c, &r->copies, node)
		if (!c->adapter.n)
			return true;
	return false;
}

/*
 * Makes a runner without a model load one of its service: the one that it has
 * in its own memory or on disk, else the service's first one. The latter comes
 * from the store, at the rate that the manifest allows.
 */
static void want_model(dispatch_t *d, runner_t *r, int64_t now_us)
{
	const service_t *s = manifest_find_service(d->manifest, r->service);
	const model_spec_t *m;

	if (!s || !s->engine || !s->n_models || !r->models_known ||
	    holds_model(r))
		return;
	m = service_find_model(s, r->local_weights);
	if (!m && now_us < d->next_model_load_us)
		return;
	if (!m) {
		m = &s->models[0];
		d->next_model_load_us = now_us + MODEL_LOAD_INTERVAL_US;
		if (s->loads_per_s > 0)
			d->next_model_load_us =
				now_us + (int64_t)((double)USEC_PER_SEC /
						   s->loads_per_s);
	}
	runner_add_copy(d, r, m->name, str_n(NULL, 0), COPY_WANTED)->wanted_us =
		now_us;
}

/* What loading a copy now is worth, for all requests that wait for it. */
static uint32_t load_value(const copy_t *c, int64_t now_us)
{
	bool on_time = now_us - c->wanted_us < ON_TIME_WAIT_US;

	return c->waiting_requests * (on_time ? ON_TIME_WORTH : 1);
}

/*
 * Whether to load a before b: a is a model, or its load has a higher value, or
 * the same value and was wanted later. b may be NULL.
 */
static bool goes_before(const copy_t *a, const copy_t *b, int64_t now_us)
{
	uint32_t value_a, value_b;

	if (!b || !a->adapter.n)
		return true;
	value_a = load_value(a, now_us);
	value_b = load_value(b, now_us);
	return value_a != value_b ? value_a > value_b
				  : a->wanted_us > b->wanted_us;
}

/* How many adapters may be loaded from the store at once. */
static uint32_t store_limit(const dispatch_t *d, int64_t now_us)
{
	return now_us < d->trial_ends_us ? d->store_concurrency * TRIAL_FACTOR
					 : d->store_concurrency;
}

/* Begins a trial if more adapters are wanted than the store delivers. */
static void maybe_begin_trial(dispatch_t *d, int64_t now_us)
{
	if (d->n_wanted < d->store_concurrency || now_us < d->next_trial_us)
		return;
	d->next_trial_us = now_us + TRIAL_INTERVAL_US;
	d->trial_base_concurrency = d->store_concurrency;
	d->trial_ends_us = now_us + TRIAL_DURATION_US;
	d->trial_on_time = 0;
	d->trial_failed = false;
}

/* Whether the copy may be ordered from the runner now. */
static bool may_load(const dispatch_t *d, const runner_t *r, const copy_t *c,
		     int64_t now_us)
{
	if (c->state != COPY_WANTED)
		return false;
	if (!c->adapter.n)
		return true;
	if (count_loading(r) >= RUNNER_LOADS_MAX)
		return false;
	return d->adapters_loading < store_limit(d, now_us) ||
	       is_cached_adapter(d, r, c);
}

/* The runner's copy to be ordered next; NULL: none now. */
static copy_t *next_wanted(const dispatch_t *d, const runner_t *r,
			   int64_t now_us)
{
	copy_t *best = NULL;
	copy_t *c;

	cds_list_for_each_entry (c, &r->copies, node)
		if (may_load(d, r, c, now_us) && goes_before(c, best, now_us))
			best = c;
	return best;
}

static void order_load(dispatch_t *d, runner_t *r, copy_t *c, int64_t now_us)
{
	copy_t *victim;

	if (!c->adapter.n || adapter_slots_taken(r) < adapter_slots(d, r)) {
		send_order(d, r, c, true, now_us);
		return;
	}
	victim = c->occupies_slot ? c : pick_victim(d, r, now_us);
	if (victim)
		send_order(d, r, victim, false, now_us);
	else
		r->no_room_us = now_us;
}

static bool send_next_order(dispatch_t *d, int64_t now_us)
{
	runner_t *best_runner = NULL;
	copy_t *best = NULL;
	runner_t *r;

	cds_list_for_each_entry (r, &d->wanting, wanted) {
		copy_t *c;

		if (r->no_room_us == now_us || !may_order(d, r, now_us))
			continue;
		c = next_wanted(d, r, now_us);
		if (!c)
			continue;
		if (!r->seq_known) {
			request_resync_by(
				r,
				MAX(now_us, r->order_ended_us + REPORT_LAG_US));
			continue;
		}
		if (!goes_before(c, best, now_us))
			continue;
		best = c;
		best_runner = r;
	}
	if (!best)
		return false;
	order_load(d, best_runner, best, now_us);
	return true;
}

void orders_send_due(dispatch_t *d, int64_t now_us)
{
	if (!d->manifest)
		return;
	maybe_begin_trial(d, now_us);
	while (send_next_order(d, now_us))
		;
}

/* Expected time from the acceptance of a load order until the copy is ready. */
static int64_t load_us(const dispatch_t *d, const runner_t *r, const copy_t *c)
{
	const service_t *s = manifest_find_service(d->manifest, r->service);
	const model_spec_t *m = s ? service_find_model(s, c->model) : NULL;

	if (!c->adapter.n && !m)
		return USEC_PER_SEC;
	if (!c->adapter.n && !str_eq(r->local_weights, c->model))
		return m->load_us + LOAD_MARGIN_US;
	if (!c->adapter.n)
		return (r->in_memory ? m->memory_load_us : m->disk_load_us) +
		       LOAD_MARGIN_US;
	if (is_cached_adapter(d, r, c))
		return d->adapter_load_us / RECENT_LOAD_SPEEDUP +
		       LOAD_MARGIN_US;
	if (d->adapters_loading <= d->store_concurrency)
		return d->adapter_load_us + LOAD_MARGIN_US;
	return d->adapter_load_us * TRIAL_FACTOR + LOAD_MARGIN_US;
}

/* Handles an accepted order; done: it was complete at once. */
static void on_accepted(dispatch_t *d, runner_t *r, copy_t *c, bool done,
			int64_t now_us)
{
	r->seq += done ? 0 : 1;
	/* The answer does not tell whether the runner counted the order. */
	if (done)
		request_resync_by(r, now_us + REPORT_LAG_US);
	if (!c)
		return;
	if (c->state == COPY_UNLOAD_ORDERED) {
		/* The runner unloads it when its requests have ended. */
		r->unloaded_us = now_us;
		c->unload_pending = true;
		copy_set_state(d, c, COPY_READY);
		copy_mark_uncertain(d, r, c, now_us);
		return;
	}
	if (done) {
		copy_set_state(d, c, COPY_READY);
		copy_predict_ready(c, now_us);
		pending_copy_ready(d, c, now_us);
		return;
	}
	c->accepted_us = now_us;
	copy_predict_ready(c, now_us + load_us(d, r, c));
	c->confirmed = true;
	c->unload_pending = false;
	c->old_version_held = c->occupies_slot;
	c->load_time_unconfirmed = c->adapter.n && !is_cached_adapter(d, r, c);
	copy_set_state(d, c, COPY_LOADING);
	if (!c->adapter.n)
		return;
	if (d->adapters_loading + 1 >= d->store_concurrency * TRIAL_FACTOR &&
	    !is_cached_adapter(d, r, c)) {
		/* The report shows whether it was loaded as fast as usual. */
		d->trial_unknown += !c->concurrent_loads;
		c->concurrent_loads = d->adapters_loading;
		request_report_by(r, now_us +
					     d->adapter_load_us * TRIAL_FACTOR +
					     TRIAL_REPORT_DELAY_US);
	}
	runner_record_adapter(r, c->adapter, c->version);
}

/*
 * Handles an unload that was complete at once. The runner has counted the order
 * if there was something to unload.
 */
static void on_unloaded(dispatch_t *d, runner_t *r, copy_t *c, int64_t now_us)
{
	if (c->confirmed)
		r->seq++;
	else
		request_resync_by(r, now_us + REPORT_LAG_US);
	r->unloaded_us = now_us;
	runner_remove_copy(d, r, c);
}

/* Returns the copy to its state before the order, as far as that is known. */
static void undo_order(dispatch_t *d, copy_t *c, bool no_answer)
{
	if (c && c->state == COPY_UNLOAD_ORDERED) {
		c->unload_pending |= no_answer;
		c->confirmed &= !no_answer;
		copy_set_state(d, c, COPY_READY);
	} else if (c && c->state == COPY_LOAD_ORDERED) {
		copy_set_state(d, c, COPY_WANTED);
		c->occupies_slot = true; /* the runner may have accepted it */
	}
}

void orders_result(dispatch_t *d, runner_t *r, order_result_t result,
		   int64_t now_us)
{
	copy_t *c = r->ordered_copy;

	if (!r->order_pending)
		return;
	r->order_pending = false;
	r->ordered_copy = NULL;
	r->order_ended_us = now_us;
	switch (result) {
	case ORDER_ACCEPTED:
	case ORDER_DONE:
		if (c && c->state == COPY_UNLOAD_ORDERED &&
		    result == ORDER_DONE) {
			on_unloaded(d, r, c, now_us);
			break;
		}
		on_accepted(d, r, c, result == ORDER_DONE, now_us);
		break;
	case ORDER_CONFLICT:
	case ORDER_NO_ANSWER:
		if (result == ORDER_NO_ANSWER)
			d->order_lost_us = now_us;
		undo_order(d, c, result == ORDER_NO_ANSWER);
		request_resync_by(r, now_us + REPORT_LAG_US);
		break;
	case ORDER_FENCED:
		log_event(LOG_NOTICE, "order_fenced", kv_s("runner", r->id),
			  kv_u("term", d->term));
		undo_order(d, c, false);
		d->lease_until_us = INT64_MIN;
		break;
	case ORDER_REFUSED:
		/* Another runner has its address, as the list will show. */
		undo_order(d, c, false);
		runner_suspend(r, now_us + OTHER_RUNNER_SUSPEND_US);
		request_resync_by(r, now_us + OTHER_RUNNER_SUSPEND_US);
		break;
	}
	orders_send_due(d, now_us);
}

/*
 * Marks loading copies whose expected time has come as ready; returns when the
 * next one is expected.
 */
static int64_t mark_ready_copies(dispatch_t *d, runner_t *r, int64_t now_us)
{
	int64_t due = INT64_MAX;
	copy_t *c, *tmp;

	if (!r->n_loading)
		return due;
	cds_list_for_each_entry_safe (c, tmp, &r->copies, node) {
		if (c->state != COPY_LOADING)
			continue;
		if (c->ready_us > now_us) {
			due = c->ready_us < due ? c->ready_us : due;
			continue;
		}
		copy_set_state(d, c, COPY_READY);
		c->last_used_us = now_us;
		pending_copy_ready(d, c, now_us);
	}
	return due;
}

int64_t orders_tick(dispatch_t *d, int64_t now_us)
{
	int64_t due = INT64_MAX;
	runner_t *r;

	if (d->manifest)
		cds_list_for_each_entry (r, &d->runners, node)
			if (cds_list_empty(&r->copies))
				want_model(d, r, now_us);
	orders_send_due(d, now_us);
	/* What cannot be ordered now may be possible then. */
	if (d->n_wanted)
		due = now_us + ORDER_RETRY_US;
	cds_list_for_each_entry (r, &d->runners, node) {
		int64_t at = mark_ready_copies(d, r, now_us);

		due = at < due ? at : due;
		if (!r->report_pending && r->report_due_us <= now_us) {
			r->report_pending = true;
			r->report_asked_us = now_us;
			r->report_due_us = now_us + REPORT_RETRY_US;
			d->ops.request_report(d->ctx, r->id, r->addr);
		}
		if (!r->report_pending && r->report_due_us < due)
			due = r->report_due_us;
	}
	return due < now_us + TICK_INTERVAL_MAX_US
		       ? due
		       : now_us + TICK_INTERVAL_MAX_US;
}
