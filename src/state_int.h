/*
 * state_int.h - shared by the files of the state core, and by nothing else.
 * All functions need the core's lock.
 */
#ifndef DK_STATE_INT_H
#define DK_STATE_INT_H

#include "state.h"

#include "assign.h"
#include "feed.h"
#include "forward.h"
#include "machine.h"
#include "rlog.h"
#include "session.h"

#include <pthread.h>

/* Renewals whose confirmed index is not applied yet. */
#define CONFIRMS 8u
#define FEED_SILENT_HEARTBEATS 11

typedef struct held_renewal {
	host_id_t from;
	int64_t arrived_us;
	uint64_t session;
	uint64_t sent_us;
	uint64_t live_version;
	uint32_t feed_try;
	bool feed;
} held_renewal_t;

typedef struct place {
	host_id_t host;
	size_t place;
} place_t;

/* An answered renewal, until what it asks for is in force here. */
typedef struct confirm {
	int64_t sent_us;      /* 0: unused */
	uint64_t fresh_index; /* for freshness */
	uint64_t lease_index; /* for the lease */
} confirm_t;

struct state {
	pthread_mutex_t lock;
	state_cfg_t cfg;
	host_id_t *first_voters; /* owned */
	host_id_t *seeds;	 /* owned; asked for the leader */
	size_t n_seeds;
	state_ops_t ops;
	void *ctx;
	timer_svc_t *timers;
	timer_sub_t timer;
	uint64_t session; /* nonce of this start */

	machine_t *machine;
	decided_t *tables; /* in force; one reference */
	bool tables_dirty;
	rlog_t *rlog; /* NULL without disk, or once it has failed */
	wal_err_t log_error;
	int64_t reopen_due_us; /* of the disk that failed; INT64_MAX: never */
	feed_t *feed;
	forward_t *forward;
	intake_t *intake;
	sessions_t *sessions;
	buf_t loopback; /* messages to itself: length, bytes */

	/* Leader. */
	bool leading;
	uint64_t leading_term; /* latest that this process led */
	uint64_t led_term;     /* latest that this host may have led */
	bool clock_set;
	int64_t clock_base_us; /* cluster time 0 on the own clock */
	held_renewal_t *held;
	size_t n_held;
	size_t cap_held;
	int64_t flush_due_us;
	int64_t assign_due_us;
	uint64_t assign_index; /* of the latest assignment, may be undecided */
	bool assign_waits;     /* something hangs on time or on an owner */
	uint64_t assigned_index; /* tables and live hosts looked at last */
	uint64_t assigned_version;
	uint64_t sink_index; /* record being applied */
	host_id_t *order;    /* live hosts in the order of the feed tree */
	place_t *places;     /* of the same hosts, ascending by host */
	size_t n_order;
	uint64_t order_version;
	int64_t tell_due_us; /* of seeds without a session */

	/* Holder of a session. */
	host_id_t leader; /* whom renewals go to; 0: seek */
	uint64_t leader_term;
	int64_t lease_until_us;
	int64_t tables_fresh_until_us;
	int64_t tables_confirmed_us;
	confirm_t confirms[CONFIRMS];
	int64_t behind_since_us;
	int64_t renew_due_us;
	int64_t last_renew_us;
	int64_t last_answer_us;
	uint32_t seek;
	uint64_t grant; /* by the leader; see session.h */
	uint32_t feed_try;
	bool left;
	bool leave_answered;
	bool not_member;
	host_id_t *live;
	size_t n_live;
	uint64_t live_version;
	bool lease_status_dirty;
};

static inline int64_t min_us(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* state.c */

void state_send(state_t *st, host_id_t to, Peer__Msg__BodyCase which,
		void *body);
/* Hands out the machine's tables where they have changed. */
void state_publish(state_t *st);
bool state_has_log(const state_t *st);
/* Asks the leader for another feed parent; ctx is the state. */
void state_orphaned(void *ctx);

/* state_lead.c: what the leader does for all daemons. */

void state_lead_begin(state_t *st, int64_t now_us);
void state_lead_end(state_t *st);
void state_lead_tick(state_t *st, int64_t now_us);
void state_on_renew(state_t *st, host_id_t from, const Peer__Renew *r,
		    int64_t now_us);
void state_on_propose(state_t *st, host_id_t from, const Peer__Propose *p,
		      int64_t now_us);

/* state_hold.c: what each daemon does to keep its session. */

void state_send_renew(state_t *st, int64_t now_us);
void state_on_renew_res(state_t *st, host_id_t from, const Peer__RenewRes *r,
			int64_t now_us);
void state_settle_confirms(state_t *st, int64_t now_us);
void state_set_leader(state_t *st, host_id_t leader, uint64_t term,
		      int64_t now_us);
void state_look_at_feed(state_t *st, int64_t now_us);
void state_report_lease_status(state_t *st, int64_t now_us);
/* The leader that requests may be sent to; 0 where none is known to lead. */
host_id_t state_leader_for_requests(const state_t *st, int64_t now_us);

#endif
