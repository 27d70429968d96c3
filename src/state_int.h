/*
 * state_int.h - internals of the state core, included only by state.c,
 * state_log.c, state_lead.c and state_hold.c. The caller of any function here holds the
 * core's lock.
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

/* Most answered renewals whose log index is still to be applied here. */
#define CONFIRMATIONS_MAX 8u
/* A feed parent that is silent or makes no progress for so long is replaced. */
#define FEED_PARENT_TIMEOUT_HEARTBEATS 11

/*
 * A session renewal that the leader answers once a quorum has confirmed that it
 * still led after the renewal arrived. Fields without a comment are copied from
 * Peer__Renew.
 */
typedef struct pending_renewal {
	host_id_t from;	     /* the sender */
	int64_t received_us; /* on the leader's clock */
	uint64_t session;
	uint64_t sent_us; /* on the sender's clock */
	uint64_t live_version;
	uint32_t feed_try;
	bool feed; /* the sender has no log and needs a feed parent */
} pending_renewal_t;

/* A host that asked for the leader while this one knew none. */
typedef struct seeker {
	host_id_t host;
	uint64_t session; /* of its renewal, as is sent_us */
	uint64_t sent_us;
} seeker_t;

typedef struct feed_position {
	host_id_t host;
	size_t feed_position; /* index into state.feed_order */
} feed_position_t;

/*
 * The leader's answer to one of this daemon's renewals. It extends the lease
 * once this daemon has applied the log up to lease_index, and the time for which
 * its tables count as fresh once it has applied the log up to fresh_index. Both
 * extensions count from sent_us.
 */
typedef struct confirmation {
	int64_t sent_us; /* when the renewal was sent; 0: unused slot */
	uint64_t fresh_index;
	uint64_t lease_index;
} confirmation_t;

struct state {
	pthread_mutex_t lock;
	state_cfg_t cfg;
	host_id_t *first_voters; /* owned; voters of a new log */
	host_id_t *seeds;	 /* owned; see state_set_seeds() */
	size_t n_seeds;
	state_ops_t ops;
	void *ctx;
	timer_svc_t *timers;
	timer_sub_t timer;
	uint64_t session; /* random id of this start of the process */

	machine_t *machine; /* never goes back; feed_index(feed) is its place */
	/*
	 * What a log that was reopened has applied so far: takes the place of
	 * machine once it has caught up with it. NULL otherwise.
	 */
	machine_t *replay;
	uint64_t replay_feed_index; /* of the latest feed entry in replay */
	decided_t *tables;	    /* in force; one reference */
	bool tables_dirty; /* the machine's tables may differ from these */
	rlog_t *rlog;	   /* NULL without a disk, or once the disk failed */
	wal_err_t log_error;
	int64_t reopen_due_us; /* next try to reopen the failed disk */
	feed_t *feed;
	forward_t *forward;
	intake_t *intake;
	sessions_t *sessions;
	buf_t loopback; /* messages to itself, each a size_t and the bytes */

	/* As the leader. */
	bool leading;
	uint64_t last_led_term; /* latest term that this process led */
	/*
	 * This host has led no term above this one. After a restart it is the
	 * term found on disk, as an earlier process may have led that.
	 */
	uint64_t led_term_max;
	/*
	 * Log time, in milliseconds, counts from the moment at which this
	 * host's clock showed log_clock_base_us; valid once log_clock_set.
	 */
	bool log_clock_set;
	int64_t log_clock_base_us;
	pending_renewal_t *pending_renewals; /* in order of arrival */
	size_t n_pending_renewals;
	size_t cap_pending_renewals;
	int64_t flush_due_us;  /* when to append the gathered requests */
	int64_t assign_due_us; /* when to look for targets to assign */
	uint64_t assign_index; /* latest assignment entry; may be uncommitted */
	/* Assign again even if neither tables nor live hosts have changed. */
	bool assign_again;
	/* Tables and live hosts that the latest assignment was made from. */
	uint64_t assigned_tables_index;
	uint64_t assigned_live_version;
	uint64_t applying_index; /* log index of the entry being applied */
	host_id_t *feed_order;	 /* live hosts, see build_feed_order() */
	feed_position_t *feed_positions; /* the same, ascending by host */
	size_t n_feed_order;
	uint64_t feed_order_version; /* sessions_live_version() of feed_order */
	int64_t announce_due_us;     /* when to tell seeds about this leader */

