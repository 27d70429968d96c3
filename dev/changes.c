/*
 * changes.c - sends operators' changes to running daemons, one after the other,
 * and measures how long each takes. Each change publishes one adapter and is
 * resent under the same id until it has an outcome.
 *
 *   changes --server IP:PORT... --token T --count N [--wait-ms N] [--verify]
 *
 * Prints one JSON object: percentiles of the time until a change is accepted
 * (with --wait-ms: in force), in milliseconds; the longest time between two
 * acceptances; and counts of what went wrong. With --verify it then checks that
 * every server has all adapters of the accepted changes, each at version 1, and
 * none beyond those of the changes without an outcome. Exits with 1 where a
 * change had no outcome or a server's adapters are wrong.
 */
#include "client.h"
#include "lib_stats.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define CHANGE_TIMEOUT_MS 60000
#define ADAPTERS_MAX 20000
/*
 * A change is in force everywhere within this time, so --verify polls a server
 * for at most as long, and this often.
 */
#define APPLY_TIMEOUT_MS 4000
#define APPLY_POLL_MS 20

static gchar **servers;
static char *token;
static char *prefix;
static int count = 100;
static int wait_ms;
static gboolean verify;

static const GOptionEntry options[] = {
	{"server", 's', 0, G_OPTION_ARG_STRING_ARRAY, &servers,
	 "Operators' address of a daemon; may be repeated", "IP:PORT"},
	{"token", 't', 0, G_OPTION_ARG_STRING, &token, "Operators' token",
	 "TOKEN"},
	{"prefix", 'p', 0, G_OPTION_ARG_STRING, &prefix,
	 "Prefix of adapter names and change ids", "TEXT"},
	{"count", 'n', 0, G_OPTION_ARG_INT, &count, "Number of changes", "N"},
	{"wait-ms", 'w', 0, G_OPTION_ARG_INT, &wait_ms,
	 "Longest wait until a change is in force everywhere", "MS"},
	{"verify", 0, 0, G_OPTION_ARG_NONE, &verify,
	 "Check the adapters on every server", NULL},
	{0},
};

typedef struct totals {
	int decided;
	int resent;    /* decided, but only a later submission was told so */
	int conflict;  /* a newer revision was decided first; sent again */
	int failed;    /* no outcome within CHANGE_TIMEOUT_MS */
	int late;      /* not in force everywhere within --wait-ms */
	stats_t ms;    /* time from submission to outcome */
	double gap_ms; /* longest time between two acceptances */
} totals_t;

static double now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000;
}

/* Submits change i; the client library resends it until it has an outcome. */
static json_t *submit(client_t *c, int i, json_int_t base)
{
	g_autofree char *body = NULL;
	json_t *reply = NULL;

	body = g_strdup_printf(
		"{\"change_id\":\"%s-%d-%" PRId64
		"\",\"base_revision\":%" PRId64
		",\"wait_ms\":%d,\"ops\":[{\"adapter_publish\":{\"names\":"
		"[\"%s-%d\"],\"version\":1,\"base_model\":\"base\"}}]}",
		prefix, i, (int64_t)base, (int64_t)base, wait_ms, prefix, i);
	client_post(c, "/v1/admin/change", body, CHANGE_TIMEOUT_MS, &reply);
	return reply;
}

static const char *string_member(const json_t *j, const char *name)
{
	const char *s = json_string_value(json_object_get(j, name));

	return s ? s : "";
}

/* 0 if decided, 1 to submit again on the revision *base, -1 if no outcome. */
static int record_outcome(const json_t *reply, totals_t *t, json_int_t *base)
{
	json_int_t revision =
		json_integer_value(json_object_get(reply, "revision"));
	const json_t *in_force = json_object_get(reply, "in_force");

	if (strcmp(string_member(reply, "status"), "conflict") == 0) {
		t->conflict++;
		*base = revision;
		return 1;
	}
	if (strcmp(string_member(reply, "status"), "decided") != 0)
		return -1;
	*base = revision;
	t->decided++;
	if (json_is_true(json_object_get(reply, "resent")))
		t->resent++;
	if (wait_ms && !json_is_true(json_object_get(in_force, "in_force")))
		t->late++;
	return 0;
}

