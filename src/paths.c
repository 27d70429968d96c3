/*
 * paths.c - which hosts reach runners, as the ends of their places tell: a path that is
 * lost must not be charged to the runner at its end, which serves other hosts.
 */
#include "dispatch_int.h"

#include <stdlib.h>

#include "counter.h"

/* Runners that a host has lost, without hearing from any, if it is cut off. */
#define LOST_MIN 2u
/* It counts as cut off only while others have heard from a runner within this time. */
#define OTHERS_HEARD_US (1 * USEC_PER_SEC)
/* A host is a good way for others if it has heard from a runner within this time. */
#define GOOD_PATH_US (3 * USEC_PER_SEC)
/* Hosts looked at for a way. */
#define VIA_SAMPLES 8u

/* What the ends of a host's places tell of its paths. */
typedef struct host_path {
	host_id_t host;
	uint64_t zone;	  /* hash of its failure domain; 0: not known */
	int64_t heard_us; /* from any runner, last */
	/* Hashes of runners that it has lost since. */
	uint64_t lost[LOST_MIN];
	uint32_t n_lost;
} host_path_t;

struct paths {
	GHashTable *by_host; /* host id -> host_path_t */
	GPtrArray *all;	     /* the same, in no order */
	/* The host that heard last, and the last one before it that is another. */
	host_id_t heard_host, other_host;
	int64_t heard_us, other_us;
};

paths_t *paths_new(void)
{
	paths_t *p = xcalloc(1, sizeof(*p));

	p->by_host = g_hash_table_new_full(NULL, NULL, NULL, free);
	p->all = g_ptr_array_new();
	return p;
}

void paths_free(paths_t *p)
{
	g_hash_table_destroy(p->by_host);
	g_ptr_array_free(p->all, TRUE);
	free(p);
}

void paths_clear(paths_t *p)
{
	g_ptr_array_set_size(p->all, 0);
	g_hash_table_remove_all(p->by_host);
	p->heard_host = p->other_host = 0;
	p->heard_us = p->other_us = 0;
}

void paths_host_lost(paths_t *p, host_id_t host)
{
	host_path_t *h =
		g_hash_table_lookup(p->by_host, GUINT_TO_POINTER(host));

	if (!h)
		return;
	g_ptr_array_remove_fast(p->all, h);
	g_hash_table_remove(p->by_host, GUINT_TO_POINTER(host));
}

static host_path_t *get_path(paths_t *p, host_id_t host)
{
	host_path_t *h =
		g_hash_table_lookup(p->by_host, GUINT_TO_POINTER(host));

	if (h)
		return h;
	h = xcalloc(1, sizeof(*h));
	h->host = host;
	g_hash_table_insert(p->by_host, GUINT_TO_POINTER(host), h);
	g_ptr_array_add(p->all, h);
	return h;
}

void paths_on_heard(dispatch_t *d, host_id_t host, runner_t *r, int64_t now_us)
{
	paths_t *p = d->paths;
	host_path_t *h = get_path(p, host);

	r->heard_us = now_us;
	h->heard_us = now_us;
	h->n_lost = 0;
	if (host != p->heard_host) {
		p->other_host = p->heard_host;
		p->other_us = p->heard_us;
	}
	p->heard_host = host;
	p->heard_us = now_us;
}

static void note_lost(host_path_t *h, const runner_t *r)
{
	uint64_t key = hash_bytes(r->id.p, r->id.n, 0);

	for (uint32_t i = 0; i < h->n_lost; i++)
		if (h->lost[i] == key)
			return;
	if (h->n_lost < LOST_MIN)
		h->lost[h->n_lost++] = key;
}

/* Whether a host other than this one has heard from a runner lately. */
static bool others_hear(const paths_t *p, host_id_t host, int64_t now_us)
{
	int64_t last_us = p->heard_host != host ? p->heard_us : p->other_us;

	return last_us && now_us - last_us < OTHERS_HEARD_US;
}

static bool is_cut_off(const paths_t *p, const host_path_t *h, int64_t now_us)
{
	return h->n_lost >= LOST_MIN && others_hear(p, h->host, now_us);
}

bool paths_is_to_blame(dispatch_t *d, host_id_t host, const runner_t *r,
		       place_outcome_t outcome, int64_t granted_us,
		       int64_t now_us)
{
	host_path_t *h = get_path(d->paths, host);
	bool to_blame;

	note_lost(h, r);
	to_blame = is_cut_off(d->paths, h, now_us) ||
		   (outcome == PLACE_UNREACHABLE && r->heard_us > granted_us);
	if (to_blame)
		counter_add(CTR_PATHS_BLAMED, 1);
	return to_blame;
}

void paths_on_by_peer(dispatch_t *d, host_id_t host, runner_t *r,
		      int64_t now_us)
{
	host_path_t *h = get_path(d->paths, host);

	r->heard_us = now_us;
	h->n_lost = LOST_MIN;
}

static uint64_t zone_key(str_t zone)
{
	return zone.n ? hash_bytes(zone.p, zone.n, 0) : 0;
}

void paths_on_ask(dispatch_t *d, host_id_t host, str_t zone)
{
	get_path(d->paths, host)->zone = zone_key(zone);
}

host_id_t paths_choose_via(const dispatch_t *d, host_id_t host, uint64_t seed,
			   const runner_t *r, int64_t now_us)
{
	const GPtrArray *all = d->paths->all;
	uint64_t zone = zone_key(r->zone);
	host_id_t found = 0;

	for (uint32_t i = 0; i < VIA_SAMPLES && all->len; i++) {
		uint64_t at = hash_bytes(&i, sizeof(i), seed) % all->len;
		const host_path_t *h = g_ptr_array_index(all, at);

		if (h->host == host || h->n_lost >= LOST_MIN ||
		    now_us - h->heard_us > GOOD_PATH_US)
			continue;
		/* The dispatcher's own host has enough to do. */
		if (h->zone == zone && h->host != d->cfg.self)
			return h->host;
		if (!found || found == d->cfg.self)
			found = h->host;
	}
	return found;
}
