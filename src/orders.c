/*
 * orders.c - has adapters and models loaded and dropped. One order at a time
 * goes to a runner; each expects the number of orders accepted before, so that
 * one that is carried out late, after others, fails. Where an answer is lost or
 * unexpected, the runner's report is read before the next order.
 */
#include "dispatch_int.h"

#include "log.h"

/* A load takes at least as long as a refused request has shown, and so much
 * more; one in so many requests may come too early. */
#define LEARN_UP_US (8 * USEC_PER_MSEC)
#define LEARN_DOWN_US (LEARN_UP_US / 30)
#define ADAPTER_MIN_US (50 * USEC_PER_MSEC)
#define ADAPTER_MAX_US (2 * USEC_PER_SEC)
#define FRESH_US (150 * USEC_PER_MSEC)
/* One that the runner held recently comes so much faster. */
#define HELD_SPEEDUP 10
/* From the order's answer to its effect being sure. */
#define LOAD_MARGIN_US (15 * USEC_PER_MSEC)
#define SLOTS_DEFAULT 8u
/* A copy that was used last within this time is not dropped for another. */
#define KEEP_USED_US (300 * USEC_PER_MSEC)
/* How long a runner whose address another one has is left alone. */
#define OTHER_RUNNER_US (3 * USEC_PER_SEC)
#define PROBE_RETRY_US (300 * USEC_PER_MSEC)
/* How often orders that could not be given are tried again. */
#define PUMP_US (10 * USEC_PER_MSEC)
#define EMPTY_US (250 * USEC_PER_MSEC)
/* A request that waits for an adapter for longer is late in most cases. */
#define IN_TIME_US (500 * USEC_PER_MSEC)
#define LATE_DIV 3u
/* How many more adapters are tried at once, to learn what the store can do. */
#define TRY_FACTOR 2u
/* Adapters that are ordered within this time take part in a trial. */
#define TRIAL_US (250 * USEC_PER_MSEC)
#define TRIAL_EVERY_US (30 * USEC_PER_SEC)
#define SEEN_US (20 * USEC_PER_MSEC)
/* Between two loads of models from the store. */
#define MODEL_GAP_MIN_US (400 * USEC_PER_MSEC)

/* Whether more than usual was asked of the store while the copy was on its
 * way, so that all took longer. */
static bool met_trial(const dispatch_t *d, const copy_t *c, int64_t now_us)
{
	return d->trial_ends_us && now_us > d->trial_ends_us - TRIAL_US &&
	       c->accepted_us <
		       d->trial_ends_us + d->adapter_load_us * TRY_FACTOR;
}

/* The copy was not there yet: loads take longer than it has been on its way. */
static void learn_longer(dispatch_t *d, copy_t *c, int64_t now_us)
{
	int64_t shown = now_us - c->accepted_us - LOAD_MARGIN_US + LEARN_UP_US;
	int64_t slowest = c->accepted_us + d->adapter_load_us * TRY_FACTOR +
			  LOAD_MARGIN_US;

	copy_set_state(d, c, COPY_LOADING);
	c->ready_us = now_us + LOAD_MARGIN_US;
	if (!c->load_time_unconfirmed)
		return;
	if (met_trial(d, c, now_us)) {
		if (slowest > c->ready_us)
			copy_predict_ready(c, slowest);
		return;
	}
	if (d->adapter_load_us < shown)
		d->adapter_load_us = MIN(shown, ADAPTER_MAX_US);
}

void orders_learn_load_time(dispatch_t *d, copy_t *c, bool refused,
			    int64_t now_us)
{
	if (now_us - c->predicted_us > FRESH_US)
		return;
	if (refused) {
		learn_longer(d, c, now_us);
		return;
	}
	if (!c->load_time_unconfirmed)
		return;
	c->load_time_unconfirmed = false;
	d->adapter_load_us -= LEARN_DOWN_US;
	d->adapter_load_us = MAX(d->adapter_load_us, ADAPTER_MIN_US);
}

