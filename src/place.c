/* place.c - scoring of targets from the owners' reports. */
#include "place.h"

#include <math.h>
#include <string.h>

#include "slot.h"

/* A report counts for this long without a newer one. */
#define REPORT_LIFE_US (10 * USEC_PER_SEC)
/* Rendezvous homes that a non-resident adapter may be loaded on. */
#define HOMES_MAX 16u
/* What one rank among the homes is worth, to break ties. */
#define HOME_STEP_US USEC_PER_MSEC
/* An adapter that is asked for within this time is missed when evicted. */
#define REUSE_US (30 * USEC_PER_SEC)
/* What the eviction of an adapter costs that another target has too. */
#define COPY_SHARE 0.1
/* Loads that are under way to a target count so for this long, and so many. */
#define HEADING_US (500 * USEC_PER_MSEC)
#define HEADING_MAX 16u
/* Expected wait for a slot where none can be had. */
#define NO_SLOT_US (5 * USEC_PER_SEC)
/* Hosts tried without a report are taken as lightly loaded. */
#define UNKNOWN_WAIT_US (5 * USEC_PER_MSEC)

typedef struct hint {
	uint64_t fence;
	int64_t at_us;
	int64_t wait_us;
	int64_t each_us;
	uint32_t waiting;
	uint32_t running;
	uint32_t sent;	    /* by this daemon since the report */
	uint32_t sent_cold; /* of these, with a load */
	uint64_t *evict;    /* owned: costs of the next evictions */
	size_t n_evict;
	uint32_t spare_copies; /* slots free for what is resident nowhere */
	bool known;	       /* a report has come */
	bool active;
	bool leaving;	    /* says the report */
	bool listed;	    /* says the platform's list */
	bool said;	    /* said the target itself, in its present life */
	uint32_t *resident; /* owned */
	size_t n_resident;
	uint32_t *loading; /* owned */
	size_t n_loading;
	/* Adapters that this daemon sent requests for, to be loaded there. */
	uint32_t heading[HEADING_MAX];
	int64_t heading_until_us[HEADING_MAX];
	size_t next_heading;
} hint_t;

static void hint_free(gpointer p)
{
	hint_t *h = p;

	free(h->resident);
	free(h->loading);
	free(h->evict);
	free(h);
}

void place_init(place_t *p, const serve_cfg_t *cfg)
{
	memset(p, 0, sizeof(*p));
	pthread_mutex_init(&p->lock, NULL);
	p->cfg = cfg;
	p->seed = cfg->seed;
	rates_init(&p->rates);
	p->hints = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					 hint_free);
	p->down = g_hash_table_new(g_direct_hash, g_direct_equal);
}

void place_free(place_t *p)
{
	g_hash_table_destroy(p->hints);
	g_hash_table_destroy(p->down);
	rates_free(&p->rates);
	free(p->live);
	pthread_mutex_destroy(&p->lock);
}

static hint_t *hint_find(const place_t *p, target_id_t target)
{
	return g_hash_table_lookup(p->hints, GUINT_TO_POINTER(target));
}

static hint_t *hint_get(place_t *p, target_id_t target)
{
	hint_t *h = hint_find(p, target);

	if (!h) {
		h = xcalloc(1, sizeof(*h));
		h->active = true;
		g_hash_table_insert(p->hints, GUINT_TO_POINTER(target), h);
	}
	return h;
}

static void set_hashes(uint32_t **v, size_t *n, const uint32_t *from,
		       size_t count)
{
	free(*v);
	*v = xmalloc(count * sizeof(**v) + 1);
	if (count)
		memcpy(*v, from, count * sizeof(**v));
	*n = count;
}

static void set_backlog(place_t *p, uint32_t backlog, int64_t now)
{
	p->backlog = backlog;
	p->backlog_at_us = now;
}

/* Time until a load that is asked for now ends; with the lock held. */
static int64_t expected_load(const place_t *p, int64_t load_us, int64_t now)
{
	uint32_t lanes =
		p->cfg->store_concurrency ? p->cfg->store_concurrency : 1;
	int64_t wait = p->backlog * p->cfg->load_us / lanes;

	wait -= now - p->backlog_at_us;
	return load_us + (wait > 0 ? wait : 0);
}

