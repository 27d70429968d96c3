/* limit.c - rate and concurrency limits of organisations, retry budgets. */
#include "limit.h"

#include <string.h>

/* The base share is a limit divided by this, split evenly over all hosts. */
#define BASE_SHARE_DIVISOR 5u
/* Time constant of the decayed count of arrivals, the demand for SHARE_RATE. */
#define DEMAND_TIME_CONSTANT_US USEC_PER_SEC
/*
 * Retry budgets are token buckets: each admitted request adds a percentage of a
 * token, each retry takes one. These are the sizes of the buckets of an
 * organisation, which is half full at first, and of a host, a quarter full.
 */
#define RETRY_ORG_MAX 20.0
#define RETRY_HOST_MAX 200.0
/* Percentage of a token that each admitted request adds for the host. */
#define RETRY_HOST_PERCENT 20.0
/* Amounts of SHARE_RATE are in thousandths of a request per second. */
#define MILLI_PER_UNIT 1000.0

/* What this daemon uses of the limits of one organisation, and its share. */
typedef struct org_usage {
	uint32_t running; /* requests admitted and not released */
	/* Requests refused for concurrency since the demand was last sent. */
	uint32_t refused_concurrency;
	double rate_tokens; /* of the token bucket for the rate */
	int64_t tokens_updated_us;
	double arrivals; /* decayed count of requests, in requests per second */
	int64_t arrivals_updated_us;
	uint64_t leased[SHARE_DIMS]; /* share granted by the leader */
	int64_t lease_until_us;
	double retry_tokens;
	bool bucket_started; /* rate_tokens was filled for the first time */
} org_usage_t;

void limits_init(limits_t *l)
{
	memset(l, 0, sizeof(*l));
	pthread_mutex_init(&l->lock, NULL);
	l->orgs = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					g_free);
	l->retry_tokens = RETRY_HOST_MAX / 4;
}

void limits_free(limits_t *l)
{
	g_hash_table_destroy(l->orgs);
	pthread_mutex_destroy(&l->lock);
}

static org_usage_t *usage_get(limits_t *l, uint32_t org)
{
	org_usage_t *u = g_hash_table_lookup(l->orgs, GUINT_TO_POINTER(org));

	if (!u) {
		u = g_new0(org_usage_t, 1);
		u->retry_tokens = RETRY_ORG_MAX / 2;
		g_hash_table_insert(l->orgs, GUINT_TO_POINTER(org), u);
	}
	return u;
}

static uint64_t limit_of(const org_t *org, share_dim_t dim)
{
	if (dim == SHARE_RATE)
		return org->limits.rate_per_s * 1000ULL;
	return org->limits.concurrency;
}

/* Share of each host that needs no lease. */
static uint64_t base_share(const org_t *org, share_dim_t dim, size_t hosts)
{
	return limit_of(org, dim) / BASE_SHARE_DIVISOR / (hosts ? hosts : 1);
}

static uint64_t usage_share(const org_usage_t *u, const org_t *org,
			    share_dim_t dim, size_t hosts, int64_t now)
{
	uint64_t share = base_share(org, dim, hosts);

	if (now < u->lease_until_us)
		share += u->leased[dim];
	return share;
}

/*
 * Arrivals per second, decayed to now. The divisor approximates an exponential;
 * after eight time constants the count is 0.
 */
static double usage_arrivals(const org_usage_t *u, int64_t now)
{
	double age = (double)(now - u->arrivals_updated_us) /
		     DEMAND_TIME_CONSTANT_US;

	return age > 8 ? 0 : u->arrivals / (1 + age + age * age / 2);
}

static void usage_count_arrival(org_usage_t *u, int64_t now)
{
	u->arrivals = usage_arrivals(u, now) + 1;
	u->arrivals_updated_us = now;
}

/*
 * Refills the token bucket for the rate. Its depth is the organisation's burst
 * in the proportion that this host's share has of the rate limit.
 */
static void usage_refill_tokens(org_usage_t *u, const org_t *org, size_t hosts,
				int64_t now)
{
	double rate = (double)usage_share(u, org, SHARE_RATE, hosts, now) /
		      MILLI_PER_UNIT;
	uint32_t burst =
		org->limits.burst ? org->limits.burst : org->limits.rate_per_s;
	double depth = burst * rate / org->limits.rate_per_s;

	if (depth < 1)
		depth = 1;
	if (!u->bucket_started)
		u->rate_tokens = depth;
	else
		u->rate_tokens += rate * (double)(now - u->tokens_updated_us) /
				  USEC_PER_SEC;
	u->bucket_started = true;
	u->tokens_updated_us = now;
	if (u->rate_tokens > depth)
		u->rate_tokens = depth;
}

