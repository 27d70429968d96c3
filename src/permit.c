/* permit.c - permits to load adapters from the weight store. */
#include "permit.h"

#include <stdlib.h>

/*
 * Asks are granted by how many requests wait for the load. While the backlog is
 * no longer than URGENT_BACKLOG_MAX, those whose most urgent request has less
 * slack than URGENT_SLACK_US go before the others, earliest deadline first.
 * Past saturation that order would spend loads on single requests that are late
 * anyway.
 */
#define URGENT_SLACK_US (1500 * USEC_PER_MSEC)
#define URGENT_BACKLOG_MAX 4u
/* What each second of waiting adds to an ask's weight, in waiting requests. */
#define WAIT_WEIGHT_PER_S 0.02

/* An ask for a permit, or the permit once it is granted. */
typedef struct permit {
	struct cds_list_head node;
	permit_ask_t ask;	/* adapter is owned */
	int64_t asked_at_us;	/* when the first ask arrived */
	int64_t deadline_us;	/* deadline of the most urgent request */
	int64_t lease_until_us; /* end of the lease; 0: not granted yet */
} permit_t;

void permits_init(permits_t *p, uint32_t concurrency, double rate_per_s)
{
	p->concurrency = concurrency ? concurrency : 1;
	p->rate_per_s = rate_per_s;
	p->tokens = p->concurrency;
	p->tokens_updated_us = INT64_MIN;
	p->no_grants_until_us = INT64_MIN;
	p->n_granted = 0;
	CDS_INIT_LIST_HEAD(&p->entries);
}

static void permit_remove(permits_t *p, permit_t *e)
{
	if (e->lease_until_us)
		p->n_granted--;
	cds_list_del(&e->node);
	str_free(&e->ask.adapter);
	free(e);
}

void permits_free(permits_t *p)
{
	permit_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &p->entries, node)
		permit_remove(p, e);
}

void permits_begin_term(permits_t *p, int64_t now)
{
	permits_free(p);
	p->tokens = 0;
	p->tokens_updated_us = now;
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

	cds_list_for_each_entry (e, &p->entries, node)
		if (e->ask.host == host && e->ask.target == target &&
		    str_eq(e->ask.adapter, adapter))
			return e;
	return NULL;
}

static permit_t *permit_add_or_update(permits_t *p, const permit_ask_t *ask,
				      int64_t now)
{
	permit_t *e = permit_find(p, ask->host, ask->target, ask->adapter);

	if (!e) {
		e = xcalloc(1, sizeof(*e));
		e->ask = *ask;
		e->ask.adapter = str_copy(ask->adapter);
		e->asked_at_us = now;
		cds_list_add_tail(&e->node, &p->entries);
	}
	e->ask.waiting = ask->waiting;
	e->ask.prefetch = ask->prefetch;
	e->deadline_us = now + ask->slack_us;
	return e;
}

void permits_ask(permits_t *p, const permit_ask_t *ask, int64_t now)
{
	permit_add_or_update(p, ask, now);
}

void permits_add_in_use(permits_t *p, const permit_ask_t *ask, int64_t now)
{
	permit_t *e = permit_add_or_update(p, ask, now);

	if (!e->lease_until_us)
		p->n_granted++;
	e->lease_until_us = now + PERMIT_LEASE_US;
}

void permits_release(permits_t *p, host_id_t host, target_id_t target,
		     str_t adapter)
{
	permit_t *e = permit_find(p, host, target, adapter);

	if (e)
		permit_remove(p, e);
}

void permits_drop_host(permits_t *p, host_id_t host)
{
	permit_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &p->entries, node)
		if (e->ask.host == host && !e->lease_until_us)
			permit_remove(p, e);
}

static bool permit_is_urgent(const permit_t *e, int64_t now)
{
	return e->deadline_us - now < URGENT_SLACK_US;
}

/* Requests that wait, plus WAIT_WEIGHT_PER_S for each second of waiting. */
static double permit_weight(const permit_t *e, int64_t now)
{
	return e->ask.waiting + WAIT_WEIGHT_PER_S *
					(double)(now - e->asked_at_us) /
					USEC_PER_SEC;
}

/*
 * Whether a is granted before b. Prefetches get only the permits that nobody
 * else asks for.
 */
static bool permit_goes_first(const permit_t *a, const permit_t *b,
			      bool urgent_first, int64_t now)
{
	if (a->ask.prefetch != b->ask.prefetch)
		return b->ask.prefetch;
	if (urgent_first &&
	    permit_is_urgent(a, now) != permit_is_urgent(b, now))
		return permit_is_urgent(a, now);
	if (urgent_first && permit_is_urgent(a, now))
		return a->deadline_us < b->deadline_us;
	return permit_weight(a, now) > permit_weight(b, now);
}

static void permits_refill_tokens(permits_t *p, int64_t now)
{
	if (p->tokens_updated_us == INT64_MIN)
		p->tokens_updated_us = now;
	p->tokens += (double)(now - p->tokens_updated_us) * p->rate_per_s /
		     USEC_PER_SEC;
	p->tokens_updated_us = now;
	if (p->tokens > p->concurrency)
		p->tokens = p->concurrency;
}

/* Drops permits whose lease has ended; returns when the next lease ends. */
static int64_t permits_drop_expired(permits_t *p, int64_t now)
{
	int64_t next = INT64_MAX;
	permit_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &p->entries, node) {
		if (!e->lease_until_us)
			continue;
		if (e->lease_until_us <= now)
			permit_remove(p, e);
		else if (e->lease_until_us < next)
			next = e->lease_until_us;
	}
	return next;
}

/* The ask to grant next, or NULL. Updates p->backlog, which it counts. */
static permit_t *permits_next_ask(permits_t *p, int64_t now)
{
	bool urgent_first = p->backlog <= URGENT_BACKLOG_MAX;
	permit_t *e, *best = NULL;

	p->backlog = 0;
	cds_list_for_each_entry (e, &p->entries, node) {
		if (e->lease_until_us)
			continue;
		p->backlog += !e->ask.prefetch;
		if (!best || permit_goes_first(e, best, urgent_first, now))
			best = e;
	}
	return best;
}

int64_t permits_grant(permits_t *p, int64_t now, permit_grant_fn_t grant,
		      void *ctx)
{
	int64_t next = permits_drop_expired(p, now);
	permit_t *e;

	if (now < p->no_grants_until_us)
		return next < p->no_grants_until_us ? next
						    : p->no_grants_until_us;
	permits_refill_tokens(p, now);
	while (p->n_granted < p->concurrency &&
	       (e = permits_next_ask(p, now))) {
		if (p->rate_per_s > 0 && p->tokens < 1) {
			double need = (1 - p->tokens) / p->rate_per_s;
			int64_t at = now + (int64_t)(need * USEC_PER_SEC) + 1;

			return next < at ? next : at;
		}
		if (p->rate_per_s > 0)
			p->tokens -= 1;
		p->n_granted++;
		p->backlog -= !e->ask.prefetch;
		e->lease_until_us = now + PERMIT_LEASE_US;
		grant(ctx, &e->ask);
	}
	return next;
}
