/*
 * choice.c - which runner gets a request, which requests wait, and which are
 * refused at once.
 *
 * It assumes that a runner prefills prompts one after the other, in pieces
 * between the decoding steps of its running streams. Too many prompt tokens at
 * once therefore make all its streams pause; how many that are is learnt from
 * the pauses (runner_t.prefill_share). Each adapter is held by few runners;
 * loading it takes a fixed time and has a cost.
 *
 * Where entries tell which pauses the routes of streams allow, the runner's learnt
 * speed is used instead (runner_speed.h): a prompt is granted where, and when, no
 * stream pauses longer.
 *
 * Each runner that is considered makes an offer, and the offer of the lowest cost
 * is taken. The unit of costs is a thousandth of the value of an ordinary
 * request.
 */
#include "dispatch_int.h"

#include "counter.h"

#include <math.h>

/* Prompt tokens that a runner of the usual speed (slowdown 1) prefills in a
 * millisecond while it decodes its streams. */
#define PREFILL_TOKENS_PER_MS 20.0
/* With at most this many prompt tokens to prefill, streams don't pause. */
#define PREFILL_BURST_TOKENS 4800.0
/* With a backlog of at most this, a prompt of any size may be granted. */
#define PREFILL_LOW_TOKENS 900.0
/* Time to the first event of a request with an empty prompt. */
#define FIRST_EVENT_BASE_US (25 * USEC_PER_MSEC)
/* What each running stream adds to the time to the first event. */
#define FIRST_EVENT_PER_STREAM_US 400

/* Cost of each millisecond of the expected time to the first event. */
#define COST_FIRST_EVENT_PER_MS 0.15
/*
 * Additional cost of each millisecond of waiting for a place: a growing queue
 * has to cause the load of another copy before its requests miss their
 * objectives.
 */
#define COST_QUEUE_PER_MS 5.0
/*
 * Cost of a runner in another failure domain than the entry, where it is decided
 * whether and where an adapter is loaded: that does not depend on the load of domains.
 */
#define COST_OTHER_ZONE 8.0
/*
 * Cost of leaving the domain for a request that is not of the share that may leave. It
 * has to be less than that of a late first event, and than that of a runner at home
 * that has named a limit.
 */
#define COST_CROSSING_CLOSED 40.0
/*
 * The same where the adapter is ready in several domains. A copy that is little used is
 * evicted and has to be loaded again, so that requests have to be spread over copies.
 */
#define COST_COPY_CLOSED 10.0
/* Cost of a request for each slot of a plain runner, taken by all its requests. */
#define COST_PLAIN_SLOTS 16.0
/* As COST_CROSSING_CLOSED and COST_KEPT_PLACE, for plain services. */
#define COST_PLAIN_CLOSED (0.75 * COST_PLAIN_SLOTS)
#define COST_PLAIN_KEPT (0.5 * COST_PLAIN_SLOTS)
/* Largest cost that jitter_cost() returns. */
#define COST_JITTER 8.0
/* Cost of loading the adapter from the weight store. */
#define COST_LOAD_FROM_STORE 330.0
/* Cost of loading an adapter that the runner held recently. */
#define COST_LOAD_RECENT 15.0
/* Cost of a load for each adapter already wanted or being loaded there. */
#define COST_PER_PENDING_LOAD 10.0
/*
 * An evicted adapter has to be loaded again when it is requested. An eviction
 * costs COST_LOAD_FROM_STORE if the adapter was used just now, and half of that
 * if it was unused for this time.
 */
#define EVICT_COST_HALF_US (1 * USEC_PER_SEC)
/* Cost of each stream running there, as it shares the batch with one more. */
#define COST_PER_STREAM 1.0
/* Cost of a stream there that pauses longer than its route allows: it is late. */
#define COST_PAUSE_PER_STREAM COST_LATE
/* Output tokens of an event, about. */
#define TOKENS_PER_EVENT 4.0
/*
 * Weight of the cost of pauses where a load elsewhere would avoid them. Pauses by one
 * large prompt hardly ever justify a load, which costs far more than the request that
 * it is for. They count in full once the request has no time left to wait for a gap
 * between other prompts: the runner gets more prompts than its streams can bear.
 */
#define PAUSE_LOAD_WEIGHT 0.1
/* Cost of each second for which a stream is expected to run there. */
#define COST_PER_STREAM_SECOND 1.0
/*
 * A prompt that waits to spare the streams of a runner is granted in any case when
 * only this is left of the time until it has to be prefilled, and more at a runner
 * whose delays deviate.
 */
#define PAUSE_WAIT_RESERVE_US (60 * USEC_PER_MSEC)

