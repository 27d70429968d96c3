/* manifest_check.c - findings about a manifest, and differences between two. */
#include "manifest_check.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define TEXT_MAX 256u

/* Numbers of a row that are compared by value: X(member, "name", unit) */
#define ROUTE_NUMBERS(X)                                    \
	X(kind, "kind", 1)                                  \
	X(timeout_us, "timeout, ms", USEC_PER_MSEC)         \
	X(target_us, "objective, ms", USEC_PER_MSEC)        \
	X(event_gap_us, "longest pause, ms", USEC_PER_MSEC) \
	X(priority, "priority", 1)                          \
	X(attempts, "attempts", 1)                          \
	X(resumable, "resumable", 1)                        \
	X(is_public, "public", 1)

#define SERVICE_NUMBERS(X)                   \
	X(max_conns, "connections", 1)       \
	X(engine, "model runners", 1)        \
	X(slots, "slots", 1)                 \
	X(kv_tokens, "cache, tokens", 1)     \
	X(adapter_slots, "adapter slots", 1) \
	X(weights_mb, "weights, MB", 1)      \
	X(loads_per_s, "loads a second", 1)

#define MODEL_NUMBERS(X)                           \
	X(weights_mb, "size of a model, MB", 1)    \
	X(adapter_mb, "size of an adapter, MB", 1) \
	X(load_us, "load of a model, ms", USEC_PER_MSEC)

#define ORG_NUMBERS(X)                                  \
	X(priority, "priority", 1)                      \
	X(quota_unit, "unit of its quota", 1)           \
	X(plain_tokens, "tokens of a plain request", 1) \
	X(quota_per_s, "quota a second", 1)             \
	X(quota_burst, "burst", 1)

#define LIMIT_NUMBERS(X)                                         \
	X(head_max, "largest head, bytes", 1)                    \
	X(body_max, "largest body, bytes", 1)                    \
	X(head_timeout_us, "time for a head, ms", USEC_PER_MSEC) \
	X(idle_timeout_us, "idle time, ms", USEC_PER_MSEC)

const char *finding_kind_name(finding_kind_t kind)
{
	static const char *const names[] = {
#define X(name, text, meaning) text,
		FINDING_KINDS(X)
#undef X
	};

	return names[kind];
}

bool finding_is_warning(finding_kind_t kind)
{
	return kind == FINDING_NEVER || kind == FINDING_CONTRADICTION;
}

/* The row that the next findings are about. */
typedef struct subject {
	const finding_sink_t *sink;
	const char *row;
	str_t name;
} subject_t;

__attribute__((format(printf, 3, 4))) static void
report(const subject_t *s, finding_kind_t kind, const char *fmt, ...)
{
	char text[TEXT_MAX];
	finding_t f = {kind, s->row, s->name, {0}};
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	f.text = str_c(text);
	s->sink->found(s->sink->ctx, &f);
}

static void check_match(const subject_t *s, const route_t *r)
{
	if (r->prefix.p[0] != '/')
		report(s, FINDING_NEVER,
		       "its prefix begins with no slash: no path matches");
	if (r->prefix.p[r->prefix.n - 1] != '/')
		report(s, FINDING_CONTRADICTION,
		       "its prefix ends with no slash: it matches longer "
		       "names as well");
	if (memchr(r->host.p, ':', r->host.n) ||
	    memchr(r->host.p, '/', r->host.n))
		report(s, FINDING_NEVER,
		       "its host has a port or a path: no request matches");
}

static bool may_repeat(const route_t *r)
{
	return r->kind == ROUTE_IDEMPOTENT ||
	       (r->kind == ROUTE_STREAMING && r->resumable);
}

static void check_route(const subject_t *s, const route_t *r)
{
	check_match(s, r);
	if (r->target_us > r->timeout_us)
		report(s, FINDING_CONTRADICTION,
		       "its objective is above its timeout");
	if (r->event_gap_us >= r->timeout_us)
		report(s, FINDING_CONTRADICTION,
		       "the longest pause between events is not below its "
		       "timeout");
	if (r->attempts > 1 && !may_repeat(r))
		report(s, FINDING_NEVER,
		       "%u attempts: what it serves is not repeated",
		       r->attempts);
	if (r->resumable && r->kind != ROUTE_STREAMING)
		report(s, FINDING_NEVER, "resumable, but no stream");
	for (size_t i = 0; i < r->n_shares; i++)
		if (!r->shares[i].weight)
			report(s, FINDING_NEVER,
			       "service %.*s has weight 0: it gets no request",
			       STR_ARG(r->shares[i].service));
}

static bool is_routed(const manifest_t *m, const service_t *service)
{
	for (size_t i = 0; i < m->n_routes; i++)
		for (size_t k = 0; k < m->routes[i].n_shares; k++)
			if (str_eq(m->routes[i].shares[k].service,
				   service->name))
				return true;
	return false;
}

