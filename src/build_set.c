/* build_set.c - set of services and versions of software, with its stored form. */
#include "build_set.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

typedef struct entry {
	str_t service; /* owned */
	str_t build;   /* owned */
	int64_t seen_us;
} entry_t;

struct build_set {
	GPtrArray *entries; /* entry_t */
};

static void entry_free(void *p)
{
	entry_t *e = p;

	str_free(&e->service);
	str_free(&e->build);
	free(e);
}

build_set_t *build_set_new(void)
{
	build_set_t *b = xcalloc(1, sizeof(*b));

	b->entries = g_ptr_array_new_with_free_func(entry_free);
	return b;
}

void build_set_free(build_set_t *b)
{
	if (!b)
		return;
	g_ptr_array_free(b->entries, TRUE);
	free(b);
}

static entry_t *find(const build_set_t *b, str_t service, str_t build)
{
	for (guint i = 0; i < b->entries->len; i++) {
		entry_t *e = g_ptr_array_index(b->entries, i);

		if (str_eq(e->service, service) && str_eq(e->build, build))
			return e;
	}
	return NULL;
}

/* The stored form has a line for each version: service, tab, version. */
static bool can_be_written(str_t s)
{
	return !s.n || (!memchr(s.p, '\t', s.n) && !memchr(s.p, '\n', s.n));
}

void build_set_add(build_set_t *b, str_t service, str_t build, int64_t now_us)
{
	entry_t *e = find(b, service, build);

	if (!can_be_written(service) || !can_be_written(build))
		return;
	if (!e) {
		e = xcalloc(1, sizeof(*e));
		e->service = str_copy(service);
		e->build = str_copy(build);
		g_ptr_array_add(b->entries, e);
	}
	e->seen_us = now_us;
}

void build_set_read(build_set_t *b, str_t body, int64_t now_us)
{
	g_ptr_array_set_size(b->entries, 0);
	while (body.n) {
		str_t line, rest, service, build;

		str_split(body, '\n', &line, &rest);
		body = rest;
		if (str_split(line, '\t', &service, &build))
			build_set_add(b, service, build, now_us);
	}
}

void build_set_write(const build_set_t *b, buf_t *out)
{
	for (guint i = 0; i < b->entries->len; i++) {
		const entry_t *e = g_ptr_array_index(b->entries, i);

		buf_printf(out, "%.*s\t%.*s\n", STR_ARG(e->service),
			   STR_ARG(e->build));
	}
}

void build_set_forget(build_set_t *b, int64_t since_us)
{
	for (guint i = b->entries->len; i > 0; i--) {
		const entry_t *e = g_ptr_array_index(b->entries, i - 1);

		if (e->seen_us < since_us)
			g_ptr_array_remove_index(b->entries, i - 1);
	}
}

bool build_set_has(const build_set_t *b, str_t service, str_t build)
{
	return find(b, service, build) != NULL;
}

str_t build_set_only(const build_set_t *b, str_t service)
{
	str_t only = str_n(NULL, 0);
	size_t n = 0;

	for (guint i = 0; i < b->entries->len; i++) {
		const entry_t *e = g_ptr_array_index(b->entries, i);

		if (!str_eq(e->service, service))
			continue;
		only = e->build;
		n++;
	}
	return n == 1 ? only : str_n(NULL, 0);
}

/* Whether no entry before number i has the same service. */
static bool is_first_of_service(const build_set_t *b, guint i)
{
	const entry_t *e = g_ptr_array_index(b->entries, i);

	for (guint k = 0; k < i; k++) {
		const entry_t *other = g_ptr_array_index(b->entries, k);

		if (str_eq(other->service, e->service))
			return false;
	}
	return true;
}

static size_t count_versions(const build_set_t *b, str_t service)
{
	size_t n = 0;

	for (guint i = 0; i < b->entries->len; i++) {
		const entry_t *e = g_ptr_array_index(b->entries, i);

		n += str_eq(e->service, service);
	}
	return n;
}

bool build_set_several(const build_set_t *b, str_t service)
{
	return count_versions(b, service) > 1;
}

size_t build_set_count_several(const build_set_t *b)
{
	size_t n = 0;

	for (guint i = 0; i < b->entries->len; i++) {
		const entry_t *e = g_ptr_array_index(b->entries, i);

		n += is_first_of_service(b, i) &&
		     build_set_several(b, e->service);
	}
	return n;
}

bool build_set_adds_several(const build_set_t *a, const build_set_t *b)
{
	for (guint i = 0; i < a->entries->len; i++) {
		const entry_t *e = g_ptr_array_index(a->entries, i);

		if (build_set_several(a, e->service) &&
		    !build_set_several(b, e->service))
			return true;
	}
	return false;
}

bool build_set_equal(const build_set_t *a, const build_set_t *b)
{
	if (a->entries->len != b->entries->len)
		return false;
	for (guint i = 0; i < a->entries->len; i++) {
		const entry_t *e = g_ptr_array_index(a->entries, i);

		if (!find(b, e->service, e->build))
			return false;
	}
	return true;
}
