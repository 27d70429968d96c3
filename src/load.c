/*
 * load.c - loading of adapters into the slots of an owned target: which ones
 * are needed, weight-store permits, evictions, and backoff after failures.
 */
#include "owner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "log.h"

/*
 * A slot with waiting requests is given up only after its adapter has been
 * resident for this many load times.
 */
#define MIN_RESIDENCE_LOADS 4
/* Factor on the eviction cost of a version that is not the current one. */
#define OLD_VERSION_COST_FACTOR 0.2
/* Backoff after failed loads of one adapter on one target; it doubles. */
#define LOAD_BACKOFF_MIN_US USEC_PER_SEC
#define LOAD_BACKOFF_MAX_US (60 * USEC_PER_SEC)

/* Loads. */

static str_t adapter_name(str_t adapter)
{
	str_t name, version;

	str_split(adapter, '@', &name, &version);
	return name;
}

uint32_t adapter_name_hash(str_t adapter)
{
	return slot_hash(adapter_name(adapter));
}

static load_t *load_find(owner_t *o, str_t adapter)
{
	load_t *l;

	cds_list_for_each_entry (l, &o->loads, node)
		if (str_eq(l->adapter, adapter))
			return l;
	return NULL;
}

static load_t *load_new(owner_t *o, str_t adapter, int64_t load_us, int64_t now)
{
	load_t *l = xcalloc(1, sizeof(*l));

	l->adapter = str_copy(adapter);
	l->adapter_hash = slot_hash(adapter);
	l->load_us = load_us;
	l->created_us = now;
	cds_list_add_tail(&l->node, &o->loads);
	o->report_urgent = true;
	return l;
}

void load_delete(load_t *l)
{
	cds_list_del(&l->node);
	str_free(&l->adapter);
	free(l);
}

static void load_send_permit_ask(owner_t *o, load_t *l, bool cancel, bool held)
{
	shard_t *sh = o->sh;
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitAsk m = SERVE__PERMIT_ASK__INIT;

	if (!sh->s->cfg.policy.permits)
		return;
	m.target = o->id;
	m.adapter = pb_bytes(l->adapter);
	m.waiting = l->waiting;
	m.slack_us = l->deadline_us - core_now(sh->s);
	m.cancel = cancel;
	m.prefetch = l->prefetch && !l->waiting;
	m.held = held;
	l->reported_waiting = l->waiting;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_ASK;
	msg.permit_ask = &m;
	core_send(sh->s, sh->lease_status.leader, &msg);
}

void load_end(owner_t *o, load_t *l)
{
	if (l->phase != LOAD_NEEDS_SLOT)
		load_send_permit_ask(o, l, true, false);
	load_delete(l);
}

static void load_start(owner_t *o, load_t *l, slot_t *slot)
{
	engine_order_t eo = {0};
	int64_t now = owner_now(o);

	slot_assign(slot, l->adapter, SLOT_LOADING);
	slot->load_us = l->load_us;
	slot->last_used_us = now;
	o->slots_changed_us = now;
	l->phase = LOAD_IN_PROGRESS;
	eo.kind = ORDER_LOAD;
	eo.adapter = l->adapter;
	counter_add(CTR_LOADS, 1);
	slot->order_id = owner_send_order(o, &eo, NULL)->id;
}

static void load_evict(owner_t *o, load_t *l, slot_t *slot)
{
	engine_order_t eo = {0};

	slot->state = SLOT_UNLOADING;
	o->slots_changed_us = owner_now(o);
	l->phase = LOAD_EVICTING;
	eo.kind = ORDER_UNLOAD;
	eo.adapter = slot->adapter;
	counter_add(CTR_EVICTIONS, 1);
	slot->order_id = owner_send_order(o, &eo, NULL)->id;
}

/* Whether a resident adapter is pinned by nothing but this owner's runs. */
static bool slot_pinned_by_runs_only(const slot_t *slot)
{
	return slot->state == SLOT_RESIDENT && slot->running &&
	       !slot->n_waiting && !slot->foreign && !slot->order_id;
}

