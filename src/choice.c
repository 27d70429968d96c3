/*
 * choice.c - which runner gets a request, which requests wait, and which are
 * refused at once.
 *
 * The load it answers: prompts are read one after the other, in pieces between
 * the tokens of the streams that run, so that too many tokens to read at once
 * make every stream there pause; adapters are held by few runners and take a
 * fixed time, and a price, to load.
 *
 * Offers are compared in thousandths of what an ordinary request is worth.
 */
#include "dispatch_int.h"

/* Prompt tokens that a runner of usual speed reads in a millisecond beside its
 * streams. */
#define READ_TOKENS_PER_MS 20.0
/* Tokens to be read at once without a pause in the streams that run. */
#define READ_BURST 4800.0
/* With less than this to read, a prompt of any size may follow. */
#define READ_LITTLE 900.0
/* From the arrival of a request to its first event, without its prompt. */
#define FIRST_EVENT_US (25 * USEC_PER_MSEC)
/* What one more stream in the batch costs the first event. */
#define STREAM_US 400

#define COST_PER_MS 0.15 /* of waiting within the objective */
/* Of waiting for a place: a queue that grows shall bring another copy before
 * its requests are late. */
#define COST_QUEUE_PER_MS 5.0
#define COST_ZONE 8.0	 /* bytes between failure domains */
#define COST_STORE 330.0 /* an adapter brought from the weight store */
#define COST_HOST 15.0	 /* an adapter that the runner held recently */
#define COST_COMING 10.0 /* each adapter that is on its way there already */
/* An adapter that gives way is brought again if it is asked for; it costs half
 * of that if it was unused for so long. */
#define EVICT_HALF_US (1 * USEC_PER_SEC)
#define COST_STREAM 1.0 /* one more beside each stream that runs */

/* Places of a plain service for each of its slots. */
#define PLAIN_ROUNDS 3u
#define PLAIN_SLOTS 4u /* where the list does not say */
#define ENGINE_SLOTS 32u
/* Part of the latency objective that a request may be expected to take. */
#define FIRST_SHARE 0.85
/* Less urgent requests are refused earlier, by this part a rank. */
#define RANK_SHARE 0.15
#define RANK_SHARE_MIN 0.4
/* Callers give up after four objectives or two seconds without an event. */
#define PATIENCE_TARGETS 3
#define PATIENCE_MIN_US (1600 * USEC_PER_MSEC)
#define COST_LATE 700.0	   /* the first event comes after the objective */
#define COST_FAILED 1000.0 /* the answer is a failure */
/* Some requests fail wherever they are sent. */
#define FAILING_USUAL 0.15
#define RETRY_MIN_US (150 * USEC_PER_MSEC)
#define RETRY_MAX_US (2 * USEC_PER_SEC)
/* The part of a runner's memory that prompts and answers may take. */
#define MEMORY_SHARE 0.95

#define SPREAD_STEPS 64u

/* Added to offers that come too late to be taken at all. */
#define HOPELESS 1e9

typedef struct offer {
	double cost;
	load_room_t load_room;	/* where the adapter has to be loaded */
	int64_t first_event_us; /* until the first event */
	int64_t prefill_us;  /* the part of it that prompts take to be read */
	int64_t grant_in_us; /* until it may be granted; 0: now */
	bool needs_load;
} offer_t;

static bool is_avoided(const Dispatch__Ask *ask, const runner_t *r)
{
	for (size_t i = 0; i < ask->n_avoid; i++)
		if (str_eq(pb_str(ask->avoid[i]), r->id))
			return true;
	return false;
}

static uint32_t slots_of(const runner_t *r, const service_t *s)
{
	if (r->slots)
		return r->slots;
	if (s->engine)
		return s->slots ? s->slots : ENGINE_SLOTS;
	return PLAIN_SLOTS;
}

static double read_rate(const runner_t *r)
{
	return READ_TOKENS_PER_MS / (double)USEC_PER_MSEC / r->slowdown;
}

/* What is left now of the tokens that were granted to be read. */
static double recent_left(const runner_t *r, int64_t now_us)
{
	double left = r->prefill_backlog_tokens -
		      (double)(now_us - r->prefill_backlog_us) * read_rate(r);

	return MAX(left, 0);
}

/* Tokens that the runner has yet to read, or has read just now. */
static double reading(const runner_t *r, int64_t now_us)
{
	double left = recent_left(r, now_us);

	return MAX(left, (double)r->pending_prefill_tokens);
}

void choice_record_grant(runner_t *r, uint32_t prefill_tokens, int64_t now_us)
{
	r->prefill_backlog_tokens = recent_left(r, now_us) + prefill_tokens;
	r->prefill_backlog_us = now_us;
}

/* What is the same for all runners that a request is compared at. */
typedef struct query {
	const Dispatch__Ask *ask;
	uint64_t model_key;
	uint64_t adapter_key;
	uint64_t version; /* decided, of the adapter; 0: none */
	prefix_keys_t parts;
} query_t;

