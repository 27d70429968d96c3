/* spill.c - which share of a failure domain's requests may leave it, and for which. */
#include "spill.h"

#include <glib.h>
#include <stdlib.h>

#include "counter.h"
#include "log.h"

/* Interval between decisions. */
#define DECIDE_INTERVAL_US (250 * USEC_PER_MSEC)
/* After a longer interval the process was paused, and all shares begin anew. */
#define DECIDE_STALE_US (2 * USEC_PER_SEC)
/* The demand of a domain is counted over a sliding window of so many steps. */
#define DEMAND_STEPS 16u
#define DEMAND_STEP_US (250 * USEC_PER_MSEC)
/* A new value counts 1/2 in the smoothed wait of a domain. */
#define WAIT_SMOOTH_DIV 2
/* And 1/4 in the places used: few runners have few places. */
#define USED_SMOOTH_DIV 4
/* A runner's longer wait says no more of its domain than this one. */
#define WAIT_MAX_US (2 * USEC_PER_SEC)
/* Weight of a new request in their mean size: 1/64, or 1/n of the first n. */
#define TOKENS_SMOOTH_MAX 64u

/*
 * A share begins to grow where the wait saved exceeds the cost of crossing by a
 * quarter, and shrinks where it is less than half of that cost. Between the two it
 * stays, so that small changes of the load change nothing.
 */
#define OPEN_FACTOR 1.25
#define CLOSE_FACTOR 0.5
/* Least saving that counts: the resolution of the estimates. */
#define OPEN_MIN_GAIN_US (2 * USEC_PER_MSEC)
/*
 * A share grows fast, as requests wait meanwhile, and shrinks slowly, as the wait
 * without it is only seen once it is gone.
 */
#define SHARE_STEP_UP 0.2
#define SHARE_STEP_DOWN 0.05
/* Most requests of a domain that may leave it, for all others together. */
#define SHARE_MAX 0.75
/* The least step, and the least share. */
#define SHARE_MIN 0.05
/*
 * What a share has achieved does not close it: it shrinks once the demand of the
 * domain's callers has fallen below this part of what it was when the share last grew.
 */
#define DEMAND_FALLEN 0.7
/*
 * It also shrinks where it has not paid for spill_domain_t.keep_us, as the runners may
 * have become faster. A share that opens again within REOPEN_US of a closing is at the
 * threshold: each time the domain keeps its shares for twice as long.
 */
#define KEEP_MIN_US (10 * USEC_PER_SEC)
#define KEEP_MAX_US (80 * USEC_PER_SEC)
#define REOPEN_US (6 * USEC_PER_SEC)
/*
 * A domain is loaded if it uses this share of its places, or if requests wait there
 * for this share of the time that a place is held; and until both are below the
 * second value.
 */
#define LOADED_PLACES 0.8
#define LOADED_PLACES_END 0.65
#define LOADED_WAIT 0.2
#define LOADED_WAIT_END 0.1

/* Time there and back until it is learnt. */
#define PATH_ASSUMED_US (2 * USEC_PER_MSEC)
#define PATH_MAX_US (1 * USEC_PER_SEC)
/* Samples from both domains before the learnt value is used. */
#define PATH_SAMPLES_MIN 16u
/* Weight of a new sample: 1/64, or 1/n of the first n. */
#define PATH_SMOOTH_MAX 64u
/* A sample further from the mean than this many mean deviations counts as so far. */
#define PATH_OUTLIER 3.0
/* Samples are forgotten if none came for this time. */
#define PATH_FORGET_US (120 * USEC_PER_SEC)

/* Mean of samples of which some are far off. */
typedef struct estimate {
	double mean;
	double deviation; /* mean distance of a sample from mean */
	uint32_t n;
	int64_t last_us;
} estimate_t;

/* What a domain knows of another one, or of itself. */
typedef struct pair {
	struct spill_domain *to;
	estimate_t excess; /* of requests to runners there, in us */
	double share;	   /* of the domain's requests that may go there */
	bool open;	   /* share > 0 */
	int64_t opened_us;
} pair_t;

