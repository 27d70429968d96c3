/* slot.c - adapter slots of one runner. */
#include "slot.h"

#include <math.h>
#include <string.h>

/* Half-life of the remembered request rate of an adapter. */
#define RATE_HALF_LIFE_US (120 * USEC_PER_SEC)
/* What the eviction of an adapter costs that another target has too. */
#define COPY_DISCOUNT 0.1
/* Most adapters whose rate is remembered for one target. */
#define RATES_MAX 4096u

typedef struct rate {
	double weight; /* decayed count of requests */
	int64_t at_us; /* when weight was right */
} rate_t;

void slots_init(slots_t *s, uint32_t n)
{
	s->v = xcalloc(n ? n : 1, sizeof(*s->v));
	s->n = n;
	s->rates = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					 g_free);
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
	g_hash_table_destroy(s->rates);
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

slot_t *slots_empty(slots_t *s)
{
	for (uint32_t i = 0; i < s->n; i++)
		if (s->v[i].state == SLOT_EMPTY)
			return &s->v[i];
	return NULL;
}

void slot_take(slot_t *slot, str_t adapter, slot_state_t state)
{
	slot_clear(slot);
	slot->adapter = str_copy(adapter);
	slot->hash = slot_hash(adapter);
	slot->state = state;
}

bool slot_evictable(const slot_t *slot)
{
	return slot->state == SLOT_RESIDENT && !slot->running &&
	       !slot->awaited && !slot->foreign && !slot->order;
}

static double rate_weight(const rate_t *r, int64_t now)
{
	return r->weight *
	       exp2(-(double)(now - r->at_us) / (double)RATE_HALF_LIFE_US);
}

typedef struct prune_ctx {
	int64_t now;
	double below;
} prune_ctx_t;

static gboolean rate_below(gpointer key, gpointer value, gpointer ctx)
{
	const prune_ctx_t *p = ctx;

	(void)key;
	return rate_weight(value, p->now) < p->below;
}

/* Forgets the rarest adapters; raises the bar until a quarter is free. */
static void rates_prune(slots_t *s, int64_t now)
{
	prune_ctx_t p = {now, 1.0 / 16};

	while (g_hash_table_size(s->rates) > RATES_MAX / 4 * 3) {
		g_hash_table_foreach_remove(s->rates, rate_below, &p);
		p.below *= 2;
	}
}

void slots_touch(slots_t *s, str_t adapter, int64_t now)
{
	gpointer key = GUINT_TO_POINTER(slot_hash(adapter));
	rate_t *r = g_hash_table_lookup(s->rates, key);

	if (!r) {
		if (g_hash_table_size(s->rates) >= RATES_MAX)
			rates_prune(s, now);
		r = g_new0(rate_t, 1);
		g_hash_table_insert(s->rates, key, r);
	}
	r->weight = rate_weight(r, now) + 1;
	r->at_us = now;
}

double slots_rate(const slots_t *s, uint32_t hash, int64_t now)
{
	const rate_t *r = g_hash_table_lookup(s->rates, GUINT_TO_POINTER(hash));

	if (!r)
		return 0;
	return rate_weight(r, now) * M_LN2 /
	       ((double)RATE_HALF_LIFE_US / USEC_PER_SEC);
}

double slot_cost(const slots_t *s, const slot_t *slot, int64_t now)
{
	double cost = slots_rate(s, slot->hash, now) * (double)slot->load_us;

	return slot->copied ? cost * COPY_DISCOUNT : cost;
}

slot_t *slots_victim(slots_t *s, const serve_cfg_t *cfg, int64_t now)
{
	slot_t *best = NULL;
	double best_cost = 0;

	for (uint32_t i = 0; i < s->n; i++) {
		slot_t *slot = &s->v[i];
		double cost;

		if (!slot_evictable(slot))
			continue;
		if (cfg->policy.evict == EVICT_LRU)
			cost = (double)slot->used_us;
		else
			cost = slot_cost(s, slot, now);
		if (best && cost == best_cost && best->used_us <= slot->used_us)
			continue;
		if (best && cost > best_cost)
			continue;
		best = slot;
		best_cost = cost;
	}
	return best;
}