/* Grants of a plain service for each of its slots. */
#define PLAIN_GRANTS_PER_SLOT 3u
/* Slots of a runner whose number is neither reported nor configured. */
#define PLAIN_SLOTS_DEFAULT 4u
#define ENGINE_SLOTS_DEFAULT 32u
/* Share of its latency objective that may pass until a prompt is prefilled. */
#define OBJECTIVE_SHARE 0.85
/* That share is smaller by this for each step of lower priority. */
#define OBJECTIVE_SHARE_STEP 0.15
#define OBJECTIVE_SHARE_MIN 0.4
/*
 * Callers give up after four objectives or two seconds without an event. The
 * values here leave a margin.
 */
#define PATIENCE_OBJECTIVES 3
#define PATIENCE_MIN_US (1600 * USEC_PER_MSEC)
/* Cost of a first event that is expected after the objective. */
#define COST_LATE 700.0
/*
 * Cost of a runner that has named a limit: it is in need, and its few requests are
 * for those that have no other choice.
 */
#define COST_LIMITED 60.0
/* Cost of loading an adapter at such a runner, for a few requests only. */
#define COST_LOAD_LIMITED 330.0
/* Cost of an answer that is a failure. */
#define COST_FAILURE 1000.0
/* Failure rate without a cost: some requests fail wherever they are sent. */
#define FAILURE_RATE_USUAL 0.15
/* Bounds of the time after which a refused caller is told to come back. */
#define RETRY_MIN_US (150 * USEC_PER_MSEC)
#define RETRY_MAX_US (2 * USEC_PER_SEC)
/* Share of a runner's KV cache that prompts and outputs may take. */
#define KV_CACHE_SHARE 0.95

/*
 * Runners without the adapter that are considered for one request. A fleet of
 * thousands has many that are about as good as the best.
 */
#define RUNNERS_SAMPLED_MAX 256u

/* Different costs that jitter_cost() may return. */
#define JITTER_STEPS 64u

/* Added to offers that come too late: the request is refused instead. */
#define COST_TOO_LATE 1e9
/*
 * Cost of a place that a loaded domain keeps for its own callers: others are refused,
 * with the time after which there is one at home.
 */
#define COST_KEPT_PLACE (4 * COST_TOO_LATE)

typedef struct offer {
	double cost;
	/* The same with what leaving the domain costs now, and not in general. */
	double spill_cost;
	load_room_t load_room;	/* set where needs_load is */
	int64_t first_event_us; /* delay to the first event */
	int64_t prefill_us;	/* the part of it until the prefill ends */
	int64_t grant_in_us;	/* until a place may be granted; 0: now */
	bool needs_load;	/* the adapter has to be loaded there first */
	/*
	 * What it costs besides to make streams pause, or to wait until they do
	 * not. It decides among runners that need no load, and among those that
	 * need one; between the two kinds only what cost contains of it counts.
	 */
	double pause_cost;
	int64_t spare_us; /* wait for the sake of those streams */
} offer_t;

static bool is_avoided(const Dispatch__Ask *ask, const runner_t *r)
{
	for (size_t i = 0; i < ask->n_avoid; i++)
		if (str_eq(pb_str(ask->avoid[i]), r->id))
			return true;
	return false;
}

static uint32_t request_slots(const runner_t *r, const service_t *s)
{
	if (r->slots)
		return r->slots;
	if (s->engine)
		return s->slots ? s->slots : ENGINE_SLOTS_DEFAULT;
	return PLAIN_SLOTS_DEFAULT;
}

/* Prompt tokens that the runner prefills in a microsecond. */
static double prefill_rate(const runner_t *r)
{
	return PREFILL_TOKENS_PER_MS / (double)USEC_PER_MSEC / r->slowdown;
}

/* What is left of tokens since prefill_backlog_us if share of them is prefilled. */
static double tokens_left(const runner_t *r, double tokens, double share,
			  int64_t now_us)
{
	double left = tokens - (double)(now_us - r->prefill_backlog_us) *
				       prefill_rate(r) * share;

	return MAX(left, 0);
}

/* Granted prompt tokens that the runner cannot have prefilled yet. */
static double prefill_backlog(const runner_t *r, int64_t now_us)
{
	return tokens_left(r, r->prefill_backlog_tokens, 1, now_us);
}

/* The same, had it prefilled only prefill_share of what it can. */
static double paced_backlog(const runner_t *r, int64_t now_us)
{
	return tokens_left(r, r->paced_backlog_tokens, r->prefill_share,
			   now_us);
}

/*
 * Prompt tokens to be prefilled before a new prompt: by the estimate, and at
 * least those of requests that have not begun to answer.
 */
static double tokens_ahead(const runner_t *r, int64_t now_us)
{
	double left = prefill_backlog(r, now_us);

	return MAX(left, (double)r->pending_prefill_tokens);
}

void choice_record_grant(runner_t *r, uint32_t prefill_tokens, int64_t now_us)
{
	r->paced_backlog_tokens = paced_backlog(r, now_us) + prefill_tokens;
	r->prefill_backlog_tokens = prefill_backlog(r, now_us) + prefill_tokens;
	r->prefill_backlog_us = now_us;
}

