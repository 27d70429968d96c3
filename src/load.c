/*
 * load.c - adapters brought into the slots of an owned target: what is
 * wanted, permits, eviction, failures.
 */
#include "owner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "log.h"

/* An adapter stays at least for as long as this many loads take. */
#define RESIDENCE_LOADS 4
/* What the eviction of an old version costs, against the current one. */
#define OLD_VERSION_SHARE 0.2
/* Backoff of failed loads of one adapter on one target. */
#define LOAD_BACKOFF_US USEC_PER_SEC
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
	l->hash = slot_hash(adapter);
	l->load_us = load_us;
	l->since_us = now;
	cds_list_add_tail(&l->node, &o->loads);
	o->urgent = true;
	return l;
}

void load_discard(load_t *l)
{
	cds_list_del(&l->node);
	str_free(&l->adapter);
	free(l);
}

static void load_send_ask(owner_t *o, load_t *l, bool cancel, bool held)
{
	shard_t *sh = o->sh;
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitAsk m = SERVE__PERMIT_ASK__INIT;

	if (!sh->s->cfg.policy.permits)
		return;
	m.target = o->id;
	m.adapter = pb_bytes(l->adapter);
	m.waiting = l->waiting;
	m.slack_us = l->due_us - core_now(sh->s);
	m.cancel = cancel;
	m.prefetch = l->prefetch && !l->waiting;
	m.held = held;
	l->told_waiting = l->waiting;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_ASK;
	msg.permit_ask = &m;
	core_send(sh->s, sh->standing.leader, &msg);
}

/* Drops a load; its permit, or its ask, goes back to the leader. */
void load_end(owner_t *o, load_t *l)
{
	if (l->phase != LOAD_WANTED)
		load_send_ask(o, l, true, false);
	load_discard(l);
}

static void load_start(owner_t *o, load_t *l, slot_t *slot)
{
	engine_order_t eo = {0};
	int64_t now = owner_now(o);

	slot_assign(slot, l->adapter, SLOT_LOADING);
	slot->load_us = l->load_us;
	slot->last_used_us = now;
	o->slots_changed_us = now;
	l->phase = LOAD_RUNS;
	eo.kind = ORDER_LOAD;
	eo.adapter = l->adapter;
	counter_add(CTR_LOADS, 1);
	slot->order_id = owner_order(o, &eo, NULL)->id;
}

static void load_evict(owner_t *o, load_t *l, slot_t *slot)
{
	engine_order_t eo = {0};

	slot->state = SLOT_UNLOADING;
	o->slots_changed_us = owner_now(o);
	l->phase = LOAD_EVICTS;
	eo.kind = ORDER_UNLOAD;
	eo.adapter = slot->adapter;
	counter_add(CTR_EVICTIONS, 1);
	slot->order_id = owner_order(o, &eo, NULL)->id;
}

/* Whether a resident adapter will be evictable once its runs end. */
static bool slot_pinned_by_runs(const slot_t *slot)
{
	return slot->state == SLOT_RESIDENT && slot->running &&
	       !slot->n_waiting && !slot->foreign && !slot->order_id;
}

/* Awaited, but the requests could go to another target that has it too. */
static bool slot_is_spare_copy(const slot_t *slot)
{
	return slot->state == SLOT_RESIDENT && slot->redundant &&
	       !slot->foreign && !slot->order_id && !slot->draining;
}

static int64_t slot_free_us(owner_t *o, const slot_t *slot, int64_t now)
{
	int64_t left = 0;
	const run_t *r;

	if (!slot->running)
		return 0;
	cds_list_for_each_entry (r, &o->started, node)
		if (r->hash == slot->hash &&
		    r->started_us + r->item.cost_us - now > left)
			left = r->started_us + r->item.cost_us - now;
	return left;
}

