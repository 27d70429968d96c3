/* client.c - HTTP client of the operators' interface over libcurl. */
#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "change.h"
#include "curl_response.h"

#define TIMEOUT_MS 15000L
#define CONNECT_TIMEOUT_MS 2000L
#define PAUSE_MS 100L /* after each server has been tried once */
/* How often each server is tried if no request has reached any of them. */
#define UNREACHABLE_ROUNDS 3u
#define REPLY_MAX (64u << 20) /* bytes */

int client_init(client_t *c)
{
	c->timeout_ms = TIMEOUT_MS;
	return curl_global_init(CURL_GLOBAL_NOTHING) ? -1 : 0;
}

void client_free(client_t *c)
{
	for (size_t i = 0; i < c->n_servers; i++)
		free(c->servers[i]);
	free(c->token);
	curl_global_cleanup();
	memset(c, 0, sizeof(*c));
}

int client_add_servers(client_t *c, const char *list)
{
	str_t rest = str_c(list);
	str_t addr;

	while (rest.n) {
		str_split(rest, ',', &addr, &rest);
		if (!addr_valid(addr) || c->n_servers == CLIENT_SERVERS_MAX)
			return -1;
		c->servers[c->n_servers++] = str_dup(addr);
	}
	return 0;
}

/* Whether the error means that no byte of the request was sent. */
static bool was_not_sent(CURLcode rc)
{
	return rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST;
}

static struct curl_slist *make_headers(const client_t *c)
{
	AUTO_BUF buf_t auth = {0};
	struct curl_slist *headers;

	buf_printf(&auth, "Authorization: Bearer %s", c->token ? c->token : "");
	headers = curl_slist_append(NULL, auth.p);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	return curl_slist_append(headers, "Expect:");
}

static client_result_t send_request(client_t *c, const char *addr,
				    const char *path, const char *post_body,
				    json_t **reply)
{
	AUTO_BUF buf_t url = {0};
	CLEANUP(curl_body_free) curl_body_t body = {.max = REPLY_MAX};
	struct curl_slist *headers = make_headers(c);
	const char *error;
	CURL *curl;

	*reply = NULL;
	buf_printf(&url, "http://%s%s", addr, path);
	curl = curl_body_handle(&body, url.p, c->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_ERRORBUFFER, c->error);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	if (post_body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, post_body);
	error = curl_body_perform(&body, curl);
	curl_slist_free_all(headers);
	c->http_status = error ? 0 : body.response.lines.status;
	/* Of other errors, libcurl has written more than this. */
	if (error && (body.rc == CURLE_OK || body.rc == CURLE_WRITE_ERROR))
		snprintf(c->error, sizeof(c->error), "%s", error);
	if (error)
		return was_not_sent(body.rc) ? CLIENT_UNREACHABLE
					     : CLIENT_REPLY_LOST;
	*reply = json_loadb(body.bytes.p ? body.bytes.p : "", body.bytes.n, 0,
			    NULL);
	return CLIENT_OK;
}

client_result_t client_get_from(client_t *c, const char *addr, const char *path,
				json_t **reply)
{
	return send_request(c, addr, path, NULL, reply);
}

client_result_t client_get(client_t *c, const char *path, json_t **reply)
{
	client_result_t result = CLIENT_UNREACHABLE;

	for (size_t i = 0; i < c->n_servers; i++) {
		size_t server = (c->current + i) % c->n_servers;

		result = send_request(c, c->servers[server], path, NULL, reply);
		if (result != CLIENT_OK)
			continue;
		c->current = server;
		return CLIENT_OK;
	}
	/* A read has no effect, so a lost reply counts as unreachable. */
	return CLIENT_UNREACHABLE;
}

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static bool is_final(long status)
{
	return status != 502 && status != 503 && status != 504;
}

client_result_t client_post(client_t *c, const char *path, const char *body,
			    long total_timeout_ms, json_t **reply)
{
	const struct timespec pause = {0, PAUSE_MS * 1000000L};
	int64_t deadline_ms = now_ms() + total_timeout_ms;
	client_result_t outcome = CLIENT_UNREACHABLE;
	client_result_t result;
	bool any_reply = false;

	*reply = NULL;
	for (size_t i = 0;; i++) {
		size_t server = (c->current + i) % c->n_servers;

		json_decref(*reply);
		result = send_request(c, c->servers[server], path, body, reply);
		if (result == CLIENT_OK && is_final(c->http_status)) {
			c->current = server;
			return CLIENT_OK;
		}
		/*
		 * After a lost reply, or a 504 for an unknown outcome, only a
		 * final reply can tell whether the request was processed.
		 */
		if (result == CLIENT_REPLY_LOST ||
		    (result == CLIENT_OK && c->http_status == 504))
			outcome = CLIENT_REPLY_LOST;
		if (result == CLIENT_OK)
			any_reply = true;
		if (now_ms() >= deadline_ms)
			break;
		if (!any_reply && outcome == CLIENT_UNREACHABLE &&
		    i + 1 >= c->n_servers * UNREACHABLE_ROUNDS)
			break;
		if (i % c->n_servers == c->n_servers - 1)
			nanosleep(&pause, NULL);
	}
	if (outcome == CLIENT_REPLY_LOST)
		return CLIENT_REPLY_LOST;
	return result;
}
