/* permit.c - permits of the weight store. */
#include "permit.h"

#include <stdlib.h>

/*
 * An ask below this slack goes first, by slack; others by requests waiting.
 * Only while the backlog is short: past saturation the earliest deadline first
 * would spend loads on single requests that are late anyway.
 */
#define URGENT_SLACK_US (1500 * USEC_PER_MSEC)
#define URGENT_BACKLOG_MAX 4u
/* Weight of a further second of waiting, in waiting requests. */
#define AGE_WEIGHT_PER_S 0.02

typedef struct permit {
	struct cds_list_head node;
	permit_ask_t ask; /* adapter is owned */
	int64_t since_us;
	int64_t due_us;	  /* deadline of the most urgent request */
	int64_t until_us; /* granted: end of its lease; 0: asked only */
} permit_t;

void permits_init(permits_t *p, uint32_t concurrency, double rate_per_s)
{
	p->concurrency = concurrency ? concurrency : 1;
	p->rate_per_s = rate_per_s;
	p->tokens = p->concurrency;
	p->tokens_at_us = INT64_MIN;
	p->no_grants_until_us = INT64_MIN;
	p->held = 0;
	CDS_INIT_LIST_HEAD(&p->asks);
}

static void permit_drop(permits_t *p, permit_t *e)
{
	if (e->until_us)
		p->held--;
	cds_list_del(&e->node);
	str_free(&e->ask.adapter);
	free(e);
}

void permits_free(permits_t *p)
{
	permit_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &p->asks, node)
		permit_drop(p, e);
}

void permits_begin_term(permits_t *p, int64_t now)
{
	permits_free(p);
	p->tokens = 0;
	p->tokens_at_us = now;
	p->no_grants_until_us = now + PERMIT_LEASE_US;
}

void permits_all_reported(permits_t *p, int64_t now)
{
	if (p->no_grants_until_us > now)
		p->no_grants_until_us = now;
}

static permit_t *permit_find(permits_t *p, host_id_t host, target_id_t target,
			     str_t adapter)
{
	permit_t *e;

	cds_list_for_each_entry (e, &p->asks, node)
		if (e->ask.host == host && e->ask.target == target &&
		    str_eq(e->ask.adapter, adapter))
			return e;
	return NULL;
}

static permit_t *permit_put(permits_t *p, const permit_ask_t *ask, int64_t now)
{
	permit_t *e = permit_find(p, ask->host, ask->target, ask->adapter);

	if (!e) {
		e = xcalloc(1, sizeof(*e));
		e->ask = *ask;
		e->ask.adapter = str_copy(ask->adapter);
		e->since_us = now;
		cds_list_add_tail(&e->node, &p->asks);
	}
	e->ask.waiting = ask->waiting;
	e->ask.prefetch = ask->prefetch;
	e->due_us = now + ask->slack_us;
	return e;
}

void permits_ask(permits_t *p, const permit_ask_t *ask, int64_t now)
{
	permit_put(p, ask, now);
}

void permits_add_in_use(permits_t *p, const permit_ask_t *ask, int64_t now)
{
	permit_t *e = permit_put(p, ask, now);

	if (!e->until_us)
		p->held++;
	e->until_us = now + PERMIT_LEASE_US;
}

void permits_release(permits_t *p, host_id_t host, target_id_t target,
		     str_t adapter)
{
	permit_t *e = permit_find(p, host, target, adapter);

	if (e)
		permit_drop(p, e);
}

void permits_drop_host(permits_t *p, host_id_t host)
{
	permit_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &p->asks, node)
		if (e->ask.host == host && !e->until_us)
			permit_drop(p, e);
}

static bool permit_urgent(const permit_t *e, int64_t now)
{
	return e->due_us - now < URGENT_SLACK_US;
}

static double permit_weight(const permit_t *e, int64_t now)
{
	return e->ask.waiting +
	       AGE_WEIGHT_PER_S * (double)(now - e->since_us) / USEC_PER_SEC;
}

/* True where a goes before b. Prefetches use what nobody else asks for. */
static bool permit_before(const permit_t *a, const permit_t *b, bool urgent,
			  int64_t now)
{
	if (a->ask.prefetch != b->ask.prefetch)
		return b->ask.prefetch;
	if (urgent && permit_urgent(a, now) != permit_urgent(b, now))
		return permit_urgent(a, now);
	if (urgent && permit_urgent(a, now))
		return a->due_us < b->due_us;
	return permit_weight(a, now) > permit_weight(b, now);
}

static void permits_refill(permits_t *p, int64_t now)
{
	if (p->tokens_at_us == INT64_MIN)
		p->tokens_at_us = now;
	p->tokens +=
		(double)(now - p->tokens_at_us) * p->rate_per_s / USEC_PER_SEC;
	p->tokens_at_us = now;
	if (p->tokens > p->concurrency)
		p->tokens = p->concurrency;
}

static int64_t permits_expire(permits_t *p, int64_t now)
{
	int64_t next = INT64_MAX;
	permit_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &p->asks, node) {
		if (!e->until_us)
			continue;
		if (e->until_us <= now)
			permit_drop(p, e);
		else if (e->until_us < next)
			next = e->until_us;
	}
	return next;
}

/* The ask to grant next, or NULL; counts the backlog on the way. */
static permit_t *permits_best(permits_t *p, int64_t now)
{
	bool urgent = p->backlog <= URGENT_BACKLOG_MAX;
	permit_t *e, *best = NULL;

	p->backlog = 0;
	cds_list_for_each_entry (e, &p->asks, node) {
		if (e->until_us)
			continue;
		p->backlog += !e->ask.prefetch;
		if (!best || permit_before(e, best, urgent, now))
			best = e;
	}
	return best;
}

int64_t permits_grant(permits_t *p, int64_t now, permit_grant_fn_t grant,
		      void *ctx)
{
	int64_t next = permits_expire(p, now);
	permit_t *e;

	if (now < p->no_grants_until_us)
		return next < p->no_grants_until_us ? next
						    : p->no_grants_until_us;
	permits_refill(p, now);
	while (p->held < p->concurrency && (e = permits_best(p, now))) {
		if (p->rate_per_s > 0 && p->tokens < 1) {
			double need = (1 - p->tokens) / p->rate_per_s;
			int64_t at = now + (int64_t)(need * USEC_PER_SEC) + 1;

			return next < at ? next : at;
		}
		if (p->rate_per_s > 0)
			p->tokens -= 1;
		p->held++;
		p->backlog -= !e->ask.prefetch;
		e->until_us = now + PERMIT_LEASE_US;
		grant(ctx, &e->ask);
	}
	return next;
}
