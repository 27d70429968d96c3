/*
 * client.h - HTTP client of the operators' interface (admin.h). It tries one
 * server after another, and repeats a POST whose reply was lost. A change keeps
 * its id when it is repeated, so that it is applied only once.
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
	CLIENT_OK,	    /* a server replied; see client_t.http_status */
	CLIENT_UNREACHABLE, /* no server received the request */
	CLIENT_REPLY_LOST,  /* a server may have processed the request */
} client_result_t;

typedef struct client {
	char *servers[CLIENT_SERVERS_MAX]; /* "ip:port", owned */
	size_t n_servers;
	size_t current; /* index of the server that replied last; tried first */
	char *token;	/* owned */
	long timeout_ms;	     /* of one request to one server */
	long http_status;	     /* of the last request; 0: no reply */
	char error[CURL_ERROR_SIZE]; /* libcurl's text of the last error */
} client_t;

/* *c must be zero. Returns 0, or -1 if libcurl fails. */
int client_init(client_t *c);
void client_free(client_t *c);
/*
 * Adds addresses separated by commas. Returns -1 if one is not "ip:port" or
 * there are more than CLIENT_SERVERS_MAX.
 */
int client_add_servers(client_t *c, const char *list);

/*
 * Sends a GET to each server until one replies; CLIENT_UNREACHABLE if none
 * does. *reply is a new reference; NULL if the reply is not JSON.
 */
client_result_t client_get(client_t *c, const char *path, json_t **reply);
/* Sends a GET to one address, which need not be among the servers. */
client_result_t client_get_from(client_t *c, const char *addr, const char *path,
				json_t **reply);
/*
 * Sends a POST, whose body may be repeated unchanged, to one server after
 * another until one gives a final reply or total_timeout_ms have passed. Status
 * 502, 503 or 504 is not final. Gives up earlier if no server can be reached.
 */
client_result_t client_post(client_t *c, const char *path, const char *body,
			    long total_timeout_ms, json_t **reply);

#ifdef __cplusplus
}
#endif
#endif
