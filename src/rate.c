/* rate.c - decayed request rates of adapters. */
#include "rate.h"

#include <math.h>

/*
 * Two averages of each rate: the slow one tells the popular from the rare,
 * the fast one follows a shift of popularity. The larger counts.
 */
#define SLOW_HALF_LIFE_US (600 * USEC_PER_SEC)
#define FAST_HALF_LIFE_US (30 * USEC_PER_SEC)
/* Requests in the fast average that chance alone may bring. */
#define FAST_NOISE 1.5
/* Most adapters that are remembered. */
#define RATES_MAX 16384u

typedef struct rate {
	double slow; /* decayed counts of requests at at_us */
	double fast;
	int64_t at_us;
} rate_t;

void rates_init(rates_t *r)
{
	r->v = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				     g_free);
}

void rates_free(rates_t *r)
{
	g_hash_table_destroy(r->v);
}

static double decayed(double count, int64_t age_us, int64_t half_life_us)
{
	return count * exp2(-(double)age_us / (double)half_life_us);
}

/* Count with a given half-life, as requests a second. */
static double per_second(double count, int64_t half_life_us)
{
	return count * M_LN2 / ((double)half_life_us / USEC_PER_SEC);
}

static double rate_value(const rate_t *x, int64_t now)
{
	int64_t age = now > x->at_us ? now - x->at_us : 0;
	double slow = per_second(decayed(x->slow, age, SLOW_HALF_LIFE_US),
				 SLOW_HALF_LIFE_US);
	double fast = per_second(decayed(x->fast, age, FAST_HALF_LIFE_US) -
					 FAST_NOISE,
				 FAST_HALF_LIFE_US);

	return slow > fast ? slow : fast;
}

typedef struct prune_ctx {
	int64_t now;
	double below;
} prune_ctx_t;

static gboolean rate_below(gpointer key, gpointer value, gpointer ctx)
{
	const prune_ctx_t *p = ctx;

	(void)key;
	return rate_value(value, p->now) < p->below;
}

/* Forgets the rarest adapters; raises the bar until a quarter is free. */
static void rates_prune(rates_t *r, int64_t now)
{
	prune_ctx_t p = {now, 1e-6};

	while (g_hash_table_size(r->v) > RATES_MAX / 4 * 3) {
		g_hash_table_foreach_remove(r->v, rate_below, &p);
		p.below *= 2;
	}
}

void rates_add(rates_t *r, uint32_t hash, double count, int64_t now)
{
	gpointer key = GUINT_TO_POINTER(hash);
	rate_t *x = g_hash_table_lookup(r->v, key);
	int64_t age;

	if (!x) {
		if (g_hash_table_size(r->v) >= RATES_MAX)
			rates_prune(r, now);
		x = g_new0(rate_t, 1);
		x->at_us = now;
		g_hash_table_insert(r->v, key, x);
	}
	age = now > x->at_us ? now - x->at_us : 0;
	x->slow = decayed(x->slow, age, SLOW_HALF_LIFE_US) + count;
	x->fast = decayed(x->fast, age, FAST_HALF_LIFE_US) + count;
	x->at_us = now;
}

double rates_get(const rates_t *r, uint32_t hash, int64_t now)
{
	const rate_t *x = g_hash_table_lookup(r->v, GUINT_TO_POINTER(hash));

	return x ? rate_value(x, now) : 0;
}
