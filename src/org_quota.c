/* org_quota.c - token buckets for the quotas of organisations. */
#include "org_quota.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Bounds of the time after which a caller over its quota may come back. */
#define QUOTA_RETRY_MIN_US (100 * USEC_PER_MSEC)
#define QUOTA_RETRY_MAX_US (5 * USEC_PER_SEC)
/* A bucket that takes longer to fill counts as one that takes this long. */
#define FILL_TIME_MAX_US (86400 * USEC_PER_SEC)
/* Longest wait for a share of the quota, whatever the request accepts. */
#define QUOTA_WAIT_MAX_US (250 * USEC_PER_MSEC)
/*
 * Isolated daemons use their part of each quota for about so long. Until then the
 * leader leaves it to hosts that it has lost.
 */
#define LOST_HOSTS_USE_US (30 * USEC_PER_SEC)
/*
 * Part of the tolerance that a new bucket starts with. Within one window the leader
 * may change twice, with isolated daemons between.
 */
#define INITIAL_TOLERANCE_SHARE 0.25

struct org_bucket {
	str_t name;   /* owned */
	double per_s; /* this dispatcher's share of the quota, a second */
	double size;
	double level; /* below 0: requests wait for what they have taken */
	int64_t filled_us;
	int64_t begun_us; /* it starts nearly empty */
	/*
	 * Latest time at which a refused caller was told to retry, with the room
	 * that it needs; the next one is told a later time, so that they do not
	 * all return at once.
	 */
	int64_t retries_until_us;
	uint64_t epoch; /* of the quotas when per_s and size were set */
};

struct org_quotas {
	quota_tolerance_t tolerance;
	GHashTable *buckets; /* str_t -> org_bucket_t */
	manifest_t *manifest;
	double share; /* of each quota */
	bool burst;
	uint64_t seed; /* differs from daemon to daemon and from term to term */
	uint64_t epoch;	  /* changes with manifest and share */
	size_t most_live; /* hosts, lately */
	int64_t most_live_us;
};

static guint name_hash(gconstpointer p)
{
	const str_t *s = p;

	return (guint)hash_bytes(s->p, s->n, 0);
}

static gboolean name_equal(gconstpointer a, gconstpointer b)
{
	return str_eq(*(const str_t *)a, *(const str_t *)b);
}

static void bucket_free(gpointer p)
{
	org_bucket_t *b = p;

	str_free(&b->name);
	free(b);
}

org_quotas_t *org_quotas_new(const quota_tolerance_t *tolerance)
{
	org_quotas_t *q = xcalloc(1, sizeof(*q));

	q->tolerance = *tolerance;
	q->buckets =
		g_hash_table_new_full(name_hash, name_equal, NULL, bucket_free);
	q->share = 1;
	return q;
}

void org_quotas_free(org_quotas_t *q)
{
	if (!q)
		return;
	g_hash_table_destroy(q->buckets);
	manifest_unref(q->manifest);
	free(q);
}

void org_quotas_begin(org_quotas_t *q, double share, bool burst, uint64_t seed)
{
	g_hash_table_remove_all(q->buckets);
	q->share = share;
	q->seed = seed;
	q->burst = burst;
	q->most_live = 0;
	q->epoch++;
}

static void bucket_fill(org_bucket_t *b, int64_t now_us)
{
	double elapsed_s =
		(double)(now_us - b->filled_us) / (double)USEC_PER_SEC;

	b->level = MIN(b->level + elapsed_s * b->per_s, b->size);
	b->filled_us = now_us;
}

void org_quotas_set_manifest(org_quotas_t *q, manifest_t *m)
{
	if (q->manifest == m)
		return;
	manifest_unref(q->manifest);
	q->manifest = manifest_ref(m);
	q->epoch++;
}

void org_quotas_set_live_hosts(org_quotas_t *q, size_t n, int64_t now_us)
{
	double share;

	if (n >= q->most_live || now_us - q->most_live_us > LOST_HOSTS_USE_US)
		q->most_live = n;
	if (n == q->most_live)
		q->most_live_us = now_us;
	share = q->most_live ? (double)n / (double)q->most_live : 1;
	if (share == q->share)
		return;
	q->share = share;
	q->epoch++;
}

/*
 * What a new bucket holds: a part of what the quota may be exceeded by, so that a
 * takeover does not refuse every request until the bucket fills.
 */
static double initial_level(const org_quotas_t *q, const organisation_t *org)
{
	const quota_tolerance_t *t = &q->tolerance;
	double amount = org->quota_per_s * t->window_s + org->quota_burst;

	return (amount * t->excess + t->slack) * INITIAL_TOLERANCE_SHARE *
	       q->share;
}

