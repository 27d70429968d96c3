/* site_ports.c - readiness, addresses for callers, and control calls. */
#include "site_int.h"

#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "counter.h"
#include "hist.h"
#include "log.h"

#define PORT_HEAD_MAX 16384u
#define PORT_HEAD_TIMEOUT_US (3 * USEC_PER_SEC)
#define PORT_IDLE_US (10 * USEC_PER_SEC)
#define PORT_BODY_MAX (8u << 20)
/* A caller of control waits a second before it asks another daemon. */
#define CALL_WAIT_US (850 * USEC_PER_MSEC)
/* How long callers keep an address answer. */
#define ADDRESS_TTL_US (2 * USEC_PER_SEC)
#define ADDRESSES_MAX 64u
/* Prometheus text, on a port of its own beside the platform's. */
#define METRICS_PORT 9464
#define METRICS_PATH "/metrics"
/* With fewer in the caller's failure domain, it gets all addresses. */
#define NEAR_MIN 2u

/* One call on a port. */
typedef struct port_call {
	struct cds_list_head node; /* of those that wait */
	site_t *site;
	http1_conn_t *conn;
	bool keep;
	bool waiting;
	site_call_t call;
	buf_t target;
	buf_t body;
	uint64_t tag;	  /* of its proposal */
	uint64_t version; /* of the manifest it brought */
	int64_t begun_us; /* its head was read */
	int64_t asked_us;
	timer_sub_t timer;
} port_call_t;

static void stop_waiting(port_call_t *c)
{
	if (c->waiting)
		cds_list_del(&c->node);
	c->waiting = false;
	timer_svc_cancel(c->site->timers, &c->timer);
}

static void call_free(port_call_t *c)
{
	stop_waiting(c);
	buf_free(&c->target);
	buf_free(&c->body);
	free(c);
}

/* Names of operators' calls; NULL: not one. */
static const char *operator_call(site_call_t call)
{
	switch (call) {
	case CALL_PUT_MANIFEST:
		return "put_manifest";
	case CALL_GET_MANIFEST:
		return "get_manifest";
	case CALL_PUT_ADAPTER_VERSION:
		return "put_version";
	default:
		return NULL;
	}
}

static void log_answer(const port_call_t *c, int status)
{
	const char *call = operator_call(c->call);
	int64_t us = site_now(c->site) - c->begun_us;

	if (call)
		log_event(LOG_INFO, "control_answered", KV_C("call", call),
			  kv_i("status", status),
			  kv_i("after_ms", us / USEC_PER_MSEC));
}

static void respond_as(port_call_t *c, int status, const char *type, str_t body)
{
	AUTO_BUF buf_t out = {0};

	stop_waiting(c);
	log_answer(c, status);
	buf_printf(&out,
		   "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
		   "Content-Length: %zu\r\n%s\r\n",
		   status, http_status_str((enum http_status)status), type,
		   body.n, c->keep ? "" : "Connection: close\r\n");
	buf_put(&out, body.p, body.n);
	http1_send(c->conn, out.p, out.n);
	buf_free(&c->body);
	if (c->keep) {
		http1_next(c->conn);
		return;
	}
	http1_finish(c->conn);
	call_free(c);
}

static void respond(port_call_t *c, int status, str_t body)
{
	respond_as(c, status, "application/json", body);
}

static void respond_error(port_call_t *c, int status, str_t why)
{
	AUTO_BUF buf_t body = {0};

	buf_puts(&body, "{\"error\":\"");
	for (size_t i = 0; i < why.n; i++)
		if (why.p[i] >= ' ' && why.p[i] != '"' && why.p[i] != '\\')
			buf_put(&body, &why.p[i], 1);
	buf_puts(&body, "\"}");
	respond(c, status, buf_str(&body));
}

static void wait_for_log(port_call_t *c)
{
	c->waiting = true;
	cds_list_add_tail(&c->node, &c->site->calls);
	timer_svc_arm(c->site->timers, &c->timer,
		      site_now(c->site) + CALL_WAIT_US);
}

static void on_wait_over(void *ctx, int64_t now)
{
	port_call_t *c = ctx;

	(void)now;
	respond_error(c, 503, STR("the log has not decided in time"));
}

/* Control. */

static const doc_t *held_doc(const site_t *s, str_t name)
{
	return s->tables ? decided_doc_by_name(s->tables, name) : NULL;
}

