/*
 * client.h - HTTP client of the operators' interface: tries one server after
 * the other and sends a change again, under the same id, after a lost reply.
 */
#ifndef DK_CLIENT_H
#define DK_CLIENT_H

#include <curl/curl.h>
#include <jansson.h>

#include "util.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CLIENT_SERVERS_MAX 64u

typedef enum client_result {
	CLIENT_OK,	    /* a server answered; see http_status */
	CLIENT_UNREACHABLE, /* no server took the request */
	CLIENT_REPLY_LOST,  /* sent; the reply was lost */
} client_result_t;

typedef struct client {
	char *servers[CLIENT_SERVERS_MAX]; /* "ip:port", owned */
	size_t n_servers;
	size_t current; /* that answered last */
	char *token;	/* owned */
	long timeout_ms;
	CURL *curl;
	long http_status; /* of the last answer */
	char error[CURL_ERROR_SIZE];
} client_t;

/* Zero-initialize before. 0, or -1 where libcurl fails. */
int client_init(client_t *c);
void client_free(client_t *c);
/* Adds addresses parted by commas; -1 on one that is not "ip:port". */
int client_add_servers(client_t *c, const char *list);

/*
 * GET from the first server that answers. *reply is a new reference, NULL
 * where the answer is not JSON.
 */
client_result_t client_get(client_t *c, const char *path, json_t **reply);
/* GET from one address, which need not be among the servers. */
client_result_t client_get_from(client_t *c, const char *addr, const char *path,
				json_t **reply);
/*
 * POST of a body that may be sent again as it is: goes round the servers
 * until one gives a final answer, or deadline_ms have passed. An answer with
 * status 502, 503 or 504 is not final.
 */
client_result_t client_post(client_t *c, const char *path, const char *body,
			    long deadline_ms, json_t **reply);

#ifdef __cplusplus
}
#endif
#endif