/* A request, with what is the same for all runners. */
typedef struct query {
	const Dispatch__Ask *ask;
	uint64_t model_key;
	uint64_t adapter_key;
	uint64_t version; /* decided version of the adapter; 0: none */
	prefix_keys_t prefixes;
	spill_plan_t plan;
	bool adapter_elsewhere; /* it is ready in other domains, at most */
} query_t;

/*
 * Time until the runner can use the adapter; -1: it cannot take the request.
 * Sets needs_load, and with it load_room, in offer.
 */
static int64_t adapter_wait_us(const dispatch_t *d, const runner_t *r,
			       const query_t *q, offer_t *offer, int64_t now_us)
{
	const copy_t *c = runner_copy_by_key(r, q->model_key);
	str_t adapter = pb_str(q->ask->adapter);

	offer->needs_load = false;
	if (!c || c->state != COPY_READY)
		return -1;
	if (!adapter.n)
		return 0;
	c = runner_copy_by_key(r, q->adapter_key);
	if (c &&
	    (c->state == COPY_UNLOAD_ORDERED || c->state == COPY_UNCERTAIN))
		return -1;
	if (c && c->state == COPY_READY && c->version >= q->version)
		return 0;
	if (c && c->state == COPY_LOADING)
		return c->ready_us > now_us ? c->ready_us - now_us : 0;
	if (c && c->state != COPY_READY)
		return orders_estimate_wanted_us(d, r, adapter, q->version,
						 now_us);
	if (d->mode != DISPATCH_LEADER)
		return -1;
	offer->needs_load = true;
	offer->load_room = orders_load_room(d, r, now_us);
	/* A new version cannot be loaded while requests use the old one. */
	if (c ? c->active_grants > 0 : !offer->load_room.possible)
		return -1;
	/* A runner loads only RUNNER_LOADS_MAX adapters at the same time. */
	return orders_estimate_wanted_us(d, r, adapter, q->version, now_us) +
	       d->adapter_load_us *
		       (offer->load_room.n_loading / RUNNER_LOADS_MAX);
}

/* Cost of loading the adapter there, and of the eviction that it needs. */
static double load_cost(const runner_t *r, const query_t *q,
			const load_room_t *room)
{
	bool held =
		runner_held_recently(r, pb_str(q->ask->adapter), q->version);
	double cost = held ? COST_LOAD_RECENT : COST_LOAD_FROM_STORE;

	cost += COST_PER_PENDING_LOAD * room->n_loading;
	if (room->victim_idle_us != INT64_MAX)
		cost += COST_LOAD_FROM_STORE * EVICT_COST_HALF_US /
			(double)(EVICT_COST_HALF_US + room->victim_idle_us);
	return cost;
}

/* Expected time until a place is free, behind the requests queued there. */
static int64_t place_wait_us(const dispatch_t *d, const service_t *s,
			     const runner_t *r, int64_t now_us)
{
	double slots = (double)request_slots(r, s) * d->runner_share;

	if ((double)r->n_grants < slots + 1 &&
	    reject_limit_has_room(&r->reject_limit, r->n_grants, slots, now_us))
		return 0;
	return r->mean_hold_us * (r->n_queued + 1) / r->n_grants;
}

/* Expected time until the runner's limit allows a request, behind those queued. */
static int64_t limit_wait_us(const dispatch_t *d, const runner_t *r,
			     int64_t now_us)
{
	return runner_limit_wait_us(&r->limit, d->runner_share, r->n_queued,
				    now_us);
}

/*
 * Time until the backlog is so far prefilled that a prompt can be added without
 * making the runner's streams pause.
 */
static int64_t prefill_wait_us(const dispatch_t *d, const runner_t *r,
			       double ahead, double prefill_tokens)
{
	double share = d->runner_share * r->prefill_share;

	if (ahead <= PREFILL_LOW_TOKENS * share ||
	    ahead + prefill_tokens <= PREFILL_BURST_TOKENS * share)
		return 0;
	return (int64_t)((ahead + prefill_tokens -
			  PREFILL_BURST_TOKENS * share) /
			 prefill_rate(r));
}

/* How long, from now, a request may still take. */
typedef struct margin {
	int64_t prefill_us;	/* until its prompt is prefilled */
	int64_t objective_us;	/* until its first event is late */
	int64_t first_event_us; /* until its caller gives up */
} margin_t;

/* Whether pauses of streams are limited by a route, so far as entries tell. */
static bool limits_pauses(const runner_t *r, const Dispatch__Ask *ask)
{
	return ask->event_gap_us > 0 || r->n_pause_limited > 0;
}

/*
 * Smallest pause allowed to the streams that run there. Streams of older entries,
 * which do not tell it, are taken to be of the request's own route.
 */