/* Whether the slot's requests could go to another target with the adapter. */
static bool slot_is_spare_copy(const slot_t *slot)
{
	return slot->state == SLOT_RESIDENT && slot->redundant &&
	       !slot->foreign && !slot->order_id && !slot->draining;
}

/* Expected time until this owner's runs on the slot end. */
static int64_t slot_time_to_idle_us(owner_t *o, const slot_t *slot, int64_t now)
{
	int64_t remaining = 0;
	const run_t *r;

	if (!slot->running)
		return 0;
	cds_list_for_each_entry (r, &o->started_runs, node)
		if (r->adapter_hash == slot->hash &&
		    r->started_us + r->item.cost_us - now > remaining)
			remaining = r->started_us + r->item.cost_us - now;
	return remaining;
}

/* Whether the slot holds a version that is not the adapter's current one. */
static bool slot_is_old_version(const owner_t *o, const slot_t *slot)
{
	const adapter_t *a;
	uint32_t version;
	str_t name;

	if (model_parse(slot->adapter, &name, &version))
		return false;
	a = decided_adapter_by_name(o->sh->tables, name);
	return !a || a->current_version != version;
}

void owner_prefetch(owner_t *o, int64_t now)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;
	const adapter_t *a;
	load_t *l;

	if (!cfg->policy.prefetch || o->leaving)
		return;
	for (uint32_t i = 0; i < o->slots.n; i++) {
		const slot_t *slot = &o->slots.v[i];
		AUTO_BUF buf_t next = {0};

		if (slot->state != SLOT_RESIDENT ||
		    !slot_is_old_version(o, slot))
			continue;
		a = decided_adapter_by_name(o->sh->tables,
					    adapter_name(slot->adapter));
		if (!a || !a->current_version)
			continue;
		buf_printf(&next, "%.*s@%u", STR_ARG(a->name),
			   a->current_version);
		if (slots_find(&o->slots, buf_str(&next)) ||
		    load_find(o, buf_str(&next)))
			continue;
		l = load_new(o, buf_str(&next), slot->load_us, now);
		l->prefetch = true;
		l->deadline_us = INT64_MAX / 2;
	}
}

void owner_update_evict_costs(owner_t *o, int64_t now)
{
	for (uint32_t i = 0; i < o->slots.n; i++) {
		slot_t *slot = &o->slots.v[i];

		if (slot->state != SLOT_RESIDENT)
			continue;
		slot->runs_left_us = slot_time_to_idle_us(o, slot, now);
		slot->evict_cost_us =
			place_evict_cost(&o->sh->s->place,
					 adapter_name(slot->adapter),
					 slot->hash, o->id, slot->load_us, now,
					 &slot->redundant);
		if (slot_is_old_version(o, slot))
			slot->evict_cost_us *= OLD_VERSION_COST_FACTOR;
	}
}

static int compare_costs(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

size_t owner_evict_costs(owner_t *o, uint64_t *costs, int64_t now)
{
	size_t n = 0, pending = 0;
	const load_t *l;

	owner_update_evict_costs(o, now);
	for (uint32_t i = 0; i < o->slots.n; i++) {
		const slot_t *slot = &o->slots.v[i];

		if (slot->state == SLOT_EMPTY)
			costs[n++] = 0;
		else if (slot_evictable(slot) || slot_pinned_by_runs_only(slot))
			costs[n++] = (uint64_t)slot->evict_cost_us +
				     (uint64_t)slot->runs_left_us;
	}
	qsort(costs, n, sizeof(*costs), compare_costs);
	cds_list_for_each_entry (l, &o->loads, node)
		pending += l->phase <= LOAD_PERMIT_ASKED;
	if (pending > n)
		pending = n;
	memmove(costs, costs + pending, (n - pending) * sizeof(*costs));
	return n - pending;
}

/*
 * Whether a load should wait for the runs of a pinned slot to end instead of
 * evicting an unpinned one now: evicting the pinned slot is so much cheaper
 * that it outweighs the wait.
 */
static bool load_should_wait(owner_t *o, const load_t *l, int64_t now)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;
	double evictable_cost = HUGE_VAL, pinned_cost = HUGE_VAL, cost;

	if (cfg->policy.evict != EVICT_COST || slots_find_empty(&o->slots))
		return false;
	owner_update_evict_costs(o, now);
	for (uint32_t i = 0; i < o->slots.n; i++) {
		const slot_t *slot = &o->slots.v[i];

		cost = slot->evict_cost_us;
		if (slot_evictable(slot)) {
			evictable_cost =
				cost < evictable_cost ? cost : evictable_cost;
		} else if (slot_pinned_by_runs_only(slot)) {
			cost += (double)slot->runs_left_us * l->waiting;
			pinned_cost = cost < pinned_cost ? cost : pinned_cost;
		}
	}
	return pinned_cost < evictable_cost;
}