static void set_costs(hint_t *h, const Serve__Report *rep)
{
	free(h->evict);
	h->evict = xmalloc(rep->n_evict_us * sizeof(*h->evict) + 1);
	if (rep->n_evict_us)
		memcpy(h->evict, rep->evict_us,
		       rep->n_evict_us * sizeof(*h->evict));
	h->n_evict = rep->n_evict_us;
}

void place_apply_report(place_t *p, const Serve__Report *rep, int64_t now)
{
	hint_t *h;

	pthread_mutex_lock(&p->lock);
	for (size_t i = 0; i < rep->n_asked; i++)
		rates_add(&p->rates, rep->asked[i], 1, now);
	if (rep->store_backlog)
		set_backlog(p, rep->store_backlog - 1, now);
	h = hint_get(p, rep->target);
	if (!h->known || rep->fence >= h->fence) {
		h->known = true;
		h->fence = rep->fence;
		h->at_us = now;
		h->wait_us = rep->wait_us;
		h->each_us = rep->each_us;
		h->waiting = rep->waiting;
		h->running = rep->running;
		h->sent = 0;
		h->sent_cold = 0;
		set_costs(h, rep);
		h->active = rep->active;
		h->spare_copies = rep->spare_copies;
		h->leaving = rep->leaving;
		set_hashes(&h->resident, &h->n_resident, rep->resident,
			   rep->n_resident);
		set_hashes(&h->loading, &h->n_loading, rep->loading,
			   rep->n_loading);
	}
	pthread_mutex_unlock(&p->lock);
}

void place_set_listed_leaving(place_t *p, target_id_t target, bool leaving)
{
	hint_t *h;

	pthread_mutex_lock(&p->lock);
	h = hint_get(p, target);
	/* The list lags: only its own change takes back the target's word. */
	if (h->listed && !leaving)
		h->said = false;
	h->listed = leaving;
	pthread_mutex_unlock(&p->lock);
}

void place_set_announced_leaving(place_t *p, target_id_t target, bool leaving)
{
	pthread_mutex_lock(&p->lock);
	hint_get(p, target)->said = leaving;
	pthread_mutex_unlock(&p->lock);
}

static bool hint_leaving(const hint_t *h)
{
	return h && (h->listed || h->said);
}

bool place_is_leaving(place_t *p, target_id_t target)
{
	bool leaving;

	pthread_mutex_lock(&p->lock);
	leaving = hint_leaving(hint_find(p, target));
	pthread_mutex_unlock(&p->lock);
	return leaving;
}

void place_standing(place_t *p, const standing_t *st)
{
	pthread_mutex_lock(&p->lock);
	free(p->live);
	p->n_live = st->n_live;
	p->live = xmalloc(st->n_live * sizeof(*p->live) + 1);
	if (st->n_live)
		memcpy(p->live, st->live, st->n_live * sizeof(*p->live));
	pthread_mutex_unlock(&p->lock);
}

void place_set_link_up(place_t *p, host_id_t host, bool up)
{
	gpointer key = GUINT_TO_POINTER(host);

	pthread_mutex_lock(&p->lock);
	if (up)
		g_hash_table_remove(p->down, key);
	else
		g_hash_table_add(p->down, key);
	pthread_mutex_unlock(&p->lock);
}

static bool host_live(const place_t *p, host_id_t host)
{
	size_t lo = 0, hi = p->n_live;

	if (!host || g_hash_table_contains(p->down, GUINT_TO_POINTER(host)))
		return false;
	while (lo < hi) {
		size_t mid = (lo + hi) / 2;

		if (p->live[mid] == host)
			return true;
		if (p->live[mid] < host)
			lo = mid + 1;
		else
			hi = mid;
	}
	return false;
}

bool place_is_host_live(place_t *p, host_id_t host)
{
	bool live;

	pthread_mutex_lock(&p->lock);
	live = host_live(p, host);
	pthread_mutex_unlock(&p->lock);
	return live;
}

size_t place_live_hosts(place_t *p, host_id_t *out, size_t max)
{
	size_t n;

	pthread_mutex_lock(&p->lock);
	n = p->n_live;
	if (n)
		memcpy(out, p->live, (n < max ? n : max) * sizeof(*out));
	pthread_mutex_unlock(&p->lock);
	return n;
}

