/*
 * site_int.h - internals of the site daemon, for its own files alone: site.c
 * (wiring), site_state.c (the state core), site_ports.c (readiness, directory
 * and control), site_runners.c (the runner list, orders and reports) and
 * site_leave.c (shutdown and overload).
 */
#ifndef DK_SITE_INT_H
#define DK_SITE_INT_H

#include <glib.h>

#include "dispatch.h"
#include "gateway.h"
#include "link.h"
#include "loop.h"
#include "overload.h"
#include "site.h"
#include "state.h"
#include "tunnel.h"
#include "upstream.h"

/*
 * Names of documents in the decided tables. The name of a host's document has
 * the host's IP address after the prefix, and its body is the host's zone. The
 * document of an adapter version is called "MODEL/ADAPTER" and has no body.
 */
#define DOC_MANIFEST "manifest"
/* Longest text of a manifest that an operator can submit. */
#define MANIFEST_TEXT_MAX (8u << 20)
#define DOC_HOST_PREFIX "host:"
/*
 * With the host's IP address behind it: the document of a host's capacity, in the
 * form of host_capacity_write(). Earlier builds know none, and ignore it.
 */
#define DOC_CAPACITY_PREFIX "capacity:"

/* Cluster name, for the links between daemons and for their data folders. */
#define SITE_CLUSTER "site"
/* Shared by all daemons of a system, as the platform provides no secret. */
#define SITE_SECRET "damasklug site, one system"

/* See site_streams.c. */
typedef struct site_streams site_streams_t;

typedef struct site {
	char *settings_path;
	site_settings_t settings;
	host_id_t self;
	loop_t *loop;
	timer_svc_t *timers; /* run on the loop's thread */
	/* On a thread of its own, as the state core waits for its disk there. */
	timer_svc_t *state_timers;
	mailbox_t *state_mailbox; /* messages to the state core */
	wal_t *wal;		  /* NULL: no disk */
	links_t *links;
	state_t *state;
	upstream_t *upstream;
	gateway_t *gateway;
	tunnels_t *tunnels;
	dispatch_t *dispatch; /* active while this host is the leader */
	/* Active while this daemon can reach no dispatcher. */
	dispatch_t *isolated_dispatch;
	timer_sub_t ping_timer;
	timer_sub_t dispatch_timer;
	int64_t next_tick_us; /* no tick of the dispatcher before this */

	/* Last reported by the state core. */
	decided_t *tables;
	manifest_t *manifest;	     /* NULL: none decided yet */
	lease_status_t lease_status; /* owns its array live */
	GHashTable *links_up;	     /* set of host ids */
	struct site_hosts *hosts;    /* see site_hosts.c */
	uint64_t last_tag;	     /* of site_propose_doc() */

	/* Messages to this daemon's own dispatcher or gateway. */
	struct cds_list_head local_mail;
	loop_task_t local_mail_task;

	site_streams_t *streams;

	/* Ports, see site_ports.c. */
	http1_listener_t *ready;
	http1_listener_t *control;
	http1_listener_t *directory;
	http1_listener_t *metrics;
	http1_limits_t port_limits;
	/* Calls on the ports that wait for the replicated log. */
	struct cds_list_head waiting_calls;

	/* Runner list, see site_runners.c. */
	timer_sub_t list_timer;
	runner_list_t runner_list; /* pages read so far */
	bool list_read_pending;
	uint32_t list_failures;	  /* consecutive */
	size_t list_rows_invalid; /* of the list read last */
	int64_t started_us;

	/* Shutdown. */
	bool leaving;
	int64_t leave_began_us;
	size_t requests_aborted; /* as the process was about to exit */
	bool session_ended;	 /* state_leave() was requested */
	timer_sub_t leave_timer;

	/* Overload of the leader. */
	overload_t overload;
	int64_t dispatch_began_us; /* as the leader */
	int64_t resigned_us;	   /* when state_resign() was last requested */

	timer_sub_t settings_timer;
	int64_t settings_mtime_ns; /* of the settings file when last read */
	int exit_code;
} site_t;

static inline int64_t site_now(const site_t *s)
{
	return timer_svc_now(s->timers);
}

/* Whether the tables here were confirmed lately enough to serve by them. */
static inline bool site_tables_are_fresh(const site_t *s)
{
	return s->lease_status.tables_fresh_until_us > site_now(s);
}

/* site.c */

/* Whether the host has a session, so far as this one knows. */
bool site_is_live_host(const site_t *s, host_id_t host);

/* Appends the manifest's text as submitted; -1 if the stored one is corrupt. */
int site_read_manifest(const doc_t *doc, buf_t *out);
/* Whether new callers should be sent to this host. */
bool site_is_ready(const site_t *s);

/* site_dispatch.c */

/* After the loop and the gateway. */
void site_create_dispatch(site_t *s);
/*
 * Runs a tick of the active dispatcher, if one may run now, and arms the timer
 * for the next one.
 */