/* Time until the adapter can be used there; -1: it cannot be had. */
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
		return orders_estimate_load_us(d, r, adapter, q->version);
	if (d->mode != DISPATCH_LEADER)
		return -1;
	offer->needs_load = true;
	offer->load_room = orders_load_room(d, r, now_us);
	/* A successor has to wait for the runs on what it replaces. */
	if (c ? c->active_grants > 0 : !offer->load_room.possible)
		return -1;
	/* A runner takes in only so many at a time. */
	return orders_estimate_load_us(d, r, adapter, q->version) +
	       d->adapter_load_us *
		       (offer->load_room.n_loading / RUNNER_LOADS_MAX);
}

/* What loading the adapter there costs. */
static double load_cost(const runner_t *r, const query_t *q,
			const load_room_t *room)
{
	bool held =
		runner_held_recently(r, pb_str(q->ask->adapter), q->version);
	double cost = held ? COST_HOST : COST_STORE;

	cost += COST_COMING * room->n_loading;
	if (room->victim_idle_us != INT64_MAX)
		cost += COST_STORE * EVICT_HALF_US /
			(double)(EVICT_HALF_US + room->victim_idle_us);
	return cost;
}

/* Until a place is free there, behind those that wait for one. */
static int64_t place_wait_us(const dispatch_t *d, const service_t *s,
			     const runner_t *r)
{
	double places = (double)slots_of(r, s) * d->runner_share + 1;

	if ((double)r->n_grants < places)
		return 0;
	return r->mean_hold_us * (r->n_queued + 1) / r->n_grants;
}

/* Until so much of what is ahead has been read that the prompt may follow. */
static int64_t read_wait_us(const dispatch_t *d, const runner_t *r,
			    double ahead, double prefill_tokens)
{
	if (ahead <= READ_LITTLE * d->runner_share ||
	    ahead + prefill_tokens <= READ_BURST * d->runner_share)
		return 0;
	return (int64_t)((ahead + prefill_tokens -
			  READ_BURST * d->runner_share) /
			 read_rate(r));
}

static bool engine_offer(const dispatch_t *d, const service_t *s,
			 const runner_t *r, const query_t *q, int64_t now_us,
			 offer_t *offer)
{
	const Dispatch__Ask *ask = q->ask;
	double memory = (double)s->kv_tokens * MEMORY_SHARE;
	int64_t wait_us = adapter_wait_us(d, r, q, offer, now_us);
	int64_t place_us, read_room_us, own_us, begin_us;
	double prefill_tokens, ahead;

	if (wait_us < 0)
		return false;
	if (memory > 0 && (double)(r->reserved_tokens + ask->tokens_in +
				   ask->tokens_out) > memory)
		return false;
	prefill_tokens = (double)runner_prefill_tokens(r, ask, &q->parts);
	ahead = reading(r, now_us);
	place_us = place_wait_us(d, s, r);
	read_room_us = read_wait_us(d, r, ahead, prefill_tokens);
	offer->grant_in_us = MAX(place_us, read_room_us);
	offer->prefill_us = FIRST_EVENT_US + r->n_grants * STREAM_US +
			    (int64_t)((ahead + prefill_tokens) / read_rate(r));
	own_us = FIRST_EVENT_US + (int64_t)(prefill_tokens / read_rate(r));
	/* Prompts ahead are read while the adapter is on its way, or a place
	 * becomes free. */
	begin_us = MAX(wait_us, place_us);
	offer->first_event_us = MAX(offer->prefill_us, begin_us + own_us);
	offer->cost =
		(double)offer->first_event_us / USEC_PER_MSEC * COST_PER_MS +
		(double)place_us / USEC_PER_MSEC * COST_QUEUE_PER_MS +
		r->n_grants * COST_STREAM;
	if (offer->needs_load)
		offer->cost += load_cost(r, q, &offer->load_room);
	return true;
}

static bool plain_offer(const dispatch_t *d, const service_t *s,
			const runner_t *r, offer_t *offer)
{
	uint32_t slots = slots_of(r, s);

	if ((double)r->n_grants >= slots * PLAIN_ROUNDS * d->runner_share)
		return false;
	offer->needs_load = false;
	offer->grant_in_us = 0;
	offer->first_event_us = 0;
	offer->prefill_us = 0;
	offer->cost = (double)r->n_grants / slots * COST_ZONE * 2;
	return true;
}

/* A cost that differs from request to request. */
static double spread(const dispatch_t *d, const runner_t *r,
		     const Dispatch__Ask *ask)
{
	uint64_t seed = ask->id ^ (uint64_t)d->began_us;

	return (double)(hash_bytes(r->id.p, r->id.n, seed) % SPREAD_STEPS) *
	       COST_ZONE / SPREAD_STEPS;
}