static limit_verdict_t usage_admit(org_usage_t *u, const org_t *org,
				   size_t hosts, int64_t now)
{
	bool leased = now < u->lease_until_us;

	if (org->limits.concurrency &&
	    u->running >= usage_share(u, org, SHARE_CONCURRENCY, hosts, now)) {
		u->refused_concurrency++;
		return leased ? LIMIT_OVER_CONCURRENCY : LIMIT_AWAIT_SHARE;
	}
	if (!org->limits.rate_per_s)
		return LIMIT_ADMITTED;
	usage_refill_tokens(u, org, hosts, now);
	if (u->rate_tokens < 1)
		return leased ? LIMIT_OVER_RATE : LIMIT_AWAIT_SHARE;
	u->rate_tokens -= 1;
	return LIMIT_ADMITTED;
}

static void add_retry_tokens(double *tokens, double percent, double max_tokens)
{
	*tokens += percent / 100;
	if (*tokens > max_tokens)
		*tokens = max_tokens;
}

limit_verdict_t limits_admit(limits_t *l, const org_t *org, size_t hosts,
			     int64_t now)
{
	limit_verdict_t v;
	org_usage_t *u;

	pthread_mutex_lock(&l->lock);
	u = usage_get(l, org->id);
	usage_count_arrival(u, now);
	v = usage_admit(u, org, hosts, now);
	if (v == LIMIT_ADMITTED) {
		u->running++;
		add_retry_tokens(&u->retry_tokens, org->limits.retry_percent,
				 RETRY_ORG_MAX);
		add_retry_tokens(&l->retry_tokens, RETRY_HOST_PERCENT,
				 RETRY_HOST_MAX);
	}
	pthread_mutex_unlock(&l->lock);
	return v;
}

void limits_release(limits_t *l, uint32_t org)
{
	org_usage_t *u;

	pthread_mutex_lock(&l->lock);
	u = usage_get(l, org);
	if (u->running)
		u->running--;
	pthread_mutex_unlock(&l->lock);
}

bool limits_take_retry(limits_t *l, const org_t *org)
{
	bool limited = org->limits.retry_percent;
	bool ok;
	org_usage_t *u;

	pthread_mutex_lock(&l->lock);
	u = usage_get(l, org->id);
	ok = l->retry_tokens >= 1 && (!limited || u->retry_tokens >= 1);
	if (ok) {
		l->retry_tokens -= 1;
		if (limited)
			u->retry_tokens -= 1;
	}
	pthread_mutex_unlock(&l->lock);
	return ok;
}

share_t *limits_collect_demand(limits_t *l, const decided_t *d, int64_t now,
			       size_t *n, uint64_t *confirmed)
{
	size_t count = decided_org_count(d);
	share_t *v = xcalloc(count + 1, sizeof(*v));

	*n = 0;
	pthread_mutex_lock(&l->lock);
	*confirmed = l->grant_seq;
	for (size_t i = 0; i < count; i++) {
		const org_t *org = decided_org_at(d, i);
		org_usage_t *u =
			g_hash_table_lookup(l->orgs, GUINT_TO_POINTER(org->id));
		double arrivals;

		if (!u || (!org->limits.rate_per_s && !org->limits.concurrency))
			continue;
		arrivals = usage_arrivals(u, now);
		if (arrivals < 0.01 && !u->running)
			continue;
		v[*n].org = org->id;
		v[*n].amount[SHARE_RATE] =
			(uint64_t)(arrivals * MILLI_PER_UNIT) + 1;
		v[*n].amount[SHARE_CONCURRENCY] =
			u->running + u->refused_concurrency + 1;
		u->refused_concurrency = 0;
		(*n)++;
	}
	pthread_mutex_unlock(&l->lock);
	return v;
}

void limits_apply_grant(limits_t *l, const share_t *v, size_t n,
			uint64_t grant_term, uint64_t grant_seq,
			int64_t asked_us)
{
	pthread_mutex_lock(&l->lock);
	if (grant_term > l->grant_term ||
	    (grant_term == l->grant_term && grant_seq > l->grant_seq)) {
		l->grant_term = grant_term;
		l->grant_seq = grant_seq;
		for (size_t i = 0; i < n; i++) {
			org_usage_t *u = usage_get(l, v[i].org);

			memcpy(u->leased, v[i].amount, sizeof(u->leased));
			u->lease_until_us = asked_us + SHARE_LEASE_US;
		}
	}
	pthread_mutex_unlock(&l->lock);
}

/* What the leader knows of one host's share of one organisation's limits. */
typedef struct holder {
	struct cds_list_head node;
	host_id_t host;
	uint64_t demand[SHARE_DIMS];
	uint64_t granted[SHARE_DIMS]; /* by the newest grant to the host */
	uint64_t in_use[SHARE_DIMS];  /* most that the host may be using */
	uint64_t grant_seq;	      /* number of the newest grant */
	int64_t lease_until_us;
} holder_t;

