/* hosts.c - starts, signals and watches the daemons' processes. */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

#define WATCH_PERIOD_US (20 * USEC_PER_MSEC)
#define USE_PERIOD_US (1 * USEC_PER_SEC)
/* A daemon that still runs so long after its grace has outlived it. */
#define GRACE_MARGIN_US (1 * USEC_PER_SEC)
/*
 * A disk is emptied, or its host replaced, only if the other voters have run for so long:
 * catchup_s of the settings.
 */
#define WIPE_CALM_US (4 * USEC_PER_SEC)
#define SEEDS 3u

typedef enum host_state {
	HOST_DOWN,
	HOST_RUNNING,
	HOST_FROZEN,
	HOST_TERMINATING,
	HOST_KILLED, /* not reaped yet */
} host_state_t;

typedef struct host {
	hosts_t *hosts;
	unsigned int index;
	host_state_t state;
	pid_t pid;
	bool has_started; /* once: later starts do not found the cluster */
	bool wipe;
	bool replace;		 /* at its next start */
	unsigned int generation; /* how many hosts it has replaced */
	int64_t down_us;	 /* how long it stays down after its end */
	int64_t due_us;		 /* when to start, wake or kill it */
	int64_t disturbed_us;	 /* last fault, or start after one */
	off_t log_size;		 /* at its last start */
	unsigned int first_seed; /* its settings name the seeds from this one */
	long rss_max_kb;
	unsigned int fds_max;
} host_t;

struct hosts {
	soak_t *s;
	host_t host[HOSTS_MAX];
	timer_sub_t timer;
	int64_t use_due_us;
	bool stopping;
	void (*done)(void *ctx);
	void *done_ctx;
};

/* The last number names the host in all generations. */
static void write_ip(const soak_t *s, buf_t *out, unsigned int host)
{
	unsigned int generation =
		s->hosts ? s->hosts->host[host].generation : 0;

	buf_printf(out, "127.%u.%u.%u", generation ? 1 : 0, generation,
		   host + 10);
}

void host_addr(const soak_t *s, buf_t *out, unsigned int host, uint16_t port)
{
	write_ip(s, out, host);
	buf_printf(out, ":%u", port);
}

static bool is_voter(const host_t *h)
{
	return h->index < h->hosts->s->cfg.n_voters;
}

static char *path_of(const host_t *h, const char *suffix)
{
	return g_strdup_printf("%s/host-%u%s", h->hosts->s->cfg.dir, h->index,
			       suffix);
}

static void write_port(const host_t *h, buf_t *out, const char *name,
		       uint16_t port, const char *end)
{
	buf_printf(out, "\"%s\":\"", name);
	host_addr(h->hosts->s, out, h->index, port);
	buf_printf(out, "\"%s", end);
}

static void write_seeds(const host_t *h, buf_t *out)
{
	const soak_cfg_t *cfg = &h->hosts->s->cfg;
	unsigned int n = cfg->n_hosts < SEEDS ? cfg->n_hosts : SEEDS;

	buf_puts(out, "\"seeds\":[");
	for (unsigned int i = 0; i < n; i++) {
		buf_puts(out, i ? ",\"" : "\"");
		host_addr(h->hosts->s, out, (h->first_seed + i) % n,
			  cfg->control);
		buf_puts(out, "\"");
	}
	buf_puts(out, "]");
}