	/* As the holder of a session. */
	host_id_t leader; /* receives the renewals; 0: unknown */
	uint64_t leader_term;
	int64_t lease_until_us;
	int64_t tables_fresh_until_us; /* tables may be used for new requests */
	int64_t tables_confirmed_us;   /* tables hold all decided before then */
	confirmation_t confirmations[CONFIRMATIONS_MAX];
	/*
	 * When every confirmation was last applied, or when another feed parent
	 * was last requested because some were not.
	 */
	int64_t behind_since_us;
	int64_t renew_due_us;
	int64_t last_renew_us;
	int64_t last_answer_us;
	uint32_t seek_attempts;	  /* renewals sent while no leader answered */
	uint64_t grant;		  /* from the leader; see session.h */
	uint32_t feed_try;	  /* as Renew.feed_try in proto/state.proto */
	bool leaving;		  /* state_leave() was called */
	uint64_t idle_term;	  /* as passed to state_leave() */
	int64_t hand_over_due_us; /* when to ask the next voter to lead */
	bool live_hosts_told;	  /* that this host leads the current term */
	seeker_t *seekers;	  /* owned */
	size_t n_seekers;
	uint32_t hand_over_attempts;
	/* The term that begins with a handover by an idle leader; 0: none. */
	uint64_t idle_handover_term;
	bool not_member;
	host_id_t *live; /* hosts with a session, ascending */
	size_t n_live;
	uint64_t live_version;	 /* the leader's sessions_live_version() */
	bool lease_status_dirty; /* the lease status is to be reported */
};

static inline int64_t min_us(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* state.c */

void state_send(state_t *st, host_id_t to, Peer__Msg__BodyCase which,
		void *body);
/* Puts the machine's tables into force and reports them if they changed. */
void state_publish(state_t *st);
/*
 * Whether the tables come from the feed: there is no log, or one that was reopened
 * has not caught up yet.
 */
bool state_uses_feed(const state_t *st);
/* Asks the leader for another feed parent; ctx is the state_t. */
void state_request_feed_parent(void *ctx);

/* As rlog_ops_t.send and feed_ops_t.send; ctx is the state_t. */
void state_send_msg(void *ctx, host_id_t to, const Peer__Msg *msg);

/* state_log.c: decided entries, from the log and from the feed. */

/* 0, or -1 with *err where the log cannot be used; a host without a disk has none. */
int state_open_log(state_t *st, wal_t *wal, int64_t now_us, wal_err_t *err);
/* Tries to open the disk that failed again, if that is due. */
void state_reopen_log(state_t *st, int64_t now_us);
/* Adopts the role, term and leader of the log; gives up a log that failed. */
void state_follow_log(state_t *st, int64_t now_us);
/* As feed_ops_t.apply, save and load. */
int state_feed_apply(void *ctx, uint64_t index, entry_kind_t kind, str_t data);
void state_feed_save(void *ctx, buf_t *out);
int state_feed_load(void *ctx, uint64_t index, str_t bytes);

/* state_lead.c: the work of the leader for all daemons. */

/* Tells the hosts that asked for the leader, now that one is known. */
void state_answer_seekers(state_t *st);

void state_lead_begin(state_t *st, int64_t now_us);
void state_lead_end(state_t *st);
void state_lead_tick(state_t *st, int64_t now_us);
void state_on_renew(state_t *st, host_id_t from, const Peer__Renew *r,
		    int64_t now_us);
void state_on_propose(state_t *st, host_id_t from, const Peer__Propose *p,
		      int64_t now_us);
/*
 * Asks a voter to lead, if this leader shuts down; asks another one where the
 * first does not. Returns when to call it again.
 */
int64_t state_hand_over(state_t *st, int64_t now_us);
/*
 * Asks a voter to lead; false if none can. idle: no work that this host began
 * as leader is outstanding.
 */
bool state_ask_successor(state_t *st, bool idle, int64_t now_us);

/* state_hold.c: the work of each daemon to keep its own session. */

void state_send_renew(state_t *st, int64_t now_us);
void state_on_renew_res(state_t *st, host_id_t from, const Peer__RenewRes *r,
			int64_t now_us);
void state_apply_confirmations(state_t *st, int64_t now_us);
/*
 * Adopts the leader of a term unless a later term is known; if it is another
 * leader, the next renewal goes to it at next_renew_us.
 */
void state_set_leader(state_t *st, host_id_t leader, uint64_t term,
		      int64_t next_renew_us);
void state_check_feed_progress(state_t *st, int64_t now_us);
void state_report_lease_status(state_t *st, int64_t now_us);
/* Returns the leader to send requests to; 0 if none is known to lead. */
host_id_t state_leader_for_requests(const state_t *st, int64_t now_us);

#endif