/* Starts a granted load in an empty slot, evicts, or returns the permit. */
static void load_permit_granted(owner_t *o, load_t *l, int64_t now)
{
	slot_t *slot = slots_find_empty(&o->slots);

	if (slot) {
		load_start(o, l, slot);
		return;
	}
	owner_update_evict_costs(o, now);
	slot = slots_victim(&o->slots, &o->sh->s->cfg);
	if (slot) {
		load_evict(o, l, slot);
		return;
	}
	load_send_permit_ask(o, l, true, false);
	l->phase = LOAD_NEEDS_SLOT;
}

/* Number of slots available now, less the loads that wait for a permit. */
static int owner_available_slots(const owner_t *o)
{
	const load_t *l;
	int available = 0;

	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].state == SLOT_EMPTY ||
		    slot_evictable(&o->slots.v[i]))
			available++;
	cds_list_for_each_entry (l, &o->loads, node)
		if (l->phase == LOAD_PERMIT_ASKED)
			available--;
	return available;
}

static void load_request_permit(owner_t *o, load_t *l, int64_t now)
{
	l->phase = LOAD_PERMIT_ASKED;
	if (o->sh->s->cfg.policy.permits)
		load_send_permit_ask(o, l, false, false);
	else
		load_permit_granted(o, l, now);
}

/*
 * Counts the requests that wait for each slot and load, and adds loads for
 * adapters that have neither.
 */
static void owner_update_demand(owner_t *o, int64_t now)
{
	slot_t *slot;
	queue_item_t *it;
	load_t *l;

	for (uint32_t i = 0; i < o->slots.n; i++)
		o->slots.v[i].n_waiting = 0;
	cds_list_for_each_entry (l, &o->loads, node) {
		l->waiting = 0;
		l->deadline_us = INT64_MAX / 2;
	}
	o->n_ready = 0;
	o->ready_cost_us = 0;
	cds_list_for_each_entry (it, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		it->ready = run_can_start(o, it);
		o->n_ready += it->ready;
		o->ready_cost_us += it->ready ? it->cost_us : 0;
		if (!r->adapter_hash || r->resume)
			continue;
		slot = slots_find(&o->slots, r->adapter);
		if (slot && slot->state != SLOT_UNLOADING)
			slot->n_waiting++;
		if (slot && slot->state == SLOT_RESIDENT)
			continue;
		r->needed_load = true;
		l = load_find(o, r->adapter);
		if (!l && slot)
			continue;
		if (!l)
			l = load_new(o, r->adapter, r->load_us, now);
		l->waiting++;
		if (it->deadline_us < l->deadline_us)
			l->deadline_us = it->deadline_us;
	}
}

uint32_t owner_spare_copies(const owner_t *o)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < o->slots.n; i++)
		n += slot_is_spare_copy(&o->slots.v[i]);
	return n;
}

/*
 * Returns the spare copy that is cheapest to evict. NULL where there is none,
 * or where some slot will become free without giving up a copy.
 */