/* How long a caller waits for a first event before it gives up. */
static int64_t patience_us(const Dispatch__Ask *ask)
{
	int64_t us = ask->target_us * PATIENCE_TARGETS;

	if (us < PATIENCE_MIN_US)
		us = PATIENCE_MIN_US;
	return us < ask->left_us ? us : ask->left_us;
}

/* How much of its objective a request may be expected to take. */
static int64_t first_limit_us(const Dispatch__Ask *ask)
{
	double share = FIRST_SHARE - RANK_SHARE * (double)ask->priority;

	if (share < RANK_SHARE_MIN)
		share = RANK_SHARE_MIN;
	return (int64_t)((double)ask->target_us * share);
}

/* How long a request may still take. */
typedef struct margin {
	int64_t prefill_us;	/* for its prompt, of its objective */
	int64_t aim_us;		/* until its first event, of its objective */
	int64_t first_event_us; /* until its caller gives up */
} margin_t;

static margin_t margin_of(const Dispatch__Ask *ask, int64_t waited_us,
			  int64_t load_us)
{
	margin_t m = {
		.prefill_us = first_limit_us(ask) - (waited_us - load_us),
		.aim_us = ask->target_us - waited_us,
		.first_event_us = patience_us(ask) - waited_us,
	};

	return m;
}

/* Whether the runner may be asked at all. */
static bool is_candidate(const service_t *s, const runner_t *r,
			 const Dispatch__Ask *ask, int64_t now_us)
{
	return str_eq(r->service, s->name) && runner_usable(r, now_us) &&
	       !is_avoided(ask, r) && (!s->engine || r->models_known);
}

static double failure_cost(const runner_t *r, int64_t now_us)
{
	double share = runner_failure_rate(r, now_us) - FAILING_USUAL;

	return share > 0 ? share * COST_FAILED : 0;
}

/* What the runner offers, with all that it costs; false: it has no room. */
static bool make_offer(const dispatch_t *d, const service_t *s,
		       const runner_t *r, const query_t *q,
		       const margin_t *margin, int64_t now_us, offer_t *offer)
{
	const Dispatch__Ask *ask = q->ask;

	if (!(s->engine ? engine_offer(d, s, r, q, now_us, offer)
			: plain_offer(d, s, r, offer)))
		return false;
	if (!str_eq(r->zone, pb_str(ask->zone)))
		offer->cost += COST_ZONE;
	offer->cost += failure_cost(r, now_us);
	/* Daemons that know nothing of each other spread out. */
	if (d->mode == DISPATCH_ISOLATED)
		offer->cost += spread(d, r, ask);
	if (s->engine && offer->first_event_us > margin->aim_us)
		offer->cost += COST_LATE;
	if (s->engine && (offer->prefill_us > margin->prefill_us ||
			  offer->first_event_us > margin->first_event_us))
		offer->cost += HOPELESS;
	return true;
}

static query_t make_query(const dispatch_t *d, const Dispatch__Ask *ask)
{
	str_t model = pb_str(ask->model);
	query_t q = {
		.ask = ask,
		.model_key = copy_key(model, str_n(NULL, 0)),
		.adapter_key = copy_key(model, pb_str(ask->adapter)),
	};

	q.version = decided_version(d, q.adapter_key);
	prefix_keys(ask, &q.parts);
	return q;
}

choice_t choose_runner(dispatch_t *d, const Dispatch__Ask *ask,
		       int64_t waited_us, int64_t load_us, int64_t now_us)
{
	const service_t *s =
		d->manifest
			? manifest_service(d->manifest, pb_str(ask->service))
			: NULL;
	choice_t best = {.reason = REASON_NO_TARGET, .retry_us = RETRY_MIN_US};
	margin_t margin = margin_of(ask, waited_us, load_us);
	offer_t taken = {0};
	query_t q;
	runner_t *r;

	if (!s)
		return best;
	q = make_query(d, ask);
	cds_list_for_each_entry (r, &d->runners, node) {
		offer_t offer = {0};

		if (!is_candidate(s, r, ask, now_us))
			continue;
		if (!best.runner)
			best.reason = REASON_QUEUE_FULL;
		if (!make_offer(d, s, r, &q, &margin, now_us, &offer))
			continue;
		if (best.runner && offer.cost >= taken.cost)
			continue;
		taken = offer;
		best.runner = r;
		best.reason = REASON_NONE;
	}
	if (!best.runner)
		return best;
	best.first_event_us = taken.first_event_us;
	best.grant_in_us = taken.grant_in_us;
	best.needs_load = taken.needs_load;
	best.prefill_us = taken.prefill_us;
	if (taken.cost >= HOPELESS) {
		best.retry_us = CLAMP(taken.prefill_us - margin.prefill_us,
				      RETRY_MIN_US, RETRY_MAX_US);
		best.reason = REASON_CANNOT_BE_ON_TIME;
		best.runner = NULL;
	}
	return best;
}