/* A failure domain, as one service uses it. */
typedef struct spill_domain {
	str_t name;	  /* owned */
	GPtrArray *pairs; /* pair_t, owned, in no order */
	/* Of the runners that may get requests now. */
	uint32_t n_runners;
	double places;
	double used;
	double hold_us; /* mean; the sum while the runners are passed in */
	double wait_us; /* as hold_us */
	double smooth_wait_us;
	double smooth_used;
	double spare; /* places that other domains may use */
	bool loaded;
	/* Requests of its own callers in step n are at n % DEMAND_STEPS. */
	uint32_t requests[DEMAND_STEPS];
	int64_t demand_step;
	double mean_tokens;
	uint32_t
		n_tokens; /* requests in mean_tokens, TOKENS_SMOOTH_MAX at most */
	/* Of the shares of its requests that may leave. */
	double grown_demand; /* requests in the window when one last grew */
	int64_t paid_us;     /* when one last paid */
	int64_t closed_us;   /* when one was last closed */
	int64_t keep_us;
} spill_domain_t;

typedef struct service_spill {
	str_t service;	    /* owned */
	GPtrArray *domains; /* spill_domain_t, owned, in no order */
} service_spill_t;

struct spill {
	GPtrArray *services; /* service_spill_t, owned */
	int64_t decided_us;  /* INT64_MIN / 2: never */
};

static void domain_free(gpointer p)
{
	spill_domain_t *z = p;

	g_ptr_array_free(z->pairs, TRUE);
	str_free(&z->name);
	free(z);
}

static void service_free(gpointer p)
{
	service_spill_t *v = p;

	g_ptr_array_free(v->domains, TRUE);
	str_free(&v->service);
	free(v);
}

spill_t *spill_new(void)
{
	spill_t *s = xcalloc(1, sizeof(*s));

	s->services = g_ptr_array_new_with_free_func(service_free);
	s->decided_us = INT64_MIN / 2;
	return s;
}

void spill_clear(spill_t *s)
{
	g_ptr_array_set_size(s->services, 0);
	s->decided_us = INT64_MIN / 2;
}

void spill_free(spill_t *s)
{
	g_ptr_array_free(s->services, TRUE);
	free(s);
}

static service_spill_t *find_service(const spill_t *s, str_t service)
{
	for (guint i = 0; i < s->services->len; i++) {
		service_spill_t *v = g_ptr_array_index(s->services, i);

		if (str_eq(v->service, service))
			return v;
	}
	return NULL;
}

static spill_domain_t *find_domain(const spill_t *s, str_t service, str_t zone)
{
	const service_spill_t *v = find_service(s, service);

	for (guint i = 0; v && i < v->domains->len; i++) {
		spill_domain_t *z = g_ptr_array_index(v->domains, i);

		if (str_eq(z->name, zone))
			return z;
	}
	return NULL;
}

/* A domain without a name is none: nothing is known of what is in it. */
static spill_domain_t *get_domain(spill_t *s, str_t service, str_t zone)
{
	spill_domain_t *z = find_domain(s, service, zone);
	service_spill_t *v;

	if (z || !zone.n)
		return z;
	v = find_service(s, service);
	if (!v) {
		v = xcalloc(1, sizeof(*v));
		v->service = str_copy(service);
		v->domains = g_ptr_array_new_with_free_func(domain_free);
		g_ptr_array_add(s->services, v);
	}
	z = xcalloc(1, sizeof(*z));
	z->name = str_copy(zone);
	z->closed_us = INT64_MIN / 2;
	z->pairs = g_ptr_array_new_with_free_func(free);
	g_ptr_array_add(v->domains, z);
	return z;
}

static pair_t *find_pair(const spill_domain_t *z, const spill_domain_t *to)
{
	for (guint i = 0; i < z->pairs->len; i++) {
		pair_t *p = g_ptr_array_index(z->pairs, i);

		if (p->to == to)
			return p;
	}
	return NULL;
}

