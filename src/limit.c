/* limit.c - limits of organisations and retry budgets. */
#include "limit.h"

#include <string.h>

/* Part of a limit that is split evenly and needs no lease: one in this. */
#define BASE_PART 5u
/* Demand is averaged over this time. */
#define DEMAND_TAU_US USEC_PER_SEC
/* Retry budgets: kept at most, and given at the start. */
#define RETRY_ORG_MAX 20.0
#define RETRY_HOST_MAX 200.0
#define RETRY_HOST_PERCENT 20.0
#define MILLI 1000.0

/* What one daemon has and uses of one organisation's limits. */
typedef struct use {
	uint32_t running;
	uint32_t refused; /* for concurrency since the last demand */
	double tokens;
	int64_t tokens_at_us;
	double arrivals; /* decayed count */
	int64_t arrivals_at_us;
	uint64_t leased[SHARE_DIMS];
	int64_t until_us; /* end of the leased share */
	double retry_tokens;
	bool seen;
} use_t;

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

static use_t *use_get(limits_t *l, uint32_t org)
{
	use_t *u = g_hash_table_lookup(l->orgs, GUINT_TO_POINTER(org));

	if (!u) {
		u = g_new0(use_t, 1);
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

static uint64_t base_share(const org_t *org, share_dim_t dim, size_t hosts)
{
	return limit_of(org, dim) / BASE_PART / (hosts ? hosts : 1);
}

static uint64_t use_share(const use_t *u, const org_t *org, share_dim_t dim,
			  size_t hosts, int64_t now)
{
	uint64_t share = base_share(org, dim, hosts);

	if (now < u->until_us)
		share += u->leased[dim];
	return share;
}

static double use_arrivals(const use_t *u, int64_t now)
{
	double age = (double)(now - u->arrivals_at_us) / DEMAND_TAU_US;

	return age > 8 ? 0 : u->arrivals / (1 + age + age * age / 2);
}

static void use_arrived(use_t *u, int64_t now)
{
	u->arrivals = use_arrivals(u, now) + 1;
	u->arrivals_at_us = now;
}

/* Refills the token bucket; its depth is the burst in the share's proportion. */
static void use_refill(use_t *u, const org_t *org, size_t hosts, int64_t now)
{
	double rate = (double)use_share(u, org, SHARE_RATE, hosts, now) / MILLI;
	uint32_t burst =
		org->limits.burst ? org->limits.burst : org->limits.rate_per_s;
	double depth = burst * rate / org->limits.rate_per_s;

	if (depth < 1)
		depth = 1;
	if (!u->seen)
		u->tokens = depth;
	else
		u->tokens +=
			rate * (double)(now - u->tokens_at_us) / USEC_PER_SEC;
	u->seen = true;
	u->tokens_at_us = now;
	if (u->tokens > depth)
		u->tokens = depth;
}

static limit_verdict_t use_admit(use_t *u, const org_t *org, size_t hosts,
				 int64_t now)
{
	bool leased = now < u->until_us;

	if (org->limits.concurrency &&
	    u->running >= use_share(u, org, SHARE_CONCURRENCY, hosts, now)) {
		u->refused++;
		return leased ? LIMIT_OVER_CONCURRENCY : LIMIT_AWAIT_SHARE;
	}
	if (!org->limits.rate_per_s)
		return LIMIT_ADMITTED;
	use_refill(u, org, hosts, now);
	if (u->tokens < 1)
		return leased ? LIMIT_OVER_RATE : LIMIT_AWAIT_SHARE;
	u->tokens -= 1;
	return LIMIT_ADMITTED;
}

static void retry_earn(double *tokens, double percent, double most)
{
	*tokens += percent / 100;
	if (*tokens > most)
		*tokens = most;
}

limit_verdict_t limits_admit(limits_t *l, const org_t *org, size_t hosts,
			     int64_t now)
{
	limit_verdict_t v;
	use_t *u;

	pthread_mutex_lock(&l->lock);
	u = use_get(l, org->id);
	use_arrived(u, now);
	v = use_admit(u, org, hosts, now);
	if (v == LIMIT_ADMITTED) {
		u->running++;
		retry_earn(&u->retry_tokens, org->limits.retry_percent,
			   RETRY_ORG_MAX);
		retry_earn(&l->retry_tokens, RETRY_HOST_PERCENT,
			   RETRY_HOST_MAX);
	}
	pthread_mutex_unlock(&l->lock);
	return v;
}

void limits_release(limits_t *l, uint32_t org)
{
	use_t *u;

	pthread_mutex_lock(&l->lock);
	u = use_get(l, org);
	if (u->running)
		u->running--;
	pthread_mutex_unlock(&l->lock);
}

bool limits_take_retry(limits_t *l, const org_t *org)
{
	bool limited = org->limits.retry_percent;
	bool ok;
	use_t *u;

	pthread_mutex_lock(&l->lock);
	u = use_get(l, org->id);
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
	*confirmed = l->seq;
	for (size_t i = 0; i < count; i++) {
		const org_t *org = decided_org_at(d, i);
		use_t *u =
			g_hash_table_lookup(l->orgs, GUINT_TO_POINTER(org->id));
		double arrivals;

		if (!u || (!org->limits.rate_per_s && !org->limits.concurrency))
			continue;
		arrivals = use_arrivals(u, now);
		if (arrivals < 0.01 && !u->running)
			continue;
		v[*n].org = org->id;
		v[*n].amount[SHARE_RATE] = (uint64_t)(arrivals * MILLI) + 1;
		v[*n].amount[SHARE_CONCURRENCY] = u->running + u->refused + 1;
		u->refused = 0;
		(*n)++;
	}
	pthread_mutex_unlock(&l->lock);
	return v;
}

void limits_apply_grant(limits_t *l, const share_t *v, size_t n, uint64_t term,
			uint64_t seq, int64_t asked_us)
{
	pthread_mutex_lock(&l->lock);
	if (term > l->term || (term == l->term && seq > l->seq)) {
		l->term = term;
		l->seq = seq;
		for (size_t i = 0; i < n; i++) {
			use_t *u = use_get(l, v[i].org);

			memcpy(u->leased, v[i].amount, sizeof(u->leased));
			u->until_us = asked_us + SHARE_LEASE_US;
		}
	}
	pthread_mutex_unlock(&l->lock);
}

/* The leader's view of one host's share of one organisation. */
typedef struct holder {
	struct cds_list_head node;
	host_id_t host;
	uint64_t want[SHARE_DIMS];
	uint64_t granted[SHARE_DIMS]; /* by the newest grant */
	uint64_t counted[SHARE_DIMS]; /* most that may be in use */
	uint64_t seq;		      /* of the newest grant */
	int64_t until_us;
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
	p->next_seq = 1;
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

static struct cds_list_head *pool_holders(share_pool_t *p, uint32_t org)
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

/* The holder entry of a host; those whose lease ran out are dropped. */
static holder_t *pool_holder(struct cds_list_head *list, host_id_t host,
			     int64_t now)
{
	holder_t *h, *tmp, *found = NULL;

	cds_list_for_each_entry_safe (h, tmp, list, node) {
		if (h->host == host) {
			found = h;
		} else if (h->until_us <= now) {
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
 * Share of one host: its want where all wants fit, with the rest split
 * evenly; else in proportion to the wants.
 */
static uint64_t pool_split(uint64_t pool, uint64_t want, uint64_t wants,
			   uint64_t holders)
{
	if (wants <= pool)
		return want + (pool - wants) / holders;
	return (uint64_t)((double)pool * (double)want / (double)wants);
}

static uint64_t pool_grant(struct cds_list_head *list, const holder_t *me,
			   share_dim_t dim, uint64_t pool)
{
	uint64_t wants = 0, counted = 0, n = 0, share;
	const holder_t *h;

	cds_list_for_each_entry (h, list, node) {
		wants += h->want[dim];
		n++;
		if (h != me)
			counted += h->counted[dim];
	}
	share = pool_split(pool, me->want[dim], wants, n);
	if (counted >= pool)
		return 0;
	return share < pool - counted ? share : pool - counted;
}

static void pool_ask_org(share_pool_t *p, const org_t *org, size_t hosts,
			 host_id_t host, uint64_t confirmed, share_t *v,
			 uint64_t seq, int64_t now)
{
	struct cds_list_head *list = pool_holders(p, org->id);
	holder_t *me = pool_holder(list, host, now);

	for (int i = 0; i < SHARE_DIMS; i++) {
		share_dim_t dim = (share_dim_t)i;
		uint64_t base = base_share(org, dim, hosts) * hosts;
		uint64_t pool = limit_of(org, dim) - base;

		if (confirmed >= me->seq || me->until_us <= now)
			me->counted[dim] = me->granted[dim];
		me->want[dim] = v->amount[dim];
		me->granted[dim] = pool_grant(list, me, dim, pool);
		if (me->granted[dim] > me->counted[dim])
			me->counted[dim] = me->granted[dim];
		v->amount[dim] = me->granted[dim];
	}
	me->seq = seq;
	me->until_us = now + SHARE_LEASE_US;
}

uint64_t share_pool_ask(share_pool_t *p, const decided_t *d, host_id_t host,
			uint64_t confirmed, share_t *v, size_t n, int64_t now)
{
	uint64_t seq;

	if (now < p->no_grants_until_us)
		return 0;
	seq = p->next_seq++;
	for (size_t i = 0; i < n; i++) {
		const org_t *org = decided_org(d, v[i].org);

		if (org)
			pool_ask_org(p, org, decided_host_count(d), host,
				     confirmed, &v[i], seq, now);
		else
			memset(v[i].amount, 0, sizeof(v[i].amount));
	}
	return seq;
}
