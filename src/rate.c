/* rate.c - decayed request rates of adapters. */
#include "rate.h"

#include <math.h>

/*
 * Each adapter has two decayed counts of requests. The slow one distinguishes
 * popular adapters from rare ones, the fast one follows a change of popularity.
 * The larger of the two rates is used.
 */
#define SLOW_HALF_LIFE_US (600 * USEC_PER_SEC)
#define FAST_HALF_LIFE_US (30 * USEC_PER_SEC)
/* Requests in the fast count that may be due to chance; they are subtracted. */
#define FAST_NOISE_COUNT 1.5
/* At most this many adapters are remembered. */
#define ADAPTERS_MAX 16384u

typedef struct rate {
	double slow;   /* requests, decayed to at_us with SLOW_HALF_LIFE_US */
	double fast;   /* requests, decayed to at_us with FAST_HALF_LIFE_US */
	int64_t at_us; /* time of the newest request */
} rate_t;

void rates_init(rates_t *r)
{
	r->by_hash = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					   g_free);
}

void rates_free(rates_t *r)
{
	g_hash_table_destroy(r->by_hash);
}

static double decayed(double count, int64_t age_us, int64_t half_life_us)
{
	return count * exp2(-(double)age_us / (double)half_life_us);
}

/* The rate in requests per second that a decayed count stands for. */
static double count_per_second(double count, int64_t half_life_us)
{
	return count * M_LN2 / ((double)half_life_us / USEC_PER_SEC);
}

static double rate_per_second(const rate_t *rate, int64_t now)
{
	int64_t age = now > rate->at_us ? now - rate->at_us : 0;
	double slow = count_per_second(
		decayed(rate->slow, age, SLOW_HALF_LIFE_US), SLOW_HALF_LIFE_US);
	double fast = count_per_second(
		decayed(rate->fast, age, FAST_HALF_LIFE_US) - FAST_NOISE_COUNT,
		FAST_HALF_LIFE_US);

	return slow > fast ? slow : fast;
}

typedef struct prune_ctx {
	int64_t now;
	double threshold;
} prune_ctx_t;

static gboolean is_below_threshold(gpointer key, gpointer value, gpointer ctx)
{
	const prune_ctx_t *p = ctx;

	(void)key;
	return rate_per_second(value, p->now) < p->threshold;
}

/*
 * Forgets the rarest adapters: doubles the rate below which they are dropped
 * until a quarter of the table is free.
 */
static void forget_rare_adapters(rates_t *r, int64_t now)
{
	prune_ctx_t p = {now, 1e-6};

	while (g_hash_table_size(r->by_hash) > ADAPTERS_MAX / 4 * 3) {
		g_hash_table_foreach_remove(r->by_hash, is_below_threshold, &p);
		p.threshold *= 2;
	}
}

void rates_add(rates_t *r, uint32_t hash, double count, int64_t now)
{
	gpointer key = GUINT_TO_POINTER(hash);
	rate_t *rate = g_hash_table_lookup(r->by_hash, key);
	int64_t age;

	if (!rate) {
		if (g_hash_table_size(r->by_hash) >= ADAPTERS_MAX)
			forget_rare_adapters(r, now);
		rate = g_new0(rate_t, 1);
		rate->at_us = now;
		g_hash_table_insert(r->by_hash, key, rate);
	}
	age = now > rate->at_us ? now - rate->at_us : 0;
	rate->slow = decayed(rate->slow, age, SLOW_HALF_LIFE_US) + count;
	rate->fast = decayed(rate->fast, age, FAST_HALF_LIFE_US) + count;
	rate->at_us = now;
}

double rates_get(const rates_t *r, uint32_t hash, int64_t now)
{
	const rate_t *rate =
		g_hash_table_lookup(r->by_hash, GUINT_TO_POINTER(hash));

	return rate ? rate_per_second(rate, now) : 0;
}