/* How long the store lets one more adapter wait: each of its places is free
 * again once in the time that a load takes. */
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
		return d->adapter_load_us / HELD_SPEEDUP + LOAD_MARGIN_US;
	return d->adapter_load_us + store_wait_us(d) + LOAD_MARGIN_US;
}

/* Whether the runner need not fetch the copy from the store. */
static bool is_at_hand(const dispatch_t *d, const runner_t *r, const copy_t *c)
{
	return runner_held_recently(r, c->adapter, decided_version(d, c->key));
}

static uint32_t adapter_slots(const dispatch_t *d, const runner_t *r)
{
	const service_t *s =
		d->manifest ? manifest_service(d->manifest, r->service) : NULL;

	return s && s->adapter_slots ? s->adapter_slots : SLOTS_DEFAULT;
}

/* A version on its way takes a slot beside the one that it replaces. */
static uint32_t adapters_held(const runner_t *r)
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

static bool may_drop(const copy_t *c, int64_t now_us)
{
	return c->adapter.n && c->state == COPY_READY && !c->active_grants &&
	       !c->waiting_requests && now_us - c->last_used_us >= KEEP_USED_US;
}

/* The copy that is needed least: an old version, else the one used longest
 * ago. */
static copy_t *pick_victim(const dispatch_t *d, const runner_t *r,
			   int64_t now_us)
{
	copy_t *best = NULL;
	copy_t *c;

	cds_list_for_each_entry (c, &r->copies, node) {
		if (!may_drop(c, now_us))
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
	uint32_t taken = 0;
	uint32_t held = 0;

	cds_list_for_each_entry (c, &r->copies, node) {
		if (!c->adapter.n)
			continue;
		room.n_loading += c->state == COPY_WANTED ||
				  c->state == COPY_LOAD_ORDERED ||
				  c->state == COPY_LOADING;
		taken += c->active_grants || c->waiting_requests ||
			 c->state != COPY_READY;
		held += 1 + c->old_version_held;
	}
	room.possible = taken < slots && room.n_loading < RUNNER_LOADS_MAX * 2;
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
	       !r->draining && now_us >= r->suspended_until_us;
}

static void need_probe(runner_t *r, int64_t at_us)
{
	if (r->report_due_us > at_us)
		r->report_due_us = at_us;
}

static void need_report(runner_t *r, int64_t at_us)
{
	r->seq_known = false;
	need_probe(r, at_us);
}

static void give(dispatch_t *d, runner_t *r, copy_t *c, bool load,
		 int64_t now_us)
{
	runner_order_t o = {
		.load = load,
		.model = c->model,
		.adapter = c->adapter,
		.version = load ? decided_version(d, c->key) : 0,
		.holder = d->cfg.holder,
		.fence = d->term,
		.expect = r->seq,
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

static uint32_t count_coming(const runner_t *r)
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
 * An empty runner gets a model of its service: the one that it has at hand,
 * else the first, from the store at the store's rate.
 */
static void want_model(dispatch_t *d, runner_t *r, int64_t now_us)
{
	const service_t *s = manifest_service(d->manifest, r->service);
	const model_spec_t *m;

	if (!s || !s->engine || !s->n_models || !r->models_known ||
	    holds_model(r))
		return;
	m = service_model(s, r->at_hand);
	if (!m && now_us < d->next_model_load_us)
		return;
	if (!m) {
		m = &s->models[0];
		d->next_model_load_us = now_us + MODEL_GAP_MIN_US;
		if (s->loads_per_s > 0)
			d->next_model_load_us =
				now_us + (int64_t)((double)USEC_PER_SEC /
						   s->loads_per_s);
	}
	runner_add_copy(d, r, m->name, str_n(NULL, 0), COPY_WANTED)->wanted_us =
		now_us;
}

/* What loading a copy now is worth: a late answer is worth a third. */
static uint32_t load_worth(const copy_t *c, int64_t now_us)
{
	bool in_time = now_us - c->wanted_us < IN_TIME_US;

	return c->waiting_requests * (in_time ? LATE_DIV : 1);
}

/* Whether a goes before b: worth more, else wanted for longer. */
static bool goes_before(const copy_t *a, const copy_t *b, int64_t now_us)
{
	uint32_t wa, wb;

	if (!b || !a->adapter.n)
		return true;
	wa = load_worth(a, now_us);
	wb = load_worth(b, now_us);
	return wa != wb ? wa > wb : a->wanted_us > b->wanted_us;
}

/* How many adapters the store may be asked for at once. */
static uint32_t store_limit(const dispatch_t *d, int64_t now_us)
{
	return now_us < d->trial_ends_us ? d->store_concurrency * TRY_FACTOR
					 : d->store_concurrency;
}

/* Begins a trial where more adapters are wanted than the store brings. */
static void consider_trial(dispatch_t *d, int64_t now_us)
{
	if (d->n_wanted < d->store_concurrency || now_us < d->next_trial_us)
		return;
	d->next_trial_us = now_us + TRIAL_EVERY_US;
	d->trial_base_concurrency = d->store_concurrency;
	d->trial_ends_us = now_us + TRIAL_US;
	d->trial_on_time = 0;
	d->trial_failed = false;
}

/* Whether the runner can take an order for the copy now. */
static bool may_load(const dispatch_t *d, const runner_t *r, const copy_t *c,
		     int64_t now_us)
{
	if (c->state != COPY_WANTED)
		return false;
	if (!c->adapter.n)
		return true;
	if (count_coming(r) >= RUNNER_LOADS_MAX)
		return false;
	return d->adapters_loading < store_limit(d, now_us) ||
	       is_at_hand(d, r, c);
}

/* The runner's next copy to be ordered; NULL: none now. */
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

static void order_copy(dispatch_t *d, runner_t *r, copy_t *c, int64_t now_us)
{
	copy_t *victim;

	if (!c->adapter.n || adapters_held(r) < adapter_slots(d, r)) {
		give(d, r, c, true, now_us);
		return;
	}
	victim = c->occupies_slot ? c : pick_victim(d, r, now_us);
	if (victim)
		give(d, r, victim, false, now_us);
	else
		r->no_room_us = now_us;
}

static bool order_next(dispatch_t *d, int64_t now_us)
{
	runner_t *best_runner = NULL;
	copy_t *best = NULL;
	runner_t *r;

	cds_list_for_each_entry (r, &d->runners, node) {
		copy_t *c;

		if (cds_list_empty(&r->copies))
			want_model(d, r, now_us);
		if (!r->n_wanted || r->no_room_us == now_us ||
		    !may_order(d, r, now_us))
			continue;
		c = next_wanted(d, r, now_us);
		if (!c)
			continue;
		if (!r->seq_known) {
			need_report(r, now_us);
			continue;
		}
		if (!goes_before(c, best, now_us))
			continue;
		best = c;
		best_runner = r;
	}
	if (!best)
		return false;
	order_copy(d, best_runner, best, now_us);
	return true;
}

void orders_send_due(dispatch_t *d, int64_t now_us)
{
	if (!d->manifest)
		return;
	consider_trial(d, now_us);
	while (order_next(d, now_us))
		;
}

/* How long the copy that was just ordered takes. */
static int64_t load_us(const dispatch_t *d, const runner_t *r, const copy_t *c)
{
	const service_t *s = manifest_service(d->manifest, r->service);
	const model_spec_t *m = s ? service_model(s, c->model) : NULL;

	if (!c->adapter.n && !m)
		return USEC_PER_SEC;
	if (!c->adapter.n && !str_eq(r->at_hand, c->model))
		return m->load_us + LOAD_MARGIN_US;
	if (!c->adapter.n)
		return (r->in_memory ? m->warm_us : m->disk_us) +
		       LOAD_MARGIN_US;
	if (is_at_hand(d, r, c))
		return d->adapter_load_us / HELD_SPEEDUP + LOAD_MARGIN_US;
	if (d->adapters_loading <= d->store_concurrency)
		return d->adapter_load_us + LOAD_MARGIN_US;
	return d->adapter_load_us * TRY_FACTOR + LOAD_MARGIN_US;
}

static void accepted(dispatch_t *d, runner_t *r, copy_t *c, bool holds,
		     int64_t now_us)
{
	r->seq += holds ? 0 : 1;
	if (holds) /* whether it was counted is not said */
		need_report(r, now_us + REPORT_LAG_US);
	if (!c)
		return;
	if (c->state == COPY_UNLOAD_ORDERED) {
		/* It goes once its runs have ended. */
		r->unloaded_us = now_us;
		c->unload_pending = true;
		copy_set_state(d, c, COPY_READY);
		copy_mark_uncertain(d, r, c, now_us);
		return;
	}
	if (holds) {
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
	c->load_time_unconfirmed = c->adapter.n && !is_at_hand(d, r, c);
	copy_set_state(d, c, COPY_LOADING);
	if (!c->adapter.n)
		return;
	if (d->adapters_loading + 1 >= d->store_concurrency * TRY_FACTOR &&
	    !is_at_hand(d, r, c)) {
		/* The report tells whether it came as fast all the same. */
		c->concurrent_loads = d->adapters_loading;
		need_probe(r,
			   now_us + d->adapter_load_us * TRY_FACTOR + SEEN_US);
	}
	runner_record_adapter(r, c->adapter, c->version);
}

/* An unload is done at once, and counted if there was anything to unload. */
static void dropped(dispatch_t *d, runner_t *r, copy_t *c, int64_t now_us)
{
	if (c->confirmed)
		r->seq++;
	else
		need_report(r, now_us + REPORT_LAG_US);
	r->unloaded_us = now_us;
	runner_remove_copy(d, r, c);
}

/* The copy is as it was before the order, as far as is known. */
static void undo(dispatch_t *d, copy_t *c, bool lost)
{
	if (c && c->state == COPY_UNLOAD_ORDERED) {
		c->unload_pending |= lost;
		c->confirmed &= !lost;
		copy_set_state(d, c, COPY_READY);
	} else if (c && c->state == COPY_LOAD_ORDERED) {
		copy_set_state(d, c, COPY_WANTED);
		c->occupies_slot =
			true; /* it may have been taken all the same */
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
			dropped(d, r, c, now_us);
			break;
		}
		accepted(d, r, c, result == ORDER_DONE, now_us);
		break;
	case ORDER_CONFLICT:
	case ORDER_NO_ANSWER:
		undo(d, c, result == ORDER_NO_ANSWER);
		need_report(r, now_us + REPORT_LAG_US);
		break;
	case ORDER_FENCED:
		log_event(LOG_NOTICE, "order_fenced", kv_s("runner", r->id),
			  kv_u("term", d->term));
		undo(d, c, false);
		d->lease_until_us = INT64_MIN;
		break;
	case ORDER_REFUSED:
		/* Another runner has its address; the list will say so. */
		undo(d, c, false);
		runner_suspend(r, now_us + OTHER_RUNNER_US);
		need_report(r, now_us + OTHER_RUNNER_US);
		break;
	}
	orders_send_due(d, now_us);
}

static int64_t ready_copies(dispatch_t *d, runner_t *r, int64_t now_us)
{
	int64_t due = INT64_MAX;
	copy_t *c, *tmp;

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

	orders_send_due(d, now_us);
	if (d->n_wanted)
		due = now_us +
		      PUMP_US; /* what cannot be ordered now may be then */
	cds_list_for_each_entry (r, &d->runners, node) {
		int64_t at = ready_copies(d, r, now_us);

		due = at < due ? at : due;
		if (!r->report_pending && r->report_due_us <= now_us) {
			r->report_pending = true;
			r->report_asked_us = now_us;
			r->report_due_us = now_us + PROBE_RETRY_US;
			d->ops.request_report(d->ctx, r->id, r->addr);
		}
		if (!r->report_pending && r->report_due_us < due)
			due = r->report_due_us;
	}
	return due < now_us + EMPTY_US ? due : now_us + EMPTY_US;
}