/* Of an organisation with a quota; NULL: it has none. */
static org_bucket_t *find_bucket(org_quotas_t *q, const organisation_t *org,
				 int64_t now_us)
{
	org_bucket_t *b = g_hash_table_lookup(q->buckets, &org->name);

	if (!(org->quota_per_s > 0))
		return NULL;
	if (!b) {
		b = xcalloc(1, sizeof(*b));
		b->name = str_copy(org->name);
		b->filled_us = now_us;
		b->begun_us = now_us;
		b->level = initial_level(q, org);
		b->size = b->level;
		g_hash_table_insert(q->buckets, &b->name, b);
	}
	bucket_fill(b, now_us);
	if (b->epoch != q->epoch) {
		b->epoch = q->epoch;
		b->per_s = org->quota_per_s * q->share;
		b->size = q->burst ? org->quota_burst * q->share : 0;
		b->size = MAX(b->size, initial_level(q, org));
		b->level = MIN(b->level, b->size);
	}
	return b;
}

static double request_cost(const organisation_t *org, uint32_t tokens)
{
	if (org->quota_unit == QUOTA_REQUESTS)
		return 1;
	return tokens ? tokens : org->plain_tokens;
}

/* Time until a bucket of this rate has so much more. */
static int64_t fill_time_us(const org_bucket_t *b, double amount)
{
	double us = amount / b->per_s * (double)USEC_PER_SEC;

	/* Also where the share is 0, or the quota next to nothing. */
	return us < (double)FILL_TIME_MAX_US ? (int64_t)us : FILL_TIME_MAX_US;
}

/* From 0 up to 1, alike for one request. */
static double random_draw(const org_quotas_t *q, uint64_t id)
{
	return hash_fraction(hash_bytes(&id, sizeof(id), q->seed));
}

/*
 * When the caller of a request that is refused may come back: as soon as there is room
 * behind those told before it; or, if that is too far off, at a random time, as many
 * that come back at once are refused again.
 */
static int64_t assign_retry_time(const org_quotas_t *q, org_bucket_t *b,
				 double cost, uint64_t id, int64_t now_us)
{
	int64_t room_us = now_us + fill_time_us(b, MAX(cost - b->level, 0));
	int64_t at_us = MAX(room_us, b->retries_until_us);

	if (at_us - now_us > QUOTA_RETRY_MAX_US)
		return (int64_t)((1 + random_draw(q, id)) / 2 *
				 QUOTA_RETRY_MAX_US);
	b->retries_until_us = at_us + fill_time_us(b, cost);
	return MAX(at_us - now_us, QUOTA_RETRY_MIN_US);
}

/*
 * An isolated daemon's share of a quota is often smaller than one request. It spends
 * what there is on a draw, which admits a request with such a probability that all
 * daemons together admit what they may.
 */
static bool wins_draw(const org_quotas_t *q, org_bucket_t *b, double cost,
		      uint64_t id)
{
	bool wins = random_draw(q, id) * cost < b->level;

	b->level = 0;
	return wins;
}

static void take(org_bucket_t *b, double cost, quota_charge_t *charge)
{
	b->level -= cost;
	charge->bucket = b;
	charge->amount = cost;
}

/*
 * How long a request may wait for its share: only while the bucket would not have
 * filled yet, so that requests within the quota are not refused after a takeover.
 * Later on an organisation over its quota would make all its requests wait, and those
 * that accept the longest wait would take what the others need.
 */
static int64_t wait_limit(const org_bucket_t *b, const quota_request_t *req,
			  int64_t now_us)
{
	if (now_us - b->begun_us >= fill_time_us(b, b->size))
		return 0;
	return CLAMP(req->wait_max_us, 0, QUOTA_WAIT_MAX_US);
}

int64_t org_quota_take(org_quotas_t *q, const quota_request_t *req,
		       int64_t now_us, quota_charge_t *charge,
		       int64_t *retry_us)
{
	const organisation_t *org =
		q->manifest && req->org.n
			? manifest_find_org_by_name(q->manifest, req->org)
			: NULL;
	org_bucket_t *b = org ? find_bucket(q, org, now_us) : NULL;
	int64_t wait_us = 0;
	double cost;

	memset(charge, 0, sizeof(*charge));
	if (!b)
		return 0;
	cost = request_cost(org, req->tokens);
	if (!q->burst && b->level > 0 && cost > b->level &&
	    wins_draw(q, b, cost, req->id))
		return 0;
	if (cost > b->level)
		wait_us = fill_time_us(b, cost - b->level);
	if (!req->may_have_run && wait_us > wait_limit(b, req, now_us)) {
		*retry_us = assign_retry_time(q, b, cost, req->id, now_us);
		return -1;
	}
	take(b, cost, charge);
	return req->may_have_run ? 0 : wait_us;
}

void org_quota_return(quota_charge_t *charge)
{
	if (charge->bucket)
		charge->bucket->level += charge->amount;
	memset(charge, 0, sizeof(*charge));
}