/* The decided version of the adapter is another one. */
static bool slot_is_old(const owner_t *o, const slot_t *slot)
{
	const adapter_t *a;
	uint32_t version;
	str_t name;

	if (model_parse(slot->adapter, &name, &version))
		return false;
	a = decided_adapter(o->sh->tables, name);
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

		if (slot->state != SLOT_RESIDENT || !slot_is_old(o, slot))
			continue;
		a = decided_adapter(o->sh->tables, adapter_name(slot->adapter));
		if (!a || !a->current_version)
			continue;
		buf_printf(&next, "%.*s@%u", STR_ARG(a->name),
			   a->current_version);
		if (slots_find(&o->slots, buf_str(&next)) ||
		    load_find(o, buf_str(&next)))
			continue;
		l = load_new(o, buf_str(&next), slot->load_us, now);
		l->prefetch = true;
		l->due_us = INT64_MAX / 2;
	}
}

void owner_price_slots(owner_t *o, int64_t now)
{
	for (uint32_t i = 0; i < o->slots.n; i++) {
		slot_t *slot = &o->slots.v[i];

		if (slot->state != SLOT_RESIDENT)
			continue;
		slot->runs_left_us = slot_free_us(o, slot, now);
		slot->evict_cost_us =
			place_evict_cost(&o->sh->s->place,
					 adapter_name(slot->adapter),
					 slot->hash, o->id, slot->load_us, now,
					 &slot->redundant);
		if (slot_is_old(o, slot))
			slot->evict_cost_us *= OLD_VERSION_SHARE;
	}
}

static int by_cost(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

size_t owner_evict_costs(owner_t *o, uint64_t *costs, int64_t now)
{
	size_t n = 0, taken = 0;
	const load_t *l;

	owner_price_slots(o, now);
	for (uint32_t i = 0; i < o->slots.n; i++) {
		const slot_t *slot = &o->slots.v[i];

		if (slot->state == SLOT_EMPTY)
			costs[n++] = 0;
		else if (slot_evictable(slot) || slot_pinned_by_runs(slot))
			costs[n++] = (uint64_t)slot->evict_cost_us +
				     (uint64_t)slot->runs_left_us;
	}
	qsort(costs, n, sizeof(*costs), by_cost);
	cds_list_for_each_entry (l, &o->loads, node)
		taken += l->phase <= LOAD_ASKED;
	if (taken > n)
		taken = n;
	memmove(costs, costs + taken, (n - taken) * sizeof(*costs));
	return n - taken;
}

/*
 * Whether a load should rather wait for the runs on a slot to end than evict
 * now: the slot that is cheaper to evict outweighs the wait.
 */
static bool load_better_waits(owner_t *o, const load_t *l, int64_t now)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;
	double idle = HUGE_VAL, pinned = HUGE_VAL, cost;

	if (cfg->policy.evict != EVICT_COST || slots_find_empty(&o->slots))
		return false;
	owner_price_slots(o, now);
	for (uint32_t i = 0; i < o->slots.n; i++) {
		const slot_t *slot = &o->slots.v[i];

		cost = slot->evict_cost_us;
		if (slot_evictable(slot)) {
			idle = cost < idle ? cost : idle;
		} else if (slot_pinned_by_runs(slot)) {
			cost += (double)slot->runs_left_us * l->waiting;
			pinned = cost < pinned ? cost : pinned;
		}
	}
	return pinned < idle;
}

/* A granted load takes an empty slot, or evicts; else the permit goes back. */
static void load_granted(owner_t *o, load_t *l, int64_t now)
{
	slot_t *slot = slots_find_empty(&o->slots);

	if (slot) {
		load_start(o, l, slot);
		return;
	}
	owner_price_slots(o, now);
	slot = slots_victim(&o->slots, &o->sh->s->cfg);
	if (slot) {
		load_evict(o, l, slot);
		return;
	}
	load_send_ask(o, l, true, false);
	l->phase = LOAD_WANTED;
}

/* Slots that a load could get now, less the loads that already ask for one. */
static int owner_room(const owner_t *o)
{
	const load_t *l;
	int room = 0;

	for (uint32_t i = 0; i < o->slots.n; i++)
		if (o->slots.v[i].state == SLOT_EMPTY ||
		    slot_evictable(&o->slots.v[i]))
			room++;
	cds_list_for_each_entry (l, &o->loads, node)
		if (l->phase == LOAD_ASKED)
			room--;
	return room;
}