static bool has_hash(const uint32_t *v, size_t n, uint32_t hash)
{
	for (size_t i = 0; i < n; i++)
		if (v[i] == hash)
			return true;
	return false;
}

static bool target_matches(const target_t *t, const place_query_t *q)
{
	return t->kind == q->kind && str_eq(t->base, q->base) &&
	       t->state == TARGET_ACTIVE;
}

static bool was_tried(const place_query_t *q, target_id_t id)
{
	for (size_t i = 0; i < q->n_tried; i++)
		if (q->tried[i] == id)
			return true;
	return false;
}

/* A hint that still counts, or NULL. */
static const hint_t *hint_fresh(const place_t *p, const target_t *t,
				int64_t now)
{
	const hint_t *h = hint_find(p, t->id);

	if (!h || !h->known || h->fence != t->fence ||
	    now - h->at_us > REPORT_LIFE_US)
		return NULL;
	return h;
}

static bool target_usable(const place_t *p, const target_t *t,
			  const place_query_t *q)
{
	const hint_t *h = hint_find(p, t->id);

	if (!target_matches(t, q) || !host_live(p, t->owner))
		return false;
	if (hint_leaving(h))
		return false;
	h = hint_fresh(p, t, q->now_us);
	return !h || (h->active && !h->leaving);
}

static int64_t expected_wait(const hint_t *h, const target_t *t)
{
	uint32_t busy;

	if (!h)
		return UNKNOWN_WAIT_US;
	busy = h->running + h->waiting;
	if (busy < t->max_batch)
		busy += h->sent < t->max_batch - busy ? h->sent
						      : t->max_batch - busy;
	/* What was sent since the report waits only past the batch. */
	return h->wait_us +
	       (h->running + h->waiting + h->sent - busy) * h->each_us;
}

/* Expected cost of the eviction that a load there needs. */
static double expected_evict(const place_t *p, const hint_t *h, bool nowhere)
{
	size_t next;

	if (!h)
		return (double)p->cfg->load_us;
	next = h->sent_cold;
	if (next < h->n_evict)
		return (double)h->evict[next];
	if (nowhere && next < h->n_evict + h->spare_copies)
		return (double)p->cfg->load_us;
	/* All slots are pinned or awaited: when one is free is not known. */
	return (double)NO_SLOT_US * (double)(next - h->n_evict + 1);
}

/* Score under the cost policy: expected finish, weighted. */
static double cost_score(const place_t *p, const place_query_t *q,
			 const hint_t *h, const place_score_t *s,
			 uint32_t copies)
{
	const serve_cfg_t *cfg = p->cfg;
	double score = (double)s->wait_us;

	if (q->kind == TARGET_SERVICE || !q->adapter.n || s->resident)
		return score + (double)s->home_rank;
	score += cfg->stall_weight * (double)s->stall_us;
	if (!s->loading)
		score += cfg->stall_weight * expected_evict(p, h, !copies);
	return score + (double)s->home_rank * HOME_STEP_US;
}

static double policy_score(const place_t *p, const place_query_t *q,
			   const place_score_t *s, uint32_t copies,
			   uint64_t seed)
{
	const hint_t *h = hint_fresh(p, s->target, q->now_us);

	uint32_t load = h ? h->waiting + h->running + h->sent : 0;
	uint64_t draw;

	switch (p->cfg->policy.place) {
	case PLACE_LEAST_LOADED:
		return (double)load;
	case PLACE_RENDEZVOUS:
		return (double)s->home_rank;
	case PLACE_RANDOM:
		draw = hash_bytes(&s->target->id, sizeof(s->target->id),
				  p->seed ^ seed);
		return (double)(draw >> 11);
	case PLACE_COST:
		break;
	}
	return cost_score(p, q, h, s, copies);
}

static int by_home(const void *a, const void *b, void *ctx)
{
	const place_score_t *x = a, *y = b;
	uint64_t key = *(const uint64_t *)ctx;
	uint64_t hx = rendezvous_score(key, x->target->id);
	uint64_t hy = rendezvous_score(key, y->target->id);

	if (hx != hy)
		return hx > hy ? -1 : 1;
	return x->target->id < y->target->id ? -1 : 1;
}