static void holders_free(gpointer p)
{
	struct cds_list_head *list = p;
	holder_t *h, *tmp;

	cds_list_for_each_entry_safe (h, tmp, list, node)
		free(h);
	free(list);
}

void share_pool_init(share_pool_t *p)
{
	p->orgs = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					holders_free);
	p->next_grant_seq = 1;
	p->no_grants_until_us = INT64_MIN;
}

void share_pool_free(share_pool_t *p)
{
	g_hash_table_destroy(p->orgs);
}

void share_pool_begin_term(share_pool_t *p, int64_t now)
{
	g_hash_table_remove_all(p->orgs);
	p->no_grants_until_us = now + SHARE_LEASE_US;
}

static struct cds_list_head *org_holders(share_pool_t *p, uint32_t org)
{
	struct cds_list_head *list;

	list = g_hash_table_lookup(p->orgs, GUINT_TO_POINTER(org));
	if (!list) {
		list = xmalloc(sizeof(*list));
		CDS_INIT_LIST_HEAD(list);
		g_hash_table_insert(p->orgs, GUINT_TO_POINTER(org), list);
	}
	return list;
}

/*
 * The holder entry of a host, made where there is none. Drops the entries of
 * other hosts whose lease has run out.
 */
static holder_t *holder_get(struct cds_list_head *list, host_id_t host,
			    int64_t now)
{
	holder_t *h, *tmp, *found = NULL;

	cds_list_for_each_entry_safe (h, tmp, list, node) {
		if (h->host == host) {
			found = h;
		} else if (h->lease_until_us <= now) {
			cds_list_del(&h->node);
			free(h);
		}
	}
	if (!found) {
		found = xcalloc(1, sizeof(*found));
		found->host = host;
		cds_list_add_tail(&found->node, list);
	}
	return found;
}

/*
 * Share of one host. Where the demand of all holders fits into the pool, its
 * demand and an even part of the rest; else a part in proportion to its demand.
 */
static uint64_t fair_share(uint64_t pool, uint64_t demand,
			   uint64_t total_demand, uint64_t holders)
{
	if (total_demand <= pool)
		return demand + (pool - total_demand) / holders;
	return (uint64_t)((double)pool * (double)demand / (double)total_demand);
}

/*
 * What may be granted to the holder me: its fair share, as far as the amounts
 * that the other holders may be using leave room in the pool.
 */
static uint64_t grantable_share(struct cds_list_head *list, const holder_t *me,
				share_dim_t dim, uint64_t pool)
{
	uint64_t total_demand = 0, in_use = 0, n = 0, share;
	const holder_t *h;

	cds_list_for_each_entry (h, list, node) {
		total_demand += h->demand[dim];
		n++;
		if (h != me)
			in_use += h->in_use[dim];
	}
	share = fair_share(pool, me->demand[dim], total_demand, n);
	if (in_use >= pool)
		return 0;
	return share < pool - in_use ? share : pool - in_use;
}

/* Replaces the demand in *v by the share granted to the host. */
static void grant_org_share(share_pool_t *p, const org_t *org, size_t hosts,
			    host_id_t host, uint64_t confirmed, share_t *v,
			    uint64_t grant_seq, int64_t now)
{
	struct cds_list_head *list = org_holders(p, org->id);
	holder_t *me = holder_get(list, host, now);

	for (int i = 0; i < SHARE_DIMS; i++) {
		share_dim_t dim = (share_dim_t)i;
		uint64_t base = base_share(org, dim, hosts) * hosts;
		uint64_t pool = limit_of(org, dim) - base;

		if (confirmed >= me->grant_seq || me->lease_until_us <= now)
			me->in_use[dim] = me->granted[dim];
		me->demand[dim] = v->amount[dim];
		me->granted[dim] = grantable_share(list, me, dim, pool);
		if (me->granted[dim] > me->in_use[dim])
			me->in_use[dim] = me->granted[dim];
		v->amount[dim] = me->granted[dim];
	}
	me->grant_seq = grant_seq;
	me->lease_until_us = now + SHARE_LEASE_US;
}

uint64_t share_pool_ask(share_pool_t *p, const decided_t *d, host_id_t host,
			uint64_t confirmed, share_t *v, size_t n, int64_t now)
{
	uint64_t grant_seq;

	if (now < p->no_grants_until_us)
		return 0;
	grant_seq = p->next_grant_seq++;
	for (size_t i = 0; i < n; i++) {
		const org_t *org = decided_org(d, v[i].org);

		if (org)
			grant_org_share(p, org, decided_host_count(d), host,
					confirmed, &v[i], grant_seq, now);
		else
			memset(v[i].amount, 0, sizeof(v[i].amount));
	}
	return grant_seq;
}
