/*
 * service.c - stand-in for plain HTTP services: counts the runs of each
 * Idempotency-Key and never suppresses a second run, so that checks can see
 * duplicates.
 *
 *   service --name field-records --count 3
 */
#include "lib_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* How long a stalled call stays open before its connection closes. */
#define STALL_US (20 * USEC_PER_SEC)

static struct {
	gchar *name;
	gint port, count, threads, delay_ms;
} opt = {.count = 1, .threads = 64, .delay_ms = 20};

typedef struct service {
	char name[64];
	int port;
	pthread_mutex_t lock;
	/* The lock protects all fields below. */
	GHashTable *runs; /* Idempotency-Key -> number of runs */
	uint64_t total;
	uint64_t boot_id;
	bool leaving;
	uint32_t refuse, stall, drop; /* times each is still to be injected */
} service_t;

/* Returns true, and counts down, where the fault is to be injected now. */
static bool take_fault(uint32_t *n)
{
	if (!*n)
		return false;
	--*n;
	return true;
}

/* Counts a run of the key; returns how often it has run. */
static unsigned count_run(service_t *s, str_t key)
{
	char *k = str_dup(key);
	unsigned n = GPOINTER_TO_UINT(g_hash_table_lookup(s->runs, k)) + 1;

	s->total++;
	g_hash_table_insert(s->runs, k, GUINT_TO_POINTER(n));
	return n;
}

static void handle_call(service_t *s, http_req_t *req)
{
	str_t key = http_header(req, "Idempotency-Key");
	char headers[64], hash[17];
	bool stall, drop;
	unsigned n;
	json_t *doc;

	snprintf(headers, sizeof(headers), "X-Boot-Id: %lu\r\n", s->boot_id);
	pthread_mutex_lock(&s->lock);
	if (s->leaving || take_fault(&s->refuse)) {
		pthread_mutex_unlock(&s->lock);
		http_error(req, 503, headers,
			   s->leaving ? "leaving" : "refused");
		return;
	}
	stall = take_fault(&s->stall);
	drop = take_fault(&s->drop);
	n = count_run(s, key);
	pthread_mutex_unlock(&s->lock);
	dev_sleep_us(stall ? STALL_US : opt.delay_ms * USEC_PER_MSEC);
	if (stall || drop) {
		http_close_after_response(req);
		return;
	}
	snprintf(hash, sizeof(hash), "%016lx",
		 hash_bytes(req->body.p, req->body.n, 0));
	doc = json_pack("{s:s%,s:s,s:i,s:s}", "key", key.p ? key.p : "", key.n,
			"body_hash", hash, "run", (int)n, "service", s->name);
	http_json(req, 200, headers, doc);
	json_decref(doc);
}

static void handle_runs(service_t *s, http_req_t *req)
{
	char key[256];
	json_t *doc = json_object();
	GHashTableIter it;
	gpointer k, v;

	pthread_mutex_lock(&s->lock);
	if (http_query_param(req, "key", key, sizeof(key))) {
		v = g_hash_table_lookup(s->runs, key);
		json_object_set_new(doc, key,
				    json_integer(GPOINTER_TO_UINT(v)));
	} else {
		g_hash_table_iter_init(&it, s->runs);
		while (g_hash_table_iter_next(&it, &k, &v))
			json_object_set_new(doc, k,
					    json_integer(GPOINTER_TO_UINT(v)));
	}
	pthread_mutex_unlock(&s->lock);
	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void clear_faults(service_t *s)
{
	s->leaving = false;
	s->refuse = 0;
	s->stall = 0;
	s->drop = 0;
}

static void handle_fault(service_t *s, http_req_t *req)
{
	json_t *doc = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0,
				 NULL);
	const char *kind = "";
	int n = 1;

	json_unpack(doc, "{s:s,s?i}", "kind", &kind, "count", &n);
	pthread_mutex_lock(&s->lock);
	if (!strcmp(kind, "refuse"))
		s->refuse = (uint32_t)n;
	else if (!strcmp(kind, "stall"))
		s->stall = (uint32_t)n;
	else if (!strcmp(kind, "drop_stream"))
		s->drop = (uint32_t)n;
	else if (!strcmp(kind, "leaving"))
		s->leaving = true;
	else if (!strcmp(kind, "none"))
		clear_faults(s);
	pthread_mutex_unlock(&s->lock);
	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void handle_health(service_t *s, http_req_t *req)
{
	json_t *doc = json_pack("{s:b}", "leaving", (int)s->leaving);
	char headers[64];

	snprintf(headers, sizeof(headers), "X-Boot-Id: %lu\r\n", s->boot_id);
	http_json(req, 200, headers, doc);
	json_decref(doc);
}

static void handle_request(void *ctx, http_req_t *req)
{
	service_t *s = ctx;

	if (str_eq(req->path, STR("/health")))
		handle_health(s, req);
	else if (str_eq(req->path, STR("/admin/runs")))
		handle_runs(s, req);
	else if (str_eq(req->path, STR("/admin/fault")))
		handle_fault(s, req);
	else if (str_eq(req->method, STR("POST")))
		handle_call(s, req);
	else
		http_error(req, 404, NULL, "not_found");
}

static int service_start(service_t *s, int i)
{
	if (opt.count > 1)
		snprintf(s->name, sizeof(s->name), "%s-%d", opt.name, i + 1);
	else
		snprintf(s->name, sizeof(s->name), "%s", opt.name);
	s->port = opt.port ? opt.port + i : 0;
	s->boot_id = (uint64_t)dev_now_us();
	s->runs = g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
	pthread_mutex_init(&s->lock, NULL);
	if (!http_server_start(&s->port, opt.threads, handle_request, s)) {
		fprintf(stderr, "service: cannot listen on port %d\n", s->port);
		return -1;
	}
	printf("%s 127.0.0.1:%d\n", s->name, s->port);
	return 0;
}

static const GOptionEntry options[] = {
	{"name", 0, 0, G_OPTION_ARG_STRING, &opt.name,
	 "service name; with --count, its prefix", "NAME"},
	{"port", 0, 0, G_OPTION_ARG_INT, &opt.port,
	 "first port; 0: any free ports", "PORT"},
	{"count", 0, 0, G_OPTION_ARG_INT, &opt.count, "number of services",
	 "N"},
	{"threads", 0, 0, G_OPTION_ARG_INT, &opt.threads,
	 "maximum concurrent connections", "N"},
	{"delay-ms", 0, 0, G_OPTION_ARG_INT, &opt.delay_ms,
	 "duration of a call", "MS"},
	G_OPTION_ENTRY_NULL};

int main(int argc, char **argv)
{
	GOptionContext *option_context =
		g_option_context_new("- stand-in services");
	GError *err = NULL;
	service_t *services;

	g_option_context_add_main_entries(option_context, options, NULL);
	if (!g_option_context_parse(option_context, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	if (!opt.name)
		opt.name = "service";
	services = xcalloc((size_t)opt.count, sizeof(*services));
	for (int i = 0; i < opt.count; i++)
		if (service_start(&services[i], i))
			return 1;
	fflush(stdout);
	dev_wait_signal();
	_Exit(0);
}
