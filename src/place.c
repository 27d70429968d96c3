/* place.c - scoring of targets from the load reports of their owners. */
#include "place.h"

#include <math.h>
#include <string.h>

#include "slot.h"

/* A report is ignored once it is older than this. */
#define REPORT_VALID_US (10 * USEC_PER_SEC)
/*
 * The rendezvous order of an adapter sorts the available targets by the
 * rendezvous_score() of its name. The first HOME_RANKS_MAX are its homes: under
 * PLACE_COST a request that needs a load of the adapter is sent to no others.
 */
#define HOME_RANKS_MAX 16u
/* Score added for each rank in the rendezvous order, to break ties. */
#define HOME_RANK_COST_US USEC_PER_MSEC
/*
 * The cost of an eviction counts the chance that the adapter is requested again
 * within this time.
 */
#define REUSE_WINDOW_US (30 * USEC_PER_SEC)
/* Factor on the cost of evicting a redundant copy (see place_evict_cost()). */
#define REDUNDANT_COST_FACTOR 0.1
/*
 * After this daemon has sent a target a request that needs a load, the adapter
 * counts as loading there for this long. The newest PENDING_LOADS_MAX adapters
 * are remembered for each target.
 */
#define PENDING_LOAD_US (500 * USEC_PER_MSEC)
#define PENDING_LOADS_MAX 16u
/*
 * Where no slot of a target can be freed, each load sent there is assumed to
 * wait this much longer than the one before it.
 */
#define NO_SLOT_WAIT_US (5 * USEC_PER_SEC)
/* Wait assumed at a target without a recent report: it is lightly loaded. */
#define UNKNOWN_WAIT_US (5 * USEC_PER_MSEC)

/*
 * What this daemon knows of one target: the newest report of its owner, and
 * what this daemon has sent there since.
 */
typedef struct target_view {
	uint64_t fence; /* of the ownership that sent the newest report */
	int64_t report_at_us;
	int64_t wait_us; /* expected wait of a new request */
	int64_t each_us; /* wait that each further request adds */
	uint32_t waiting;
	uint32_t running;
	uint32_t sent_since_report; /* requests from this daemon */
	uint32_t sent_to_load;	    /* of these, those that need a load */
	/* Costs of the evictions that the next loads need, ascending; owned. */
	uint64_t *evict_costs_us;
	size_t n_evict_costs;
	/* Slots that could be given up for an adapter resident nowhere. */
	uint32_t spare_copies;
	bool has_report;
	bool active;	     /* the owner dispatches; true without a report */
	bool leaving;	     /* the report says that the target leaves */
	bool listed_leaving; /* the platform's list says that it leaves */
	bool announced_leaving; /* it said so itself since its last start */
	uint32_t *resident;	/* hashes of the resident adapters; owned */
	size_t n_resident;
	uint32_t *loading; /* hashes of adapters that load or wait to; owned */
	size_t n_loading;
	/* Ring of adapter hashes: loads that requests from here will cause. */
	uint32_t pending_loads[PENDING_LOADS_MAX];
	int64_t pending_until_us[PENDING_LOADS_MAX];
	size_t next_pending;
} target_view_t;

static void view_free(gpointer p)
{
	target_view_t *view = p;

	free(view->resident);
	free(view->loading);
	free(view->evict_costs_us);
	free(view);
}

void place_init(place_t *p, const serve_cfg_t *cfg)
{
	memset(p, 0, sizeof(*p));
	pthread_mutex_init(&p->lock, NULL);
	p->cfg = cfg;
	p->seed = cfg->seed;
	rates_init(&p->rates);
	p->views = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					 view_free);
	p->unlinked = g_hash_table_new(g_direct_hash, g_direct_equal);
}

void place_free(place_t *p)
{
	g_hash_table_destroy(p->views);
	g_hash_table_destroy(p->unlinked);
	rates_free(&p->rates);
	free(p->live);
	pthread_mutex_destroy(&p->lock);
}

