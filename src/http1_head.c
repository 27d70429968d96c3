/* http1_head.c - heads of HTTP/1.1 messages, addresses and names of close reasons. */
#include "http1.h"

#include <arpa/inet.h>
#include <string.h>
#include <strings.h>

const char *http1_close_reason_text(http1_close_reason_t reason)
{
	static const char *const texts[] = {
#define X(name, text) text,
		HTTP1_CLOSE_REASONS(X)
#undef X
	};

	return texts[reason];
}

bool http1_name_eq(str_t a, str_t b)
{
	return a.n == b.n && (!a.n || strncasecmp(a.p, b.p, a.n) == 0);
}

str_t http1_field(const http1_head_t *h, str_t name)
{
	for (size_t i = 0; i < h->n_fields; i++)
		if (http1_name_eq(h->fields[i].name, name))
			return h->fields[i].value;
	return str_n(NULL, 0);
}

const char *http1_framing_name(const http1_head_t *h)
{
	if (http1_ends_with_conn(h))
		return "close";
	return h->chunked ? "chunks" : "length";
}

int http1_parse_addr(str_t s, struct sockaddr_in *out)
{
	char ip[INET_ADDRSTRLEN];
	str_t head, tail;
	uint64_t port;

	memset(out, 0, sizeof(*out));
	if (!str_split(s, ':', &head, &tail) || head.n >= sizeof(ip) ||
	    str_to_u64(tail, &port) < 0 || !port || port > UINT16_MAX)
		return -1;
	memcpy(ip, head.p, head.n);
	ip[head.n] = '\0';
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : -1;
}

int64_t http1_read_keep_alive_us(const http1_head_t *h)
{
	str_t value = http1_field(h, STR("Keep-Alive"));
	const char *end = value.p + value.n;
	const char *at =
		value.n ? memmem(value.p, value.n, "timeout=", 8) : NULL;
	int64_t s = 0;

	if (!at)
		return -1;
	for (at += 8; at < end && *at >= '0' && *at <= '9' && s < INT16_MAX;
	     at++)
		s = s * 10 + (*at - '0');
	return s * USEC_PER_SEC;
}
