/*
 * gateway_int.h - internals of the gateway, shared by gateway.c (requests of
 * callers), places.c (places at targets), attempt.c (one attempt at one target), stop.c
 * (runs that nobody waits for), relay.c (responses of targets), streams.c (which streams
 * may go on where), crashes.c (targets that end under a request) and named_limits.c
 * (limits of runners). No other file includes it.
 */
#ifndef DK_GATEWAY_INT_H
#define DK_GATEWAY_INT_H

#include "event_gaps.h"
#include "gateway.h"
#include "holdoff.h"

/*
 * Most places that one request asks the dispatcher for, including those at
 * targets that did not run it. An Ask that is sent again does not count.
 */
#define ASKS_MAX 4u

/* Time before the deadline that is reserved for sending to the target. */
#define SEND_MARGIN_US (20 * USEC_PER_MSEC)

/* X(NAME, "name"), in the order in which a request goes through them. */
#define REQUEST_STATES(X)                                                      \
	X(READING_BODY, "reading")                                             \
	X(AWAITING_GRANT, "asking")                                            \
	X(CONNECTING, "connecting") /* a place was granted */                  \
	X(SENT, "sent")		    /* no response byte went to the caller */  \
	X(RELAYING, "relaying")	    /* the response head went to the caller */ \
	X(DONE, "over")

/* Reports of crashes kept. */
#define CRASH_REPORTS_MAX 32u
/* Answered requests kept, and parts, in a direct-mapped table each. */
#define ANSWERED_MAX 256u
/* Limits of runners kept. */
#define NAMED_LIMITS_MAX 64u

typedef enum request_state {
#define X(name, text) REQUEST_##name,
	REQUEST_STATES(X)
#undef X
} request_state_t;

/* How an attempt ended that gave no response for the caller. */
typedef struct attempt_end {
	place_outcome_t outcome; /* as the dispatcher is told */
	bool sent;		 /* something may have reached the target */
	reason_t reason;	 /* for the caller, if there is no retry */
} attempt_end_t;

typedef struct request {
	struct cds_list_head node;
	gateway_t *gw;
	struct caller *caller; /* NULL once the caller has gone */
	request_state_t state;
	manifest_t *manifest; /* in force when the request arrived */
	const route_t *route;
	const organisation_t *org; /* of the caller; NULL: none is needed */
	const service_t *service;
	buf_t head_text; /* holds the bytes that info, method, target view */
	request_info_t info;
	str_t method;
	str_t target;		/* of the request line */
	buf_t forwarded_fields; /* header lines for the target, formatted */
	bool has_body;
	buf_t body;
	/* Alike for all requests with the same method, target, caller and body. */
	uint64_t digest;
	int64_t arrived_us;
	/* When the caller stops waiting or the route's timeout ends. */
	int64_t deadline_us;
	timer_sub_t timer;

	/* Asking the dispatcher for a place. */

	/* Id of the Ask under way or of the place granted; 0: neither. */
	uint64_t ask_id;
	int64_t first_asked_us; /* when the Ask was sent first */
	int64_t asked_us;	/* when it was sent last */
	int64_t granted_us;	/* when the last Grant was read */
	bool ask_acked; /* the dispatcher replied that the request waits */
	int64_t ask_deadline_us; /* refused if there is no grant by then */
	uint32_t n_asks; /* places asked for, including that of ask_id */
	uint32_t n_possible_runs; /* attempts that may have run it */
	str_t avoid[ASKS_MAX];	  /* owned: runners not to be granted again */
	size_t n_avoid;

	/* The attempt under way. */

	str_t runner; /* owned: id of the runner that was granted */
	str_t addr;   /* owned: its address */
	str_t build;  /* owned: version of its software; empty: unknown */
	uint64_t adapter_version;
	/* Term of the dispatcher; 0: granted by this daemon, in isolation. */
	uint64_t grant_term;
	bool grant_limited; /* the dispatcher knows a limit of the runner */
	host_id_t via; /* another host that reaches runners; 0: none is known */
	http1_conn_t *conn;
	bool by_peer; /* conn is by way of it */
	/* A second try to connect, while conn has not; NULL: none. */
	http1_conn_t *spare;
	bool spare_by_peer;
	bool tried_both; /* a connection of this host's own, and one by a peer */
	int64_t connect_again_us; /* when to begin it; INT64_MAX: never */
	int64_t sent_us;
	/*
	 * Of the latest response; status 0: there is none. Its fields are valid
	 * only while the head is handled.
	 */
	http1_head_t response_head;
	buf_t head_out; /* status line and fields not sent to the caller yet */
	/*
	 * Response body not sent to the caller yet: the incomplete event at
	 * the end of a stream, or all of a small response.
	 */
	buf_t body_out;
	bool wrong_request;	 /* the response names another request */
	uint32_t n_strays;	 /* such responses on this connection */
	size_t stray_bytes;	 /* of their bodies */
	bool named;		 /* the response names this request */
	bool leaving;		 /* the target said that it shuts down */
	uint32_t rejections_max; /* as in response_info_t */
	bool body_started;	 /* a byte of the response body has come */
	int64_t body_started_us; /* when */
	/* A target has ended as it was about to answer this request. */
	bool target_ended;
	bool chunked; /* towards the caller */
	/* How the target's connection ended; NULL: this daemon closed it. */
	const char *target_close;
	bool event_relayed; /* the response has brought a complete event */
	/* The caller has got the start of an event, but not its end. */
	bool event_open;
	/* Of the event inside which the response has ended. */
	size_t unfinished_bytes;
	/* Of body_out and fallback_response, as counted in the gateway. */
	size_t held_bytes;
	/* Complete 5xx response, sent where no later attempt does better. */
	buf_t fallback_response;
	/* Of the target's response that the caller has got, or of the fallback. */
	int relayed_status;
	int64_t first_byte_after_us; /* from arrival to the first body byte */
	int64_t last_byte_us;	     /* when bytes of the response last came */
	int64_t longest_pause_us;    /* between two pieces of a stream */
	event_gaps_t event_gaps;     /* of the attempt's stream */
	/* The target is not read now, as the caller reads too slowly. */
	bool held_back;
	bool was_held_back; /* at some time of this attempt */

	/* Over all attempts of a stream. */

	bool head_sent;	    /* to the caller */
	bool event_stream;  /* the type that its head tells */
	bool have_event_id; /* last_event_id is set */
	/* An event was sent to the caller in pieces: no resumption. */
	bool event_split;
	uint64_t last_event_id; /* of the last event sent to the caller */
	/* Of the stream that the request begins or takes up; 0: neither. */
	uint64_t stream_key;
	/*
	 * Owned: the software version that began the stream, set from the first
	 * byte of its body on; empty: not known. No other one may go on with it.
	 */
	str_t stream_build;
} request_t;