void site_run_dispatch(site_t *s);
/* The dispatcher that is active on this daemon now, or NULL. */
dispatch_t *site_active_dispatch(site_t *s);
/* Follows a new lease status: the leader of the log is the dispatcher. */
void site_dispatch_lease_status_changed(site_t *s, const lease_status_t *old);
void site_dispatch_link_changed(site_t *s, host_id_t peer, bool up);
/* Handles a frame of a peer's gateway or dispatcher, on the loop. */
void site_dispatch_frame_run(void *ctx, mail_t *m);
/* Sends to the gateway or dispatcher of another host, or of this one. */
void site_send_message(site_t *s, host_id_t to, const Dispatch__Msg *msg);
/* Callbacks of the gateway; ctx is the site_t. */
void site_send_to_dispatcher(void *ctx, const Dispatch__Msg *msg);
/* Dispatches for this daemon's own requests until a dispatcher answers. */
void site_begin_isolated(void *ctx);

/* site_streams.c */

/* After site_open_disk(); reads the journal of streams on a thread. Returns 0. */
int site_streams_start(site_t *s);
void site_streams_tables_changed(site_t *s);
void site_streams_lease_status_changed(site_t *s);
/* Callbacks of the gateway; ctx is the site_t. */
int64_t site_journal_delay_us(void *ctx, str_t service);
void site_send_to_backup(void *ctx, const Dispatch__Msg *msg);
/* Keeps copies of streams that another daemon has relayed. */
void site_keep_streams(site_t *s, const Dispatch__Streams *m);

/* site_hosts.c */

typedef struct site_hosts site_hosts_t;

/* Creates what is known of the hosts; samples of this host's load begin. */
void site_hosts_start(site_t *s);
/* The decided document of this prefix on a host; NULL: there is none. */
const doc_t *site_find_host_doc(const decided_t *tables, const char *prefix,
				host_id_t id);
/* Proposes this host's document, unless the tables hold it already. */
void site_propose_host_doc(site_t *s, const char *prefix, str_t body);
/* Proposes what is decided of this host, unless the tables hold it already. */
void site_hosts_propose(site_t *s);
/* The settings were reloaded. */
void site_hosts_settings_changed(site_t *s);
void site_hosts_recv(site_t *s, host_id_t from, const Dispatch__HostLoads *m);
/* A turn of the loop took long. */
void site_hosts_slow_turn(site_t *s, int64_t us);
/*
 * Fills out with the hosts that a caller of this zone is told, or of all zones if
 * it is empty; returns their number.
 */
size_t site_hosts_select(site_t *s, str_t zone, host_id_t *out, size_t max);
/* Appends a line for each live host: its capacity, load and share. */
void site_hosts_write(site_t *s, buf_t *out);

/* site_leave.c */

/* Begins the shutdown; the loop stops once it is complete. */
void site_begin_leaving(site_t *s);
/* Timer callback of the shutdown; ctx is the site_t. */
void site_on_leave_timer(void *ctx, int64_t now);
/* Callback of the gateway while this host reaches no runner; ctx is the site_t. */
void site_on_no_path(void *ctx);
/* Callback of the loop for a turn that took long; ctx is the site_t. */
void site_on_slow_turn(void *ctx, int64_t us, int events);

/* site_state.c */

/* Callbacks of the state core, called under its lock: each only queues. */
typedef struct site_state_callbacks {
	void (*tables)(void *ctx, decided_t *t);
	void (*lease_status)(void *ctx, const lease_status_t *st);
	void (*changed)(void *ctx, uint64_t tag, const change_outcome_t *out);
} site_state_callbacks_t;

/* Opens the data folder, if one is configured; 0, or -1 with a log line. */
int site_open_disk(site_t *s);
/* Creates the state core; callbacks get s as ctx. 0, or -1 with a log line. */
int site_create_state(site_t *s, const site_state_callbacks_t *callbacks);
/* Passes the seeds of the current settings to the state core. */
void site_update_seeds(site_t *s);
/* Proposes a document; its tag, which site_ports_change_outcome() gets. */
uint64_t site_propose_doc(site_t *s, str_t name, uint64_t version, str_t body);
/* Requests a new confirmation that the tables here are current. */
void site_request_confirmation(site_t *s);
/* A host's id is its IPv4 address as a number; 0 if ip is not one. */
host_id_t site_parse_host_id(str_t ip);
/* Appends the IP address of a host. */
void site_write_host_ip(host_id_t id, buf_t *out);

/* site_ports.c */

/* 0, or -1 with a log line. */
int site_ports_start(site_t *s);
void site_ports_stop(site_t *s);
/* Outcome of a proposed document: answers the call that brought it. */
void site_ports_change_outcome(site_t *s, uint64_t tag, change_status_t status);
/* The lease status has changed: answers the reads that it confirms. */
void site_ports_lease_status_changed(site_t *s);

/* site_runners.c */

void site_runners_start(site_t *s);
void site_runners_stop(site_t *s);
/* Callbacks of the dispatcher, see dispatch_ops_t. */
void site_send_order(void *ctx, str_t runner, str_t addr,
		     const runner_order_t *o);
void site_request_report(void *ctx, str_t runner, str_t addr);

#endif
