/* log.c - key=value lines on standard error. */
#include "log.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static atomic_int log_level = LOG_INFO;

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

static void put_quoted(buf_t *out, str_t s)
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
		else if (kv->kind == 'u')
			buf_printf(out, "%llu", (unsigned long long)kv->u);
		else if (kv->kind == 'f')
			buf_printf(out, "%.6g", kv->f);
		else if (needs_quotes(kv->s))
			put_quoted(out, kv->s);
		else
			buf_put(out, kv->s.p, kv->s.n);
	}
}

void log_write(int prio, const char *event, const kv_t *kvs, size_t n)
{
	AUTO_BUF buf_t line = {0};
	struct timespec ts;
	ssize_t written;

	if (prio > atomic_load_explicit(&log_level, memory_order_relaxed))
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	buf_printf(&line, "<%d>ts=%lld.%06ld event=%s%s", prio,
		   (long long)ts.tv_sec, ts.tv_nsec / 1000, event,
		   n ? " " : "");
	log_format(&line, kvs, n);
	buf_puts(&line, "\n");
	/* One write a line, so that lines of several threads do not mix. */
	written = write(STDERR_FILENO, line.p, line.n);
	(void)written;
}