static target_view_t *view_find(const place_t *p, target_id_t target)
{
	return g_hash_table_lookup(p->views, GUINT_TO_POINTER(target));
}

static target_view_t *view_get(place_t *p, target_id_t target)
{
	target_view_t *view = view_find(p, target);

	if (!view) {
		view = xcalloc(1, sizeof(*view));
		view->active = true;
		g_hash_table_insert(p->views, GUINT_TO_POINTER(target), view);
	}
	return view;
}

static void copy_hashes(uint32_t **v, size_t *n, const uint32_t *from,
			size_t count)
{
	free(*v);
	*v = xmalloc(count * sizeof(**v) + 1);
	if (count)
		memcpy(*v, from, count * sizeof(**v));
	*n = count;
}

static void set_store_backlog(place_t *p, uint32_t store_backlog, int64_t now)
{
	p->store_backlog = store_backlog;
	p->store_backlog_at_us = now;
}

/* As place_expected_load_us(); the caller holds the lock. */
static int64_t expected_load_time(const place_t *p, int64_t load_us,
				  int64_t now)
{
	uint32_t parallel_loads =
		p->cfg->store_concurrency ? p->cfg->store_concurrency : 1;
	int64_t wait = p->store_backlog * p->cfg->load_us / parallel_loads;

	/* The backlog is worked off in the time since it was reported. */
	wait -= now - p->store_backlog_at_us;
	return load_us + (wait > 0 ? wait : 0);
}

static void copy_evict_costs(target_view_t *view, const Serve__Report *rep)
{
	free(view->evict_costs_us);
	view->evict_costs_us =
		xmalloc(rep->n_evict_us * sizeof(*view->evict_costs_us) + 1);
	if (rep->n_evict_us)
		memcpy(view->evict_costs_us, rep->evict_us,
		       rep->n_evict_us * sizeof(*view->evict_costs_us));
	view->n_evict_costs = rep->n_evict_us;
}

void place_apply_report(place_t *p, const Serve__Report *rep, int64_t now)
{
	target_view_t *view;

	pthread_mutex_lock(&p->lock);
	for (size_t i = 0; i < rep->n_asked; i++)
		rates_add(&p->rates, rep->asked[i], 1, now);
	if (rep->store_backlog)
		set_store_backlog(p, rep->store_backlog - 1, now);
	view = view_get(p, rep->target);
	if (!view->has_report || rep->fence >= view->fence) {
		view->has_report = true;
		view->fence = rep->fence;
		view->report_at_us = now;
		view->wait_us = rep->wait_us;
		view->each_us = rep->each_us;
		view->waiting = rep->waiting;
		view->running = rep->running;
		view->sent_since_report = 0;
		view->sent_to_load = 0;
		copy_evict_costs(view, rep);
		view->active = rep->active;
		view->spare_copies = rep->spare_copies;
		view->leaving = rep->leaving;
		copy_hashes(&view->resident, &view->n_resident, rep->resident,
			    rep->n_resident);
		copy_hashes(&view->loading, &view->n_loading, rep->loading,
			    rep->n_loading);
	}
	pthread_mutex_unlock(&p->lock);
}

void place_set_listed_leaving(place_t *p, target_id_t target, bool leaving)
{
	target_view_t *view;

	pthread_mutex_lock(&p->lock);
	view = view_get(p, target);
	/*
	 * The list lags behind the target, so that a target that is not listed
	 * yet may have announced that it leaves. Of what the list says, only
	 * the target's removal cancels the announcement.
	 */
	if (view->listed_leaving && !leaving)
		view->announced_leaving = false;
	view->listed_leaving = leaving;
	pthread_mutex_unlock(&p->lock);
}

void place_set_announced_leaving(place_t *p, target_id_t target, bool leaving)
{
	pthread_mutex_lock(&p->lock);
	view_get(p, target)->announced_leaving = leaving;
	pthread_mutex_unlock(&p->lock);
}