static int by_score(const void *a, const void *b)
{
	const place_score_t *x = a, *y = b;

	if (x->score != y->score)
		return x->score < y->score ? -1 : 1;
	return x->home_rank < y->home_rank ? -1 : x->home_rank > y->home_rank;
}

static bool is_heading(const hint_t *h, uint32_t hash, int64_t now)
{
	for (size_t i = 0; i < HEADING_MAX; i++)
		if (h->heading[i] == hash && h->heading_until_us[i] > now)
			return true;
	return false;
}

static void set_heading(hint_t *h, uint32_t hash, int64_t now)
{
	h->heading[h->next_heading] = hash;
	h->heading_until_us[h->next_heading] = now + HEADING_US;
	h->next_heading = (h->next_heading + 1) % HEADING_MAX;
}

static void fill_score(const place_t *p, const place_query_t *q,
		       place_score_t *s, uint32_t home_rank)
{
	const hint_t *h = hint_fresh(p, s->target, q->now_us);
	uint32_t hash = slot_hash(q->adapter);

	s->home_rank = home_rank;
	s->wait_us = expected_wait(h, s->target);
	s->resident = !q->adapter.n;
	s->loading = false;
	if (h && q->adapter.n) {
		s->resident = has_hash(h->resident, h->n_resident, hash);
		s->loading = has_hash(h->loading, h->n_loading, hash) ||
			     is_heading(h, hash, q->now_us);
	}
	s->stall_us = expected_load(p, q->load_us, q->now_us);
	if (s->resident)
		s->stall_us = 0;
	else if (s->loading)
		s->stall_us /= 2;
}

/* Keeps what may be chosen: where it is or comes to be resident, and homes. */
static bool is_candidate(const place_t *p, const place_query_t *q,
			 const place_score_t *s, uint32_t copies)
{
	if (p->cfg->policy.place != PLACE_COST || q->kind == TARGET_SERVICE ||
	    !q->adapter.n)
		return true;
	if (s->resident || s->loading)
		return true;
	return s->home_rank < HOMES_MAX && copies < p->cfg->replicas_max;
}

static size_t score_all(const place_t *p, const decided_t *d,
			const place_query_t *q, place_score_t *v)
{
	uint64_t key = hash_bytes(q->name.p, q->name.n, 1);
	uint64_t draw = key;
	size_t n = 0, kept = 0, count = decided_target_count(d);
	uint32_t copies = 0;
	bool fresh = false;

	if (!q->name.n)
		key = q->prefix_hash;
	draw = key ^ (uint64_t)q->now_us;
	for (size_t i = 0; i < count; i++) {
		const target_t *t = decided_target_at(d, i);

		if (!target_usable(p, t, q))
			continue;
		v[n++].target = t;
		fresh = fresh || !was_tried(q, t->id);
	}
	qsort_r(v, n, sizeof(*v), by_home, &key);
	for (size_t i = 0; i < n; i++) {
		if (fresh && was_tried(q, v[i].target->id))
			continue;
		v[kept].target = v[i].target;
		fill_score(p, q, &v[kept], (uint32_t)kept);
		kept++;
	}
	for (size_t i = 0; i < kept; i++)
		copies += q->adapter.n && (v[i].resident || v[i].loading);
	n = 0;
	for (size_t i = 0; i < kept; i++)
		if (is_candidate(p, q, &v[i], copies)) {
			v[n] = v[i];
			v[n].score = policy_score(p, q, &v[n], copies, draw);
			n++;
		}
	qsort(v, n, sizeof(*v), by_score);
	return n;
}

size_t place_candidates(place_t *p, const decided_t *d, const place_query_t *q,
			place_score_t *out, size_t max)
{
	AUTO_FREE place_score_t *v = NULL;
	size_t n;

	v = xcalloc(decided_target_count(d) + 1, sizeof(*v));
	pthread_mutex_lock(&p->lock);
	n = score_all(p, d, q, v);
	pthread_mutex_unlock(&p->lock);
	if (n > max)
		n = max;
	if (n)
		memcpy(out, v, n * sizeof(*out));
	return n;
}