static void put_manifest(port_call_t *c)
{
	site_t *s = c->site;
	AUTO_BUF buf_t error = {0};
	manifest_t *m = dialect_manifest(buf_str(&c->body), &error);
	const doc_t *held = held_doc(s, STR(DOC_MANIFEST));

	if (!m) {
		log_event(LOG_NOTICE, "manifest_refused",
			  kv_s("reason", buf_str(&error)));
		respond_error(c, 400, buf_str(&error));
		return;
	}
	if (held && held->version >= m->version) {
		/* Decided already, or overtaken: it changes nothing. */
		respond(c, 200, STR("{}"));
	} else {
		log_event(LOG_INFO, "manifest_taken",
			  kv_u("version", m->version));
		c->asked_us = site_now(s);
		c->version = m->version;
		wait_for_log(c);
		c->tag = site_put_doc(s, STR(DOC_MANIFEST), m->version,
				      buf_str(&c->body));
	}
	manifest_unref(m);
}

static void put_version(port_call_t *c)
{
	site_t *s = c->site;
	AUTO_BUF buf_t error = {0};
	AUTO_BUF buf_t name = {0};
	adapter_version_t v;
	const doc_t *held;

	if (dialect_adapter_version(buf_str(&c->body), &v, &error) < 0) {
		respond_error(c, 400, buf_str(&error));
		return;
	}
	buf_printf(&name, "%.*s/%.*s", STR_ARG(v.model), STR_ARG(v.adapter));
	held = held_doc(s, buf_str(&name));
	if (held && held->version >= v.version) {
		respond(c, 200, STR("{}"));
	} else {
		log_event(LOG_INFO, "version_taken",
			  kv_s("name", buf_str(&name)),
			  kv_u("version", v.version));
		wait_for_log(c);
		c->tag = site_put_doc(s, buf_str(&name), v.version, STR(""));
	}
	adapter_version_free(&v);
}

static void get_manifest(port_call_t *c)
{
	c->asked_us = site_now(c->site);
	wait_for_log(c);
	site_confirm(c->site);
}

static void answer_read(port_call_t *c)
{
	const doc_t *doc = held_doc(c->site, STR(DOC_MANIFEST));

	if (doc)
		respond(c, 200, doc->body);
	else
		respond_error(c, 503, STR("no manifest is decided yet"));
}

static void note_confirmed(const port_call_t *c)
{
	int64_t us = site_now(c->site) - c->asked_us;

	hist_add(HIST_MANIFEST, us);
	log_event(LOG_INFO, "manifest_confirmed", kv_u("version", c->version),
		  kv_i("after_ms", us / USEC_PER_MSEC));
}

void site_ports_changed(site_t *s, uint64_t tag, change_status_t status)
{
	port_call_t *c, *tmp;

	cds_list_for_each_entry_safe (c, tmp, &s->calls, node) {
		if (c->tag != tag || c->call == CALL_GET_MANIFEST)
			continue;
		if (status == CHANGE_DECIDED && c->call == CALL_PUT_MANIFEST)
			note_confirmed(c);
		if (status == CHANGE_DECIDED)
			respond(c, 200, STR("{}"));
		else
			respond_error(c, 503, STR("the log has no quorum"));
		return;
	}
}

void site_ports_lease_status_changed(site_t *s)
{
	port_call_t *c, *tmp;

	cds_list_for_each_entry_safe (c, tmp, &s->calls, node)
		if (c->call == CALL_GET_MANIFEST &&
		    s->lease_status.tables_confirmed_us >= c->asked_us)
			answer_read(c);
}

/* Addresses. */

static str_t host_zone(const site_t *s, host_id_t id)
{
	AUTO_BUF buf_t name = {0};
	const doc_t *doc;

	buf_puts(&name, DOC_HOST_PREFIX);
	site_host_ip(id, &name);
	doc = held_doc(s, buf_str(&name));
	return doc ? doc->body : str_n(NULL, 0);
}

/* Live hosts of a failure domain; all where zone is empty. */
static size_t pick_hosts(const site_t *s, str_t zone, host_id_t *out)
{
	size_t n = 0;

	for (size_t i = 0; i < s->lease_status.n_live && n < ADDRESSES_MAX;
	     i++) {
		host_id_t id = s->lease_status.live[i];

		if (id == s->self && s->leaving)
			continue;
		if (!zone.n || str_eq(host_zone(s, id), zone))
			out[n++] = id;
	}
	return n;
}