static void write_settings(const host_t *h, buf_t *out)
{
	const soak_cfg_t *cfg = &h->hosts->s->cfg;
	g_autofree char *data = path_of(h, "-data");

	buf_printf(out, "{\"node\":\"host-%u\",\"ip\":\"", h->index);
	write_ip(h->hosts->s, out, h->index);
	buf_printf(out, "\",\"zone\":\"z%u\",\"region\":\"r\",\n\"listen\":{",
		   h->index % ZONES);
	write_port(h, out, "front", cfg->front, ",");
	write_port(h, out, "ready", cfg->ready, ",");
	write_port(h, out, "control", cfg->control, ",");
	write_port(h, out, "directory", cfg->directory, "},\n");
	if (is_voter(h))
		buf_printf(out, "\"data_dir\":\"%s\",", data);
	buf_printf(out, "\"bootstrap\":%s,\"port_range\":[%u,%u],",
		   h->has_started ? "false" : "true", cfg->peer, cfg->peer);
	write_seeds(h, out);
	buf_printf(out,
		   ",\n\"tolerate\":{\"machines\":1},"
		   "\"cloud\":{\"addr\":\"127.0.1.100:%u\",\"rate_per_s\":47,"
		   "\"max_lag_ms\":300},\n\"bounds\":{\"grace_s\":%lld,"
		   "\"drain_ms\":%lld,\"config_ms\":%lld,\"fencing\":true,"
		   "\"ttl_max_s\":5,\"budget_ratio\":0.2,\"budget_slack\":64,"
		   "\"budget_window_s\":10,\"lease_ms\":3000}}\n",
		   cfg->list, GRACE_US / USEC_PER_SEC, DRAIN_US / USEC_PER_MSEC,
		   CONFIG_US / USEC_PER_MSEC);
}

static int save_settings(const host_t *h)
{
	g_autofree char *path = path_of(h, ".json");
	AUTO_BUF buf_t out = {0};

	write_settings(h, &out);
	return g_file_set_contents(path, out.p, (gssize)out.n, NULL) ? 0 : -1;
}

static char **environment(const char *settings)
{
	char **env = g_get_environ();

	return g_environ_setenv(env, "DAMASKLUG_CONFIG", settings, TRUE);
}

static int spawn(host_t *h)
{
	g_autofree char *settings = path_of(h, ".json");
	g_autofree char *log = path_of(h, ".log");
	g_auto(GStrv) env = environment(settings);
	char *daemon = (char *)h->hosts->s->cfg.daemon;
	char *argv[] = {daemon, "site", NULL};
	posix_spawn_file_actions_t actions;
	int rc;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0644);
	posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO,
					 STDERR_FILENO);
	rc = posix_spawn(&h->pid, daemon, &actions, NULL, argv, env);
	posix_spawn_file_actions_destroy(&actions);
	if (!rc)
		return 0;
	fprintf(stderr, "soak: cannot start %s: %s\n", daemon, strerror(rc));
	return -1;
}

static void empty_disk(host_t *h)
{
	g_autofree char *data = path_of(h, "-data");
	GDir *dir = g_dir_open(data, 0, NULL);
	const char *name;

	h->wipe = false;
	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(data, name, NULL);

		if (unlink(path) < 0)
			fprintf(stderr, "soak: cannot remove %s\n", path);
	}
	if (dir)
		g_dir_close(dir);
}

static off_t log_size(const host_t *h)
{
	g_autofree char *log = path_of(h, ".log");
	struct stat st;

	return stat(log, &st) < 0 ? 0 : st.st_size;
}

static int start(host_t *h)
{
	if (h->wipe)
		empty_disk(h);
	h->generation += h->replace;
	h->replace = false;
	h->log_size = log_size(h);
	if (save_settings(h) < 0 || spawn(h) < 0)
		return -1;
	h->has_started = true;
	h->state = HOST_RUNNING;
	h->due_us = INT64_MAX;
	h->disturbed_us = soak_now(h->hosts->s);
	record_host_disturbed(h->hosts->s->record, h->index);
	return 0;
}

static void disturb(host_t *h)
{
	h->disturbed_us = soak_now(h->hosts->s);
	record_host_disturbed(h->hosts->s->record, h->index);
}

static void kill_now(host_t *h)
{
	kill(h->pid, SIGKILL);
	h->state = HOST_KILLED;
	disturb(h);
}

/*
 * Whether a process that was told to end did so. A signal that comes before
 * main() can only end it at once; it has logged nothing then.
 */
static bool ended_cleanly(const host_t *h, int status)
{
	if (WIFEXITED(status))
		return WEXITSTATUS(status) == 0;
	return WTERMSIG(status) == SIGTERM && log_size(h) == h->log_size;
}