static int64_t pause_allowed_us(const runner_t *r, const Dispatch__Ask *ask)
{
	int64_t us = r->pause_allowed_us;

	if (r->n_grants == r->n_pause_limited || ask->event_gap_us <= 0)
		return us;
	return us ? MIN(us, ask->event_gap_us) : ask->event_gap_us;
}

/*
 * Of a runner whose streams have limited pauses: when the prompt may be granted, and
 * what that costs. Sets the parts of the offer that depend on the runner's speed.
 */
static void paced_offer(const dispatch_t *d, const runner_t *r,
			const query_t *q, double prefill_tokens,
			int64_t start_us, int64_t place_us,
			const margin_t *margin, int64_t now_us, offer_t *offer)
{
	const runner_speed_t *s = runner_speed_find(r, q->model_key);
	double n_streams = r->n_spared;
	double pause_cost, wait_ms, load_weight;
	int64_t left_us, own_us;
	runner_speed_t unknown;
	prefill_plan_t plan;

	if (!s) {
		runner_speed_init(&unknown, q->model_key, now_us);
		s = &unknown;
	}
	prefill_plan(&r->prefills, s, prefill_tokens,
		     pause_allowed_us(r, q->ask), d->runner_share, now_us,
		     &plan);
	own_us = (int64_t)(runner_speed_term(s, SPEED_FIRST, now_us) +
			   prefill_tokens *
				   runner_speed_term(s, SPEED_TOKEN, now_us));
	offer->prefill_us = plan.ahead_us + own_us;
	offer->first_event_us = MAX(offer->prefill_us, start_us + own_us);
	left_us = margin->prefill_us - offer->prefill_us -
		  (int64_t)(PAUSE_WAIT_RESERVE_US * (1 + sqrt(s->first_noise)));
	offer->spare_us = plan.wait_us;
	if (plan.wait_us > left_us || place_us > left_us) {
		offer->spare_us = MAX(left_us, 0);
		plan.late_chance = plan.late_chance_now;
	}
	wait_ms = (double)MAX(offer->spare_us - place_us, 0) / USEC_PER_MSEC;
	pause_cost = plan.late_chance * n_streams * COST_PAUSE_PER_STREAM;
	load_weight = plan.wait_us > left_us ? 1 : PAUSE_LOAD_WEIGHT;
	offer->cost = pause_cost * load_weight;
	offer->pause_cost = pause_cost * (1 - load_weight) +
			    wait_ms * COST_FIRST_EVENT_PER_MS +
			    q->ask->tokens_out_hint / TOKENS_PER_EVENT *
				    runner_speed_term(s, SPEED_GAP, now_us) /
				    USEC_PER_SEC * COST_PER_STREAM_SECOND;
}

static bool engine_offer(const dispatch_t *d, const service_t *s,
			 const runner_t *r, const query_t *q,
			 const margin_t *margin, int64_t now_us, offer_t *offer)
{
	const Dispatch__Ask *ask = q->ask;
	double kv_tokens_max = (double)s->kv_tokens * KV_CACHE_SHARE;
	int64_t wait_us = adapter_wait_us(d, r, q, offer, now_us);
	int64_t place_us, backlog_us, own_prefill_us, start_us;
	double prefill_tokens, ahead;

	if (wait_us < 0)
		return false;
	if (kv_tokens_max > 0 && (double)(r->reserved_tokens + ask->tokens_in +
					  ask->tokens_out) > kv_tokens_max)
		return false;
	prefill_tokens = (double)runner_prefill_tokens(r, ask, &q->prefixes);
	ahead = tokens_ahead(r, now_us);
	place_us = MAX(place_wait_us(d, s, r, now_us),
		       limit_wait_us(d, r, now_us));
	backlog_us = prefill_wait_us(d, r, MAX(ahead, paced_backlog(r, now_us)),
				     prefill_tokens);
	offer->grant_in_us = MAX(place_us, backlog_us);
	offer->prefill_us =
		FIRST_EVENT_BASE_US + r->n_grants * FIRST_EVENT_PER_STREAM_US +
		(int64_t)((ahead + prefill_tokens) / prefill_rate(r));
	own_prefill_us = FIRST_EVENT_BASE_US +
			 (int64_t)(prefill_tokens / prefill_rate(r));
	/* Prompts ahead are prefilled while the adapter is loaded or the
	 * request waits for a place. */
	start_us = MAX(wait_us, place_us);
	offer->first_event_us =
		MAX(offer->prefill_us, start_us + own_prefill_us);
	if (limits_pauses(r, ask)) {
		paced_offer(d, r, q, prefill_tokens, start_us, place_us, margin,
			    now_us, offer);
		offer->grant_in_us = MAX(place_us, offer->spare_us);
	}
	offer->cost += (double)offer->first_event_us / USEC_PER_MSEC *
			       COST_FIRST_EVENT_PER_MS +
		       (double)place_us / USEC_PER_MSEC * COST_QUEUE_PER_MS +
		       r->n_grants * COST_PER_STREAM;
	if (offer->needs_load)
		offer->cost += load_cost(r, q, &offer->load_room);
	if (offer->needs_load && r->limit.active)
		offer->cost += COST_LOAD_LIMITED;
	return true;
}

