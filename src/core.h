/*
 * core.h - inside of the serving core, shared by serve.c (shards, messages,
 * leading), entry.c (requests accepted here) and owner.c (targets owned here).
 *
 * A shard holds entries (by request handle) and owners (by target) under one
 * lock. Parts of different shards and daemons talk only by messages; one for
 * this daemon goes to the mailbox of its shard. Lock order: at most one shard
 * lock, then leaf locks (mailbox, place, limits, timer service).
 */
#ifndef DK_CORE_H
#define DK_CORE_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <urcu/list.h>

#include "limit.h"
#include "pb.h"
#include "permit.h"
#include "place.h"
#include "serve.h"
#include "serve.pb-c.h"

#define SERVE_SHARDS 8u
/* The last shard holds no entries or owners, but what the leader decides. */
#define LEAD_SHARD SERVE_SHARDS

typedef Serve__ServeMsg serve_msg_t;

typedef struct shard {
	serve_t *s;
	uint32_t index;
	pthread_mutex_t lock;
	pthread_mutex_t mail_lock;
	struct cds_list_head mail; /* mail_t, oldest first */
	timer_sub_t timer;
	decided_t *tables;	      /* one reference */
	lease_status_t lease_status;  /* without the live hosts */
	struct cds_list_head entries; /* entry_t, in order of acceptance */
	GHashTable *by_handle;	      /* handle -> entry_t */
	struct cds_list_head owners;  /* owner_t, ascending by target */
	GHashTable *orders;	      /* order id -> order_t, see owner.c */
} shard_t;

struct serve {
	serve_cfg_t cfg; /* strings owned */
	serve_ops_t ops;
	void *ctx;
	timer_svc_t *timers;
	uint64_t epoch; /* of this process, in request references */
	shard_t shards[SERVE_SHARDS + 1];
	atomic_uint dirty; /* bit of each shard with mail */
	atomic_uint_fast64_t next_order;
	place_t place;
	limits_t limits;
	atomic_bool draining;
	atomic_int_fast64_t refuse_from_us; /* draining: new requests */
	atomic_uint n_entries;
	atomic_uint n_runs; /* on targets owned here */
	/* Under the lead shard's lock. */
	bool leading;
	permits_t permits;
	share_pool_t pool;
	int64_t next_demand_us;
	int64_t asked_us; /* when the last demand was sent */
	GHashTable *told; /* hosts that told their permits this term */
	/* This daemon's telling of the present leader; lease_status's thread. */
	int64_t tell_until_us, tell_next_us;
};

static inline int64_t core_now(const serve_t *s)
{
	return timer_svc_now(s->timers);
}

/* Sends a message to a serving core, also to this one; for the shard given. */
void core_send(serve_t *s, host_id_t to, serve_msg_t *msg);
/* Calls the shard's tick no later than at_us. */
void core_due(shard_t *sh, int64_t at_us);
/* The tables that the shard's parts go by; NULL before the first. */
shard_t *core_target_shard(serve_t *s, target_id_t target);

/* entry.c; all under the shard's lock */
void entries_init(shard_t *sh);
void entries_free(shard_t *sh);
void entry_submit(shard_t *sh, const serve_req_t *req);
void entry_cancel(shard_t *sh, uint64_t handle);
void entry_claimed(shard_t *sh, const claim_result_t *res);
void entry_refused(shard_t *sh, host_id_t from, const Serve__Refused *m);
void entry_head(shard_t *sh, host_id_t from, const Serve__Head *m);
void entry_chunk(shard_t *sh, host_id_t from, const Serve__Chunk *m);
void entry_done(shard_t *sh, host_id_t from, const Serve__Done *m);
/* Something that placement depends on has changed. */
void entries_review(shard_t *sh);
void entries_host_lost(shard_t *sh, host_id_t host);
int64_t entries_tick(shard_t *sh, int64_t now);

/* Splits "name@version"; the version is 0 where none is named. */
int model_parse(str_t model, str_t *name, uint32_t *version);
/* Fills a query for a model; REASON_NONE or why it cannot be served. */
reason_t model_query(const decided_t *d, str_t model, place_query_t *q,
		     buf_t *adapter);

/* owner.c; all under the shard's lock */
void owners_init(shard_t *sh);
void owners_free(shard_t *sh);
void owners_tables(shard_t *sh);
void owners_standing(shard_t *sh);
void owner_submit(shard_t *sh, host_id_t from, const Serve__Submit *m);
void owner_cancel(shard_t *sh, host_id_t from, const Serve__Cancel *m);
void owner_granted(shard_t *sh, const Serve__PermitGrant *m);
void owner_event(shard_t *sh, const engine_event_t *ev);
void owner_hint(shard_t *sh, target_id_t target);
void owners_host_lost(shard_t *sh, host_id_t host);
/* Tells a new leader which permits are in use, and asks again. */
void owners_tell_permits(shard_t *sh);
int64_t owners_tick(shard_t *sh, int64_t now);
bool owners_idle(shard_t *sh);
void owners_status(shard_t *sh, buf_t *json, bool *first);

#endif