static slot_t *owner_find_spare_copy(owner_t *o, int64_t now)
{
	slot_t *best = NULL;

	for (uint32_t i = 0; i < o->slots.n; i++) {
		slot_t *slot = &o->slots.v[i];

		if (slot->state != SLOT_RESIDENT || !slot->n_waiting ||
		    slot->order_id || slot->draining)
			return NULL;
		if (!slot_is_spare_copy(slot) ||
		    now - slot->loaded_at_us <
			    MIN_RESIDENCE_LOADS * slot->load_us)
			continue;
		if (!best || slot->evict_cost_us < best->evict_cost_us)
			best = slot;
	}
	return best;
}

/*
 * Gives up one spare copy, for an adapter that is resident nowhere: while every
 * slot has requests waiting, that adapter would never be loaded. The copy's
 * slot starts no more runs, its waiting requests move to the other target that
 * has the adapter, and it is evicted when its runs end.
 */
static void owner_drain_spare_copy(owner_t *o, int64_t now)
{
	slot_t *slot;

	owner_update_evict_costs(o, now);
	slot = owner_find_spare_copy(o, now);
	if (!slot)
		return;
	slot->draining = true;
	owner_refuse_waiting(o, slot->hash, REASON_NO_TARGET,
			     RETRY_ADAPTER_MOVED);
}

/*
 * Called while no slot is available for a load. If its adapter is resident
 * nowhere, a spare copy is given up; else its requests move to the target that
 * has the adapter, once they have waited for half a load time.
 */
static void owner_unblock_load(owner_t *o, load_t *l, int64_t now)
{
	uint32_t hash = l->adapter_hash;

	if (!place_is_resident_anywhere(&o->sh->s->place, hash, now))
		owner_drain_spare_copy(o, now);
	else if (now - l->created_us > l->load_us / 2)
		owner_refuse_waiting(o, hash, REASON_NO_TARGET,
				     RETRY_ADAPTER_MOVED);
}

void owner_advance_loads(owner_t *o, int64_t now)
{
	int available;
	load_t *l, *tmp;

	owner_update_demand(o, now);
	cds_list_for_each_entry_safe (l, tmp, &o->loads, node)
		if (!l->waiting && !l->prefetch &&
		    l->phase <= LOAD_PERMIT_ASKED)
			load_end(o, l);
	available = owner_available_slots(o);
	if (available <= 0)
		cds_list_for_each_entry (l, &o->loads, node)
			if (l->phase == LOAD_NEEDS_SLOT)
				owner_unblock_load(o, l, now);
	cds_list_for_each_entry_safe (l, tmp, &o->loads, node) {
		if (l->phase == LOAD_NEEDS_SLOT && available > 0 &&
		    !load_should_wait(o, l, now)) {
			load_request_permit(o, l, now);
			available--;
		} else if (l->phase == LOAD_PERMIT_ASKED &&
			   l->waiting != l->reported_waiting) {
			load_send_permit_ask(o, l, false, false);
		}
	}
}

void owner_permit_granted(shard_t *sh, const Serve__PermitGrant *m)
{
	owner_t *o = owner_find(sh, m->target);
	load_t *l = o ? load_find(o, pb_str(m->adapter)) : NULL;
	int64_t now = core_now(sh->s);
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitAsk give_back = SERVE__PERMIT_ASK__INIT;

	place_set_store_backlog(&sh->s->place, m->backlog, now);
	if (o)
		o->store_backlog = m->backlog + 1;
	if (l && l->phase == LOAD_PERMIT_ASKED &&
	    o->state == OWNERSHIP_ACTIVE && owner_may_send(o, now)) {
		load_permit_granted(o, l, now);
		owner_advance(o, now);
		return;
	}
	if (l && l->phase >= LOAD_EVICTING)
		return;
	give_back.target = m->target;
	give_back.adapter = m->adapter;
	give_back.cancel = true;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_ASK;
	msg.permit_ask = &give_back;
	core_send(sh->s, sh->lease_status.leader, &msg);
}