/* The connection of a caller. */
typedef struct caller {
	gateway_t *gw;
	http1_conn_t *conn;
	request_t *req; /* under way; NULL: none */
	bool may_reuse; /* the caller wants to use the connection again */
	bool refused;	/* the refusal was sent, the request's end not read */
	/* Node of gateway.held; empty: the connection is being read. */
	struct cds_list_head held;
	int64_t held_until_us;
} caller_t;

/* A target that ended as it was about to answer a request of this daemon. */
typedef struct crash_report {
	str_t runner; /* owned; empty: none */
	int64_t at_us;
	uint64_t parts[PROMPT_PARTS_MAX]; /* that other prompts may share */
	uint32_t n_parts;
	uint64_t own_part; /* 0: the request has no prompt */
	uint64_t digest;
} crash_report_t;

/* A request that was answered at this daemon, or a shared part of its prompt. */
typedef struct answered {
	uint64_t id;   /* the digest, or that of the part */
	int64_t at_us; /* 0: none */
} answered_t;

/* The limit that a runner named last in a response to this daemon. */
typedef struct named_limit {
	str_t runner; /* owned; empty: none */
	double per_s; /* requests */
	int64_t at_us;
} named_limit_t;

/* Targets that this host has lost without hearing from any, if it is cut off. */
#define LOST_TARGETS_MIN 2u

/* A run that is to end although its connection may not move; see stop.c. */
typedef struct stop stop_t;

/* Where the memory of a run that is stopped may go: targets seen lately. */
#define STOP_ROOMS_MAX 8u

typedef struct stop_room {
	str_t service; /* owned: name */
	str_t addr;    /* owned; empty: none */
} stop_room_t;

/* Whether this host reaches targets itself, and which other host does. */
typedef struct reach {
	/* When a target was last heard on a connection of this host's own. */
	int64_t heard_us;
	/* Another host that has reached a target lately; 0: none is known. */
	host_id_t good_peer;
	uint64_t lost[LOST_TARGETS_MIN]; /* hashes of their ids */
	uint32_t n_lost;
	bool cut_off;
	int64_t since_us; /* while cut off */
	str_t addr;	  /* owned: where the last attempt went */
	/* A connection of its own, tried while cut off; NULL: none. */
	http1_conn_t *probe;
	timer_sub_t timer;
} reach_t;

