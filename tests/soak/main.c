/*
 * main.c - one soak run of a seed.
 *
 *   soak --daemon PATH --dir DIR --seed N [--hosts N] [--seconds N]
 *
 * Exit code 0: nothing broken; 1: a rule was broken; 2: it could not run. What
 * depends on time (late) is printed and counts only with --strict.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

#define PORTS 7u
#define PORT_MIN 10000
#define PORT_SPAN 20000
#define WATCH_PERIOD_US (100 * USEC_PER_MSEC)
/* Without a first manifest in this time the run is given up. */
#define START_MAX_US (30 * USEC_PER_SEC)
/* The callers' last requests end within this time. */
#define STOP_MAX_US (15 * USEC_PER_SEC)
/* Something is served at least this often, however many faults overlap. */
#define RECOVER_US (20 * USEC_PER_SEC)

typedef enum phase {
	PHASE_STARTING,
	PHASE_RUNNING,
	PHASE_STOPPING, /* the callers */
	PHASE_CHECKING, /* the manifest */
	PHASE_ENDING,	/* the daemons */
} phase_t;

typedef struct main_state {
	soak_t s;
	plan_t *plan;
	phase_t phase;
	int64_t phase_us; /* when it began */
	int64_t served_us;
	bool gave_up;
	timer_sub_t timer;
} main_state_t;

static void set_phase(main_state_t *m, phase_t phase)
{
	m->phase = phase;
	m->phase_us = soak_now(&m->s);
}

static void on_ended(void *ctx)
{
	main_state_t *m = ctx;

	loop_stop(m->s.loop);
}

static void end(main_state_t *m)
{
	set_phase(m, PHASE_ENDING);
	hosts_stop_all(m->s.hosts, on_ended, m);
}

static void on_manifest_checked(void *ctx)
{
	end(ctx);
}

static void watch_recovery(main_state_t *m, int64_t now)
{
	if (record_take_served(m->s.record))
		m->served_us = now;
	if (now - m->served_us < RECOVER_US)
		return;
	m->served_us = now;
	record_broken(m->s.record, RULE_NOT_RECOVERED,
		      "%lld s without a "
		      "success",
		      RECOVER_US / USEC_PER_SEC);
}

static bool all_run(const main_state_t *m)
{
	for (unsigned int i = 0; i < m->s.cfg.n_hosts; i++)
		if (!host_is_running(m->s.hosts, i))
			return false;
	return true;
}

static void begin_running(main_state_t *m)
{
	set_phase(m, PHASE_RUNNING);
	m->served_us = m->phase_us;
	crashes_start(m->s.crashes);
	limits_start(m->s.limits);
	cuts_start(m->s.cuts);
	strain_start(m->s.strain);
	disks_start(m->s.disks);
	callers_start(m->s.callers);
	plan_start(m->plan);
}

static void begin_checking(main_state_t *m)
{
	set_phase(m, PHASE_CHECKING);
	operator_check_end(m->s.operator_calls, on_manifest_checked, m);
}

static void on_timer(void *ctx, int64_t now)
{
	main_state_t *m = ctx;
	int64_t elapsed = now - m->phase_us;

	timer_svc_arm(m->s.timers, &m->timer, now + WATCH_PERIOD_US);
	if (m->phase == PHASE_STARTING) {
		if (operator_has_first_ack(m->s.operator_calls))
			begin_running(m);
		else if (elapsed >= START_MAX_US) {
			fprintf(stderr, "soak: no manifest was taken\n");
			m->gave_up = true;
			end(m);
		}
	} else if (m->phase == PHASE_RUNNING) {
		watch_recovery(m, now);
		if (elapsed < m->s.cfg.duration_us)
			return;
		callers_stop(m->s.callers);
		disks_stop(m->s.disks);
		set_phase(m, PHASE_STOPPING);
	} else if (m->phase == PHASE_STOPPING) {
		if (elapsed >= STOP_MAX_US ||
		    (!callers_busy(m->s.callers) && all_run(m)))
			begin_checking(m);
	}
}

/* Whether the port is free at all addresses that the run uses. */
static bool port_is_free(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool is_free;

	a.sin_addr.s_addr = htonl(INADDR_ANY);
	is_free = fd >= 0 &&
		  bind(fd, (const struct sockaddr *)&a, sizeof(a)) == 0;
	if (fd >= 0)
		close(fd);
	return is_free;
}

static void choose_ports(soak_cfg_t *cfg)
{
	uint16_t *ports[PORTS] = {&cfg->front,	   &cfg->ready, &cfg->control,
				  &cfg->directory, &cfg->peer,	&cfg->list,
				  &cfg->runner};
	unsigned int port = PORT_MIN + (unsigned int)getpid() * 7 % PORT_SPAN;

	for (unsigned int i = 0; i < PORTS; port++)
		if (port_is_free((uint16_t)port))
			*ports[i++] = (uint16_t)port;
}