void owners_report_permits(shard_t *sh)
{
	owner_t *o;
	load_t *l;

	cds_list_for_each_entry (o, &sh->owners, node)
		cds_list_for_each_entry (l, &o->loads, node)
			if (l->phase != LOAD_NEEDS_SLOT)
				load_send_permit_ask(o, l, false,
						     l->phase >= LOAD_EVICTING);
}

bool load_backed_off(owner_t *o, uint32_t hash, int64_t now)
{
	const backoff_t *b =
		g_hash_table_lookup(o->load_backoffs, GUINT_TO_POINTER(hash));

	return b && now < b->until_us;
}

static void load_record_failure(owner_t *o, uint32_t hash, int64_t now)
{
	gpointer key = GUINT_TO_POINTER(hash);
	backoff_t *b = g_hash_table_lookup(o->load_backoffs, key);
	int64_t delay;

	if (!b) {
		b = g_new0(backoff_t, 1);
		g_hash_table_insert(o->load_backoffs, key, b);
	}
	delay = LOAD_BACKOFF_MIN_US << (b->failures < 10 ? b->failures : 10);
	if (delay > LOAD_BACKOFF_MAX_US)
		delay = LOAD_BACKOFF_MAX_US;
	b->failures++;
	b->until_us = now + delay;
}

/* Ends the stall of the requests whose adapter has just been loaded. */
static void owner_end_stalls(owner_t *o, uint32_t hash, int64_t now)
{
	queue_item_t *it;

	cds_list_for_each_entry (it, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		if (r->adapter_hash == hash && r->needed_load)
			r->stall_us = now - r->arrived_us;
	}
}

void owner_load_event(owner_t *o, order_t *ord, const engine_event_t *ev,
		      int64_t now)
{
	slot_t *slot = slots_find(&o->slots, ord->adapter);
	load_t *l = load_find(o, ord->adapter);
	uint32_t hash = slot_hash(ord->adapter);

	if (!slot || slot->order_id != ord->id)
		return; /* the order is from before a restart */
	o->slots_changed_us = now;
	o->report_urgent = true;
	slot->order_id = 0;
	if (l)
		load_end(o, l);
	if (ev->kind == EVENT_DONE) {
		slot->state = SLOT_RESIDENT;
		slot->loaded_at_us = now;
		g_hash_table_remove(o->load_backoffs, GUINT_TO_POINTER(hash));
		owner_end_stalls(o, hash, now);
		owner_update_demand(o, now);
		owner_refuse_late(o, now);
		return;
	}
	counter_add(CTR_LOADS_FAILED, 1);
	slot_clear(slot);
	load_record_failure(o, hash, now);
	if (!ev->old_fence && !ev->target_leaving)
		owner_refuse_waiting(o, hash, REASON_LOAD_FAILED,
				     RETRY_LOAD_FAILED);
	owner_poll_now(o, now);
}

void owner_unload_event(owner_t *o, order_t *ord, const engine_event_t *ev,
			int64_t now)
{
	slot_t *slot = slots_find(&o->slots, ord->adapter);
	load_t *l, *next = NULL;

	if (!slot || slot->order_id != ord->id)
		return;
	o->slots_changed_us = now;
	slot->order_id = 0;
	cds_list_for_each_entry (l, &o->loads, node)
		if (!next && l->phase == LOAD_EVICTING)
			next = l;
	if (ev->kind == EVENT_DONE) {
		slot_clear(slot);
		if (next && o->state == OWNERSHIP_ACTIVE &&
		    owner_may_send(o, now))
			load_start(o, next, slot);
		else if (next)
			load_end(o, next);
		return;
	}
	/*
	 * The adapter may or may not be unloaded: no run starts on it until a
	 * read of the state tells.
	 */
	slot->state = SLOT_LOADING;
	if (next)
		load_end(o, next);
	owner_poll_now(o, now);
}
