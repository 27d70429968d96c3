/*
 * scenario.c - runs a script against the real cores in virtual time:
 *
 *   scenario [--log] FILE
 *
 * --log traces the simulation on standard error. A script has one command a
 * line, with words quoted as in a shell; '#' begins a comment. A time is
 * written 300ms or 5s. HOST is entry-N, "leader", "voter" (the first live one
 * that does not lead), "owner:TARGET" or a NAME that "name" gave. Commands:
 *
 *   seed N                     must come before all others
 *   retries on|off             callers retry after refusals (default: on)
 *   wait T                     lets time pass
 *   until COND... [within T]   waits for a condition, 30 s at most by default:
 *                              leader | in-force | ended NAME |
 *                              started NAME | done CHANGE | drained HOST |
 *                              owner TARGET not HOST
 *   ask NAME ADAPTER[@V] [tokens=N] [deadline=T] [priority=N] [via=HOST]
 *                        [times=N]
 *                              sends a completion request; with times=N:
 *                              requests NAME.1 to NAME.N
 *   call NAME KEY [once] [deadline=T] [via=HOST]
 *                              calls the service with an idempotency key; once:
 *                              the call is not repeatable
 *   change ID JSON [via=HOST]  proposes a change, its "ops" and "base_revision"
 *   publish ID ADAPTER V [via=HOST] [base=N]
 *                              proposes to publish a version of an adapter;
 *                              default base revision: the newest
 *   resend ID [via=HOST]       proposes the same change again
 *   kill|start HOST            stops or starts the daemon
 *   cut|heal HOST              cuts it off from other daemons, or reconnects it
 *   drain HOST                 shuts the daemon down gracefully
 *   wipe HOST                  empties the disk; the daemon must be down
 *   down|restart|leave TARGET  stops it, restarts it empty, or marks it leaving
 *   fault TARGET refuse|stall|drop|fail_loads N
 *                              refuses, stalls or breaks off the next N runs,
 *                              or fails the next N adapter loads
 *   unfenced TARGET            makes it ignore fencing numbers
 *   store-factor X             multiplies the load time by X
 *   name NAME HOST             lets NAME stand for what HOST means now
 *   show request NAME | change ID | key KEY | in-force | leader |
 *        owner TARGET | version ADAPTER HOST
 *
 * Only "until", "show" and the oracle's result at the end print to standard
 * output, so an .expect file holds only what a scenario guarantees.
 */
#include "lib_sim.h"
#include "log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEPLOYMENT_FILE "tests/scenarios/small.toml"
#define UNTIL_DEFAULT_US (30 * USEC_PER_SEC)
#define POLL_US (5 * USEC_PER_MSEC)
/* Time after the last command, in which every request gets its outcome. */
#define SETTLE_US (90 * USEC_PER_SEC)
#define DEFAULT_DEADLINE_US (20 * USEC_PER_SEC)
#define DEFAULT_TOKENS 40u

typedef struct script {
	deploy_t deploy;
	sim_cfg_t cfg;
	sim_t *sim;	      /* NULL before the first command that needs it */
	GHashTable *requests; /* name -> sim_request_t */
	GHashTable *hosts;    /* name given by "name" -> host id */
	GPtrArray *arrivals;  /* of arrival_t, owned */
	const char *path;
	unsigned line; /* number of the current line */
	bool failed;   /* the script has an error */
} script_t;