static int make_change(client_t *c, int i, totals_t *t, json_int_t *base)
{
	int rc = 1;

	while (rc == 1) {
		json_t *reply = submit(c, i, *base);

		rc = record_outcome(reply, t, base);
		if (rc < 0) {
			g_autofree char *reply_text = json_dumps(reply, 0);

			fprintf(stderr,
				"changes: change %d failed: status=%ld %s %s\n",
				i, c->http_status, c->error,
				reply_text ? reply_text : "");
		}
		json_decref(reply);
	}
	return rc;
}

static json_int_t current_revision(client_t *c)
{
	json_t *reply = NULL;
	json_int_t revision;

	client_get(c, "/v1/admin/status", &reply);
	revision = json_integer_value(json_object_get(reply, "revision"));
	json_decref(reply);
	return revision;
}

static void make_changes(client_t *c, totals_t *t)
{
	json_int_t base = current_revision(c);
	double last_accepted_ms = now_ms();

	for (int i = 0; i < count; i++) {
		double start_ms = now_ms();

		if (make_change(c, i, t, &base)) {
			t->failed++;
			base = current_revision(c);
			continue;
		}
		stats_add(&t->ms, now_ms() - start_ms);
		t->gap_ms = MAX(t->gap_ms, now_ms() - last_accepted_ms);
		last_accepted_ms = now_ms();
	}
}

/*
 * Number of adapters with our prefix on one server; negative where one is not
 * at version 1 alone.
 */
static int count_adapters(client_t *c, const char *addr)
{
	g_autofree char *path = NULL;
	json_t *reply = NULL;
	json_t *adapters, *adapter;
	size_t i;
	int n = 0;

	path = g_strdup_printf("/v1/admin/adapters?prefix=%s-&limit=%d", prefix,
			       ADAPTERS_MAX);
	client_get_from(c, addr, path, &reply);
	adapters = json_object_get(reply, "adapters");
	json_array_foreach(adapters, i, adapter)
	{
		json_t *v = json_object_get(adapter, "versions");

		if (json_array_size(v) != 1 ||
		    json_integer_value(json_array_get(v, 0)) != 1)
			n = G_MININT;
		n++;
	}
	json_decref(reply);
	return n;
}

/* Waits until a server has the expected adapters; returns how many it has. */
static int wait_for_adapters(client_t *c, const char *addr, int expected)
{
	double end = now_ms() + APPLY_TIMEOUT_MS;
	int n = count_adapters(c, addr);

	while (n >= 0 && n < expected && now_ms() < end) {
		g_usleep(APPLY_POLL_MS * 1000);
		n = count_adapters(c, addr);
	}
	return n;
}

static int verify_servers(client_t *c, const totals_t *t)
{
	int wrong = 0;

	for (size_t i = 0; servers[i]; i++) {
		int n = wait_for_adapters(c, servers[i], t->decided);

		if (n >= t->decided && n <= t->decided + t->failed)
			continue;
		fprintf(stderr, "changes: %s has %d adapters, expected %d\n",
			servers[i], n, t->decided);
		wrong++;
	}
	return wrong;
}

int main(int argc, char **argv)
{
	g_autoptr(GOptionContext) opts = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	client_t c = {0};
	totals_t t = {0};
	int wrong = 0;

	g_option_context_add_main_entries(opts, options, NULL);
	if (!g_option_context_parse(opts, &argc, &argv, &err) || !servers ||
	    !token) {
		fprintf(stderr, "changes: %s\n",
			err ? err->message : "--server and --token are needed");
		return 2;
	}
	if (client_init(&c))
		return 2;
	prefix = prefix ? prefix : "probe";
	c.token = g_strdup(token);
	c.timeout_ms = 10000;
	for (size_t i = 0; servers[i]; i++)
		client_add_servers(&c, servers[i]);
	make_changes(&c, &t);
	if (verify)
		wrong = verify_servers(&c, &t);
	printf("{\"changes\":%d,\"decided\":%d,\"resent\":%d,\"conflict\":%d,"
	       "\"failed\":%d,\"late\":%d,\"p50_ms\":%.1f,\"p99_ms\":%.1f,"
	       "\"max_ms\":%.1f,\"gap_max_ms\":%.1f,\"wrong_servers\":%d}\n",
	       count, t.decided, t.resent, t.conflict, t.failed, t.late,
	       stats_percentile(&t.ms, 50), stats_percentile(&t.ms, 99),
	       stats_percentile(&t.ms, 100), t.gap_ms, wrong);
	client_free(&c);
	return wrong || t.failed ? 1 : 0;
}