static bool plain_offer(const dispatch_t *d, const service_t *s,
			const runner_t *r, int64_t now_us, offer_t *offer)
{
	uint32_t slots = request_slots(r, s);
	int64_t wait_us = limit_wait_us(d, r, now_us);

	if ((double)r->n_grants >=
		    slots * PLAIN_GRANTS_PER_SLOT * d->runner_share ||
	    !reject_limit_has_room(&r->reject_limit, r->n_grants,
				   slots * d->runner_share, now_us))
		return false;
	offer->needs_load = false;
	offer->grant_in_us = wait_us;
	offer->first_event_us = wait_us;
	offer->prefill_us = 0;
	offer->cost = (double)r->n_grants / slots * COST_PLAIN_SLOTS +
		      (double)wait_us / USEC_PER_MSEC * COST_QUEUE_PER_MS;
	return true;
}

/* A pseudo-random cost, which differs from request to request. */
static double jitter_cost(const dispatch_t *d, const runner_t *r,
			  const Dispatch__Ask *ask)
{
	uint64_t seed = ask->id ^ (uint64_t)d->began_us;

	return (double)(hash_bytes(r->id.p, r->id.n, seed) % JITTER_STEPS) *
	       COST_JITTER / JITTER_STEPS;
}

/* How long a caller waits for a first event before it gives up. */
static int64_t patience_us(const Dispatch__Ask *ask)
{
	int64_t us = ask->target_us * PATIENCE_OBJECTIVES;

	if (us < PATIENCE_MIN_US)
		us = PATIENCE_MIN_US;
	return us < ask->left_us ? us : ask->left_us;
}

/* The part of a request's objective that may pass until it is prefilled. */
static int64_t objective_limit_us(const Dispatch__Ask *ask)
{
	double share =
		OBJECTIVE_SHARE - OBJECTIVE_SHARE_STEP * (double)ask->priority;

	if (share < OBJECTIVE_SHARE_MIN)
		share = OBJECTIVE_SHARE_MIN;
	return (int64_t)((double)ask->target_us * share);
}

static margin_t margin_of(const Dispatch__Ask *ask, int64_t waited_us,
			  int64_t load_waited_us)
{
	margin_t m = {
		.prefill_us =
			objective_limit_us(ask) - (waited_us - load_waited_us),
		.objective_us = ask->target_us - waited_us,
		.first_event_us = patience_us(ask) - waited_us,
	};

	/*
	 * The first event of a stream that is taken up has come already: it is
	 * of use until its caller gives up.
	 */
	if (ask->takes_up)
		m.prefill_us = m.first_event_us;
	return m;
}

/* Whether the runner has the software version that the request needs, if any. */
static bool has_build(const runner_t *r, const Dispatch__Ask *ask)
{
	return !ask->build.len || str_eq(r->build, pb_str(ask->build));
}

/* Whether the runner is considered for the request at all. */
static bool is_candidate(const service_t *s, const runner_t *r,
			 const Dispatch__Ask *ask, int64_t now_us)
{
	return str_eq(r->service, s->name) && has_build(r, ask) &&
	       runner_usable(r, now_us) && !is_avoided(ask, r) &&
	       (!s->engine || r->models_known);
}

static double failure_cost(const runner_t *r, int64_t now_us)
{
	double share = runner_failure_rate(r, now_us) - FAILURE_RATE_USUAL;

	return share > 0 ? share * COST_FAILURE : 0;
}

/*
 * Whether what a runner of a loaded domain has left is for its own callers: others do
 * not queue there, neither for a place nor behind prompts.
 */
static bool keeps_place(const dispatch_t *d, const service_t *s,
			const runner_t *r, int64_t now_us)
{
	double places = (double)request_slots(r, s) * d->runner_share;

	if ((double)r->n_grants >= places)
		return true;
	return s->engine &&
	       tokens_ahead(r, now_us) > PREFILL_LOW_TOKENS * d->runner_share;
}

