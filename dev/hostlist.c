/*
 * hostlist.c - stand-in for the platform's list of hosts: GET /hosts gives the
 * list as it was --lag-ms ago. POST /admin/host
 * {"name":"runner-1","state":"live|leaving|gone"} changes it.
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

typedef struct row {
	char *name;
	char *state;   /* now */
	char *visible; /* in the lagging list */
	int64_t visible_us;
} row_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *rows; /* of row_t, under lock */

static row_t *row_of(const char *name)
{
	row_t *row;

	for (guint i = 0; i < rows->len; i++) {
		row = rows->pdata[i];
		if (!strcmp(row->name, name))
			return row;
	}
	row = xcalloc(1, sizeof(*row));
	row->name = str_dup(str_c(name));
	row->state = str_dup(STR("gone"));
	row->visible = str_dup(STR("gone"));
	g_ptr_array_add(rows, row);
	return row;
}

static void set_state(row_t *row, const char *state, int64_t visible_us)
{
	free(row->state);
	row->state = str_dup(str_c(state));
	row->visible_us = visible_us;
}

static void list(http_req_t *req)
{
	json_t *hosts = json_array();
	json_t *doc = json_pack("{s:o}", "hosts", hosts);

	for (guint i = 0; i < rows->len; i++) {
		row_t *row = rows->pdata[i];

		if (dev_now_us() >= row->visible_us) {
			free(row->visible);
			row->visible = str_dup(str_c(row->state));
		}
		if (strcmp(row->visible, "gone"))
			json_array_append_new(
				hosts, json_pack("{s:s,s:s}", "name", row->name,
						 "state", row->visible));
	}
	http_json(req, 200, NULL, doc);
	json_decref(doc);
}

static void change(http_req_t *req)
{
	json_t *doc = json_loadb(req->body.p ? req->body.p : "", req->body.n, 0,
				 NULL);
	const char *name, *state;

	if (json_unpack(doc, "{s:s,s:s}", "name", &name, "state", &state)) {
		http_error(req, 400, NULL, "bad_request");
	} else {
		set_state(row_of(name), state,
			  dev_now_us() + opt.lag_ms * USEC_PER_MSEC);
		http_json(req, 200, NULL, doc);
	}
	json_decref(doc);
}

static void handle(void *ctx, http_req_t *req)
{
	pthread_mutex_lock(&lock);
	if (str_eq(req->path, STR("/hosts")))
		list(req);
	else if (str_eq(req->path, STR("/admin/host")))
		change(req);
	else
		http_error(req, 404, NULL, "not_found");
	pthread_mutex_unlock(&lock);
}

static const GOptionEntry options[] = {
	{"port", 0, 0, G_OPTION_ARG_INT, &opt.port, "port; 0: a free one",
	 "PORT"},
	{"lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.lag_ms, "age of the list",
	 "MS"},
	{G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.names,
	 "hosts live at the start", "HOST..."},
	G_OPTION_ENTRY_NULL};

int main(int argc, char **argv)
{
	GOptionContext *oc = g_option_context_new("- stand-in host list");
	GError *err = NULL;

	g_option_context_add_main_entries(oc, options, NULL);
	if (!g_option_context_parse(oc, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		return 2;
	}
	rows = g_ptr_array_new();
	for (gchar **n = opt.names; n && *n; n++)
		set_state(row_of(*n), "live", 0);
	if (!http_server_start(&opt.port, HOSTLIST_THREADS, handle, NULL)) {
		fprintf(stderr, "cannot listen on port %d\n", opt.port);
		return 1;
	}
	printf("hostlist 127.0.0.1:%d\n", opt.port);
	fflush(stdout);
	dev_wait_signal();
	_Exit(0);
}