struct gateway {
	loop_t *loop;
	str_t zone;	      /* owned */
	struct in_addr ip;    /* connections to targets come from it */
	uint16_t tunnel_port; /* of all hosts */
	str_t secret;	      /* that opens tunnels; not owned */
	reach_t reach;
	int64_t dispatcher_heard_us; /* when its last message came */
	/* See gateway_leave(); INT64_MAX: not known to end. */
	int64_t last_send_us, end_us;
	uint64_t last_ask_id;
	uint64_t rng_state;
	gateway_ops_t ops;
	void *ctx;
	http1_listener_t *listener;
	http1_limits_t limits;
	size_t unsent_max; /* see gateway_limit_unsent(); 0: no limit */
	/* Of responses, not sent yet as they are not whole, of all requests. */
	size_t held_bytes;
	http1_heads_t heads;  /* of responses */
	size_t bodies_max;    /* see gateway_limit_bodies(); 0: no limit */
	size_t body_bytes;    /* of all requests under way */
	manifest_t *manifest; /* in force; NULL: none yet */
	/* Runners that asked this host for no requests. */
	holdoff_t *holdoff;
	/* That this host has relayed, or keeps copies of for others. */
	stream_builds_t *streams;
	/* Relayed since the last message to the daemon that keeps copies. */
	stream_builds_t *new_streams;
	timer_sub_t backup_timer;
	/* As new_streams, for hosts that keep them on disk. */
	stream_builds_t *journal_streams;
	timer_sub_t journal_timer;
	bool journal_read; /* streams holds what this host's journal held */
	/* The last ones, to be told to another dispatcher. */
	crash_report_t crashes[CRASH_REPORTS_MAX];
	uint32_t n_crashes; /* so far, also those overwritten */
	answered_t answered_parts[ANSWERED_MAX];      /* as crashes */
	answered_t answered_requests[ANSWERED_MAX];   /* as crashes */
	named_limit_t named_limits[NAMED_LIMITS_MAX]; /* as crashes */
	struct cds_list_head requests;
	size_t n_requests;
	struct cds_list_head stops; /* stop_t.node */
	size_t n_stops;
	stop_room_t stop_rooms[STOP_ROOMS_MAX];
	size_t next_stop_room; /* that is replaced next, modulo */
	/* Callers that connected while this host starts; not read yet. */
	struct cds_list_head held;
	timer_sub_t held_timer;
};

static inline int64_t gateway_now(const gateway_t *g)
{
	return timer_svc_now(loop_timers(g->loop));
}

/* gateway.c */

/*
 * Ends the request with a refusal by this daemon, with the fallback response
 * where there is one, or by a reset of the caller's connection where a response
 * has begun. retry_us 0: the default of the reason.
 */
void request_refuse(request_t *r, reason_t reason, int64_t retry_us);
/* Whether it may still run when the process ends, and is not to be sent any more. */
bool request_comes_too_late(const request_t *r);
/* Arms the timer for what is due next in the request's state. */
void request_arm_timer(request_t *r);
/* The whole response was sent to the caller. */
void request_completed(request_t *r);
/* Retries, or refuses, after an attempt without a response for the caller. */
void request_attempt_ended(request_t *r, const attempt_end_t *end);
/* Whether a second target may run the request after a first one may have. */
bool request_may_repeat(const request_t *r);

/* places.c */

/* Asks for one more place for the request, or refuses it where it comes too late. */
void request_ask_for_place(request_t *r);
/* Sends the Ask under way, the first time or again. */
void request_send_ask(request_t *r);
/* When to send it again, unless a reply comes. */
int64_t request_next_ask_us(const request_t *r);

/*
 * Tells the dispatcher that the request needs its place no more, and how the
 * use of the place ended.
 */
void request_release_place(request_t *r, place_outcome_t outcome);
/*
 * The body of the response begins: records the software version of a stream, and
 * tells the dispatcher, if the target is a model runner or the response a stream
 * that may be resumed, and the request still has its place there.
 */
void request_report_started(request_t *r);

/* request_body.c */

/* Whether a request with a body of this length (-1: unknown) can be kept. */
bool gateway_has_room(const gateway_t *g, int64_t length);
/* Appends to the body of a request; else why it is refused. */
reason_t request_body_put(request_t *r, str_t piece);
void request_body_free(request_t *r);
/* Alike for all requests with the same method, target, caller and body. */
uint64_t request_digest(const request_t *r);

/* streams.c */

/* Creates and frees what the gateway remembers of streams. */
void gateway_streams_init(gateway_t *g);
void gateway_streams_free(gateway_t *g);
/* Whether the request goes on with the stream of an earlier one. */
bool request_takes_up_stream(const request_t *r);
/* Id of the request that brings, or brought, the first event of its stream. */
str_t request_stream_id(const request_info_t *info);
/* Notes which stream the request begins or takes up, and where that began. */
void request_note_stream(request_t *r);
/*
 * Records the software version of a stream whose body begins. From here on it stays
 * that version, whether or not an event has come. Returns how long the stream may be
 * taken up again; 0: it may not, or its version is not known.
 */