/* The process has ended with this status of waitpid(). */
static void on_ended(host_t *h, int status)
{
	hosts_t *hosts = h->hosts;

	if (h->state == HOST_RUNNING || h->state == HOST_FROZEN ||
	    (h->state == HOST_TERMINATING && !ended_cleanly(h, status)))
		record_broken(hosts->s->record, RULE_PROCESS_ENDED,
			      "host-%u, status 0x%x", h->index,
			      (unsigned int)status);
	h->state = HOST_DOWN;
	h->pid = 0;
	h->due_us =
		hosts->stopping ? INT64_MAX : soak_now(hosts->s) + h->down_us;
	disturb(h);
}

static void on_due(host_t *h)
{
	h->due_us = INT64_MAX;
	switch (h->state) {
	case HOST_DOWN:
		start(h);
		break;
	case HOST_FROZEN:
		kill(h->pid, SIGCONT);
		h->state = HOST_RUNNING;
		disturb(h);
		break;
	case HOST_TERMINATING:
		record_broken(h->hosts->s->record, RULE_OUTLIVED_GRACE,
			      "host-%u", h->index);
		kill_now(h);
		break;
	default:
		break;
	}
}

/* Memory and descriptors of the process. */
static void measure(host_t *h)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", h->pid);
	g_autofree char *fds = g_strdup_printf("/proc/%d/fd", h->pid);
	g_autofree char *text = NULL;
	const char *at;
	GDir *dir = g_dir_open(fds, 0, NULL);
	unsigned int n = 0;

	while (dir && g_dir_read_name(dir))
		n++;
	if (dir)
		g_dir_close(dir);
	h->fds_max = n > h->fds_max ? n : h->fds_max;
	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	at = strstr(text, "VmRSS:");
	if (at && atol(at + 6) > h->rss_max_kb)
		h->rss_max_kb = atol(at + 6);
}

static bool all_down(const hosts_t *h)
{
	for (unsigned int i = 0; i < h->s->cfg.n_hosts; i++)
		if (h->host[i].state != HOST_DOWN)
			return false;
	return true;
}

static void on_timer(void *ctx, int64_t now)
{
	hosts_t *h = ctx;
	bool measures = now >= h->use_due_us;

	for (unsigned int i = 0; i < h->s->cfg.n_hosts; i++) {
		host_t *host = &h->host[i];
		int status;

		if (host->pid && waitpid(host->pid, &status, WNOHANG) > 0)
			on_ended(host, status);
		if (now >= host->due_us)
			on_due(host);
		if (measures && host->state == HOST_RUNNING)
			measure(host);
	}
	if (measures)
		h->use_due_us = now + USE_PERIOD_US;
	if (h->stopping && all_down(h)) {
		h->stopping = false;
		h->done(h->done_ctx);
		return;
	}
	timer_svc_arm(h->s->timers, &h->timer, now + WATCH_PERIOD_US);
}

hosts_t *hosts_new(soak_t *s)
{
	hosts_t *h = xcalloc(1, sizeof(*h));

	h->s = s;
	for (unsigned int i = 0; i < s->cfg.n_hosts; i++) {
		h->host[i].hosts = h;
		h->host[i].index = i;
		h->host[i].due_us = INT64_MAX;
	}
	timer_sub_init(&h->timer, on_timer, h);
	return h;
}

void hosts_free(hosts_t *h)
{
	if (!h)
		return;
	timer_svc_cancel(h->s->timers, &h->timer);
	for (unsigned int i = 0; i < h->s->cfg.n_hosts; i++) {
		if (!h->host[i].pid)
			continue;
		kill(h->host[i].pid, SIGKILL);
		waitpid(h->host[i].pid, NULL, 0);
	}
	free(h);
}

int hosts_start_all(hosts_t *h)
{
	for (unsigned int i = 0; i < h->s->cfg.n_hosts; i++)
		if (start(&h->host[i]) < 0)
			return -1;
	timer_svc_arm(h->s->timers, &h->timer, soak_now(h->s));
	return 0;
}

bool host_is_running(const hosts_t *h, unsigned int host)
{
	return h->host[host].state == HOST_RUNNING;
}

bool host_calm_since(const hosts_t *h, unsigned int host, int64_t since_us)
{
	const host_t *t = &h->host[host];

	return t->state == HOST_RUNNING && t->disturbed_us < since_us;
}