static void give_addresses(port_call_t *c)
{
	site_t *s = c->site;
	host_id_t hosts[ADDRESSES_MAX];
	buf_t texts[ADDRESSES_MAX] = {0};
	str_t addrs[ADDRESSES_MAX];
	AUTO_BUF buf_t body = {0};
	str_t ip, port;
	size_t n =
		pick_hosts(s, dialect_caller_zone(buf_str(&c->target)), hosts);

	if (n < NEAR_MIN)
		n = pick_hosts(s, str_n(NULL, 0), hosts);
	if (!n) {
		respond_error(c, 503, STR("no host is known to be live"));
		return;
	}
	str_split(s->set.callers_addr, ':', &ip, &port);
	for (size_t i = 0; i < n; i++) {
		site_host_ip(hosts[i], &texts[i]);
		buf_printf(&texts[i], ":%.*s", STR_ARG(port));
		addrs[i] = buf_str(&texts[i]);
	}
	counter_add(CTR_HTTP_ADDRESS_ANSWERS, 1);
	dialect_write_addresses(&body, addrs, n,
				ADDRESS_TTL_US < s->set.address_ttl_us
					? ADDRESS_TTL_US
					: s->set.address_ttl_us);
	respond(c, 200, buf_str(&body));
	for (size_t i = 0; i < n; i++)
		buf_free(&texts[i]);
}

static void give_ready(port_call_t *c)
{
	if (site_is_ready(c->site))
		respond(c, 200, STR("{}"));
	else
		respond_error(c, 503, STR("not ready"));
}

static void give_metrics(port_call_t *c)
{
	AUTO_BUF buf_t body = {0};

	counter_write(&body);
	hist_write(&body);
	buf_printf(&body,
		   "# HELP damasklug_log_lost_total Log lines that a full pipe "
		   "did not take\n# TYPE damasklug_log_lost_total counter\n"
		   "damasklug_log_lost_total %llu\n",
		   (unsigned long long)log_lost());
	respond_as(c, 200, "text/plain; version=0.0.4", buf_str(&body));
}

/* Connections. */

static void on_head(void *ctx, const http1_head_t *h)
{
	port_call_t *c = ctx;

	c->keep = h->keep_alive;
	c->call = dialect_call(h->method, h->target);
	buf_reset(&c->target);
	buf_put(&c->target, h->target.p, h->target.n);
	c->begun_us = site_now(c->site);
}

static void on_body(void *ctx, str_t piece)
{
	port_call_t *c = ctx;

	if (c->body.n + piece.n <= PORT_BODY_MAX)
		buf_put(&c->body, piece.p, piece.n);
}

static void on_end(void *ctx)
{
	port_call_t *c = ctx;

	switch (c->call) {
	case CALL_READY:
		give_ready(c);
		break;
	case CALL_ADDRESSES:
		give_addresses(c);
		break;
	case CALL_PUT_MANIFEST:
		put_manifest(c);
		break;
	case CALL_GET_MANIFEST:
		get_manifest(c);
		break;
	case CALL_PUT_ADAPTER_VERSION:
		put_version(c);
		break;
	case CALL_UNKNOWN:
		if (str_eq(buf_str(&c->target), STR(METRICS_PATH))) {
			give_metrics(c);
			break;
		}
		respond_error(c, 404, STR("no such call"));
		break;
	}
}

static void on_closed(void *ctx, http1_end_t why)
{
	(void)why;
	call_free(ctx);
}

static const http1_ops_t port_ops = {
	.head = on_head,
	.body = on_body,
	.end = on_end,
	.closed = on_closed,
};

static void *on_accepted(void *ctx, http1_conn_t *conn)
{
	port_call_t *c = xcalloc(1, sizeof(*c));

	c->site = ctx;
	c->conn = conn;
	timer_sub_init(&c->timer, on_wait_over, c);
	return c;
}

static int listen_on(site_t *s, str_t addr, http1_listener_t **out)
{
	struct sockaddr_in to;

	if (!addr.n)
		return 0;
	if (http1_parse_addr(addr, &to) == 0)
		*out = http1_listen(s->loop, &to, &s->port_limits, &port_ops,
				    on_accepted, s);
	if (*out)
		return 0;
	log_event(LOG_ERR, "listen_failed", kv_s("addr", addr));
	return -1;
}

int site_ports_start(site_t *s)
{
	AUTO_BUF buf_t metrics = {0};

	s->port_limits.head_max = PORT_HEAD_MAX;
	s->port_limits.head_timeout_us = PORT_HEAD_TIMEOUT_US;
	s->port_limits.idle_timeout_us = PORT_IDLE_US;
	CDS_INIT_LIST_HEAD(&s->calls);
	buf_printf(&metrics, "%.*s:%d", STR_ARG(s->set.ip), METRICS_PORT);
	/* Service does not depend on it. */
	listen_on(s, buf_str(&metrics), &s->metrics);
	if (listen_on(s, s->set.ready_addr, &s->ready) < 0 ||
	    listen_on(s, s->set.control_addr, &s->control) < 0 ||
	    listen_on(s, s->set.directory_addr, &s->directory) < 0)
		return -1;
	return 0;
}

void site_ports_stop(site_t *s)
{
	http1_unlisten(s->ready);
	http1_unlisten(s->control);
	http1_unlisten(s->directory);
	http1_unlisten(s->metrics);
}