static pair_t *get_pair(spill_domain_t *z, spill_domain_t *to)
{
	pair_t *p = find_pair(z, to);

	if (p)
		return p;
	p = xcalloc(1, sizeof(*p));
	p->to = to;
	g_ptr_array_add(z->pairs, p);
	return p;
}

/* Demand. */

/* Advances to the current step and clears the steps that it skips. */
static void advance_demand(spill_domain_t *z, int64_t now_us)
{
	int64_t step = now_us / DEMAND_STEP_US;

	if (step - z->demand_step >= (int64_t)DEMAND_STEPS)
		z->demand_step = step - DEMAND_STEPS;
	while (z->demand_step < step) {
		z->demand_step++;
		z->requests[z->demand_step % DEMAND_STEPS] = 0;
	}
}

void spill_on_request(spill_t *s, str_t service, str_t zone, uint64_t tokens,
		      int64_t now_us)
{
	spill_domain_t *z = get_domain(s, service, zone);

	if (!z)
		return;
	advance_demand(z, now_us);
	z->requests[z->demand_step % DEMAND_STEPS]++;
	if (z->n_tokens < TOKENS_SMOOTH_MAX)
		z->n_tokens++;
	z->mean_tokens += ((double)tokens - z->mean_tokens) / z->n_tokens;
}

/* Requests of the domain's own callers in the window. */
static double demand(spill_domain_t *z, int64_t now_us)
{
	uint32_t n = 0;

	advance_demand(z, now_us);
	for (size_t i = 0; i < DEMAND_STEPS; i++)
		n += z->requests[i];
	return n;
}

/* Time there and back. */

static void estimate_add(estimate_t *e, double x, int64_t now_us)
{
	double weight, off;

	e->last_us = now_us;
	if (!e->n) {
		e->n = 1;
		e->mean = x;
		e->deviation = 0;
		return;
	}
	off = x - e->mean;
	/* The first samples are needed to know what is far. */
	if (e->n >= PATH_SAMPLES_MIN / 2)
		off = CLAMP(off, -PATH_OUTLIER * e->deviation,
			    PATH_OUTLIER * e->deviation);
	if (e->n < PATH_SMOOTH_MAX)
		e->n++;
	weight = 1.0 / e->n;
	e->mean += off * weight;
	e->deviation += (ABS(off) - e->deviation) * weight;
}

void spill_on_started(spill_t *s, str_t service, str_t zone, str_t runner_zone,
		      int64_t excess_us, int64_t now_us)
{
	spill_domain_t *z = get_domain(s, service, zone);
	spill_domain_t *to = get_domain(s, service, runner_zone);

	if (z && to)
		estimate_add(&get_pair(z, to)->excess, (double)excess_us,
			     now_us);
}

/*
 * Time there and back: how much longer the same runners take for requests from here
 * than for those of their own domain.
 */
static int64_t path_us(const spill_domain_t *z, const spill_domain_t *to)
{
	const pair_t *there = find_pair(z, to);
	const pair_t *own = find_pair(to, to);
	double us;

	if (!there || !own || there->excess.n < PATH_SAMPLES_MIN ||
	    own->excess.n < PATH_SAMPLES_MIN)
		return PATH_ASSUMED_US;
	us = there->excess.mean - own->excess.mean;
	return (int64_t)CLAMP(us, 0, (double)PATH_MAX_US);
}

static int64_t price_us(double tokens)
{
	return (int64_t)((tokens + SPILL_HEAD_TOKENS) *
			 SPILL_PRICE_US_PER_TOKEN);
}

/* Decisions. */

bool spill_is_due(const spill_t *s, int64_t now_us)
{
	return now_us - s->decided_us >= DECIDE_INTERVAL_US;
}

/* Calls fn for all domains of all services. */
static void each_domain(spill_t *s, void (*fn)(spill_domain_t *, int64_t),
			int64_t now_us)
{
	for (guint i = 0; i < s->services->len; i++) {
		service_spill_t *v = g_ptr_array_index(s->services, i);

		for (guint j = 0; j < v->domains->len; j++)
			fn(g_ptr_array_index(v->domains, j), now_us);
	}
}