bool host_in_touch(const hosts_t *h, unsigned int host)
{
	int64_t since = soak_now(h->s) - CONTACT_US;

	for (unsigned int i = 0; i < h->s->cfg.n_voters; i++)
		if (!host_calm_since(h, i, since))
			return false;
	return host_calm_since(h, host, since);
}

void host_kill(hosts_t *h, unsigned int host, int64_t down_us)
{
	host_t *t = &h->host[host];

	if (t->state == HOST_DOWN || t->state == HOST_KILLED || h->stopping)
		return;
	t->down_us = down_us;
	t->due_us = INT64_MAX;
	kill_now(t);
}

/* Whether all other voters have run undisturbed for a while. */
static bool can_spare_disk(const hosts_t *h, unsigned int host)
{
	int64_t now = soak_now(h->s);

	for (unsigned int i = 0; i < h->s->cfg.n_voters; i++)
		if (i != host && (h->host[i].state != HOST_RUNNING ||
				  now - h->host[i].disturbed_us < WIPE_CALM_US))
			return false;
	return true;
}

void host_wipe(hosts_t *h, unsigned int host, int64_t down_us)
{
	host_t *t = &h->host[host];

	if (is_voter(t) && t->state == HOST_RUNNING && can_spare_disk(h, host))
		t->wipe = true;
	host_kill(h, host, down_us);
}

void host_replace(hosts_t *h, unsigned int host, bool told)
{
	host_t *t = &h->host[host];

	if (!is_voter(t) || t->state != HOST_RUNNING || h->stopping ||
	    !can_spare_disk(h, host))
		return;
	t->wipe = true;
	t->replace = true;
	if (told)
		host_terminate(h, host, 1, 0);
	else
		host_kill(h, host, 0);
}

void host_terminate(hosts_t *h, unsigned int host, unsigned int times,
		    int64_t down_us)
{
	host_t *t = &h->host[host];

	if (t->state != HOST_RUNNING)
		return;
	t->state = HOST_TERMINATING;
	t->down_us = down_us;
	t->due_us = soak_now(h->s) + GRACE_US + GRACE_MARGIN_US;
	disturb(t);
	for (unsigned int i = 0; i < times; i++)
		kill(t->pid, SIGTERM);
}

void host_freeze(hosts_t *h, unsigned int host, int64_t for_us)
{
	host_t *t = &h->host[host];

	if (t->state != HOST_RUNNING)
		return;
	kill(t->pid, SIGSTOP);
	t->state = HOST_FROZEN;
	t->due_us = soak_now(h->s) + for_us;
	disturb(t);
}

bool host_set_disk_full(hosts_t *h, unsigned int host, bool full)
{
	host_t *t = &h->host[host];
	rlim_t size = full ? 0 : RLIM_INFINITY;
	const struct rlimit limit = {size, RLIM_INFINITY};

	if (t->state != HOST_RUNNING ||
	    prlimit(t->pid, RLIMIT_FSIZE, &limit, NULL) < 0)
		return false;
	disturb(t);
	return true;
}

void host_reload(hosts_t *h, unsigned int host, bool signal)
{
	host_t *t = &h->host[host];

	t->first_seed++;
	if (save_settings(t) < 0)
		fprintf(stderr, "soak: cannot write settings\n");
	if (signal && t->state == HOST_RUNNING)
		kill(t->pid, SIGHUP);
}

void hosts_stop_all(hosts_t *h, void (*done)(void *ctx), void *ctx)
{
	h->stopping = true;
	h->done = done;
	h->done_ctx = ctx;
	for (unsigned int i = 0; i < h->s->cfg.n_hosts; i++) {
		if (h->host[i].state == HOST_DOWN)
			h->host[i].due_us = INT64_MAX;
		host_terminate(h, i, 1, 0);
	}
}

void hosts_print_use(const hosts_t *h, FILE *out)
{
	long rss = 0;
	unsigned int fds = 0;

	for (unsigned int i = 0; i < h->s->cfg.n_hosts; i++) {
		const host_t *t = &h->host[i];

		rss = t->rss_max_kb > rss ? t->rss_max_kb : rss;
		fds = t->fds_max > fds ? t->fds_max : fds;
	}
	fprintf(out, "largest daemon: %ld kB resident, %u descriptors\n", rss,
		fds);
}
