/*
 * place.h - where to send a request: candidates among the targets, scored by
 * expected finish from the owners' reports. Soft state only; a wrong choice
 * costs time, never correctness, as the owner decides what runs.
 */
#ifndef DK_PLACE_H
#define DK_PLACE_H

#include <glib.h>
#include <pthread.h>

#include "rate.h"
#include "serve.h"
#include "serve.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct place {
	pthread_mutex_t lock; /* leaf: nothing is called with it held */
	const serve_cfg_t *cfg;
	GHashTable *hints; /* target -> hint_t */
	host_id_t *live;   /* owned, ascending */
	size_t n_live;
	GHashTable *down; /* hosts whose link is down */
	rates_t rates;	  /* of all adapters asked for at known owners */
	uint32_t backlog; /* loads that wait for the store, as last told */
	int64_t backlog_at_us;
	uint64_t seed; /* of PLACE_RANDOM */
} place_t;

typedef struct place_query {
	target_kind_t kind;
	str_t base;    /* base model or service */
	str_t adapter; /* "name@version"; empty: none needed */
	str_t name;    /* of the adapter, for its rendezvous homes */
	int64_t load_us;
	uint64_t prefix_hash;
	const target_id_t *tried; /* not again, unless nothing else is left */
	size_t n_tried;
	host_id_t self;
	int64_t now_us;
} place_query_t;

typedef struct place_score {
	const target_t *target; /* of the tables handed in */
	bool resident;
	bool loading;
	uint32_t home_rank; /* among the rendezvous homes, from 0 */
	int64_t wait_us;
	int64_t stall_us;
	double score; /* lower is better */
} place_score_t;

void place_init(place_t *p, const serve_cfg_t *cfg);
void place_free(place_t *p);
void place_apply_report(place_t *p, const Serve__Report *rep, int64_t now);
/* Loads that wait for a permit of the store. */
void place_set_store_backlog(place_t *p, uint32_t backlog, int64_t now);
/* Expected time until a load that is asked for now ends. */
int64_t place_expected_load_us(place_t *p, int64_t load_us, int64_t now);
/* One request for an adapter, at an owner here. */
void place_count_request(place_t *p, uint32_t hash, int64_t now);
/*
 * Expected stall that the eviction of an adapter from a target causes, in
 * microseconds: its load time by the chance that it is asked for soon; little
 * where another target has it too, and is an earlier home of it (*redundant).
 */
double place_evict_cost(place_t *p, str_t name, uint32_t hash,
			target_id_t target, int64_t load_us, int64_t now,
			bool *redundant);
/* Whether some known target has the adapter. */
bool place_is_resident_anywhere(place_t *p, uint32_t hash, int64_t now);
/* What the platform's lagging list says of the target. */
void place_set_listed_leaving(place_t *p, target_id_t target, bool leaving);
/* What the target itself says; taken back when it has restarted. */
void place_set_announced_leaving(place_t *p, target_id_t target, bool leaving);
bool place_is_leaving(place_t *p, target_id_t target);
void place_standing(place_t *p, const standing_t *st);
void place_set_link_up(place_t *p, host_id_t host, bool up);
bool place_is_host_live(place_t *p, host_id_t host);
/* Copies at most max live hosts; returns how many there are. */
size_t place_live_hosts(place_t *p, host_id_t *out, size_t max);
/*
 * Scores the candidates, best first; returns how many, at most max. A target
 * without a live owner is none.
 */
size_t place_candidates(place_t *p, const decided_t *d, const place_query_t *q,
			place_score_t *out, size_t max);
/* The best candidate, counted as on its way there; NULL where there is none. */
const target_t *place_pick(place_t *p, const decided_t *d,
			   const place_query_t *q);
/* Whether a target not yet tried could serve it, but has no live owner now. */
bool place_has_unavailable_match(place_t *p, const decided_t *d,
				 const place_query_t *q);
/* Whether some target could serve it, had it an owner. */
bool place_has_match(place_t *p, const decided_t *d, const place_query_t *q);

#ifdef __cplusplus
}
#endif
#endif