/* Cost of leaving the domain for this runner; path_us: time there and back. */
static double crossing_cost(const dispatch_t *d, const service_t *s,
			    const runner_t *r, const query_t *q, int64_t now_us,
			    int64_t *path_us)
{
	spill_crossing_t c = spill_crossing(&q->plan, r->zone);
	double ms = (double)(c.path_us + c.price_us) / USEC_PER_MSEC;
	double hold_ms = (double)r->mean_hold_us / USEC_PER_MSEC;
	bool kept =
		c.loaded && !q->ask->takes_up && keeps_place(d, s, r, now_us);
	double cost;

	*path_us = c.path_us;
	if (q->adapter_elsewhere)
		return COST_OTHER_ZONE;
	if (!s->engine)
		return COST_PLAIN_SLOTS * MIN(ms / MAX(hold_ms, 1), 1) +
		       (c.closed ? COST_PLAIN_CLOSED : 0) +
		       (kept ? COST_PLAIN_KEPT : 0);
	cost = ms * COST_FIRST_EVENT_PER_MS;
	if (q->ask->adapter.len)
		return cost + (c.closed ? COST_COPY_CLOSED : 0);
	return cost + (c.closed ? COST_CROSSING_CLOSED : 0) +
	       (kept ? COST_KEPT_PLACE : 0);
}

/* Computes the runner's offer with all costs; false: it cannot take more. */
static bool get_offer(const dispatch_t *d, const service_t *s,
		      const runner_t *r, const query_t *q,
		      const margin_t *margin, int64_t now_us, offer_t *offer)
{
	const Dispatch__Ask *ask = q->ask;
	double crossing = 0;
	int64_t path_us = 0;

	if (!(s->engine ? engine_offer(d, s, r, q, margin, now_us, offer)
			: plain_offer(d, s, r, now_us, offer)))
		return false;
	if (!str_eq(r->zone, pb_str(ask->zone))) {
		offer->cost += COST_OTHER_ZONE;
		crossing = crossing_cost(d, s, r, q, now_us, &path_us) -
			   COST_OTHER_ZONE;
	}
	offer->cost += failure_cost(r, now_us);
	if (r->limit.active)
		offer->cost += COST_LIMITED;
	/* Daemons that don't know each other's grants must not all choose the
	 * same runner. */
	if (d->mode == DISPATCH_ISOLATED)
		offer->cost += jitter_cost(d, r, ask);
	if (s->engine && offer->first_event_us + path_us > margin->objective_us)
		offer->cost += COST_LATE;
	if (s->engine && offer->prefill_us > margin->prefill_us)
		offer->cost += COST_TOO_LATE;
	if (offer->first_event_us > MAX(margin->first_event_us, 0))
		offer->cost += COST_TOO_LATE;
	offer->spill_cost = offer->cost + crossing;
	return true;
}

/* Whether a runner of the domain that may get requests has the adapter. */
static bool is_ready_in(const dispatch_t *d, uint64_t adapter_key, str_t zone,
			int64_t now_us)
{
	const copy_set_t *set = fleet_copies(d, adapter_key);
	const copy_t *c;

	if (!set)
		return false;
	cds_list_for_each_entry (c, &set->copies, same_key)
		if (c->state == COPY_READY && str_eq(c->runner->zone, zone) &&
		    runner_usable(c->runner, now_us))
			return true;
	return false;
}

static query_t make_query(const dispatch_t *d, const Dispatch__Ask *ask,
			  int64_t now_us)
{
	str_t model = pb_str(ask->model);
	query_t q = {
		.ask = ask,
		.model_key = copy_key(model, str_n(NULL, 0)),
		.adapter_key = copy_key(model, pb_str(ask->adapter)),
	};

	q.version = decided_version(d, q.adapter_key);
	prefix_keys(ask, &q.prefixes);
	q.plan = spill_plan(d->spill, pb_str(ask->service), pb_str(ask->zone),
			    ask->tokens_in + ask->tokens_out, ask->id);
	q.adapter_elsewhere =
		ask->adapter.len &&
		!is_ready_in(d, q.adapter_key, pb_str(ask->zone), now_us);
	return q;
}

/*
 * Least cost of a runner that does not hold the adapter; 0 where none is needed
 * or there is no dispatcher to load it.
 */
static double least_load_cost(const runner_t *r, const query_t *q)
{
	if (!q->ask->adapter.len)
		return 0;
	return runner_held_recently(r, pb_str(q->ask->adapter), q->version)
		       ? COST_LOAD_RECENT
		       : COST_LOAD_FROM_STORE;
}

/* The runner with the best offer so far. */
typedef struct search {
	const service_t *s;
	const query_t *q;
	const margin_t *margin;
	runner_t *runner; /* NULL: none yet */
	offer_t offer;	  /* of that runner */
	/* The same of those that need no load, by spill_cost. */
	runner_t *ready_runner;
	offer_t ready_offer;
	bool any_candidate; /* some runner of the service may be used */
	/* Some runner has the needed software version, and does not leave. */
	bool any_of_build;
	/* Some runner may be used once its software version is decided. */
	bool any_undecided;
	/* Some candidate is in the failure domain of the entry. */
	bool any_at_home;
	/* Some of these makes an offer, be it late. */
	bool home_offers;
	/* Some runner has the needed software version, and is full for now. */
	bool any_full;
	uint64_t n_offers; /* computed so far */
	/* Least cost without pause_cost of the offers that need no load. */
	double least_held_cost;
} search_t;