const target_t *place_pick(place_t *p, const decided_t *d,
			   const place_query_t *q)
{
	place_score_t best;
	hint_t *h;

	if (!place_candidates(p, d, q, &best, 1))
		return NULL;
	pthread_mutex_lock(&p->lock);
	h = hint_get(p, best.target->id);
	h->sent++;
	if (!best.resident && !best.loading) {
		h->sent_cold++;
		set_heading(h, slot_hash(q->adapter), q->now_us);
	}
	pthread_mutex_unlock(&p->lock);
	return best.target;
}

bool place_has_unavailable_match(place_t *p, const decided_t *d,
				 const place_query_t *q)
{
	bool found = false;

	pthread_mutex_lock(&p->lock);
	for (size_t i = 0; i < decided_target_count(d) && !found; i++) {
		const target_t *t = decided_target_at(d, i);

		found = target_matches(t, q) && !was_tried(q, t->id) &&
			!target_usable(p, t, q);
	}
	pthread_mutex_unlock(&p->lock);
	return found;
}

bool place_has_match(place_t *p, const decided_t *d, const place_query_t *q)
{
	(void)p;
	for (size_t i = 0; i < decided_target_count(d); i++)
		if (target_matches(decided_target_at(d, i), q))
			return true;
	return false;
}

void place_set_store_backlog(place_t *p, uint32_t backlog, int64_t now)
{
	pthread_mutex_lock(&p->lock);
	set_backlog(p, backlog, now);
	pthread_mutex_unlock(&p->lock);
}

int64_t place_expected_load_us(place_t *p, int64_t load_us, int64_t now)
{
	int64_t us;

	pthread_mutex_lock(&p->lock);
	us = expected_load(p, load_us, now);
	pthread_mutex_unlock(&p->lock);
	return us;
}

typedef struct resident_ctx {
	uint32_t hash;
	int64_t now;
} resident_ctx_t;

static gboolean is_resident_there(gpointer key, gpointer value, gpointer ctx)
{
	const resident_ctx_t *c = ctx;
	const hint_t *h = value;

	(void)key;
	return h->known && h->active && !h->leaving && !hint_leaving(h) &&
	       c->now - h->at_us <= REPORT_LIFE_US &&
	       has_hash(h->resident, h->n_resident, c->hash);
}

bool place_is_resident_anywhere(place_t *p, uint32_t hash, int64_t now)
{
	resident_ctx_t c = {hash, now};
	bool found;

	pthread_mutex_lock(&p->lock);
	found = g_hash_table_find(p->hints, is_resident_there, &c);
	pthread_mutex_unlock(&p->lock);
	return found;
}

void place_count_request(place_t *p, uint32_t hash, int64_t now)
{
	pthread_mutex_lock(&p->lock);
	rates_add(&p->rates, hash, 1, now);
	pthread_mutex_unlock(&p->lock);
}

typedef struct copy_ctx {
	uint64_t key;
	uint32_t hash;
	uint64_t score; /* of the asking target */
	int64_t now;
} copy_ctx_t;

static gboolean is_better_copy(gpointer key, gpointer value, gpointer ctx)
{
	const copy_ctx_t *c = ctx;
	resident_ctx_t there = {c->hash, c->now};

	return is_resident_there(key, value, &there) &&
	       rendezvous_score(c->key, GPOINTER_TO_UINT(key)) > c->score;
}

double place_evict_cost(place_t *p, str_t name, uint32_t hash,
			target_id_t target, int64_t load_us, int64_t now,
			bool *redundant)
{
	copy_ctx_t c = {hash_bytes(name.p, name.n, 1), hash, 0, now};
	double rate, load, soon, cost;

	c.score = rendezvous_score(c.key, target);
	pthread_mutex_lock(&p->lock);
	rate = rates_get(&p->rates, slot_hash(name), now) / USEC_PER_SEC;
	load = (double)expected_load(p, load_us, now);
	soon = 1 - exp(-rate * REUSE_US);
	cost = soon * load + rate * load * load / 2;
	*redundant = g_hash_table_find(p->hints, is_better_copy, &c);
	if (*redundant)
		cost *= COPY_SHARE;
	pthread_mutex_unlock(&p->lock);
	return cost;
}