static void load_ask(owner_t *o, load_t *l, int64_t now)
{
	l->phase = LOAD_ASKED;
	if (o->sh->s->cfg.policy.permits)
		load_send_ask(o, l, false, false);
	else
		load_granted(o, l, now);
}

/* Counts who waits for each slot and load; makes loads for what is missing. */
static void owner_count_waiting(owner_t *o, int64_t now)
{
	slot_t *slot;
	queue_item_t *it;
	load_t *l;

	for (uint32_t i = 0; i < o->slots.n; i++)
		o->slots.v[i].n_waiting = 0;
	cds_list_for_each_entry (l, &o->loads, node) {
		l->waiting = 0;
		l->due_us = INT64_MAX / 2;
	}
	o->n_ready = 0;
	o->ready_us = 0;
	cds_list_for_each_entry (it, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		it->ready = run_ready(o, it);
		o->n_ready += it->ready;
		o->ready_us += it->ready ? it->cost_us : 0;
		if (!r->hash || r->resume)
			continue;
		slot = slots_find(&o->slots, r->adapter);
		if (slot && slot->state != SLOT_UNLOADING)
			slot->n_waiting++;
		if (slot && slot->state == SLOT_RESIDENT)
			continue;
		r->stalled = true;
		l = load_find(o, r->adapter);
		if (!l && slot)
			continue;
		if (!l)
			l = load_new(o, r->adapter, r->load_us, now);
		l->waiting++;
		if (it->deadline_us < l->due_us)
			l->due_us = it->deadline_us;
	}
}

uint32_t owner_spare_copies(const owner_t *o)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < o->slots.n; i++)
		n += slot_is_spare_copy(&o->slots.v[i]);
	return n;
}

/* The cheapest spare copy; NULL also where some slot will be free anyway. */
static slot_t *owner_closable(owner_t *o, int64_t now)
{
	slot_t *best = NULL;

	for (uint32_t i = 0; i < o->slots.n; i++) {
		slot_t *slot = &o->slots.v[i];

		if (slot->state != SLOT_RESIDENT || !slot->n_waiting ||
		    slot->order_id || slot->draining)
			return NULL;
		if (!slot_is_spare_copy(slot) ||
		    now - slot->loaded_at_us < RESIDENCE_LOADS * slot->load_us)
			continue;
		if (!best || slot->evict_cost_us < best->evict_cost_us)
			best = slot;
	}
	return best;
}

/*
 * Where every slot has requests waiting, an adapter that is resident nowhere
 * would never come: a spare copy starts nothing more, its requests go to the
 * other target that has it, and it is evicted when its runs end.
 */
static void owner_close_slot(owner_t *o, int64_t now)
{
	slot_t *slot;

	owner_price_slots(o, now);
	slot = owner_closable(o, now);
	if (!slot)
		return;
	slot->draining = true;
	owner_refuse_waiting(o, slot->hash, REASON_NO_TARGET,
			     RETRY_ADAPTER_MOVED);
}

/* No slot can be had for the load: it is helped on, or its requests are. */
static void owner_help_load(owner_t *o, load_t *l, int64_t now)
{
	uint32_t hash = l->hash;

	if (!place_is_resident_anywhere(&o->sh->s->place, hash, now))
		owner_close_slot(o, now);
	else if (now - l->since_us > l->load_us / 2)
		owner_refuse_waiting(o, hash, REASON_NO_TARGET,
				     RETRY_ADAPTER_MOVED);
}

void owner_work_loads(owner_t *o, int64_t now)
{
	int room;
	load_t *l, *tmp;

	owner_count_waiting(o, now);
	cds_list_for_each_entry_safe (l, tmp, &o->loads, node)
		if (!l->waiting && !l->prefetch && l->phase <= LOAD_ASKED)
			load_end(o, l);
	room = owner_room(o);
	if (room <= 0)
		cds_list_for_each_entry (l, &o->loads, node)
			if (l->phase == LOAD_WANTED)
				owner_help_load(o, l, now);
	cds_list_for_each_entry_safe (l, tmp, &o->loads, node) {
		if (l->phase == LOAD_WANTED && room > 0 &&
		    !load_better_waits(o, l, now)) {
			load_ask(o, l, now);
			room--;
		} else if (l->phase == LOAD_ASKED &&
			   l->waiting != l->told_waiting) {
			load_send_ask(o, l, false, false);
		}
	}
}