/*
 * Whether the offer is better than the best one so far. Between one that needs a
 * load and one that does not, pauses make no difference.
 */
static bool is_better(const search_t *best, const offer_t *o)
{
	if (!best->runner)
		return true;
	if (o->needs_load == best->offer.needs_load)
		return o->cost + o->pause_cost <
		       best->offer.cost + best->offer.pause_cost;
	if (o->needs_load)
		return o->cost < best->least_held_cost;
	return MIN(o->cost, best->least_held_cost) < best->offer.cost;
}

/* Cost from which on a runner that needs a load cannot be better. */
static double load_cost_limit(const search_t *best)
{
	return best->offer.needs_load
		       ? best->offer.cost + best->offer.pause_cost
		       : best->least_held_cost;
}

/* Takes the runner's offer if it is better. holds: it has a copy, or loads it. */
static void consider(dispatch_t *d, search_t *best, runner_t *r, bool holds,
		     int64_t now_us)
{
	const query_t *q = best->q;
	bool stays = has_build(r, q->ask) && !runner_is_leaving(r);
	offer_t offer = {0};

	r->considered_by = d->n_queries;
	best->any_of_build |= stays;
	best->any_full |=
		stays && r->full_until_us > now_us && !is_avoided(q->ask, r);
	if (!is_candidate(best->s, r, q->ask, now_us))
		return;
	if (q->ask->begins_stream && !r->build_decided) {
		best->any_undecided = true;
		return;
	}
	best->any_candidate = true;
	best->any_at_home |= str_eq(r->zone, pb_str(q->ask->zone));
	if (best->runner && !holds &&
	    least_load_cost(r, q) >= load_cost_limit(best))
		return;
	best->n_offers++;
	if (!get_offer(d, best->s, r, q, best->margin, now_us, &offer))
		return;
	best->home_offers |= str_eq(r->zone, pb_str(q->ask->zone));
	if (!offer.needs_load)
		best->least_held_cost = MIN(best->least_held_cost, offer.cost);
	if (!offer.needs_load &&
	    (!best->ready_runner ||
	     offer.spill_cost + offer.pause_cost <
		     best->ready_offer.spill_cost +
			     best->ready_offer.pause_cost)) {
		best->ready_runner = r;
		best->ready_offer = offer;
	}
	if (!is_better(best, &offer))
		return;
	best->runner = r;
	best->offer = offer;
}

/* Considers those of the runners that have the needed software version. */
static void search_build(dispatch_t *d, search_t *best,
			 const GPtrArray *runners, size_t start, int64_t now_us)
{
	uint32_t n_sampled = 0;

	for (size_t i = 0; i < runners->len && n_sampled < RUNNERS_SAMPLED_MAX;
	     i++) {
		runner_t *r =
			g_ptr_array_index(runners, (start + i) % runners->len);

		if (r->considered_by == d->n_queries ||
		    !has_build(r, best->q->ask))
			continue;
		consider(d, best, r, false, now_us);
		n_sampled++;
	}
}

/*
 * Considers the runners that hold the adapter, and RUNNERS_SAMPLED_MAX others:
 * all of a small fleet; of a large one, which are spread over its failure
 * domains, a different part for each request.
 */
static void search_runners(dispatch_t *d, search_t *best, int64_t now_us)
{
	const query_t *q = best->q;
	const copy_set_t *set =
		q->ask->adapter.len ? fleet_copies(d, q->adapter_key) : NULL;
	const service_fleet_t *fleet = fleet_of_service(d, best->s->name);
	size_t n = fleet ? fleet->runners->len : 0;
	size_t n_sampled = MIN(n, RUNNERS_SAMPLED_MAX);
	size_t start = n > n_sampled ? q->ask->id % n : 0;
	copy_t *c;

	d->n_queries++;
	if (set)
		cds_list_for_each_entry (c, &set->copies, same_key)
			consider(d, best, c->runner, true, now_us);
	if (q->ask->build.len && fleet) {
		search_build(d, best, fleet->runners, start, now_us);
		return;
	}
	for (size_t i = 0; i < n_sampled; i++) {
		size_t at = (start + i * n / n_sampled) % n;
		runner_t *r = g_ptr_array_index(fleet->runners, at);

		if (r->considered_by != d->n_queries)
			consider(d, best, r, false, now_us);
	}
}

/* Without a runner for it now, whether the request stays pending. */
static bool may_be_served_soon(const dispatch_t *d, const search_t *best)
{
	if (best->any_undecided && d->mode == DISPATCH_LEADER)
		return true;
	/* A new stream may begin elsewhere, or later; one that broke may not. */
	return best->q->ask->takes_up && best->any_full &&
	       best->margin->first_event_us > 0;
}