static int run(main_state_t *m, bool strict)
{
	soak_t *s = &m->s;
	int rc = 2;

	s->timers = timer_svc_new_polled();
	s->loop = loop_new(s->timers, m);
	s->upstream = upstream_new(s->loop, (struct in_addr){0});
	s->began_us = soak_now(s);
	s->record = record_new(s);
	s->crashes = crashes_new(s);
	s->limits = limits_new(s);
	s->cuts = cuts_new(s);
	s->strain = strain_new(s);
	s->disks = disks_new(s);
	s->leavers = leavers_new(s);
	s->platform = platform_new(s);
	s->hosts = hosts_new(s);
	s->callers = callers_new(s);
	s->operator_calls = operator_new(s);
	if (!s->platform || hosts_start_all(s->hosts) < 0)
		goto out;
	m->plan = plan_new(s);
	operator_start(s->operator_calls);
	set_phase(m, PHASE_STARTING);
	timer_sub_init(&m->timer, on_timer, m);
	timer_svc_arm(s->timers, &m->timer, s->began_us);
	loop_run(s->loop);
	record_end(s->record);
	crashes_end(s->crashes);
	cuts_end(s->cuts);
	strain_end(s->strain);
	leavers_end(s->leavers);
	plan_print_injected(m->plan, stdout);
	platform_print_faults(s->platform, stdout);
	crashes_print(s->crashes, stdout);
	limits_print(s->limits, stdout);
	cuts_print(s->cuts, stdout);
	strain_print(s->strain, stdout);
	disks_print(s->disks, stdout);
	leavers_print(s->leavers, stdout);
	record_print(s->record, stdout);
	hosts_print_use(s->hosts, stdout);
	if (!m->gave_up)
		rc = record_n_broken(s->record, strict) ? 1 : 0;
	if (rc == 1) {
		printf("again: dev/soak %llu; the way of a request: damasklug "
		       "explain ID --logs %s/host-*.log; the plan:\n",
		       (unsigned long long)s->cfg.seed, s->cfg.dir);
		plan_print(m->plan, stdout);
	}
out:
	timer_svc_cancel(s->timers, &m->timer);
	plan_free(m->plan);
	operator_free(s->operator_calls);
	callers_free(s->callers);
	hosts_free(s->hosts);
	platform_free(s->platform);
	upstream_free(s->upstream);
	crashes_free(s->crashes);
	limits_free(s->limits);
	cuts_free(s->cuts);
	strain_free(s->strain);
	disks_free(s->disks);
	leavers_free(s->leavers);
	record_free(s->record);
	loop_free(s->loop);
	timer_svc_free(s->timers);
	return rc;
}

int main(int argc, char **argv)
{
	gint hosts = 9, callers = 0, seconds = 20;
	gint64 seed = 1;
	gboolean strict = FALSE;
	gboolean power_losses = FALSE;
	gboolean replacements = FALSE;
	g_autofree char *daemon = NULL;
	g_autofree char *dir = NULL;
	const GOptionEntry options[] = {
		{"daemon", 0, 0, G_OPTION_ARG_FILENAME, &daemon,
		 "program to run", "PATH"},
		{"dir", 0, 0, G_OPTION_ARG_FILENAME, &dir,
		 "folder for settings, data and logs", "DIR"},
		{"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "of the plan", "N"},
		{"hosts", 0, 0, G_OPTION_ARG_INT, &hosts, "daemons", "N"},
		{"callers", 0, 0, G_OPTION_ARG_INT, &callers,
		 "default: 4 for each host", "N"},
		{"seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		 "length of the plan", "N"},
		{"strict", 0, 0, G_OPTION_ARG_NONE, &strict,
		 "also judge what depends on time", NULL},
		{"replace", 0, 0, G_OPTION_ARG_NONE, &replacements,
		 "Hosts with a disk are replaced for good", NULL},
		{"power-losses", 0, 0, G_OPTION_ARG_NONE, &power_losses,
		 "the only faults: all daemons are killed at once", NULL},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) error = NULL;
	main_state_t m = {0};

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) || !daemon ||
	    !dir || hosts < 1 || hosts > (gint)HOSTS_MAX) {
		fprintf(stderr, "soak: %s\n",
			error ? error->message
			      : "--daemon and --dir are needed, 1 to 128 "
				"hosts");
		return 2;
	}
	m.s.cfg = (soak_cfg_t){
		.daemon = daemon,
		.dir = dir,
		.seed = (uint64_t)seed,
		.n_hosts = (unsigned int)hosts,
		.n_voters = hosts < 3 ? 1 : 3,
		.n_callers = (unsigned int)(callers ? callers : 4 * hosts),
		.duration_us = seconds * USEC_PER_SEC,
		.power_losses = power_losses,
		.replacements = replacements,
	};
	choose_ports(&m.s.cfg);
	return run(&m, strict);
}
