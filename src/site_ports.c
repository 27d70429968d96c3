/*
 * site_ports.c - the ports for readiness, the address directory, operators'
 * control calls and metrics.
 */
#include "site_int.h"

#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "compress.h"
#include "counter.h"
#include "hist.h"
#include "log.h"

#define PORT_HEAD_MAX 16384u
#define PORT_HEAD_TIMEOUT_US (3 * USEC_PER_SEC)
#define PORT_IDLE_US (10 * USEC_PER_SEC)
/*
 * Longest wait for the replicated log: a control caller tries another daemon
 * after a second.
 */
#define LOG_WAIT_MAX_US (850 * USEC_PER_MSEC)
/* How long callers may use the addresses of a response. */
#define ADDRESS_TTL_US (2 * USEC_PER_SEC)
#define ADDRESSES_MAX 64u
/* Metrics in Prometheus text format, on a port beside those of the settings. */
#define METRICS_PORT 9464
#define METRICS_PATH "/metrics"
/*
 * On the same port, GET: what is in quarantine, a line for each cause; DELETE with a
 * slash and a cause behind it: releases that one.
 */
#define QUARANTINE_PATH "/quarantine"
/* On the same port, GET: a line for each live host, with its share of the callers. */
#define HOSTS_PATH "/hosts"
/* With fewer live hosts in its own zone, a caller gets the addresses of all. */
#define ZONE_HOSTS_MIN 2u