/*
 * Where no load is best, the domains decide between the runners that need none: so they
 * cause no load.
 */
static void apply_spill(search_t *best)
{
	if (!best->runner || best->offer.needs_load)
		return;
	/* Places are not kept from a request that has no other ones. */
	if (!best->home_offers && best->ready_offer.spill_cost >= COST_TOO_LATE)
		return;
	best->runner = best->ready_runner;
	best->offer = best->ready_offer;
	best->offer.cost = best->offer.spill_cost;
}

static spill_reason_t why_it_leaves(const search_t *best)
{
	const query_t *q = best->q;
	str_t zone = best->runner->zone;

	if (str_eq(zone, pb_str(q->ask->zone)))
		return SPILL_STAYS;
	if (!best->any_at_home)
		return SPILL_NO_RUNNER;
	if (q->adapter_elsewhere)
		return SPILL_ADAPTER;
	return spill_crossing(&q->plan, zone).closed ? SPILL_HOME_FULL
						     : SPILL_SHARE;
}

choice_t choose_runner(dispatch_t *d, const Dispatch__Ask *ask,
		       int64_t waited_us, int64_t load_waited_us,
		       int64_t now_us)
{
	const service_t *s =
		d->manifest ? manifest_find_service(d->manifest,
						    pb_str(ask->service))
			    : NULL;
	choice_t choice = {.reason = REASON_NO_TARGET,
			   .retry_us = RETRY_MIN_US};
	margin_t margin = margin_of(ask, waited_us, load_waited_us);
	search_t best = {
		.s = s, .margin = &margin, .least_held_cost = INFINITY};
	int64_t late_us;
	query_t q;

	if (!s)
		return choice;
	q = make_query(d, ask, now_us);
	best.q = &q;
	search_runners(d, &best, now_us);
	apply_spill(&best);
	counter_add(CTR_DISPATCH_DECISIONS, 1);
	counter_add(CTR_DISPATCH_OFFERS, best.n_offers);
	if (best.any_candidate) {
		choice.reason = REASON_QUEUE_FULL;
	} else if (ask->build.len && !best.any_of_build) {
		choice.reason = REASON_STREAM_UNSERVED;
		choice.retry_us = 0;
	}
	choice.runner = best.runner;
	if (!choice.runner) {
		choice.stays_pending = may_be_served_soon(d, &best);
		return choice;
	}
	choice.reason = REASON_NONE;
	choice.first_event_us = best.offer.first_event_us;
	choice.grant_in_us = best.offer.grant_in_us;
	counter_add(CTR_PROMPTS_HELD, best.offer.spare_us > 0);
	choice.needs_load = best.offer.needs_load;
	choice.leaves = why_it_leaves(&best);
	choice.prefill_us = best.offer.prefill_us;
	if (best.offer.cost >= COST_TOO_LATE) {
		late_us =
			MAX(best.offer.prefill_us - margin.prefill_us,
			    best.offer.first_event_us - margin.first_event_us);
		choice.retry_us = CLAMP(late_us, RETRY_MIN_US, RETRY_MAX_US);
		choice.reason = REASON_CANNOT_BE_ON_TIME;
		choice.runner = NULL;
	}
	return choice;
}

/* Time until a new request can begin at the runner. */
static int64_t begin_wait_us(const dispatch_t *d, const service_t *s,
			     const runner_t *r, int64_t now_us)
{
	double places = (double)request_slots(r, s) * d->runner_share;
	int64_t limit_us = limit_wait_us(d, r, now_us);
	double queued_us;

	if (s->engine)
		queued_us = MAX((double)place_wait_us(d, s, r, now_us),
				tokens_ahead(r, now_us) / prefill_rate(r));
	else
		queued_us =
			(double)r->mean_hold_us *
			(r->n_grants >= places + 1 ? r->n_grants - places : 0) /
			places;
	return MAX(limit_us, (int64_t)queued_us);
}

void choice_decide_spill(dispatch_t *d, int64_t now_us)
{
	runner_t *r;

	if (!spill_is_due(d->spill, now_us))
		return;
	spill_begin_samples(d->spill);
	cds_list_for_each_entry (r, &d->runners, node) {
		const service_t *s =
			d->manifest
				? manifest_find_service(d->manifest, r->service)
				: NULL;
		spill_runner_t sample = {
			.service = r->service,
			.zone = r->zone,
			.used = r->n_grants + r->n_queued,
			.hold_us = r->mean_hold_us,
		};

		if (!s || !runner_usable(r, now_us) ||
		    (s->engine && !r->models_known))
			continue;
		sample.places = request_slots(r, s) * d->runner_share;
		sample.wait_us = begin_wait_us(d, s, r, now_us);
		spill_add_runner(d->spill, &sample);
	}
	spill_decide(d->spill, now_us);
}