/* Reports an error in the script; the run ends after the current line. */
static void script_error(script_t *sc, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void script_error(script_t *sc, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	fprintf(stderr, "%s:%u: ", sc->path, sc->line);
	vfprintf(stderr, fmt, ap);
	fprintf(stderr, "\n");
	va_end(ap);
	sc->failed = true;
}

static void log_line(void *ctx, int64_t now, const char *line)
{
	fprintf(stderr, "%10.4f %s\n", (double)now / USEC_PER_SEC, line);
}

/* Returns the simulation; the first call creates it. */
static sim_t *sim_started(script_t *sc)
{
	if (!sc->sim)
		sc->sim = sim_new(&sc->cfg);
	return sc->sim;
}

static int64_t parse_time(script_t *sc, const char *s)
{
	char *unit;
	double x = g_ascii_strtod(s, &unit);

	if (!strcmp(unit, "ms"))
		return (int64_t)(x * USEC_PER_MSEC);
	if (!strcmp(unit, "s"))
		return (int64_t)(x * USEC_PER_SEC);
	script_error(sc, "'%s' is not a time such as 300ms or 5s", s);
	return 0;
}

static sim_engine_t *target_named(script_t *sc, const char *name)
{
	sim_engine_t *e = sim_engine(sim_started(sc), name);

	if (!e)
		script_error(sc, "no target '%s'", name);
	return e;
}

static host_id_t first_other_voter(const sim_t *s)
{
	for (size_t i = 0; i < (size_t)s->cfg.deploy->voters; i++)
		if (s->hosts[i].core && !s->hosts[i].isolated &&
		    s->hosts[i].id != sim_leader(s))
			return s->hosts[i].id;
	return 0;
}

static host_id_t host_named(script_t *sc, const char *name)
{
	gpointer known = g_hash_table_lookup(sc->hosts, name);
	sim_t *s = sim_started(sc);
	host_id_t id = GPOINTER_TO_UINT(known);
	sim_engine_t *e;

	if (id)
		return id;
	if (!strcmp(name, "leader"))
		id = sim_leader(s);
	else if (!strcmp(name, "voter"))
		id = first_other_voter(s);
	else if (g_str_has_prefix(name, "owner:") &&
		 (e = target_named(sc, name + 6)))
		id = sim_owner(s, e);
	else if (g_str_has_prefix(name, "entry-"))
		id = (host_id_t)strtoul(name + 6, NULL, 10);
	if (id && id <= s->n_hosts)
		return id;
	script_error(sc, "no host '%s'", name);
	return 0;
}

/* Returns the value of the argument "name=value"; NULL where it is absent. */
static const char *option(int argc, char **argv, const char *name)
{
	size_t n = strlen(name);

	for (int i = 1; i < argc; i++)
		if (!strncmp(argv[i], name, n) && argv[i][n] == '=')
			return argv[i] + n + 1;
	return NULL;
}

/* --- requests ----------------------------------------------------------- */

static sim_request_t *request_named(script_t *sc, const char *name)
{
	sim_request_t *r = g_hash_table_lookup(sc->requests, name);

	if (!r)
		script_error(sc, "no request '%s'", name);
	return r;
}

static arrival_t *make_arrival(script_t *sc, int argc, char **argv)
{
	arrival_t *a = xcalloc(1, sizeof(*a));
	const char *tokens = option(argc, argv, "tokens");
	const char *deadline = option(argc, argv, "deadline");
	const char *priority = option(argc, argv, "priority");

	g_ptr_array_add(sc->arrivals, a);
	a->at_us = sim_now(sim_started(sc)) + 1;
	a->org = g_intern_string(sc->deploy.orgs[0]);
	a->prompt_tokens = 100;
	a->output_tokens = tokens ? (uint32_t)atoi(tokens) : DEFAULT_TOKENS;
	a->priority = priority ? atoi(priority) : 0;
	a->deadline_us =
		deadline ? parse_time(sc, deadline) : DEFAULT_DEADLINE_US;
	return a;
}

static void start_request(script_t *sc, sim_request_t *r, int argc, char **argv)
{
	const char *via = option(argc, argv, "via");

	if (via)
		sim_request_send(sc->sim, r, host_named(sc, via));
	else
		sim_request_start(sc->sim, r);
}

static void send_model_request(script_t *sc, const char *name, int argc,
			       char **argv)
{
	arrival_t *a = make_arrival(sc, argc, argv);
	gchar **model = g_strsplit(argv[2], "@", 2);
	sim_request_t *r;

	a->adapter = g_intern_string(model[0]);
	a->version = model[1] ? (uint32_t)atoi(model[1]) : 0;
	for (size_t i = 0; i < sc->deploy.n_orgs; i++)
		if (g_str_has_prefix(model[0], sc->deploy.orgs[i]))
			a->org = g_intern_string(sc->deploy.orgs[i]);
	g_strfreev(model);
	r = sim_request_new(sc->sim, a);
	g_hash_table_insert(sc->requests, g_strdup(name), r);
	start_request(sc, r, argc, argv);
}

static void do_ask(script_t *sc, int argc, char **argv)
{
	const char *times = option(argc, argv, "times");

	sim_started(sc);
	if (!times) {
		send_model_request(sc, argv[1], argc, argv);
		return;
	}
	for (int i = 1; i <= atoi(times); i++) {
		gchar *name = g_strdup_printf("%s.%d", argv[1], i);

		send_model_request(sc, name, argc, argv);
		g_free(name);
	}
}

static void do_call(script_t *sc, int argc, char **argv)
{
	arrival_t *a = make_arrival(sc, argc, argv);
	sim_request_t *r;

	a->adapter = g_intern_string(sc->deploy.service_name);
	r = sim_request_new(sc->sim, a);
	r->is_service_call = true;
	r->not_repeatable = argc > 3 && !strcmp(argv[3], "once");
	snprintf(r->key, sizeof(r->key), "%s", argv[2]);
	g_hash_table_insert(sc->requests, g_strdup(argv[1]), r);
	start_request(sc, r, argc, argv);
}

/* --- changes ------------------------------------------------------------ */

static host_id_t via_host(script_t *sc, int argc, char **argv)
{
	const char *via = option(argc, argv, "via");

	sim_started(sc);
	return host_named(sc, via ? via : "leader");
}

static void do_change(script_t *sc, int argc, char **argv)
{
	host_id_t host = via_host(sc, argc, argv);

	if (host && sim_propose(sc->sim, host, argv[1], argv[2]))
		script_error(sc, "'%s' is not a valid change", argv[2]);
}

static void do_publish(script_t *sc, int argc, char **argv)
{
	host_id_t host = via_host(sc, argc, argv);
	const char *base = option(argc, argv, "base");
	gchar *json;

	if (!host)
		return;
	json = g_strdup_printf(
		"{\"ops\":[{\"adapter_publish\":{\"names\":[\"%s\"],"
		"\"version\":%s}}],\"base_revision\":%" PRIu64 "}",
		argv[2], argv[3],
		base ? (uint64_t)strtoull(base, NULL, 10)
		     : decided_revision(sc->sim->tables));
	if (sim_propose(sc->sim, host, argv[1], json))
		script_error(sc, "the change is not valid");
	g_free(json);
}

static void do_resend(script_t *sc, int argc, char **argv)
{
	host_id_t host = via_host(sc, argc, argv);

	if (!sim_change(sc->sim, argv[1]))
		script_error(sc, "no change '%s'", argv[1]);
	else if (host)
		sim_resend(sc->sim, host, argv[1]);
}

/* --- faults ------------------------------------------------------------- */

static void do_host(script_t *sc, int argc, char **argv)
{
	host_id_t id = host_named(sc, argv[1]);
	sim_t *s = sim_started(sc);

	if (!id)
		return;
	if (!strcmp(argv[0], "kill"))
		sim_host_kill(s, id);
	else if (!strcmp(argv[0], "start"))
		sim_host_start(s, id);
	else if (!strcmp(argv[0], "cut"))
		sim_host_set_isolated(s, id, true);
	else if (!strcmp(argv[0], "heal"))
		sim_host_set_isolated(s, id, false);
	else if (!strcmp(argv[0], "drain"))
		sim_host_drain(s, id);
	else
		sim_disk_wipe(s, id);
}

static void do_target(script_t *sc, int argc, char **argv)
{
	sim_engine_t *e = target_named(sc, argv[1]);

	if (!e)
		return;
	if (!strcmp(argv[0], "down"))
		sim_engine_kill(sc->sim, e);
	else if (!strcmp(argv[0], "restart"))
		sim_engine_restart(sc->sim, e);
	else if (!strcmp(argv[0], "leave"))
		sim_engine_leave(sc->sim, e);
	else
		e->ignores_fence = true;
}

static void do_fault(script_t *sc, int argc, char **argv)
{
	sim_engine_t *e = target_named(sc, argv[1]);
	uint32_t n = (uint32_t)atoi(argv[3]);

	if (!e)
		return;
	if (!strcmp(argv[2], "refuse"))
		e->faults.refuse = n;
	else if (!strcmp(argv[2], "stall"))
		e->faults.stall = n;
	else if (!strcmp(argv[2], "drop"))
		e->faults.drop = n;
	else if (!strcmp(argv[2], "fail_loads"))
		e->faults.fail_loads = n;
	else
		script_error(sc, "no fault '%s'", argv[2]);
}

static void do_store_factor(script_t *sc, int argc, char **argv)
{
	sim_started(sc)->store_factor = g_ascii_strtod(argv[1], NULL);
}

/* --- waiting ------------------------------------------------------------ */

/* argv: TARGET "not" HOST. */
static bool owner_moved(script_t *sc, char **argv)
{
	sim_engine_t *e = target_named(sc, argv[0]);
	host_id_t old_owner = host_named(sc, argv[2]);
	host_id_t owner = e ? sim_owner(sc->sim, e) : 0;

	return owner && owner != old_owner;
}

/* Returns 1 for true, 0 for false, -1 where there is no such condition. */
static int condition_holds(script_t *sc, int argc, char **argv)
{
	sim_t *s = sc->sim;
	const sim_request_t *r;
	const sim_change_t *c;

	if (!strcmp(argv[0], "leader"))
		return sim_leader(s) != 0;
	if (!strcmp(argv[0], "in-force"))
		return sim_tables_in_force(s);
	if (argc < 2)
		return -1;
	if (!strcmp(argv[0], "ended"))
		return (r = request_named(sc, argv[1]))
			       ? r->state != SIM_WAITING
			       : -1;
	if (!strcmp(argv[0], "started"))
		return (r = request_named(sc, argv[1])) ? r->started : -1;
	if (!strcmp(argv[0], "done"))
		return (c = sim_change(s, argv[1])) ? c->done : -1;
	if (!strcmp(argv[0], "drained"))
		return s->hosts[host_named(sc, argv[1]) - 1].drained;
	if (!strcmp(argv[0], "owner") && argc >= 4)
		return owner_moved(sc, argv + 1);
	return -1;
}

static void do_until(script_t *sc, int argc, char **argv)
{
	sim_t *s = sim_started(sc);
	int64_t by_us = sim_now(s) + UNTIL_DEFAULT_US;
	gchar *words;
	int ok = 0;

	if (argc > 3 && !strcmp(argv[argc - 2], "within")) {
		by_us = sim_now(s) + parse_time(sc, argv[argc - 1]);
		argc -= 2;
		g_clear_pointer(&argv[argc + 1], g_free);
		g_clear_pointer(&argv[argc], g_free);
	}
	words = g_strjoinv(" ", argv + 1);
	while (!sc->failed) {
		ok = condition_holds(sc, argc - 1, argv + 1);
		if (ok || sim_now(s) >= by_us)
			break;
		sim_run_until(s, sim_now(s) + POLL_US);
	}
	if (ok < 0)
		script_error(sc, "no condition '%s'", words);
	printf("until %s: %s\n", words, ok > 0 ? "yes" : "timed out");
	g_free(words);
}

static void do_wait(script_t *sc, int argc, char **argv)
{
	sim_t *s = sim_started(sc);

	sim_run_until(s, sim_now(s) + parse_time(sc, argv[1]));
}

/* --- showing ------------------------------------------------------------ */

static void show_request(script_t *sc, const char *name)
{
	const sim_request_t *r = request_named(sc, name);

	if (!r)
		return;
	if (r->state == SIM_ANSWERED)
		printf("request %s: answered%s%s%s\n", name,
		       r->is_service_call ? "" : " by ",
		       r->is_service_call ? "" : r->answered_by,
		       r->ended_us > r->due_us ? ", late" : "");
	else if (r->state == SIM_REFUSED)
		printf("request %s: refused, %s, run %s\n", name,
		       reason_info(r->reason)->name,
		       run_state_name(r->run_state));
	else
		printf("request %s: waiting\n", name);
}

static const char *status_name(change_status_t st)
{
	static const char *const names[] = {"decided", "conflict", "invalid",
					    "no quorum", "unknown"};

	return names[st];
}

static void show_change(script_t *sc, const char *id)
{
	const sim_change_t *c = sim_change(sim_started(sc), id);

	if (!c)
		script_error(sc, "no change '%s'", id);
	else if (!c->done)
		printf("change %s: waiting\n", id);
	else
		printf("change %s: %s, revision %" PRIu64 "%s\n", id,
		       status_name(c->status), c->revision,
		       c->resent ? ", resent" : "");
}

static void show_version(script_t *sc, const char *adapter, const char *host)
{
	host_id_t id = host_named(sc, host);
	const sim_host_t *h = id ? &sc->sim->hosts[id - 1] : NULL;
	const adapter_t *a =
		h && h->tables
			? decided_adapter_by_name(h->tables, str_c(adapter))
			: NULL;

	printf("version of %s at %s: %u\n", adapter, host,
	       a ? a->current_version : 0);
}

static void do_show(script_t *sc, int argc, char **argv)
{
	sim_t *s = sim_started(sc);
	sim_engine_t *e;

	if (!strcmp(argv[1], "in-force"))
		printf("in force: %s\n", sim_tables_in_force(s) ? "yes" : "no");
	else if (!strcmp(argv[1], "leader"))
		printf("leader: entry-%u\n", sim_leader(s));
	else if (argc < 3)
		script_error(sc, "show: unknown or incomplete arguments");
	else if (!strcmp(argv[1], "request"))
		show_request(sc, argv[2]);
	else if (!strcmp(argv[1], "change"))
		show_change(sc, argv[2]);
	else if (!strcmp(argv[1], "key"))
		printf("key %s: ran %u\n", argv[2],
		       sim_key_run_count(s, argv[2]));
	else if (!strcmp(argv[1], "owner") && (e = target_named(sc, argv[2])))
		printf("owner of %s: entry-%u\n", argv[2], sim_owner(s, e));
	else if (!strcmp(argv[1], "version") && argc > 3)
		show_version(sc, argv[2], argv[3]);
	else
		script_error(sc, "show: unknown or incomplete arguments");
}

static void do_name(script_t *sc, int argc, char **argv)
{
	host_id_t id = host_named(sc, argv[2]);

	g_hash_table_insert(sc->hosts, g_strdup(argv[1]), GUINT_TO_POINTER(id));
}

static void do_seed(script_t *sc, int argc, char **argv)
{
	sc->cfg.seed = strtoull(argv[1], NULL, 10);
	if (sc->sim)
		script_error(sc, "'seed' must come first");
}

static void do_retries(script_t *sc, int argc, char **argv)
{
	sim_started(sc)->cfg.retry = !strcmp(argv[1], "on");
}

/* --- commands ----------------------------------------------------------- */

static const struct {
	const char *name;
	int min_words; /* with the command itself */
	void (*run)(script_t *sc, int argc, char **argv);
} commands[] = {
	{"seed", 2, do_seed},
	{"retries", 2, do_retries},
	{"wait", 2, do_wait},
	{"until", 2, do_until},
	{"ask", 3, do_ask},
	{"call", 3, do_call},
	{"change", 3, do_change},
	{"publish", 4, do_publish},
	{"resend", 2, do_resend},
	{"kill", 2, do_host},
	{"start", 2, do_host},
	{"cut", 2, do_host},
	{"heal", 2, do_host},
	{"drain", 2, do_host},
	{"wipe", 2, do_host},
	{"down", 2, do_target},
	{"restart", 2, do_target},
	{"leave", 2, do_target},
	{"unfenced", 2, do_target},
	{"fault", 4, do_fault},
	{"show", 2, do_show},
	{"name", 3, do_name},
	{"store-factor", 2, do_store_factor},
};

static void run_line(script_t *sc, const char *line)
{
	GError *err = NULL;
	gchar **argv;
	gint argc;

	if (!g_shell_parse_argv(line, &argc, &argv, &err)) {
		if (err->code != G_SHELL_ERROR_EMPTY_STRING)
			script_error(sc, "%s", err->message);
		g_error_free(err);
		return;
	}
	for (size_t i = 0; i < ARRAY_SIZE(commands); i++) {
		if (strcmp(commands[i].name, argv[0]))
			continue;
		if (argc < commands[i].min_words)
			script_error(sc, "'%s' needs more arguments", argv[0]);
		else
			commands[i].run(sc, argc, argv);
		g_strfreev(argv);
		return;
	}
	script_error(sc, "no command '%s'", argv[0]);
	g_strfreev(argv);
}

/* Prints the violations, after all requests had time to end. */
static void finish(script_t *sc)
{
	sim_t *s = sim_started(sc);
	bool none = true;

	sim_run_until(s, sim_now(s) + SETTLE_US);
	sim_check_outcomes(s);
	sim_check_decided(s);
	printf("violations:");
	for (size_t i = 0; i < SIM_VIOLATION_COUNT; i++) {
		if (!s->violations[i])
			continue;
		printf(" %s=%" PRIu64, sim_violation_name((sim_violation_t)i),
		       s->violations[i]);
		none = false;
	}
	printf("%s\n", none ? " none" : "");
}

static int run_file(script_t *sc, FILE *f)
{
	char line[4096];

	while (!sc->failed && fgets(line, sizeof(line), f)) {
		sc->line++;
		run_line(sc, line);
	}
	if (!sc->failed)
		finish(sc);
	return sc->failed ? 2 : 0;
}

static void serve_settings(script_t *sc)
{
	serve_cfg_t *cfg = &sc->cfg.serve;
	const deploy_t *d = &sc->deploy;

	serve_cfg_default(cfg);
	cfg->store_concurrency = (uint32_t)d->store_concurrency;
	cfg->store_rate_per_s =
		1000.0 * (double)d->store_concurrency / (double)d->load_ms;
	cfg->step_us = d->step_us;
	cfg->step_growth = d->step_growth;
	cfg->load_us = d->load_ms * USEC_PER_MSEC;
	cfg->address_ttl_us = d->address_ttl_ms * USEC_PER_MSEC;
}

static void script_free(script_t *sc)
{
	if (sc->sim)
		sim_free(sc->sim);
	g_hash_table_destroy(sc->requests);
	g_hash_table_destroy(sc->hosts);
	g_ptr_array_free(sc->arrivals, TRUE);
	deploy_free(&sc->deploy);
}

int main(int argc, char **argv)
{
	bool log = argc > 2 && !strcmp(argv[1], "--log");
	script_t sc = {.path = argv[argc - 1]};
	FILE *f;
	int rc;

	if (argc < 2 || argc > 3 || (argc == 3 && !log)) {
		fprintf(stderr, "usage: scenario [--log] FILE\n");
		return 2;
	}
	if (deploy_load(&sc.deploy, DEPLOYMENT_FILE))
		return 2;
	f = fopen(sc.path, "r");
	if (!f) {
		perror(sc.path);
		return 2;
	}
	log_set_level(log ? LOG_DEBUG : LOG_CRIT);
	sc.cfg.deploy = &sc.deploy;
	sc.cfg.seed = 1;
	sc.cfg.retry = true;
	sc.cfg.with_state_cores = true;
	sc.cfg.log = log ? log_line : NULL;
	serve_settings(&sc);
	sc.requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sc.hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sc.arrivals = g_ptr_array_new_with_free_func(free);
	rc = run_file(&sc, f);
	fclose(f);
	script_free(&sc);
	return rc;
}
