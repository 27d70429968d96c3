/*
 * site_int.h - inside of the site daemon: shared by site.c (wiring),
 * site_ports.c (ready, directory and control) and site_runners.c (the
 * platform's list, orders and reports), and by nothing else.
 */
#ifndef DK_SITE_INT_H
#define DK_SITE_INT_H

#include <glib.h>

#include "dispatch.h"
#include "gateway.h"
#include "link.h"
#include "loop.h"
#include "site.h"
#include "state.h"
#include "upstream.h"

/* Documents of the decided tables. */
#define DOC_MANIFEST "manifest"
#define DOC_HOST_PREFIX "host:"

/* Of the links between the daemons of one system, and of their folders. */
#define SITE_CLUSTER "site"

typedef struct site {
	char *path; /* of the settings file */
	site_settings_t set;
	host_id_t self;
	loop_t *loop;
	timer_svc_t *timers;	   /* of the loop */
	timer_svc_t *state_timers; /* apart: state syncs its disk on it */
	mailbox_t *to_state;
	wal_t *wal;
	links_t *links;
	state_t *state;
	upstream_t *up;
	gateway_t *gateway;
	dispatch_t *dispatch;
	dispatch_t *alone; /* while no dispatcher can be reached */
	timer_sub_t ping_timer;
	timer_sub_t dispatch_timer;
	int64_t tick_after_us; /* the dispatcher is looked after no sooner */
	/* What the log says. */
	decided_t *tables;
	manifest_t *manifest;
	lease_status_t lease_status; /* live is owned */
	GHashTable *links_up;	     /* hosts whose link stands */
	bool host_told;		     /* the own row is proposed */
	uint64_t next_tag;
	/* Messages to this daemon's own dispatcher or gateway. */
	struct cds_list_head local;
	loop_task_t local_task;
	/* Ports, see site_ports.c. */
	http1_listener_t *ready;
	http1_listener_t *control;
	http1_listener_t *directory;
	http1_listener_t *metrics;
	http1_limits_t port_limits;
	struct cds_list_head calls; /* that wait for the log */
	/* Runner list, see site_runners.c. */
	timer_sub_t list_timer;
	runner_list_t list; /* pages so far */
	bool list_reading;
	uint32_t list_failures; /* in a row */
	int64_t started_us;
	/* Leaving. */
	bool leaving;
	int64_t leave_us;
	timer_sub_t leave_timer;
	timer_sub_t settings_timer;
	int64_t settings_mtime_ns;
	int exit_code;
} site_t;

static inline int64_t site_now(const site_t *s)
{
	return timer_svc_now(s->timers);
}

/* site.c */

bool site_is_ready(const site_t *s);
void site_arm_dispatch(site_t *s);
/* The dispatcher that works on this daemon now; NULL: none. */
dispatch_t *site_dispatch(site_t *s);

/* site_state.c */

/* What the state core tells, under its lock: each only queues. */
typedef struct site_told {
	void (*tables)(void *ctx, decided_t *t);
	void (*lease_status)(void *ctx, const lease_status_t *st);
	void (*changed)(void *ctx, uint64_t tag, const change_outcome_t *out);
} site_told_t;

/* Opens the data folder, where there is one; 0 or -1, logged. */
int site_open_disk(site_t *s);
/* Makes the state core; ctx of told is s; 0 or -1, logged. */
int site_make_state(site_t *s, const site_told_t *told);
/* Tells it the seeds of new settings. */
void site_tell_seeds(site_t *s);
/* Proposes a document; the outcome comes to site_ports_changed(). */
uint64_t site_put_doc(site_t *s, str_t name, uint64_t version, str_t body);
/* Asks the log for a fresh confirmation. */
void site_confirm(site_t *s);
/* A host's id is its IPv4 address; 0: the text is none. */
host_id_t site_host_id(str_t ip);
/* Appends the address of a host. */
void site_host_ip(host_id_t id, buf_t *out);

/* site_ports.c */

int site_ports_start(site_t *s);
void site_ports_stop(site_t *s);
void site_ports_changed(site_t *s, uint64_t tag, change_status_t status);
/* The lease_status has changed: reads that wait may be answered. */
void site_ports_lease_status_changed(site_t *s);

/* site_runners.c */

void site_runners_start(site_t *s);
void site_runners_stop(site_t *s);
void site_order(void *ctx, str_t runner, str_t addr, const runner_order_t *o);
void site_probe(void *ctx, str_t runner, str_t addr);

#endif
