/* manifest.c - construction, checks and search of a manifest. */
#include "manifest.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <sodium.h>

#define DEFAULT_HEAD_MAX 16384u
#define DEFAULT_BODY_MAX (4u << 20)
#define DEFAULT_HEAD_TIMEOUT_US (3 * USEC_PER_SEC)
#define DEFAULT_IDLE_TIMEOUT_US (15 * USEC_PER_SEC)

const char *route_kind_name(route_kind_t k)
{
	static const char *const names[] = {
#define X(name, text) text,
		ROUTE_KINDS(X)
#undef X
	};

	return names[k];
}

manifest_t *manifest_new(void)
{
	manifest_t *m = xcalloc(1, sizeof(*m));

	m->refs = 1;
	m->limits.head_max = DEFAULT_HEAD_MAX;
	m->limits.body_max = DEFAULT_BODY_MAX;
	m->limits.head_timeout_us = DEFAULT_HEAD_TIMEOUT_US;
	m->limits.idle_timeout_us = DEFAULT_IDLE_TIMEOUT_US;
	return m;
}

manifest_t *manifest_ref(manifest_t *m)
{
	if (m)
		__atomic_add_fetch(&m->refs, 1, __ATOMIC_RELAXED);
	return m;
}

static void route_free(route_t *r)
{
	str_free(&r->name);
	str_free(&r->host);
	str_free(&r->prefix);
	for (size_t i = 0; i < r->n_shares; i++)
		str_free(&r->shares[i].service);
	free(r->shares);
}

static void service_free(service_t *s)
{
	str_free(&s->name);
	str_free(&s->health_path);
	for (size_t i = 0; i < s->n_models; i++)
		str_free(&s->models[i].name);
	free(s->models);
}