static bool view_is_leaving(const target_view_t *view)
{
	return view && (view->listed_leaving || view->announced_leaving);
}

bool place_is_leaving(place_t *p, target_id_t target)
{
	bool leaving;

	pthread_mutex_lock(&p->lock);
	leaving = view_is_leaving(view_find(p, target));
	pthread_mutex_unlock(&p->lock);
	return leaving;
}

void place_set_lease_status(place_t *p, const lease_status_t *st)
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
		g_hash_table_remove(p->unlinked, key);
	else
		g_hash_table_add(p->unlinked, key);
	pthread_mutex_unlock(&p->lock);
}

static bool is_host_live(const place_t *p, host_id_t host)
{
	size_t lo = 0, hi = p->n_live;

	if (!host || g_hash_table_contains(p->unlinked, GUINT_TO_POINTER(host)))
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
	live = is_host_live(p, host);
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

static bool contains_hash(const uint32_t *v, size_t n, uint32_t hash)
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

static bool already_tried(const place_query_t *q, target_id_t id)
{
	for (size_t i = 0; i < q->n_tried; i++)
		if (q->tried[i] == id)
			return true;
	return false;
}

/* The view of a target, or NULL without a recent report of its owner. */
static const target_view_t *view_fresh(const place_t *p, const target_t *t,
				       int64_t now)
{
	const target_view_t *view = view_find(p, t->id);

	if (!view || !view->has_report || view->fence != t->fence ||
	    now - view->report_at_us > REPORT_VALID_US)
		return NULL;
	return view;
}

static bool target_is_available(const place_t *p, const target_t *t,
				const place_query_t *q)
{
	const target_view_t *view = view_find(p, t->id);

	if (!target_matches(t, q) || !is_host_live(p, t->owner))
		return false;
	if (view_is_leaving(view))
		return false;
	view = view_fresh(p, t, q->now_us);
	return !view || (view->active && !view->leaving);
}

static int64_t expected_wait(const target_view_t *view, const target_t *t)
{
	uint32_t covered; /* requests that add nothing to wait_us */

	if (!view)
		return UNKNOWN_WAIT_US;
	covered = view->running + view->waiting;
	if (covered < t->max_batch)
		covered += view->sent_since_report < t->max_batch - covered
				   ? view->sent_since_report
				   : t->max_batch - covered;
	/* Requests sent since the report wait only where the batch is full. */
	return view->wait_us + (view->running + view->waiting +
				view->sent_since_report - covered) *
				       view->each_us;
}

/*
 * Expected cost of the eviction that a further load at the target needs, in
 * microseconds. nowhere: the adapter is neither resident nor loading on any
 * target that could serve the request.
 */
static double expected_evict_cost(const place_t *p, const target_view_t *view,
				  bool nowhere)
{
	size_t next;

	if (!view)
		return (double)p->cfg->load_us;
	next = view->sent_to_load;
	if (next < view->n_evict_costs)
		return (double)view->evict_costs_us[next];
	if (nowhere && next < view->n_evict_costs + view->spare_copies)
		return (double)p->cfg->load_us;
	/*
	 * All slots have requests that run or wait, so that the time at which
	 * one becomes free is not known.
	 */
	return (double)NO_SLOT_WAIT_US *
	       (double)(next - view->n_evict_costs + 1);
}

/*
 * Score under PLACE_COST: the expected wait, plus the weighted stall for a load
 * and the weighted cost of the eviction that it needs.
 */
static double cost_score(const place_t *p, const place_query_t *q,
			 const target_view_t *view, const place_score_t *s,
			 uint32_t copies)
{
	const serve_cfg_t *cfg = p->cfg;
	double score = (double)s->wait_us;

	if (q->kind == TARGET_SERVICE || !q->adapter.n || s->resident)
		return score + (double)s->home_rank;
	score += cfg->stall_weight * (double)s->stall_us;
	if (!s->loading)
		score += cfg->stall_weight *
			 expected_evict_cost(p, view, !copies);
	return score + (double)s->home_rank * HOME_RANK_COST_US;
}

static double policy_score(const place_t *p, const place_query_t *q,
			   const place_score_t *s, uint32_t copies,
			   uint64_t seed)
{
	const target_view_t *view = view_fresh(p, s->target, q->now_us);

	uint32_t load =
		view ? view->waiting + view->running + view->sent_since_report
		     : 0;
	uint64_t draw;

	switch (p->cfg->policy.place) {
	case PLACE_LEAST_LOADED:
		return (double)load;
	case PLACE_RENDEZVOUS:
		return (double)s->home_rank;
	case PLACE_RANDOM:
		draw = hash_bytes(&s->target->id, sizeof(s->target->id),
				  p->seed ^ seed);
		return (double)(draw >> 11); /* 53 bits, exact in a double */
	case PLACE_COST:
		break;
	}
	return cost_score(p, q, view, s, copies);
}

static int by_home_rank(const void *a, const void *b, void *ctx)
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

static bool is_pending_load(const target_view_t *view, uint32_t hash,
			    int64_t now)
{
	for (size_t i = 0; i < PENDING_LOADS_MAX; i++)
		if (view->pending_loads[i] == hash &&
		    view->pending_until_us[i] > now)
			return true;
	return false;
}

static void add_pending_load(target_view_t *view, uint32_t hash, int64_t now)
{
	view->pending_loads[view->next_pending] = hash;
	view->pending_until_us[view->next_pending] = now + PENDING_LOAD_US;
	view->next_pending = (view->next_pending + 1) % PENDING_LOADS_MAX;
}

static void fill_score(const place_t *p, const place_query_t *q,
		       place_score_t *s, uint32_t home_rank)
{
	const target_view_t *view = view_fresh(p, s->target, q->now_us);
	uint32_t hash = slot_hash(q->adapter);

	s->home_rank = home_rank;
	s->wait_us = expected_wait(view, s->target);
	s->resident = !q->adapter.n;
	s->loading = false;
	if (view && q->adapter.n) {
		s->resident =
			contains_hash(view->resident, view->n_resident, hash);
		s->loading =
			contains_hash(view->loading, view->n_loading, hash) ||
			is_pending_load(view, hash, q->now_us);
	}
	s->stall_us = expected_load_time(p, q->load_us, q->now_us);
	if (s->resident)
		s->stall_us = 0;
	else if (s->loading)
		s->stall_us /= 2;
}

/*
 * Under PLACE_COST an adapter is served where it is resident or loading. While
 * it has fewer than replicas_max copies, the first targets of its rendezvous
 * order are candidates too.
 */
static bool is_candidate(const place_t *p, const place_query_t *q,
			 const place_score_t *s, uint32_t copies)
{
	if (p->cfg->policy.place != PLACE_COST || q->kind == TARGET_SERVICE ||
	    !q->adapter.n)
		return true;
	if (s->resident || s->loading)
		return true;
	return s->home_rank < HOME_RANKS_MAX && copies < p->cfg->replicas_max;
}

/*
 * As place_candidates(), with room for every target in v; the caller holds the
 * lock.
 */
static size_t score_candidates(const place_t *p, const decided_t *d,
			       const place_query_t *q, place_score_t *v)
{
	uint64_t rendezvous_key = hash_bytes(q->name.p, q->name.n, 1);
	uint64_t seed = rendezvous_key;
	size_t n = 0, kept = 0, count = decided_target_count(d);
	uint32_t copies = 0;
	bool has_untried = false;

	if (!q->name.n)
		rendezvous_key = q->prefix_hash;
	seed = rendezvous_key ^ (uint64_t)q->now_us;
	for (size_t i = 0; i < count; i++) {
		const target_t *t = decided_target_at(d, i);

		if (!target_is_available(p, t, q))
			continue;
		v[n++].target = t;
		has_untried = has_untried || !already_tried(q, t->id);
	}
	qsort_r(v, n, sizeof(*v), by_home_rank, &rendezvous_key);
	for (size_t i = 0; i < n; i++) {
		if (has_untried && already_tried(q, v[i].target->id))
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
			v[n].score = policy_score(p, q, &v[n], copies, seed);
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
	n = score_candidates(p, d, q, v);
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
	target_view_t *view;

	if (!place_candidates(p, d, q, &best, 1))
		return NULL;
	pthread_mutex_lock(&p->lock);
	view = view_get(p, best.target->id);
	view->sent_since_report++;
	if (!best.resident && !best.loading) {
		view->sent_to_load++;
		add_pending_load(view, slot_hash(q->adapter), q->now_us);
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

		found = target_matches(t, q) && !already_tried(q, t->id) &&
			!target_is_available(p, t, q);
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

void place_set_store_backlog(place_t *p, uint32_t store_backlog, int64_t now)
{
	pthread_mutex_lock(&p->lock);
	set_store_backlog(p, store_backlog, now);
	pthread_mutex_unlock(&p->lock);
}

int64_t place_expected_load_us(place_t *p, int64_t load_us, int64_t now)
{
	int64_t us;

	pthread_mutex_lock(&p->lock);
	us = expected_load_time(p, load_us, now);
	pthread_mutex_unlock(&p->lock);
	return us;
}

typedef struct resident_ctx {
	uint32_t hash;
	int64_t now;
} resident_ctx_t;

static gboolean is_resident_in_view(gpointer key, gpointer value, gpointer ctx)
{
	const resident_ctx_t *c = ctx;
	const target_view_t *view = value;

	(void)key;
	return view->has_report && view->active && !view->leaving &&
	       !view_is_leaving(view) &&
	       c->now - view->report_at_us <= REPORT_VALID_US &&
	       contains_hash(view->resident, view->n_resident, c->hash);
}

bool place_is_resident_anywhere(place_t *p, uint32_t hash, int64_t now)
{
	resident_ctx_t c = {hash, now};
	bool found;

	pthread_mutex_lock(&p->lock);
	found = g_hash_table_find(p->views, is_resident_in_view, &c);
	pthread_mutex_unlock(&p->lock);
	return found;
}

void place_count_request(place_t *p, uint32_t hash, int64_t now)
{
	pthread_mutex_lock(&p->lock);
	rates_add(&p->rates, hash, 1, now);
	pthread_mutex_unlock(&p->lock);
}

typedef struct better_copy_ctx {
	uint64_t key;
	uint32_t hash;
	uint64_t score; /* rendezvous score of the target that has the copy */
	int64_t now;
} better_copy_ctx_t;

static gboolean is_better_copy(gpointer key, gpointer value, gpointer ctx)
{
	const better_copy_ctx_t *c = ctx;
	resident_ctx_t there = {c->hash, c->now};

	return is_resident_in_view(key, value, &there) &&
	       rendezvous_score(c->key, GPOINTER_TO_UINT(key)) > c->score;
}

double place_evict_cost(place_t *p, str_t name, uint32_t hash,
			target_id_t target, int64_t load_us, int64_t now,
			bool *redundant)
{
	better_copy_ctx_t c = {hash_bytes(name.p, name.n, 1), hash, 0, now};
	double rate, load, reuse_chance, cost;

	c.score = rendezvous_score(c.key, target);
	pthread_mutex_lock(&p->lock);
	rate = rates_get(&p->rates, slot_hash(name), now) / USEC_PER_SEC;
	load = (double)expected_load_time(p, load_us, now);
	reuse_chance = 1 - exp(-rate * REUSE_WINDOW_US);
	/* Requests that arrive during a load wait for half of it on average. */
	cost = reuse_chance * load + rate * load * load / 2;
	*redundant = g_hash_table_find(p->views, is_better_copy, &c);
	if (*redundant)
		cost *= REDUNDANT_COST_FACTOR;
	pthread_mutex_unlock(&p->lock);
	return cost;
}
