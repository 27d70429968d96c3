/*
 * core.h - internals of the serving core, shared by its source files: serve.c
 * (shards, messages, the leader's duties), entry.c (requests that this daemon
 * accepted), and owner.c, load.c and run.c (targets that this daemon owns).
 *
 * A shard holds entries (one for each accepted request, by its handle) and
 * owners (one for each owned target) under one lock. Entries and owners of
 * different shards or daemons communicate only by messages; a message to this
 * daemon is put into the mailbox of the shard that it is for. Lock order: a
 * thread holds at most one shard lock, and takes the leaf locks (mailbox,
 * place, limits, lost targets, timer service) after it.
 */
#ifndef DK_CORE_H
#define DK_CORE_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <urcu/list.h>

#include "limit.h"
#include "lost_targets.h"
#include "pb.h"
#include "permit.h"
#include "place.h"
#include "serve.h"
#include "serve.pb-c.h"

#define SERVE_SHARDS 8u
/* The last shard has no entries or owners; its lock guards leader state. */
#define LEADER_SHARD SERVE_SHARDS

typedef Serve__ServeMsg serve_msg_t;

typedef struct shard {
	serve_t *s;
	uint32_t index;
	pthread_mutex_t lock;
	pthread_mutex_t mailbox_lock;
	struct cds_list_head mailbox; /* shard_msg_t, oldest first */
	timer_sub_t timer;
	decided_t *tables;	      /* holds one reference; NULL at first */
	lease_status_t lease_status;  /* live is always NULL */
	struct cds_list_head entries; /* entry_t, in order of acceptance */
	GHashTable *by_handle;	      /* handle -> entry_t */
	struct cds_list_head owners;  /* owner_t, by ascending target id */
	GHashTable *orders;	      /* order id -> order_t; see owner.c */
} shard_t;

struct serve {
	serve_cfg_t cfg; /* strings owned */
	serve_ops_t ops;
	void *ctx;
	timer_svc_t *timers;
	/* Differs for each process; part of the references to its requests. */
	uint64_t epoch;
	shard_t shards[SERVE_SHARDS + 1];
	atomic_uint
		shards_with_mail; /* bit i is set while shard i may have mail */
	atomic_uint_fast64_t next_order_id;
	place_t place;
	limits_t limits;
	lost_targets_t *lost_targets;
	atomic_bool draining;
	/* New requests are refused from this time on, once draining. */
	atomic_int_fast64_t refuse_from_us;
	atomic_uint n_entries;
	atomic_uint n_runs; /* requests that run on targets owned here */
	/* Guarded by the lock of the leader's shard. */
	bool leading;
	permits_t permits;
	share_pool_t share_pool;
	int64_t next_share_ask_us; /* when to next ask for shares of the limits */
	int64_t share_asked_us; /* when the last request for limit shares was sent */
	/* Hosts that reported their permits to this leader in this term. */
	GHashTable *permit_reporters;
	/*
	 * Until when this daemon repeats the report of its permits to a new
	 * leader, and when the next report is due. Used only by the thread that
	 * passes in the lease status.
	 */
	int64_t permit_reports_until_us, next_permit_report_us;
};

static inline int64_t core_now(const serve_t *s)
{
	return timer_svc_now(s->timers);
}

/*
 * Sends a copy of msg to the serving core of a host, which may be this one; it
 * reaches the shard that its body is for. Does nothing where to is 0.
 */
void core_send(serve_t *s, host_id_t to, serve_msg_t *msg);
/* Has the shard's tick run at at_us or earlier; does nothing for INT64_MAX. */
void core_arm_timer(shard_t *sh, int64_t at_us);
/* The shard that holds the owner of a target. */
shard_t *core_target_shard(serve_t *s, target_id_t target);

/* entry.c; callers hold the shard's lock. */
void entries_init(shard_t *sh);
void entries_free(shard_t *sh);
void entry_submit(shard_t *sh, const serve_req_t *req);
void entry_cancel(shard_t *sh, uint64_t handle);
void entry_claim_result(shard_t *sh, const claim_result_t *res);
void entry_refused(shard_t *sh, host_id_t from, const Serve__Refused *m);
void entry_head(shard_t *sh, host_id_t from, const Serve__Head *m);
void entry_chunk(shard_t *sh, host_id_t from, const Serve__Chunk *m);
void entry_done(shard_t *sh, host_id_t from, const Serve__Done *m);
/*
 * Tries again to place the entries that wait for a target. Called after a
 * change that placement depends on.
 */
void entries_retry_placement(shard_t *sh);
void entries_host_lost(shard_t *sh, host_id_t host);
int64_t entries_tick(shard_t *sh, int64_t now);

/*
 * Splits "name@version"; the version is 0 where none is named. Returns 0, or
 * -1 where the text is malformed.
 */
int model_parse(str_t model, str_t *name, uint32_t *version);
/*
 * Fills the placement query for a model. Returns REASON_NONE, or why the model
 * cannot be served. The query points into *adapter ("name@version") and d.
 */
reason_t model_query(const decided_t *d, str_t model, place_query_t *q,
		     buf_t *adapter);

/* owner.c, load.c and run.c; callers hold the shard's lock. */
void owners_init(shard_t *sh);
void owners_free(shard_t *sh);
void owners_tables_changed(shard_t *sh);
void owners_lease_status_changed(shard_t *sh);
void owner_submit(shard_t *sh, host_id_t from, const Serve__Submit *m);
void owner_cancel(shard_t *sh, host_id_t from, const Serve__Cancel *m);
void owner_permit_granted(shard_t *sh, const Serve__PermitGrant *m);
void owner_engine_event(shard_t *sh, const engine_event_t *ev);
void owner_target_hint(shard_t *sh, target_id_t target);
void owners_host_lost(shard_t *sh, host_id_t host);
/*
 * Reports the permits in use to a new leader, and repeats the requests for
 * permits that have not been granted.
 */
void owners_report_permits(shard_t *sh);
int64_t owners_tick(shard_t *sh, int64_t now);
bool owners_idle(shard_t *sh);
void owners_status(shard_t *sh, buf_t *json, bool *first);

#endif