void manifest_unref(manifest_t *m)
{
	if (!m || __atomic_sub_fetch(&m->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (size_t i = 0; i < m->n_routes; i++)
		route_free(&m->routes[i]);
	for (size_t i = 0; i < m->n_services; i++)
		service_free(&m->services[i]);
	for (size_t i = 0; i < m->n_orgs; i++)
		str_free(&m->orgs[i].name);
	free(m->routes);
	free(m->services);
	free(m->orgs);
	free(m->keys);
	free(m);
}

/* Adds a zeroed row. The capacity is the least power of two that fits n. */
static void *add_row(void **rows, size_t *n, size_t size)
{
	char *row;

	if ((*n & (*n - 1)) == 0)
		*rows = xrealloc(*rows, (*n ? *n * 2 : 1) * size);
	row = (char *)*rows + *n * size;
	memset(row, 0, size);
	(*n)++;
	return row;
}

route_t *manifest_add_route(manifest_t *m)
{
	return add_row((void **)&m->routes, &m->n_routes, sizeof(route_t));
}

service_t *manifest_add_service(manifest_t *m)
{
	return add_row((void **)&m->services, &m->n_services,
		       sizeof(service_t));
}

route_share_t *route_add_share(route_t *r)
{
	return add_row((void **)&r->shares, &r->n_shares,
		       sizeof(route_share_t));
}

model_spec_t *service_add_model(service_t *s)
{
	return add_row((void **)&s->models, &s->n_models, sizeof(model_spec_t));
}

organisation_t *manifest_add_org(manifest_t *m)
{
	return add_row((void **)&m->orgs, &m->n_orgs, sizeof(organisation_t));
}

static void key_digest(uint8_t *out, str_t key)
{
	crypto_generichash(out, KEY_DIGEST_BYTES, (const uint8_t *)key.p, key.n,
			   NULL, 0);
}

void manifest_add_key(manifest_t *m, str_t key)
{
	org_key_t *k =
		add_row((void **)&m->keys, &m->n_keys, sizeof(org_key_t));

	key_digest(k->digest, key);
	k->org = (uint32_t)(m->n_orgs - 1);
}

static int compare_keys(const void *a, const void *b)
{
	return memcmp(((const org_key_t *)a)->digest,
		      ((const org_key_t *)b)->digest, KEY_DIGEST_BYTES);
}

static int compare_hosts(str_t a, str_t b)
{
	size_t n = a.n < b.n ? a.n : b.n;
	int r = n ? strncasecmp(a.p, b.p, n) : 0;

	return r ? r : (a.n > b.n) - (a.n < b.n);
}

static int compare_routes(const void *pa, const void *pb)
{
	const route_t *a = pa;
	const route_t *b = pb;
	int r = compare_hosts(a->host, b->host);

	if (r)
		return r;
	if (a->prefix.n != b->prefix.n)
		return a->prefix.n < b->prefix.n ? 1 : -1;
	return str_cmp(a->prefix, b->prefix);
}

static int compile_route(manifest_t *m, route_t *r, buf_t *error)
{
	if (!r->timeout_us) {
		buf_printf(error, "route %.*s: timeout is 0", STR_ARG(r->name));
		return -1;
	}
	for (size_t i = 0; i < r->n_shares; i++) {
		route_share_t *share = &r->shares[i];
		const service_t *s = manifest_find_service(m, share->service);

		if (!s) {
			buf_printf(error, "route %.*s: unknown service %.*s",
				   STR_ARG(r->name), STR_ARG(share->service));
			return -1;
		}
		share->index = (uint32_t)(s - m->services);
		r->total_weight += share->weight;
	}
	if (!r->total_weight) {
		buf_printf(error, "route %.*s: weights add up to 0",
			   STR_ARG(r->name));
		return -1;
	}
	return 0;
}

static int compile_orgs(manifest_t *m, buf_t *error)
{
	if (m->n_keys)
		qsort(m->keys, m->n_keys, sizeof(*m->keys), compare_keys);
	for (size_t i = 1; i < m->n_keys; i++) {
		const org_key_t *a = &m->keys[i - 1];
		const org_key_t *b = &m->keys[i];

		if (a->org == b->org || compare_keys(a, b))
			continue;
		buf_printf(error, "organisations %.*s and %.*s share a key",
			   STR_ARG(m->orgs[a->org].name),
			   STR_ARG(m->orgs[b->org].name));
		return -1;
	}
	return 0;
}

int manifest_compile(manifest_t *m, buf_t *error)
{
	if (compile_orgs(m, error) < 0)
		return -1;
	for (size_t i = 0; i < m->n_routes; i++)
		if (compile_route(m, &m->routes[i], error) < 0)
			return -1;
	if (m->n_routes)
		qsort(m->routes, m->n_routes, sizeof(*m->routes),
		      compare_routes);
	for (size_t i = 1; i < m->n_routes; i++) {
		if (compare_routes(&m->routes[i - 1], &m->routes[i]))
			continue;
		buf_printf(error, "routes %.*s and %.*s share host and prefix",
			   STR_ARG(m->routes[i - 1].name),
			   STR_ARG(m->routes[i].name));
		return -1;
	}
	return 0;
}

static str_t without_port(str_t host)
{
	const char *colon = host.n ? memrchr(host.p, ':', host.n) : NULL;

	return colon ? str_n(host.p, (size_t)(colon - host.p)) : host;
}

static bool starts_with(str_t s, str_t prefix)
{
	return s.n >= prefix.n &&
	       (!prefix.n || memcmp(s.p, prefix.p, prefix.n) == 0);
}

/* Index of a host's first route, or of where it would be. */
static size_t first_route_of_host(const manifest_t *m, str_t host)
{
	size_t lo = 0;
	size_t hi = m->n_routes;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (compare_hosts(m->routes[mid].host, host) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

const route_t *manifest_find_route(const manifest_t *m, str_t host, str_t path)
{
	host = without_port(host);
	for (size_t i = first_route_of_host(m, host); i < m->n_routes; i++) {
		const route_t *r = &m->routes[i];

		if (compare_hosts(r->host, host))
			break;
		if (starts_with(path, r->prefix))
			return r;
	}
	return NULL;
}

const organisation_t *manifest_find_org(const manifest_t *m, str_t key)
{
	org_key_t wanted = {0};
	const org_key_t *k;

	if (!key.n || !m->n_keys)
		return NULL;
	key_digest(wanted.digest, key);
	k = bsearch(&wanted, m->keys, m->n_keys, sizeof(*m->keys),
		    compare_keys);
	return k ? &m->orgs[k->org] : NULL;
}

const organisation_t *manifest_find_org_by_name(const manifest_t *m, str_t name)
{
	for (size_t i = 0; i < m->n_orgs; i++)
		if (str_eq(m->orgs[i].name, name))
			return &m->orgs[i];
	return NULL;
}

const service_t *manifest_find_service(const manifest_t *m, str_t name)
{
	for (size_t i = 0; i < m->n_services; i++)
		if (str_eq(m->services[i].name, name))
			return &m->services[i];
	return NULL;
}

const model_spec_t *service_find_model(const service_t *s, str_t name)
{
	for (size_t i = 0; i < s->n_models; i++)
		if (str_eq(s->models[i].name, name))
			return &s->models[i];
	return NULL;
}

const route_share_t *route_pick_share(const route_t *r, uint64_t number)
{
	uint64_t offset = number % r->total_weight;

	for (size_t i = 0; i < r->n_shares; i++) {
		if (offset < r->shares[i].weight)
			return &r->shares[i];
		offset -= r->shares[i].weight;
	}
	return &r->shares[0];
}