static void reset_samples(spill_domain_t *z, int64_t now_us)
{
	z->n_runners = 0;
	z->places = 0;
	z->used = 0;
	z->hold_us = 0;
	z->wait_us = 0;
}

void spill_begin_samples(spill_t *s)
{
	each_domain(s, reset_samples, 0);
}

void spill_add_runner(spill_t *s, const spill_runner_t *r)
{
	spill_domain_t *z = get_domain(s, r->service, r->zone);

	if (!z)
		return;
	z->n_runners++;
	z->places += r->places;
	z->used += r->used;
	z->hold_us += (double)r->hold_us;
	z->wait_us += (double)MIN(r->wait_us, WAIT_MAX_US);
}

/* Computes the means of the runners that were passed in, and what follows of them. */
static void end_samples(spill_domain_t *z, int64_t now_us)
{
	double used, wait;

	if (!z->n_runners) {
		z->smooth_wait_us = 0;
		z->smooth_used = 0;
		z->spare = 0;
		z->loaded = false;
		return;
	}
	z->hold_us = MAX(z->hold_us / z->n_runners, 1);
	z->wait_us /= z->n_runners;
	z->smooth_wait_us += (z->wait_us - z->smooth_wait_us) / WAIT_SMOOTH_DIV;
	z->smooth_used += (z->used - z->smooth_used) / USED_SMOOTH_DIV;
	used = z->smooth_used / MAX(z->places, 1);
	wait = z->smooth_wait_us / z->hold_us;
	if (used >= LOADED_PLACES || wait >= LOADED_WAIT)
		z->loaded = true;
	else if (used < LOADED_PLACES_END && wait < LOADED_WAIT_END)
		z->loaded = false;
	z->spare = MAX(z->places * LOADED_PLACES - z->smooth_used, 0);
}

static void close_pair(const service_spill_t *v, spill_domain_t *z, pair_t *p,
		       const char *why, int64_t now_us)
{
	p->share = 0;
	if (!p->open)
		return;
	p->open = false;
	z->closed_us = now_us;
	counter_add(CTR_SPILL_CLOSED, 1);
	log_event(LOG_INFO, "spill_closed", kv_s("service", v->service),
		  kv_s("zone", z->name), kv_s("to", p->to->name),
		  KV_C("why", why),
		  kv_i("after_ms", (now_us - p->opened_us) / USEC_PER_MSEC),
		  kv_i("wait_ms", (int64_t)z->smooth_wait_us / USEC_PER_MSEC),
		  kv_i("wait_there_ms",
		       (int64_t)p->to->smooth_wait_us / USEC_PER_MSEC));
}

/* Whether a share of the domain's requests may leave. */
static bool is_open(const spill_domain_t *z)
{
	for (guint i = 0; i < z->pairs->len; i++)
		if (((const pair_t *)g_ptr_array_index(z->pairs, i))->open)
			return true;
	return false;
}

static void open_pair(const service_spill_t *v, spill_domain_t *z, pair_t *p,
		      int64_t crossing_us, int64_t now_us)
{
	if (now_us - z->closed_us < REOPEN_US)
		z->keep_us = MIN(z->keep_us * 2, KEEP_MAX_US);
	else if (!is_open(z))
		z->keep_us = KEEP_MIN_US;
	z->closed_us = INT64_MIN / 2;
	p->open = true;
	p->opened_us = now_us;
	counter_add(CTR_SPILL_OPENED, 1);
	log_event(LOG_INFO, "spill_opened", kv_s("service", v->service),
		  kv_s("zone", z->name), kv_s("to", p->to->name),
		  kv_i("wait_ms", (int64_t)z->smooth_wait_us / USEC_PER_MSEC),
		  kv_i("wait_there_ms",
		       (int64_t)p->to->smooth_wait_us / USEC_PER_MSEC),
		  kv_i("crossing_ms", crossing_us / USEC_PER_MSEC),
		  kv_i("keep_ms", z->keep_us / USEC_PER_MSEC));
}

/* Wait that a request saves by going there, and what it costs, in us. */
typedef struct gain {
	double saved;
	double crossing;
} gain_t;

