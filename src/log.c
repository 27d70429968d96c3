/* log.c - key=value lines on standard error or standard output. */
#include "log.h"

#include "event.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/*
 * A pipe that poll() reports as writable takes a write of this many bytes
 * without blocking (POSIX, PIPE_BUF).
 */
#define PIPE_WRITE_MAX 4096u

static atomic_int log_level = LOG_INFO;
static str_t log_host; /* owned; set once, before threads start */
static bool log_stdout;
static pthread_mutex_t out_lock = PTHREAD_MUTEX_INITIALIZER;
static atomic_uint_fast64_t n_dropped_lines;
/* Of these, those that a written line has told; guarded by out_lock. */
static uint64_t n_dropped_told;

void log_set_level(int prio)
{
	atomic_store_explicit(&log_level, prio, memory_order_relaxed);
}

int log_level_parse(str_t name)
{
	static const struct {
		const char *name;
		int prio;
	} levels[] = {
		{"err", LOG_ERR},	{"warning", LOG_WARNING},
		{"notice", LOG_NOTICE}, {"info", LOG_INFO},
		{"debug", LOG_DEBUG},
	};

	for (size_t i = 0; i < ARRAY_SIZE(levels); i++)
		if (str_eq(name, str_c(levels[i].name)))
			return levels[i].prio;
	return -1;
}

static bool needs_quotes(str_t s)
{
	if (s.n == 0)
		return true;
	for (size_t i = 0; i < s.n; i++) {
		unsigned char c = (unsigned char)s.p[i];

		if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
			return true;
	}
	return false;
}

static void append_quoted(buf_t *out, str_t s)
{
	buf_puts(out, "\"");
	for (size_t i = 0; i < s.n; i++) {
		unsigned char c = (unsigned char)s.p[i];

		if (c == '"' || c == '\\')
			buf_printf(out, "\\%c", c);
		else if (c < ' ' || c == 0x7f)
			buf_printf(out, "\\x%02x", c);
		else
			buf_put(out, &c, 1);
	}
	buf_puts(out, "\"");
}

void log_format(buf_t *out, const kv_t *kvs, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const kv_t *kv = &kvs[i];

		buf_printf(out, "%s%s=", i ? " " : "", kv->key);
		if (kv->kind == 'i')
			buf_printf(out, "%lld", (long long)kv->i);
		else if (kv->kind == 'x')
			buf_printf(out, "%llx", (unsigned long long)kv->u);
		else if (kv->kind == 'u')
			buf_printf(out, "%llu", (unsigned long long)kv->u);
		else if (needs_quotes(kv->s))
			append_quoted(out, kv->s);
		else
			buf_put(out, kv->s.p, kv->s.n);
	}
}

void log_to_stdout(str_t host)
{
	log_host = str_copy(host);
	log_stdout = true;
}

uint64_t log_dropped_lines(void)
{
	return atomic_load(&n_dropped_lines);
}

static bool try_write_stdout(const buf_t *line)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return line->n <= PIPE_WRITE_MAX && poll(&p, 1, 0) == 1 &&
	       (p.revents & POLLOUT) &&
	       write(STDOUT_FILENO, line->p, line->n) == (ssize_t)line->n;
}

/*
 * Ends the line and writes it, or counts it as dropped if standard output is
 * full. A line after dropped ones tells how many they were.
 */
static void write_stdout(buf_t *line)
{
	uint64_t n_dropped;

	pthread_mutex_lock(&out_lock);
	n_dropped = atomic_load(&n_dropped_lines);
	if (n_dropped > n_dropped_told)
		buf_printf(line, " dropped=%llu",
			   (unsigned long long)(n_dropped - n_dropped_told));
	buf_puts(line, "\n");
	if (try_write_stdout(line))
		n_dropped_told = n_dropped;
	else
		atomic_fetch_add(&n_dropped_lines, 1);
	pthread_mutex_unlock(&out_lock);
}

static void format_line(buf_t *line, int prio, const char *event,
			const kv_t *kvs, size_t n, uint64_t n_left_out)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	buf_printf(line, "<%d>ts=%lld.%06ld ", prio, (long long)ts.tv_sec,
		   ts.tv_nsec / 1000);
	if (log_stdout)
		buf_printf(line, "host=%.*s ", STR_ARG(log_host));
	buf_printf(line, "event=%s%s", event, n ? " " : "");
	log_format(line, kvs, n);
	if (n_left_out)
		buf_printf(line, " suppressed=%llu",
			   (unsigned long long)n_left_out);
}

static int64_t monotonic_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

void log_write(int prio, const char *event, const kv_t *kvs, size_t n)
{
	AUTO_BUF buf_t line = {0};
	const event_info_t *e;
	uint64_t n_left_out = 0;
	ssize_t written;

	if (prio > atomic_load_explicit(&log_level, memory_order_relaxed))
		return;
	e = log_stdout ? event_find(event) : NULL;
	if (e && !event_may_write(e, monotonic_us(), &n_left_out))
		return;
	format_line(&line, prio, event, kvs, n, n_left_out);
	if (log_stdout) {
		write_stdout(&line);
		return;
	}
	buf_puts(&line, "\n");
	/* One write() per line, so that lines of several threads do not mix. */
	written = write(STDERR_FILENO, line.p, line.n);
	(void)written;
}