void owner_granted(shard_t *sh, const Serve__PermitGrant *m)
{
	owner_t *o = owner_find(sh, m->target);
	load_t *l = o ? load_find(o, pb_str(m->adapter)) : NULL;
	int64_t now = core_now(sh->s);
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitAsk back = SERVE__PERMIT_ASK__INIT;

	place_set_store_backlog(&sh->s->place, m->backlog, now);
	if (o)
		o->store_backlog = m->backlog + 1;
	if (l && l->phase == LOAD_ASKED && o->state == OWN_ACTIVE &&
	    owner_may_send(o, now)) {
		load_granted(o, l, now);
		owner_work(o, now);
		return;
	}
	if (l && l->phase >= LOAD_EVICTS)
		return;
	back.target = m->target;
	back.adapter = m->adapter;
	back.cancel = true;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_ASK;
	msg.permit_ask = &back;
	core_send(sh->s, sh->standing.leader, &msg);
}

void owners_tell_permits(shard_t *sh)
{
	owner_t *o;
	load_t *l;

	cds_list_for_each_entry (o, &sh->owners, node)
		cds_list_for_each_entry (l, &o->loads, node)
			if (l->phase != LOAD_WANTED)
				load_send_ask(o, l, false,
					      l->phase >= LOAD_EVICTS);
}

bool load_backed_off(owner_t *o, uint32_t hash, int64_t now)
{
	const backoff_t *b =
		g_hash_table_lookup(o->backoffs, GUINT_TO_POINTER(hash));

	return b && now < b->until_us;
}

static void load_failed(owner_t *o, uint32_t hash, int64_t now)
{
	gpointer key = GUINT_TO_POINTER(hash);
	backoff_t *b = g_hash_table_lookup(o->backoffs, key);
	int64_t delay;

	if (!b) {
		b = g_new0(backoff_t, 1);
		g_hash_table_insert(o->backoffs, key, b);
	}
	delay = LOAD_BACKOFF_US << (b->fails < 10 ? b->fails : 10);
	if (delay > LOAD_BACKOFF_MAX_US)
		delay = LOAD_BACKOFF_MAX_US;
	b->fails++;
	b->until_us = now + delay;
}

/* The waiting requests for an adapter that has come: their stall is over. */
static void owner_stall_over(owner_t *o, uint32_t hash, int64_t now)
{
	queue_item_t *it;

	cds_list_for_each_entry (it, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		if (r->hash == hash && r->stalled)
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
		return; /* of before a restart */
	o->slots_changed_us = now;
	o->urgent = true;
	slot->order_id = 0;
	if (l)
		load_end(o, l);
	if (ev->kind == EVENT_DONE) {
		slot->state = SLOT_RESIDENT;
		slot->loaded_at_us = now;
		g_hash_table_remove(o->backoffs, GUINT_TO_POINTER(hash));
		owner_stall_over(o, hash, now);
		owner_count_waiting(o, now);
		owner_refuse_late(o, now);
		return;
	}
	counter_add(CTR_LOADS_FAILED, 1);
	slot_clear(slot);
	load_failed(o, hash, now);
	if (!ev->old_fence && !ev->target_leaving)
		owner_refuse_waiting(o, hash, REASON_LOAD_FAILED,
				     RETRY_LOAD_FAILED);
	owner_poll_soon(o, now);
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
		if (!next && l->phase == LOAD_EVICTS)
			next = l;
	if (ev->kind == EVENT_DONE) {
		slot_clear(slot);
		if (next && o->state == OWN_ACTIVE && owner_may_send(o, now))
			load_start(o, next, slot);
		else if (next)
			load_end(o, next);
		return;
	}
	/* It may be gone or not: no run starts on it before a read tells. */
	slot->state = SLOT_LOADING;
	if (next)
		load_end(o, next);
	owner_poll_soon(o, now);
}