static gain_t gain_of(const spill_domain_t *z, const pair_t *p)
{
	gain_t g = {
		.saved = z->smooth_wait_us - p->to->smooth_wait_us,
		.crossing =
			(double)(path_us(z, p->to) + price_us(z->mean_tokens)),
	};

	return g;
}

static bool gain_pays(const gain_t *g)
{
	return g->saved > g->crossing * OPEN_FACTOR + OPEN_MIN_GAIN_US;
}

/* Whether the domain is likely to need its shares, although they do not pay now. */
static bool keeps_shares(spill_domain_t *z, int64_t now_us)
{
	return now_us - z->paid_us < z->keep_us &&
	       demand(z, now_us) > z->grown_demand * DEMAND_FALLEN;
}

/* Lowers the share where it does not pay any more; closes the pair at 0. */
static void shrink_share(const service_spill_t *v, spill_domain_t *z, pair_t *p,
			 int64_t now_us)
{
	gain_t g = gain_of(z, p);

	if (!p->to->n_runners || !z->n_runners) {
		close_pair(v, z, p,
			   z->n_runners ? "no_runner_there" : "no_runner",
			   now_us);
		return;
	}
	if (gain_pays(&g))
		z->paid_us = now_us;
	if (p->to->loaded)
		p->share -= SHARE_STEP_UP;
	else if (g.saved < g.crossing * CLOSE_FACTOR &&
		 !keeps_shares(z, now_us))
		p->share -= SHARE_STEP_DOWN;
	/* Rounding must not leave a share that selects nothing. */
	if (p->share < SHARE_MIN / 2)
		close_pair(v, z, p, p->to->loaded ? "loaded_there" : "no_gain",
			   now_us);
}

/* Raises the share of the domain that saves most, as far as it has places. */
static void grow_share(const service_spill_t *v, spill_domain_t *z,
		       double total, int64_t now_us)
{
	gain_t best_gain = {0};
	pair_t *best = NULL;
	double places, step;

	for (guint i = 0; i < z->pairs->len; i++) {
		pair_t *p = g_ptr_array_index(z->pairs, i);
		gain_t g = gain_of(z, p);

		if (p->to == z || !p->to->n_runners || p->to->loaded ||
		    p->to->spare <= 0 || !gain_pays(&g))
			continue;
		/* Another domain only where those in use have no places. */
		if (best && best->open && !p->open)
			continue;
		if (best && best->open == p->open &&
		    g.saved - g.crossing <=
			    best_gain.saved - best_gain.crossing)
			continue;
		best = p;
		best_gain = g;
	}
	if (!best)
		return;
	z->paid_us = now_us;
	/* Places there that all requests of the domain would take. */
	places = MAX(demand(z, now_us), 1) * best->to->hold_us /
		 (double)(DEMAND_STEPS * DEMAND_STEP_US);
	step = MIN(SHARE_STEP_UP, SHARE_MAX - total);
	step = MIN(step, best->to->spare / places);
	if (step < SHARE_MIN)
		return;
	best->share += step;
	best->to->spare -= step * places;
	z->grown_demand = demand(z, now_us);
	if (!best->open)
		open_pair(v, z, best, (int64_t)best_gain.crossing, now_us);
}

static void decide_domain(const service_spill_t *v, spill_domain_t *z,
			  int64_t now_us)
{
	double total = 0;

	for (guint i = 0; i < v->domains->len; i++) {
		spill_domain_t *to = g_ptr_array_index(v->domains, i);
		pair_t *p = get_pair(z, to);

		if (now_us - p->excess.last_us > PATH_FORGET_US)
			p->excess.n = 0;
		if (to == z)
			continue;
		if (p->open)
			shrink_share(v, z, p, now_us);
		total += p->share;
	}
	if (z->n_runners && demand(z, now_us) > 0)
		grow_share(v, z, total, now_us);
}