int64_t request_record_stream(request_t *r);
/*
 * Whether a stream may go on at the runner that is granted. The dispatcher may be of
 * an older version, which does not heed what the Ask says.
 */
bool request_grant_fits(const request_t *r, const Dispatch__Grant *m);

/* crashes.c */

/*
 * The target closed the connection of the attempt under way. Tells the dispatcher if
 * it was about to answer the request, which may have ended it.
 */
void crashes_note_close(request_t *r, http1_close_reason_t why);
/* The request was answered: neither it nor its parts crash a target. */
void crashes_note_answered(const request_t *r);
/* Tells the dispatcher of all recent crashes, and of parts answered lately. */
void crashes_tell(gateway_t *g);
void crashes_free(gateway_t *g);

/* named_limits.c */

/* Takes in what a response says of its runner's limit, and tells the dispatcher. */
void named_limits_note(request_t *r, const response_info_t *info);
/* Tells the dispatcher of all that were named lately. */
void named_limits_tell(gateway_t *g);
void named_limits_free(gateway_t *g);

/* reach.c */

void reach_init(gateway_t *g);
void reach_free(gateway_t *g);
/* A target has answered on a connection of this host's own. */
void reach_note_heard(gateway_t *g);
/* This host's own connection to it has failed, or ended without a response. */
void reach_note_lost(gateway_t *g, str_t runner);
/* An attempt goes to this address. */
void reach_note_attempt(gateway_t *g, str_t addr);
/* Bytes of a target have come on a connection of this host's own. */
void reach_note_bytes(gateway_t *g);
bool reach_heard_since(const gateway_t *g, int64_t since_us);
/* The other host has reached a target, or has failed to. */
void reach_note_peer(gateway_t *g, host_id_t peer);
void reach_note_peer_failed(gateway_t *g, host_id_t peer);
/* Another host: the last one that has reached a target, else any; 0: there is none. */
host_id_t reach_pick_peer(const gateway_t *g);

/* stop.c */

/*
 * Before the attempt's connection is closed, as nobody waits for its run: sees to it that
 * the run ends, even if the close does not reach the target.
 */
void stop_begin(const request_t *r);
/* A target of a service whose runs are stopped by moving their memory to another one. */
void stop_note_target(gateway_t *g, str_t service, str_t addr);
void stops_free(gateway_t *g);

/* attempt.c */

/* A connection to the address by way of another daemon; NULL where that fails at once. */
http1_conn_t *gateway_connect_by_peer(gateway_t *g, host_id_t via, str_t addr,
				      int64_t timeout_us,
				      const http1_ops_t *ops, void *ctx);

/* Sends the request to the runner that was granted. */
void attempt_begin(request_t *r);
/*
 * Connects a second time beside the first, whose SYN may be lost: the kernel sends
 * another only after a second.
 */
void attempt_connect_again(request_t *r);
/* Closes the connection to the target, which cancels the request there. */
void attempt_abort(request_t *r);
/*
 * Ends the attempt without a response for the caller, and tells the request. sent:
 * something may have reached the target; reason: for the caller, without a retry.
 */
void attempt_end(request_t *r, place_outcome_t outcome, bool sent,
		 reason_t reason);
/* Time since the attempt was sent or its target last heard; -1: not sent. */
int64_t attempt_silent_us(const request_t *r);
/* Ends the attempt, and so the request, at the deadline. */
void attempt_time_out(request_t *r);

/* relay.c */

/*
 * Appends the end-to-end fields of a head as lines, without those for which
 * drops (may be NULL) is true.
 */
void relay_copy_fields(buf_t *out, const http1_head_t *h,
		       bool (*drops)(str_t name));
/*
 * Takes the head of a response, which is in response_head already. 0; or -1 where
 * the caller may not get the response: nothing of it is to be passed on.
 */
int relay_head(request_t *r, const http1_head_t *h,
	       const response_info_t *info);
void relay_body(request_t *r, str_t piece);
/* The caller has taken all that was sent: the target is read again. */
void relay_resume_reading(request_t *r);
/*
 * Records how much of an unfinished event the response holds at its end, for logs
 * and counters.
 */
void relay_note_end(request_t *r);
/* Sets what the dispatcher is told of the gaps between the events of a stream. */
void relay_tell_pauses(const request_t *r, Dispatch__Done *done);
/* The target's response is complete. */
void relay_end(request_t *r);
/* Drops what the attempt under way has buffered of its response. */
void relay_reset(request_t *r);
/* What is held of the response has changed: counts it for the whole gateway. */
void relay_count_held(request_t *r);

#endif
