/*
 * hostlist.c - stand-in for the platform's list of hosts. GET /hosts returns the
 * list, where each change shows --lag-ms after it was made. POST /admin/host
 * {"name":"runner-1","state":"live|leaving|gone"} changes the state of a host.
 */
#include "lib_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define HOSTLIST_THREADS 64

static struct {
	gint port, lag_ms;
	gchar **names;
} opt = {.lag_ms = 3000};

typedef struct host {
	char *name;
	char *state;	    /* current */
	char *visible;	    /* as GET /hosts shows it */
	int64_t visible_us; /* when visible becomes state */
} host_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *hosts; /* of host_t; protected by lock */

/* The host with this name, added as gone where it is new. */
static host_t *find_or_add_host(const char *name)
{
	host_t *host;

	for (guint i = 0; i < hosts->len; i++) {
		host = hosts->pdata[i];
		if (!strcmp(host->name, name))
			return host;
	}
	host = xcalloc(1, sizeof(*host));
	host->name = str_dup(str_c(name));
	host->state = str_dup(STR("gone"));
	host->visible = str_dup(STR("gone"));
	g_ptr_array_add(hosts, host);
	return host;
}

static void set_state(host_t *host, const char *state, int64_t visible_us)
{
	free(host->state);
	host->state = str_dup(str_c(state));
	host->visible_us = visible_us;
}

static void handle_list(http_req_t *req)
{
	json_t *list = json_array();
	json_t *doc = json_pack("{s:o}", "hosts", list);

	for (guint i = 0; i < hosts->len; i++) {
		host_t *host = hosts->pdata[i];

		if (dev_now_us() >= host->visible_us) {
			free(host->visible);
			host->visible = str_dup(str_c(host->state));
		}
		if (strcmp(host->visible, "gone"))
			json_array_append_new(
				list, json_pack("{s:s,s:s}", "name", host->name,
						"state", host->visible));
	}
	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void handle_change(http_req_t *req)
{
	json_t *doc = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0,
				 NULL);
	const char *name, *state;

	if (json_unpack(doc, "{s:s,s:s}", "name", &name, "state", &state)) {
		http_error(req, 400, NULL, "bad_request");
	} else {
		set_state(find_or_add_host(name), state,
			  dev_now_us() + opt.lag_ms * USEC_PER_MSEC);
		http_json(req, 200, NULL, doc);
	}
	json_decref(doc);
}

static void handle_request(void *ctx, http_req_t *req)
{
	pthread_mutex_lock(&lock);
	if (str_eq(req->path, STR("/hosts")))
		handle_list(req);
	else if (str_eq(req->path, STR("/admin/host")))
		handle_change(req);
	else
		http_error(req, 404, NULL, "not_found");
	pthread_mutex_unlock(&lock);
}

static const GOptionEntry options[] = {
	{"port", 0, 0, G_OPTION_ARG_INT, &opt.port, "port; 0: any free port",
	 "PORT"},
	{"lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.lag_ms,
	 "delay until a change shows", "MS"},
	{G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.names,
	 "hosts that are live at the start", "HOST..."},
	G_OPTION_ENTRY_NULL};

int main(int argc, char **argv)
{
	GOptionContext *option_context =
		g_option_context_new("- stand-in host list");
	GError *err = NULL;

	g_option_context_add_main_entries(option_context, options, NULL);
	if (!g_option_context_parse(option_context, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	hosts = g_ptr_array_new();
	for (gchar **n = opt.names; n && *n; n++)
		set_state(find_or_add_host(*n), "live", 0);
	if (!http_server_start(&opt.port, HOSTLIST_THREADS, handle_request,
			       NULL)) {
		fprintf(stderr, "hostlist: cannot listen on port %d\n",
			opt.port);
		return 1;
	}
	printf("hostlist 127.0.0.1:%d\n", opt.port);
	fflush(stdout);
	dev_wait_signal();
	_Exit(0);
}
