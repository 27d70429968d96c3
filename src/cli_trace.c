/*
 * cli_trace.c - "explain ID --logs FILE...": collects the lines that log one
 * request from the log files of several hosts, and prints them as one timeline.
 */
#include "cli_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One log line with the id of the request. */
typedef struct trace_line {
	double time_s; /* Unix time */
	str_t host;
	str_t event;
	str_t fields; /* the key=value pairs that follow the event */
	size_t read_order;
} trace_line_t;

typedef struct trace {
	GArray *lines;		  /* trace_line_t */
	GPtrArray *file_contents; /* owned; the lines refer to them */
} trace_t;

/* The value of key=value in a line; empty where there is none. */
static str_t field_value(str_t line, const char *key)
{
	size_t key_length = strlen(key);

	for (size_t i = 0; i + key_length < line.n; i++) {
		size_t end = i + key_length + 1;

		if ((i && line.p[i - 1] != ' ') ||
		    line.p[i + key_length] != '=' ||
		    memcmp(line.p + i, key, key_length))
			continue;
		while (end < line.n && line.p[end] != ' ')
			end++;
		return str_n(line.p + i + key_length + 1,
			     end - i - key_length - 1);
	}
	return str_n(NULL, 0);
}

/*
 * Parses a log line; false where it is none, or has another request id. The log
 * line starts at "ts=": a log collector may have put its own text before it.
 */
static bool parse_line(str_t line, str_t id, trace_line_t *out)
{
	const char *start = memmem(line.p, line.n, "ts=", 3);
	str_t event;

	if (!start || !str_eq(field_value(line, "id"), id))
		return false;
	line = str_n(start, line.n - (size_t)(start - line.p));
	event = field_value(line, "event");
	if (!event.n)
		return false;
	out->time_s = strtod(line.p + 3, NULL);
	out->host = field_value(line, "host");
	out->event = event;
	out->fields = str_n(event.p + event.n,
			    line.n - (size_t)(event.p + event.n - line.p));
	return true;
}

/* Adds the lines of text that have this request id. */
static void collect_lines(trace_t *trace, str_t text, str_t id)
{
	while (text.n) {
		trace_line_t parsed = {.read_order = trace->lines->len};
		str_t line, remaining;

		str_split(text, '\n', &line, &remaining);
		text = remaining;
		if (line.n && parse_line(line, id, &parsed))
			g_array_append_val(trace->lines, parsed);
	}
}

/* Reads a log file and adds its lines; -1 if it cannot be read. */
static int collect_file(trace_t *trace, const char *path, str_t id)
{
	gchar *text = NULL;
	gsize size = 0;
	GError *error = NULL;

	if (!g_file_get_contents(path, &text, &size, &error)) {
		fprintf(stderr, "damasklug: %s\n", error->message);
		g_error_free(error);
		return -1;
	}
	g_ptr_array_add(trace->file_contents, text);
	collect_lines(trace, str_n(text, size), id);
	return 0;
}

/* Orders lines by time; lines of equal time stay in the order of reading. */
static gint compare_lines(gconstpointer pa, gconstpointer pb)
{
	const trace_line_t *a = pa;
	const trace_line_t *b = pb;

	if (a->time_s != b->time_s)
		return a->time_s < b->time_s ? -1 : 1;
	return (a->read_order > b->read_order) -
	       (a->read_order < b->read_order);
}

/* Prints the fields without the id, which is the same in all lines. */
static void print_fields(str_t fields, str_t id)
{
	AUTO_BUF buf_t id_field = {0};

	buf_printf(&id_field, "id=%.*s", STR_ARG(id));
	while (fields.n) {
		str_t field, remaining;

		str_split(fields, ' ', &field, &remaining);
		fields = remaining;
		if (field.n && !str_eq(field, buf_str(&id_field)))
			printf(" %.*s", STR_ARG(field));
	}
	printf("\n");
}

static void print_lines(const trace_t *trace, str_t id)
{
	double start_s = g_array_index(trace->lines, trace_line_t, 0).time_s;

	printf("request %.*s, %u lines\n", STR_ARG(id), trace->lines->len);
	for (guint i = 0; i < trace->lines->len; i++) {
		const trace_line_t *line =
			&g_array_index(trace->lines, trace_line_t, i);

		printf("%+10.3f ms  %-20.*s %-13.*s",
		       (line->time_s - start_s) * 1000, STR_ARG(line->host),
		       STR_ARG(line->event));
		print_fields(line->fields, id);
	}
}

int cli_trace(cli_t *cli, int argc, char **argv)
{
	trace_t trace;
	str_t id;
	int rc = CLI_OK;

	if (argc < 2)
		return cli_usage_error(
			cli,
			"a request id and at least one log file are needed");
	trace.lines = g_array_new(FALSE, FALSE, sizeof(trace_line_t));
	trace.file_contents = g_ptr_array_new_with_free_func(g_free);
	id = str_c(argv[0]);
	for (int i = 1; i < argc; i++)
		if (collect_file(&trace, argv[i], id) < 0)
			rc = CLI_USAGE;
	g_array_sort(trace.lines, compare_lines);
	if (trace.lines->len)
		print_lines(&trace, id);
	else if (rc == CLI_OK)
		printf("request %s: no log line has this id\n", argv[0]);
	g_array_free(trace.lines, TRUE);
	g_ptr_array_free(trace.file_contents, TRUE);
	return rc;
}
