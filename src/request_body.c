/* request_body.c - bodies of callers' requests: kept, bounded and digested. */
#include "gateway_int.h"

#include "digest.h"

void gateway_limit_bodies(gateway_t *g, size_t bytes)
{
	g->bodies_max = bytes;
}

size_t gateway_body_bytes(const gateway_t *g)
{
	return g->body_bytes;
}

bool gateway_has_room(const gateway_t *g, int64_t length)
{
	size_t n = length > 0 ? (size_t)length : 0;

	return !g->bodies_max || !g->body_bytes ||
	       g->body_bytes + n <= g->bodies_max;
}

reason_t request_body_put(request_t *r, str_t piece)
{
	gateway_t *g = r->gw;
	size_t others = g->body_bytes - r->body.n;

	if (r->body.n + piece.n > r->manifest->limits.body_max)
		return REASON_BODY_TOO_LARGE;
	if (g->bodies_max && others && g->body_bytes + piece.n > g->bodies_max)
		return REASON_MEMORY_SHORT;
	buf_put(&r->body, piece.p, piece.n);
	g->body_bytes += piece.n;
	return REASON_NONE;
}

void request_body_free(request_t *r)
{
	r->gw->body_bytes -= r->body.n;
	buf_free(&r->body);
}

uint64_t request_digest(const request_t *r)
{
	digest_t d;

	digest_init(&d);
	digest_put(&d, r->method);
	digest_put(&d, r->info.host);
	digest_put(&d, r->target);
	digest_put(&d, str_n((const char *)&r->info.caller,
			     sizeof(r->info.caller)));
	if (r->org)
		digest_put(&d, r->org->name);
	digest_put(&d, buf_str(&r->body));
	return digest_end(&d);
}
