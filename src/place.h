/*
 * place.h - chooses the target that a request is sent to. Targets are scored by
 * the expected finish of the request, computed from the load reports of their
 * owners. All of this is soft state: a wrong choice costs time but is never
 * incorrect, as the owner of the target decides what runs there.
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
	pthread_mutex_t lock; /* leaf: no other lock is taken under it */
	const serve_cfg_t *cfg;
	GHashTable *views; /* target -> target_view_t */
	host_id_t *live;   /* hosts with a session; owned, ascending */
	size_t n_live;
	GHashTable *unlinked; /* hosts to which the link is down */
	/* Request rates by hash of the adapter's name, at known owners. */
	rates_t rates;
	/* Loads that waited for a store permit when last heard of, and when. */
	uint32_t store_backlog;
	int64_t store_backlog_at_us;
	uint64_t seed; /* for PLACE_RANDOM */
} place_t;

typedef struct place_query {
	target_kind_t kind;
	str_t base;	      /* name of the base model or service */
	str_t adapter;	      /* "name@version"; empty: none needed */
	str_t name;	      /* of the adapter: rendezvous key */
	int64_t load_us;      /* time that a load of the adapter takes */
	uint64_t prefix_hash; /* rendezvous key where no adapter is needed */
	/* Chosen again only where no other target is available. */
	const target_id_t *tried;
	size_t n_tried;
	host_id_t self; /* this daemon's host */
	int64_t now_us;
} place_query_t;

typedef struct place_score {
	const target_t *target; /* points into the tables given */
	bool resident;		/* the adapter is there, or none is needed */
	bool loading;		/* the adapter loads there, or soon will */
	uint32_t home_rank;	/* position in the rendezvous order, from 0 */
	int64_t wait_us;  /* expected wait for requests that came earlier */
	int64_t stall_us; /* expected wait for the adapter to be loaded */
	double score;	  /* lower is better */
} place_score_t;

void place_init(place_t *p, const serve_cfg_t *cfg);
void place_free(place_t *p);
/* Takes in the load report of a target's owner. */
void place_apply_report(place_t *p, const Serve__Report *rep, int64_t now);
/* Notes how many loads wait for a permit of the weight store. */
void place_set_store_backlog(place_t *p, uint32_t store_backlog, int64_t now);
/*
 * Expected time until a load that is requested now ends: its own load_us and
 * the wait for a permit behind the backlog of the store.
 */
int64_t place_expected_load_us(place_t *p, int64_t load_us, int64_t now);
/*
 * Counts one request at an owner on this daemon; hash is the slot_hash() of the
 * adapter's name.
 */
void place_count_request(place_t *p, uint32_t hash, int64_t now);
/*
 * Expected stall that evicting an adapter from a target causes, in
 * microseconds: the expected load time multiplied by the chance that the
 * adapter is requested again soon, plus the waits of requests that arrive
 * during that load.
 * *redundant is set where another target that comes earlier in the adapter's
 * rendezvous order has it too; the cost is then only a fraction of that.
 * name is the adapter's name, hash the slot_hash() of "name@version".
 */
double place_evict_cost(place_t *p, str_t name, uint32_t hash,
			target_id_t target, int64_t load_us, int64_t now,
			bool *redundant);
/*
 * Whether a recent report says that the adapter with this slot_hash() is
 * resident on some target that takes new work.
 */
bool place_is_resident_anywhere(place_t *p, uint32_t hash, int64_t now);
/* What the platform's list, which may lag, says about the target. */
void place_set_listed_leaving(place_t *p, target_id_t target, bool leaving);
/* What the target itself says; reset when it restarts. */
void place_set_announced_leaving(place_t *p, target_id_t target, bool leaving);
/* Whether the list or the target itself says that it leaves. */
bool place_is_leaving(place_t *p, target_id_t target);
void place_set_lease_status(place_t *p, const lease_status_t *st);
void place_set_link_up(place_t *p, host_id_t host, bool up);
/* Whether the host has a session and its link is not down. */
bool place_is_host_live(place_t *p, host_id_t host);
/* Copies at most max hosts that have a session; returns how many there are. */
size_t place_live_hosts(place_t *p, host_id_t *out, size_t max);
/*
 * Writes the candidates with their scores, best first; returns how many, at
 * most max. A target whose owner is not live is no candidate.
 */
size_t place_candidates(place_t *p, const decided_t *d, const place_query_t *q,
			place_score_t *out, size_t max);
/*
 * The best candidate, or NULL where there is none. Counts the request as sent
 * there.
 */
const target_t *place_pick(place_t *p, const decided_t *d,
			   const place_query_t *q);
/*
 * Whether a target that was not tried yet could serve the request, but is not
 * available now: its owner is not live or not active, or it is leaving.
 */
bool place_has_unavailable_match(place_t *p, const decided_t *d,
				 const place_query_t *q);
/* Whether some target could serve the request if it were available. */
bool place_has_match(place_t *p, const decided_t *d, const place_query_t *q);

#ifdef __cplusplus
}
#endif
#endif