static void check_engine(const subject_t *s, const service_t *service)
{
	if (!service->slots || !service->kv_tokens)
		report(s, FINDING_CONTRADICTION,
		       "a runner has no slot or no cache: no request runs");
	if (service->max_conns && service->max_conns < service->slots)
		report(s, FINDING_CONTRADICTION,
		       "%u connections cannot fill %u slots",
		       service->max_conns, service->slots);
	for (size_t i = 0; i < service->n_models; i++) {
		const model_spec_t *model = &service->models[i];

		if (model->weights_mb > service->weights_mb)
			report(s, FINDING_NEVER,
			       "model %.*s is larger than a runner's memory",
			       STR_ARG(model->name));
		else if (model->weights_mb + model->adapter_mb >
			 service->weights_mb)
			report(s, FINDING_NEVER,
			       "beside model %.*s there is no room for an "
			       "adapter",
			       STR_ARG(model->name));
	}
}

static void check_service(const manifest_t *m, const subject_t *s,
			  const service_t *service)
{
	if (!is_routed(m, service))
		report(s, FINDING_NEVER, "no route names it");
	if (service->engine)
		check_engine(s, service);
}

static void check_org(const manifest_t *m, const subject_t *s, uint32_t index)
{
	const organisation_t *org = &m->orgs[index];
	size_t n_keys = 0;

	for (size_t i = 0; i < m->n_keys; i++)
		n_keys += m->keys[i].org == index;
	if (!n_keys)
		report(s, FINDING_NEVER,
		       "it has no key: none of its callers is admitted");
	if (org->quota_burst > 0 && org->quota_per_s <= 0)
		report(s, FINDING_NEVER, "a burst without a quota");
}

static bool has_closed_route(const manifest_t *m)
{
	for (size_t i = 0; i < m->n_routes; i++)
		if (!m->routes[i].is_public)
			return true;
	return false;
}

static void check_whole(const manifest_t *m, const finding_sink_t *sink)
{
	const subject_t s = {sink, "manifest", {0}};

	if (m->n_orgs && !has_closed_route(m))
		report(&s, FINDING_NEVER,
		       "all routes are public: no key is asked for");
	if (m->limits.head_timeout_us > m->limits.idle_timeout_us)
		report(&s, FINDING_CONTRADICTION,
		       "the time for a head is above the idle time");
}

void manifest_check(const manifest_t *m, const finding_sink_t *sink)
{
	check_whole(m, sink);
	for (size_t i = 0; i < m->n_routes; i++) {
		const subject_t s = {sink, "route", m->routes[i].name};

		check_route(&s, &m->routes[i]);
	}
	for (size_t i = 0; i < m->n_services; i++) {
		const subject_t s = {sink, "service", m->services[i].name};

		check_service(m, &s, &m->services[i]);
	}
	for (size_t i = 0; i < m->n_orgs; i++) {
		const subject_t s = {sink, "organisation", m->orgs[i].name};

		check_org(m, &s, (uint32_t)i);
	}
}

/* Differences. */

static void diff_number(const subject_t *s, const char *name, double before,
			double after)
{
	if (before != after)
		report(s, FINDING_CHANGED, "%s: %.15g -> %.15g", name, before,
		       after);
}

static void diff_text(const subject_t *s, const char *name, str_t before,
		      str_t after)
{
	if (!str_eq(before, after))
		report(s, FINDING_CHANGED, "%s: %.*s -> %.*s", name,
		       STR_ARG(before), STR_ARG(after));
}

#define X(member, text, unit)                                       \
	diff_number(s, text, (double)before->member / (double)unit, \
		    (double)after->member / (double)unit);

static void write_shares(const route_t *r, buf_t *out)
{
	for (size_t i = 0; i < r->n_shares; i++)
		buf_printf(out, "%s%.*s %u", i ? ", " : "",
			   STR_ARG(r->shares[i].service), r->shares[i].weight);
}

static void diff_shares(const subject_t *s, const route_t *before,
			const route_t *after)
{
	AUTO_BUF buf_t old = {0};
	AUTO_BUF buf_t new = {0};

	write_shares(before, &old);
	write_shares(after, &new);
	diff_text(s, "services", buf_str(&old), buf_str(&new));
}

static void diff_route(const subject_t *s, const route_t *before,
		       const route_t *after)
{
	ROUTE_NUMBERS(X)
	diff_text(s, "name", before->name, after->name);
	diff_shares(s, before, after);
}

static void diff_model(const subject_t *s, const model_spec_t *before,
		       const model_spec_t *after)
{
	MODEL_NUMBERS(X)
}

static void diff_models(const subject_t *s, const service_t *before,
			const service_t *after)
{
	for (size_t i = 0; i < after->n_models; i++) {
		const model_spec_t *model = &after->models[i];
		const model_spec_t *old =
			service_find_model(before, model->name);

		if (old)
			diff_model(s, old, model);
		else
			report(s, FINDING_ADDED, "model %.*s",
			       STR_ARG(model->name));
	}
	for (size_t i = 0; i < before->n_models; i++)
		if (!service_find_model(after, before->models[i].name))
			report(s, FINDING_REMOVED, "model %.*s",
			       STR_ARG(before->models[i].name));
}

