/* slot.c - adapter slots of one runner and the choice of an eviction. */
#include "slot.h"

#include <stdlib.h>
#include <string.h>

void slots_init(slots_t *s, uint32_t n)
{
	s->v = xcalloc(n ? n : 1, sizeof(*s->v));
	s->n = n;
}

void slot_clear(slot_t *slot)
{
	str_free(&slot->adapter);
	memset(slot, 0, sizeof(*slot));
}

void slots_clear(slots_t *s)
{
	for (uint32_t i = 0; i < s->n; i++)
		slot_clear(&s->v[i]);
}

void slots_free(slots_t *s)
{
	slots_clear(s);
	free(s->v);
}

void slots_resize(slots_t *s, uint32_t n)
{
	if (n <= s->n)
		return;
	s->v = xrealloc(s->v, n * sizeof(*s->v));
	memset(s->v + s->n, 0, (n - s->n) * sizeof(*s->v));
	s->n = n;
}

uint32_t slot_hash(str_t adapter)
{
	uint32_t h = (uint32_t)hash_bytes(adapter.p, adapter.n, 0);

	return h ? h : 1;
}

slot_t *slots_find(slots_t *s, str_t adapter)
{
	uint32_t h = slot_hash(adapter);

	for (uint32_t i = 0; i < s->n; i++) {
		slot_t *slot = &s->v[i];

		if (slot->state != SLOT_EMPTY && slot->hash == h &&
		    str_eq(slot->adapter, adapter))
			return slot;
	}
	return NULL;
}

slot_t *slots_find_empty(slots_t *s)
{
	for (uint32_t i = 0; i < s->n; i++)
		if (s->v[i].state == SLOT_EMPTY)
			return &s->v[i];
	return NULL;
}

void slot_assign(slot_t *slot, str_t adapter, slot_state_t state)
{
	slot_clear(slot);
	slot->adapter = str_copy(adapter);
	slot->hash = slot_hash(adapter);
	slot->state = state;
}

bool slot_evictable(const slot_t *slot)
{
	return slot->state == SLOT_RESIDENT && !slot->running &&
	       (!slot->n_waiting || slot->draining) && !slot->foreign &&
	       !slot->order_id;
}

slot_t *slots_victim(slots_t *s, const serve_cfg_t *cfg)
{
	slot_t *best = NULL;
	double best_cost = 0;

	for (uint32_t i = 0; i < s->n; i++) {
		slot_t *slot = &s->v[i];
		double cost;

		if (!slot_evictable(slot))
			continue;
		if (cfg->policy.evict == EVICT_LRU)
			cost = (double)slot->last_used_us;
		else
			cost = slot->evict_cost_us;
		if (best && cost == best_cost &&
		    best->last_used_us <= slot->last_used_us)
			continue;
		if (best && cost > best_cost)
			continue;
		best = slot;
		best_cost = cost;
	}
	return best;
}