static void close_all(spill_t *s, const char *why, int64_t now_us)
{
	for (guint i = 0; i < s->services->len; i++) {
		service_spill_t *v = g_ptr_array_index(s->services, i);

		for (guint j = 0; j < v->domains->len; j++) {
			spill_domain_t *z = g_ptr_array_index(v->domains, j);

			for (guint k = 0; k < z->pairs->len; k++)
				close_pair(v, z, g_ptr_array_index(z->pairs, k),
					   why, now_us);
		}
	}
}

void spill_decide(spill_t *s, int64_t now_us)
{
	if (now_us - s->decided_us > DECIDE_STALE_US)
		close_all(s, "paused", now_us);
	s->decided_us = now_us;
	each_domain(s, end_samples, now_us);
	for (guint i = 0; i < s->services->len; i++) {
		service_spill_t *v = g_ptr_array_index(s->services, i);

		for (guint j = 0; v->domains->len > 1 && j < v->domains->len;
		     j++)
			decide_domain(v, g_ptr_array_index(v->domains, j),
				      now_us);
	}
}

/* What follows for a request. */

/* Selects the domain that the request may leave for, by the shares. */
static const spill_domain_t *select_domain(const spill_domain_t *z,
					   uint64_t seed)
{
	double u = hash_fraction(hash_bytes(&seed, sizeof(seed), 0));

	for (guint i = 0; i < z->pairs->len; i++) {
		const pair_t *p = g_ptr_array_index(z->pairs, i);

		if (u < p->share)
			return p->to;
		u -= p->share;
	}
	return NULL;
}

spill_plan_t spill_plan(const spill_t *s, str_t service, str_t zone,
			uint64_t tokens, uint64_t seed)
{
	spill_plan_t p = {
		.home = find_domain(s, service, zone),
		.zone = zone,
		.tokens = tokens,
	};

	if (p.home)
		p.free = select_domain(p.home, seed);
	return p;
}

spill_crossing_t spill_crossing(const spill_plan_t *p, str_t zone)
{
	spill_crossing_t c = {
		.path_us = PATH_ASSUMED_US,
		.price_us = price_us((double)p->tokens),
		.closed = true,
	};
	const spill_domain_t *to = NULL;

	for (guint i = 0; p->home && i < p->home->pairs->len && !to; i++) {
		const pair_t *pair = g_ptr_array_index(p->home->pairs, i);

		if (str_eq(pair->to->name, zone))
			to = pair->to;
	}
	if (!to)
		return c;
	c.path_us = path_us(p->home, to);
	/* Requests without a runner at home have no other choice. */
	c.closed = p->home->n_runners > 0 && to != p->free;
	c.loaded = p->home->n_runners > 0 && to->loaded;
	return c;
}

double spill_share(const spill_t *s, str_t service, str_t zone, str_t to)
{
	const spill_domain_t *z = find_domain(s, service, zone);
	const spill_domain_t *there = find_domain(s, service, to);
	const pair_t *p = z && there ? find_pair(z, there) : NULL;

	return p ? p->share : 0;
}

int64_t spill_path_us(const spill_t *s, str_t service, str_t zone, str_t to)
{
	const spill_domain_t *z = find_domain(s, service, zone);
	const spill_domain_t *there = find_domain(s, service, to);

	return z && there ? path_us(z, there) : PATH_ASSUMED_US;
}

void spill_record_left(spill_reason_t reason, str_t id, str_t service,
		       str_t zone, str_t to, uint64_t tokens)
{
	static const struct {
		const char *name;
		counter_t counter;
	} reasons[] = {
#define X(name, text) [SPILL_##name] = {text, CTR_SPILL_LEFT_##name},
		SPILL_REASONS(X)
#undef X
	};

	if (reason == SPILL_STAYS || reason >= SPILL_REASON_COUNT)
		return;
	counter_add(reasons[reason].counter, 1);
	counter_add(CTR_SPILL_TOKENS, tokens);
	log_event(LOG_INFO, "request_left_domain", kv_s("id", id),
		  kv_s("service", service), kv_s("zone", zone), kv_s("to", to),
		  KV_C("why", reasons[reason].name), kv_u("tokens", tokens));
}