static void diff_service(const subject_t *s, const service_t *before,
			 const service_t *after)
{
	SERVICE_NUMBERS(X)
	diff_text(s, "health path", before->health_path, after->health_path);
	diff_models(s, before, after);
}

static void diff_org(const subject_t *s, const organisation_t *before,
		     const organisation_t *after)
{
	ORG_NUMBERS(X)
}

static void diff_limits(const subject_t *s, const manifest_limits_t *before,
			const manifest_limits_t *after)
{
	LIMIT_NUMBERS(X)
}
#undef X

/* The route of the same host and prefix, which is what a caller sees. */
static const route_t *same_route(const manifest_t *m, const route_t *r)
{
	for (size_t i = 0; i < m->n_routes; i++)
		if (str_eq(m->routes[i].host, r->host) &&
		    str_eq(m->routes[i].prefix, r->prefix))
			return &m->routes[i];
	return NULL;
}

static void diff_routes(const manifest_t *m, const manifest_t *in_force,
			const finding_sink_t *sink)
{
	for (size_t i = 0; i < m->n_routes; i++) {
		const route_t *r = &m->routes[i];
		const route_t *before = same_route(in_force, r);
		const subject_t s = {sink, "route", r->name};

		if (before)
			diff_route(&s, before, r);
		else
			report(&s, FINDING_ADDED, "%.*s%.*s", STR_ARG(r->host),
			       STR_ARG(r->prefix));
	}
	for (size_t i = 0; i < in_force->n_routes; i++) {
		const route_t *r = &in_force->routes[i];
		const subject_t s = {sink, "route", r->name};

		if (!same_route(m, r))
			report(&s, FINDING_REMOVED, "%.*s%.*s",
			       STR_ARG(r->host), STR_ARG(r->prefix));
	}
}

static void diff_services(const manifest_t *m, const manifest_t *in_force,
			  const finding_sink_t *sink)
{
	for (size_t i = 0; i < m->n_services; i++) {
		const service_t *service = &m->services[i];
		const service_t *before =
			manifest_find_service(in_force, service->name);
		const subject_t s = {sink, "service", service->name};

		if (before)
			diff_service(&s, before, service);
		else
			report(&s, FINDING_ADDED, "%s",
			       service->engine ? "model runners" : "plain");
	}
	for (size_t i = 0; i < in_force->n_services; i++) {
		const subject_t s = {sink, "service",
				     in_force->services[i].name};

		if (!manifest_find_service(m, s.name))
			report(&s, FINDING_REMOVED, "no route may name it");
	}
}

static void diff_orgs(const manifest_t *m, const manifest_t *in_force,
		      const finding_sink_t *sink)
{
	for (size_t i = 0; i < m->n_orgs; i++) {
		const organisation_t *before =
			manifest_find_org_by_name(in_force, m->orgs[i].name);
		const subject_t s = {sink, "organisation", m->orgs[i].name};

		if (before)
			diff_org(&s, before, &m->orgs[i]);
		else
			report(&s, FINDING_ADDED, "its callers are admitted");
	}
	for (size_t i = 0; i < in_force->n_orgs; i++) {
		const subject_t s = {sink, "organisation",
				     in_force->orgs[i].name};

		if (!manifest_find_org_by_name(m, s.name))
			report(&s, FINDING_REMOVED,
			       "its callers are refused from then on");
	}
}

/* Keys are known by their digests alone: only their number can be told. */
static void diff_keys(const manifest_t *m, const manifest_t *in_force,
		      const subject_t *s)
{
	size_t same = 0;

	for (size_t i = 0, k = 0; i < m->n_keys && k < in_force->n_keys;) {
		int r = memcmp(m->keys[i].digest, in_force->keys[k].digest,
			       KEY_DIGEST_BYTES);

		same += r == 0;
		i += r <= 0;
		k += r >= 0;
	}
	if (same < m->n_keys)
		report(s, FINDING_ADDED, "%zu keys", m->n_keys - same);
	if (same < in_force->n_keys)
		report(s, FINDING_REMOVED, "%zu keys", in_force->n_keys - same);
}

void manifest_diff(const manifest_t *m, const manifest_t *in_force,
		   const finding_sink_t *sink)
{
	const subject_t s = {sink, "manifest", {0}};

	if (m->version <= in_force->version)
		report(&s, FINDING_NEVER,
		       "version %llu is not above %llu, which is in force: it "
		       "would change nothing",
		       (unsigned long long)m->version,
		       (unsigned long long)in_force->version);
	diff_limits(&s, &in_force->limits, &m->limits);
	diff_keys(m, in_force, &s);
	diff_routes(m, in_force, sink);
	diff_services(m, in_force, sink);
	diff_orgs(m, in_force, sink);
}