/* A connection to one of the ports, and the call on it. */
typedef struct port_call {
	struct cds_list_head node; /* in waiting_calls, while waiting */
	site_t *site;
	http1_conn_t *conn;
	bool keep_open; /* after the response */
	bool waiting;	/* for the replicated log */
	site_call_t call;
	bool is_delete; /* the method is DELETE */
	buf_t target;
	buf_t body;
	uint64_t tag;	      /* of the document that it proposed */
	uint64_t version;     /* of the manifest that it proposed */
	int64_t head_read_us; /* when its head was read */
	int64_t log_asked_us; /* when it was handed to the log */
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

/* Name of a control call for the log; NULL: it is none. */
static const char *control_call_name(site_call_t call)
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

static void log_control_response(const port_call_t *c, int status)
{
	const char *call = control_call_name(c->call);
	int64_t elapsed_us = site_now(c->site) - c->head_read_us;

	if (call)
		log_event(LOG_INFO, "control_answered", KV_C("call", call),
			  kv_i("status", status),
			  kv_i("after_ms", elapsed_us / USEC_PER_MSEC));
}

static void respond_as(port_call_t *c, int status, const char *type, str_t body)
{
	AUTO_BUF buf_t out = {0};

	stop_waiting(c);
	log_control_response(c, status);
	buf_printf(&out,
		   "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
		   "Content-Length: %zu\r\n%s\r\n",
		   status, http_status_str((enum http_status)status), type,
		   body.n, c->keep_open ? "" : "Connection: close\r\n");
	buf_put(&out, body.p, body.n);
	http1_send(c->conn, out.p, out.n);
	buf_free(&c->body);
	if (c->keep_open) {
		http1_await_request(c->conn);
		return;
	}
	http1_close_when_sent(c->conn);
	call_free(c);
}

static void respond(port_call_t *c, int status, str_t body)
{
	respond_as(c, status, "application/json", body);
}

static void respond_error(port_call_t *c, int status, str_t reason)
{
	AUTO_BUF buf_t body = {0};

	buf_puts(&body, "{\"error\":\"");
	for (size_t i = 0; i < reason.n; i++)
		if (reason.p[i] >= ' ' && reason.p[i] != '"' &&
		    reason.p[i] != '\\')
			buf_put(&body, &reason.p[i], 1);
	buf_puts(&body, "\"}");
	respond(c, status, buf_str(&body));
}

static void wait_for_log(port_call_t *c)
{
	c->waiting = true;
	cds_list_add_tail(&c->node, &c->site->waiting_calls);
	timer_svc_arm(c->site->timers, &c->timer,
		      site_now(c->site) + LOG_WAIT_MAX_US);
}

static void on_log_wait_timeout(void *ctx, int64_t now)
{
	port_call_t *c = ctx;

	(void)now;
	respond_error(c, 503, STR("the log has not decided in time"));
}

/* Control calls. */

static const doc_t *find_doc(const site_t *s, str_t name)
{
	return s->tables ? decided_doc_by_name(s->tables, name) : NULL;
}

static void refuse_manifest(port_call_t *c, str_t reason)
{
	log_event(LOG_NOTICE, "manifest_refused", kv_s("reason", reason));
	respond_error(c, 400, reason);
}

static void put_manifest(port_call_t *c)
{
	site_t *s = c->site;
	AUTO_BUF buf_t error = {0};
	AUTO_BUF buf_t stored = {0};
	manifest_t *m = dialect_parse_manifest(buf_str(&c->body), &error);
	const doc_t *decided = find_doc(s, STR(DOC_MANIFEST));

	if (!m) {
		refuse_manifest(c, buf_str(&error));
		return;
	}
	if (decided && decided->version >= m->version) {
		/* Already decided, or superseded by a later version. */
		respond(c, 200, STR("{}"));
	} else if (dialect_check_manifest(buf_str(&c->body), &error) < 0) {
		refuse_manifest(c, buf_str(&error));
	} else {
		log_event(LOG_INFO, "manifest_proposed",
			  kv_u("version", m->version));
		c->log_asked_us = site_now(s);
		c->version = m->version;
		wait_for_log(c);
		compress_append(&stored, buf_str(&c->body));
		c->tag = site_propose_doc(s, STR(DOC_MANIFEST), m->version,
					  buf_str(&stored));
	}
	manifest_unref(m);
}

static void put_version(port_call_t *c)
{
	site_t *s = c->site;
	AUTO_BUF buf_t error = {0};
	AUTO_BUF buf_t name = {0};
	adapter_version_t v;
	const doc_t *decided;

	if (dialect_parse_adapter_version(buf_str(&c->body), &v, &error) < 0) {
		respond_error(c, 400, buf_str(&error));
		return;
	}
	buf_printf(&name, "%.*s/%.*s", STR_ARG(v.model), STR_ARG(v.adapter));
	decided = find_doc(s, buf_str(&name));
	if (decided && decided->version >= v.version) {
		respond(c, 200, STR("{}"));
	} else {
		log_event(LOG_INFO, "adapter_version_proposed",
			  kv_s("name", buf_str(&name)),
			  kv_u("version", v.version));
		wait_for_log(c);
		c->tag =
			site_propose_doc(s, buf_str(&name), v.version, STR(""));
	}
	adapter_version_free(&v);
}

static void get_manifest(port_call_t *c)
{
	c->log_asked_us = site_now(c->site);
	wait_for_log(c);
	site_request_confirmation(c->site);
}

static void log_manifest_read(const port_call_t *c, const doc_t *doc)
{
	const site_t *s = c->site;
	int64_t now_us = site_now(s);
	int64_t confirmed_us = s->lease_status.tables_confirmed_us;

	log_event(LOG_INFO, "manifest_read", kv_u("version", doc->version),
		  kv_u("index", decided_index(s->tables)),
		  kv_i("waited_ms", (now_us - c->log_asked_us) / USEC_PER_MSEC),
		  kv_i("confirmed_ago_ms",
		       (now_us - confirmed_us) / USEC_PER_MSEC));
}

static void respond_manifest(port_call_t *c)
{
	const doc_t *doc = find_doc(c->site, STR(DOC_MANIFEST));
	AUTO_BUF buf_t text = {0};

	if (!doc) {
		respond_error(c, 503, STR("no manifest is decided yet"));
		return;
	}
	if (site_read_manifest(doc, &text) < 0) {
		respond_error(c, 503, STR("the stored manifest is corrupt"));
		return;
	}
	log_manifest_read(c, doc);
	respond(c, 200, buf_str(&text));
}

static void record_confirmed(const port_call_t *c)
{
	int64_t elapsed_us = site_now(c->site) - c->log_asked_us;

	hist_add(HIST_MANIFEST, elapsed_us);
	log_event(LOG_INFO, "manifest_confirmed", kv_u("version", c->version),
		  kv_i("after_ms", elapsed_us / USEC_PER_MSEC));
}

void site_ports_change_outcome(site_t *s, uint64_t tag, change_status_t status)
{
	port_call_t *c, *tmp;

	cds_list_for_each_entry_safe (c, tmp, &s->waiting_calls, node) {
		if (c->tag != tag || c->call == CALL_GET_MANIFEST)
			continue;
		if (status == CHANGE_DECIDED && c->call == CALL_PUT_MANIFEST)
			record_confirmed(c);
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

	cds_list_for_each_entry_safe (c, tmp, &s->waiting_calls, node)
		if (c->call == CALL_GET_MANIFEST &&
		    s->lease_status.tables_confirmed_us >= c->log_asked_us)
			respond_manifest(c);
}

/* Addresses. */

static void respond_addresses(port_call_t *c)
{
	site_t *s = c->site;
	host_id_t hosts[ADDRESSES_MAX];
	buf_t addr_texts[ADDRESSES_MAX] = {0};
	str_t addrs[ADDRESSES_MAX];
	AUTO_BUF buf_t body = {0};
	str_t ip, port;
	size_t n =
		site_hosts_select(s, dialect_caller_zone(buf_str(&c->target)),
				  hosts, ADDRESSES_MAX);

	if (n < ZONE_HOSTS_MIN)
		n = site_hosts_select(s, str_n(NULL, 0), hosts, ADDRESSES_MAX);
	if (!n) {
		respond_error(c, 503, STR("no host is known to be live"));
		return;
	}
	str_split(s->settings.callers_addr, ':', &ip, &port);
	for (size_t i = 0; i < n; i++) {
		site_write_host_ip(hosts[i], &addr_texts[i]);
		buf_printf(&addr_texts[i], ":%.*s", STR_ARG(port));
		addrs[i] = buf_str(&addr_texts[i]);
	}
	counter_add(CTR_HTTP_ADDRESS_ANSWERS, 1);
	dialect_write_addresses(&body, addrs, n,
				ADDRESS_TTL_US < s->settings.address_ttl_us
					? ADDRESS_TTL_US
					: s->settings.address_ttl_us);
	respond(c, 200, buf_str(&body));
	for (size_t i = 0; i < n; i++)
		buf_free(&addr_texts[i]);
}

static void respond_ready(port_call_t *c)
{
	if (site_is_ready(c->site))
		respond(c, 200, STR("{}"));
	else
		respond_error(c, 503, STR("not ready"));
}

static void respond_metrics(port_call_t *c)
{
	AUTO_BUF buf_t body = {0};

	counter_write(&body);
	hist_write(&body);
	buf_printf(&body,
		   "# HELP damasklug_log_lost_total Log lines that a full pipe "
		   "did not take\n# TYPE damasklug_log_lost_total counter\n"
		   "damasklug_log_lost_total %llu\n",
		   (unsigned long long)log_dropped_lines());
	respond_as(c, 200, "text/plain; version=0.0.4", buf_str(&body));
}

static str_t quarantined_causes(const site_t *s)
{
	const doc_t *doc = find_doc(s, STR(DOC_QUARANTINE));

	return doc ? doc->body : str_n(NULL, 0);
}

static void release_cause(port_call_t *c, str_t cause)
{
	site_t *s = c->site;
	const doc_t *doc = find_doc(s, STR(DOC_QUARANTINE));
	AUTO_BUF buf_t body = {0};

	if (!dispatch_release_cause(quarantined_causes(s), cause, &body)) {
		respond_error(c, 404, STR("this is not in quarantine"));
		return;
	}
	wait_for_log(c);
	c->tag = site_propose_doc(s, STR(DOC_QUARANTINE), doc->version + 1,
				  buf_str(&body));
}

static void respond_hosts(port_call_t *c)
{
	AUTO_BUF buf_t body = {0};

	site_hosts_write(c->site, &body);
	respond_as(c, 200, "text/plain", buf_str(&body));
}

/* Calls on this daemon's own paths, which the platform does not know. */
static void answer_own_call(port_call_t *c)
{
	str_t prefix = STR(QUARANTINE_PATH "/");
	str_t target = buf_str(&c->target);

	if (str_eq(target, STR(METRICS_PATH)))
		respond_metrics(c);
	else if (str_eq(target, STR(HOSTS_PATH)))
		respond_hosts(c);
	else if (str_eq(target, STR(QUARANTINE_PATH)))
		respond_as(c, 200, "text/plain", quarantined_causes(c->site));
	else if (c->is_delete && target.n > prefix.n &&
		 str_eq(str_n(target.p, prefix.n), prefix))
		release_cause(c,
			      str_n(target.p + prefix.n, target.n - prefix.n));
	else
		respond_error(c, 404, STR("no such call"));
}

/* Connections. */

static void on_head(void *ctx, const http1_head_t *h)
{
	port_call_t *c = ctx;

	c->keep_open = h->keep_alive;
	c->call = dialect_match_call(h->method, h->target);
	c->is_delete = str_eq(h->method, STR("DELETE"));
	buf_reset(&c->target);
	buf_put(&c->target, h->target.p, h->target.n);
	c->head_read_us = site_now(c->site);
}

static void on_body(void *ctx, str_t data)
{
	port_call_t *c = ctx;

	if (c->body.n + data.n <= MANIFEST_TEXT_MAX)
		buf_put(&c->body, data.p, data.n);
}

static void on_end(void *ctx)
{
	port_call_t *c = ctx;

	switch (c->call) {
	case CALL_READY:
		respond_ready(c);
		break;
	case CALL_ADDRESSES:
		respond_addresses(c);
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
		answer_own_call(c);
		break;
	}
}

static void on_closed(void *ctx, http1_close_reason_t why)
{
	(void)why;
	call_free(ctx);
}

static const http1_ops_t port_ops = {
	.head = on_head,
	.body = on_body,
	.message_end = on_end,
	.closed = on_closed,
};

static void *on_accepted(void *ctx, http1_conn_t *conn)
{
	port_call_t *c = xcalloc(1, sizeof(*c));

	c->site = ctx;
	c->conn = conn;
	timer_sub_init(&c->timer, on_log_wait_timeout, c);
	return c;
}

static int listen_on(site_t *s, str_t addr, http1_listener_t **out)
{
	struct sockaddr_in bind_addr;

	if (!addr.n)
		return 0;
	if (http1_parse_addr(addr, &bind_addr) == 0)
		*out = http1_listen(s->loop, &bind_addr, &s->port_limits,
				    &port_ops, on_accepted, s);
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
	CDS_INIT_LIST_HEAD(&s->waiting_calls);
	buf_printf(&metrics, "%.*s:%d", STR_ARG(s->settings.ip), METRICS_PORT);
	/* The daemon runs without metrics if that port cannot be used. */
	listen_on(s, buf_str(&metrics), &s->metrics);
	if (listen_on(s, s->settings.ready_addr, &s->ready) < 0 ||
	    listen_on(s, s->settings.control_addr, &s->control) < 0 ||
	    listen_on(s, s->settings.directory_addr, &s->directory) < 0)
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
