/*
 * store.c - stand-in for the weight store: GET /weights?adapter=NAME responds
 * when the simulated transfer of the weights ends. Up to --concurrency transfers
 * run at full speed; more share the throughput of the store, which then drops to
 * OVERSUBSCRIBED_SHARE.
 */
#include "lib_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>
#include <urcu/list.h>

#define TICK_INTERVAL_US 2000
/* Throughput with more than --concurrency transfers, relative to the full one. */
#define OVERSUBSCRIBED_SHARE 0.8

static struct {
	gint port, threads, load_ms, concurrency;
} opt = {.threads = 128, .load_ms = 330, .concurrency = 1};

typedef struct transfer {
	struct cds_list_head node;
	double remaining_us; /* remaining time at full speed */
} transfer_t;

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct cds_list_head transfers;
	int running, running_max;
	uint64_t served, failed;
	uint32_t fail_next; /* how many more transfers are to fail */
} store = {.lock = PTHREAD_MUTEX_INITIALIZER,
	   .changed = PTHREAD_COND_INITIALIZER};

/* Current speed of each transfer; 1 is full speed. */
static double transfer_speed(void)
{
	if (store.running <= opt.concurrency)
		return 1;
	return OVERSUBSCRIBED_SHARE * opt.concurrency / store.running;
}

static void *run_transfers(void *ctx)
{
	int64_t last = dev_now_us();

	for (;;) {
		int64_t now;
		transfer_t *t;

		dev_sleep_us(TICK_INTERVAL_US);
		now = dev_now_us();
		pthread_mutex_lock(&store.lock);
		cds_list_for_each_entry (t, &store.transfers, node)
			t->remaining_us -=
				(double)(now - last) * transfer_speed();
		pthread_cond_broadcast(&store.changed);
		pthread_mutex_unlock(&store.lock);
		last = now;
	}
	return NULL;
}

/* Waits for one simulated transfer; false where it fails. */
static bool wait_for_transfer(void)
{
	transfer_t t = {.remaining_us = (double)opt.load_ms * USEC_PER_MSEC};
	bool fail;

	pthread_mutex_lock(&store.lock);
	cds_list_add_tail(&t.node, &store.transfers);
	if (++store.running > store.running_max)
		store.running_max = store.running;
	while (t.remaining_us > 0)
		pthread_cond_wait(&store.changed, &store.lock);
	cds_list_del(&t.node);
	store.running--;
	fail = store.fail_next > 0;
	store.fail_next -= fail;
	store.served += !fail;
	store.failed += fail;
	pthread_mutex_unlock(&store.lock);
	return !fail;
}

/* Takes {"load_ms":N,"concurrency":N,"fail":N}, each optional. */
static void handle_config(http_req_t *req)
{
	json_t *doc = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0,
				 NULL);
	int fail = 0;

	pthread_mutex_lock(&store.lock);
	json_unpack(doc, "{s?i,s?i,s?i}", "load_ms", &opt.load_ms,
		    "concurrency", &opt.concurrency, "fail", &fail);
	store.fail_next = (uint32_t)fail;
	pthread_mutex_unlock(&store.lock);
	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void handle_report(http_req_t *req)
{
	json_t *doc;

	pthread_mutex_lock(&store.lock);
	doc = json_pack("{s:I,s:I,s:i,s:i}", "served", (json_int_t)store.served,
			"failed", (json_int_t)store.failed, "running",
			store.running, "running_max", store.running_max);
	pthread_mutex_unlock(&store.lock);
	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void handle_request(void *ctx, http_req_t *req)
{
	if (str_eq(req->path, STR("/admin/config")))
		handle_config(req);
	else if (str_eq(req->path, STR("/admin/report")))
		handle_report(req);
	else if (!str_eq(req->path, STR("/weights")))
		http_error(req, 404, NULL, "not_found");
	else if (wait_for_transfer())
		http_text(req, 200, "application/octet-stream", STR("weights"));
	else
		http_error(req, 500, NULL, "store_failed");
}

static const GOptionEntry options[] = {
	{"port", 0, 0, G_OPTION_ARG_INT, &opt.port, "port; 0: any free port",
	 "PORT"},
	{"load-ms", 0, 0, G_OPTION_ARG_INT, &opt.load_ms,
	 "time of one transfer at full speed", "MS"},
	{"concurrency", 0, 0, G_OPTION_ARG_INT, &opt.concurrency,
	 "transfers at full speed", "N"},
	G_OPTION_ENTRY_NULL};

int main(int argc, char **argv)
{
	GOptionContext *option_context =
		g_option_context_new("- stand-in weight store");
	GError *err = NULL;
	pthread_t ticker;

	g_option_context_add_main_entries(option_context, options, NULL);
	if (!g_option_context_parse(option_context, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	CDS_INIT_LIST_HEAD(&store.transfers);
	if (pthread_create(&ticker, NULL, run_transfers, NULL) ||
	    !http_server_start(&opt.port, opt.threads, handle_request, NULL)) {
		fprintf(stderr, "store: cannot listen on port %d\n", opt.port);
		return 1;
	}
	printf("store 127.0.0.1:%d\n", opt.port);
	fflush(stdout);
	dev_wait_signal();
	_Exit(0);
}
