/* cli_change.c - the client's commands that change something. */
#include "cli_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "change_json.h"
#include "template_file.h"

/* Longest time that one request asks the leader to wait. */
#define IN_FORCE_REQUEST_MS 5000
#define CHANGE_ID_BYTES 12u
#define TOKEN_BYTES 24u

/* Writes n_bytes (at most 64) random bytes to out in hexadecimal. */
static void random_hex(size_t n_bytes, char *out)
{
	unsigned char raw[64];

	randombytes_buf(raw, n_bytes);
	sodium_bin2hex(out, 2 * n_bytes + 1, raw, n_bytes);
}

/* Prints the rows and fields that a dry run would change. */
static void print_differences(const json_t *list)
{
	const json_t *difference;
	size_t i;

	json_array_foreach(list, i, difference)
	{
		const char *field;
		json_t *before_after;

		printf("%s %s %s\n", cli_json_text(difference, "table"),
		       cli_json_text(difference, "name"),
		       cli_json_text(difference, "kind"));
		json_object_foreach(json_object_get(difference, "fields"),
				    field, before_after)
		{
			AUTO_BUF buf_t before = {0};
			AUTO_BUF buf_t after = {0};

			cli_append_cell(json_array_get(before_after, 0),
					&before);
			cli_append_cell(json_array_get(before_after, 1),
					&after);
			printf("  %-16s %s -> %s\n", field, before.p, after.p);
		}
	}
}

/*
 * Sets *base to the base revision of the change: --base, or else the current
 * revision. Returns an exit code.
 */
static int get_base_revision(cli_t *cli, json_int_t *base)
{
	json_t *j;
	int rc;

	*base = cli_opts.base_revision;
	if (cli_opts.base_revision >= 0)
		return CLI_OK;
	rc = cli_get(cli, "changes?limit=1", &j);
	if (rc)
		return rc;
	*base = json_integer_value(json_object_get(j, "revision"));
	json_decref(j);
	return CLI_OK;
}

static void print_not_in_force(const json_t *reply)
{
	AUTO_BUF buf_t behind = {0};

	cli_append_cell(json_object_get(reply, "lacking"), &behind);
	fprintf(stderr, "damasklug: not in force on: %s\n",
		behind.n ? behind.p : "(the leader cannot be reached)");
}

static void print_in_force(const json_t *reply)
{
	AUTO_BUF buf_t absent = {0};

	cli_append_cell(json_object_get(reply, "absent"), &absent);
	printf("in force on %zu live hosts%s%s\n",
	       json_array_size(json_object_get(reply, "hosts")),
	       absent.n ? "; absent: " : "", absent.p);
}

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/*
 * Sends one GET request to the leader. Its address, *leader, is taken from the
 * error of any other daemon, and is used by the next call; the caller frees it.
 * Returns a new reference to the reply; NULL where the leader did not answer.
 */
static json_t *ask_leader(cli_t *cli, const char *path, char **leader)
{
	json_t *reply = NULL;
	const char *addr;

	if (*leader &&
	    client_get_from(&cli->client, *leader, path, &reply) == CLIENT_OK &&
	    cli->client.http_status == 200)
		return reply;
	json_decref(reply);
	reply = NULL;
	if (client_get(&cli->client, path, &reply) == CLIENT_OK &&
	    cli->client.http_status == 200)
		return reply;
	addr = cli_json_text(json_object_get(reply, "error"), "leader");
	free(*leader);
	*leader = addr[0] ? str_dup(str_c(addr)) : NULL;
	json_decref(reply);
	return NULL;
}

/* Waits at most --wait until revision is in force; returns an exit code. */
static int wait_in_force(cli_t *cli, json_int_t revision)
{
	const struct timespec retry_pause = {0, 50 * 1000000L};
	int64_t deadline_ms = now_ms() + cli_opts.wait_s * 1000LL;
	AUTO_FREE char *leader = NULL;
	json_t *last_reply = NULL;

	for (;;) {
		int64_t left_ms = deadline_ms - now_ms();
		AUTO_BUF buf_t path = {0};
		json_t *reply;

		buf_printf(&path,
			   CLI_ROOT "revisions?revision=%lld&wait_ms=%lld",
			   (long long)revision,
			   (long long)(left_ms < 0 ? 0
				       : left_ms < IN_FORCE_REQUEST_MS
					       ? left_ms
					       : IN_FORCE_REQUEST_MS));
		reply = ask_leader(cli, path.p, &leader);
		if (reply) {
			json_decref(last_reply);
			last_reply = reply;
		}
		if (reply && json_is_true(json_object_get(reply, "in_force")))
			break;
		if (left_ms <= 0) {
			print_not_in_force(last_reply);
			json_decref(last_reply);
			return CLI_NOT_IN_FORCE;
		}
		if (!reply)
			nanosleep(&retry_pause, NULL);
	}
	if (!cli_opts.json)
		print_in_force(last_reply);
	json_decref(last_reply);
	return CLI_OK;
}

/*
 * Prints the outcome of a change and waits as --wait says; returns an exit
 * code.
 */
static int report_outcome(cli_t *cli, const json_t *reply,
			  const char *change_id)
{
	json_int_t revision =
		json_integer_value(json_object_get(reply, "revision"));

	if (cli_opts.json)
		cli_print_json(reply);
	if (cli->client.http_status != 200)
		return cli_report_error(cli, reply);
	if (cli_opts.dry_run) {
		if (!cli_opts.json)
			print_differences(
				json_object_get(reply, "differences"));
		return CLI_OK;
	}
	if (!cli_opts.json)
		printf("accepted%s: revision %lld, change %s\n",
		       json_is_true(json_object_get(reply, "resent"))
			       ? " before"
			       : "",
		       (long long)revision, change_id);
	return cli_opts.wait_s > 0 ? wait_in_force(cli, revision) : CLI_OK;
}

/* Sends a change under change_id; returns an exit code. */
static int post_change(cli_t *cli, const json_t *change, const char *change_id)
{
	AUTO_FREE char *text = json_dumps(change, JSON_COMPACT);
	json_t *reply = NULL;
	int rc;

	switch (client_post(&cli->client, CLI_ROOT "change", text,
			    CLI_RESEND_TIMEOUT_MS, &reply)) {
	case CLIENT_UNREACHABLE:
		return cli_report_unreachable(cli);
	case CLIENT_REPLY_LOST:
		fprintf(stderr,
			"damasklug: the reply was lost (%s); run again with "
			"--change-id %s\n",
			cli->client.error, change_id);
		json_decref(reply);
		return CLI_OUTCOME_UNKNOWN;
	case CLIENT_OK:
		break;
	}
	rc = report_outcome(cli, reply, change_id);
	json_decref(reply);
	return rc;
}

/* Sends ops as one change; takes the reference. Returns an exit code. */
static int submit_change(cli_t *cli, json_t *ops)
{
	char random_id[2 * CHANGE_ID_BYTES + 1];
	const char *author =
		cli_opts.author ? cli_opts.author : g_get_user_name();
	const char *change_id =
		cli_opts.change_id ? cli_opts.change_id : random_id;
	json_int_t base_revision;
	json_t *change;
	int rc = get_base_revision(cli, &base_revision);

	if (rc) {
		json_decref(ops);
		return rc;
	}
	random_hex(CHANGE_ID_BYTES, random_id);
	change = json_pack("{s:s, s:I, s:s, s:b, s:o}", "change_id", change_id,
			   "base_revision", base_revision, "author", author,
			   "dry_run", cli_opts.dry_run, "ops", ops);
	rc = post_change(cli, change, change_id);
	json_decref(change);
	return rc;
}

/* Appends the operation {name: value}; takes the reference to value. */
static void add_op(json_t *ops, const char *name, json_t *value)
{
	json_array_append_new(ops, json_pack("{s:o}", name, value));
}

/* Sends one operation NOUN_VERB, e.g. target_drain, for each name. */
int cli_cmd_op_per_name(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t op_name = {0};
	json_t *ops;

	if (!argc)
		return cli_usage_error(cli, "a name is needed");
	buf_printf(&op_name, "%s_%s", cli->cmd->noun, cli->cmd->verb);
	ops = json_array();
	for (int i = 0; i < argc; i++)
		add_op(ops, op_name.p, json_string_lossy(str_c(argv[i])));
	return submit_change(cli, ops);
}

int cli_cmd_template_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops = json_array();

	for (int i = 0; i < argc; i++) {
		AUTO_BUF buf_t errors = {0};
		json_t *template_json = template_file_load(argv[i], &errors);

		if (!template_json) {
			fputs(errors.p, stderr);
			json_decref(ops);
			return CLI_USAGE;
		}
		add_op(ops, "template_put", template_json);
	}
	if (argc)
		return submit_change(cli, ops);
	json_decref(ops);
	return cli_usage_error(cli, "a file is needed");
}

/* These three set a member of j, unless the option was not given. */
static void set_int(json_t *j, const char *key, gint value)
{
	if (value != CLI_NOT_SET)
		json_object_set_new(j, key, json_integer(value));
}

static void set_text(json_t *j, const char *key, const gchar *value)
{
	if (value)
		json_object_set_new(j, key, json_string_lossy(str_c(value)));
}

static void set_flag(json_t *j, const char *key, gboolean value)
{
	if (value)
		json_object_set_new(j, key, json_true());
}

/* Adds each --set PARAM=VALUE to params; -1 on one without '='. */
static int add_params(json_t *params)
{
	for (gchar **s = cli_opts.set; s && *s; s++) {
		str_t key, value;
		AUTO_FREE char *name = NULL;

		if (!str_split(str_c(*s), '=', &key, &value))
			return -1;
		name = str_dup(key);
		json_object_set_new(params, name, json_string_lossy(value));
	}
	return 0;
}

/* Adds the hash of a token; the token itself is not sent. */
static void add_token_hash(json_t *org, const char *token)
{
	uint8_t hash[TOKEN_HASH_BYTES];
	char hex[2 * TOKEN_HASH_BYTES + 1];

	token_hash(str_c(token), hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	json_object_set_new(org, "token_hash", json_string(hex));
}

/* The organisation that the options describe; NULL on a malformed --set. */
static json_t *org_json(const char *name)
{
	json_t *params = json_object();
	json_t *settings = json_pack("{s:o}", "params", params);
	json_t *org =
		json_pack("{s:s, s:o}", "name", name, "settings", settings);

	set_text(org, "template", cli_opts.template_name);
	set_int(settings, "priority", cli_opts.priority);
	set_int(settings, "rate_per_s", cli_opts.rate);
	set_int(settings, "burst", cli_opts.burst);
	set_int(settings, "concurrency", cli_opts.concurrency);
	set_int(settings, "retry_percent", cli_opts.retry_percent);
	if (cli_opts.unset)
		json_object_set_new(org, "unset", json_array());
	for (gchar **s = cli_opts.unset; s && *s; s++)
		json_array_append_new(json_object_get(org, "unset"),
				      json_string_lossy(str_c(*s)));
	if (add_params(params) == 0)
		return org;
	json_decref(org);
	return NULL;
}

int cli_cmd_org_put(cli_t *cli, int argc, char **argv)
{
	bool create = strcmp(cli->cmd->verb, "create") == 0;
	char token[2 * TOKEN_BYTES + 1] = "";
	json_t *ops, *org;
	int rc;

	if (argc != 1)
		return cli_usage_error(cli, "one name is needed");
	org = org_json(argv[0]);
	if (!org)
		return cli_usage_error(cli, "--set needs PARAM=VALUE");
	if (cli_opts.org_token)
		add_token_hash(org, cli_opts.org_token);
	if (cli_opts.new_token) {
		random_hex(TOKEN_BYTES, token);
		add_token_hash(org, token);
	}
	ops = json_array();
	add_op(ops, create ? "org_create" : "org_set", org);
	rc = submit_change(cli, ops);
	/*
	 * The token is printed after an unknown outcome too: the change may
	 * have been decided, and then the token is in use.
	 */
	if (token[0] && !cli_opts.dry_run &&
	    (rc == CLI_OK || rc == CLI_OUTCOME_UNKNOWN ||
	     rc == CLI_NOT_IN_FORCE))
		printf("token: %s\n", token);
	return rc;
}

/* An adapter_publish operation from the options, still without names. */
static json_t *publish_json(uint64_t version)
{
	json_t *publish = json_pack("{s:[]}", "names");

	set_text(publish, "base", cli_opts.base_model);
	set_text(publish, "org", cli_opts.org);
	set_int(publish, "load_ms", cli_opts.load_ms);
	set_flag(publish, "keep_current", cli_opts.keep_current);
	if (version)
		json_object_set_new(publish, "version",
				    json_integer((json_int_t)version));
	return publish;
}

/*
 * Adds spec, NAME[@VERSION], to the last operation if that publishes the same
 * version (or, like spec, names none), else to a new one. -1 where spec is
 * malformed.
 */
static int add_publish(json_t *ops, str_t spec)
{
	json_t *last_op = json_array_get(ops, json_array_size(ops) - 1);
	json_t *publish = json_object_get(last_op, "adapter_publish");
	uint64_t version = 0;
	str_t name, version_text;

	if (str_split(spec, '@', &name, &version_text) &&
	    (str_to_u64(version_text, &version) || !version ||
	     version > UINT32_MAX))
		return -1;
	if (!publish ||
	    (uint64_t)json_integer_value(json_object_get(publish, "version")) !=
		    version) {
		publish = publish_json(version);
		add_op(ops, "adapter_publish", publish);
	}
	json_array_append_new(json_object_get(publish, "names"),
			      json_string_lossy(name));
	return 0;
}

/* Adds each line of a file; -1, and the fault printed, if one is malformed. */
static int add_publish_file(json_t *ops, const char *path)
{
	gchar *data = NULL;
	gsize size = 0;
	str_t rest, line;
	int rc = 0;

	if (!g_file_get_contents(path, &data, &size, NULL)) {
		fprintf(stderr, "damasklug: cannot read %s\n", path);
		return -1;
	}
	rest = str_n(data, size);
	for (unsigned int line_number = 1; rest.n && !rc; line_number++) {
		str_split(rest, '\n', &line, &rest);
		if (line.n && add_publish(ops, line)) {
			fprintf(stderr, "%s:%u: expected NAME[@VERSION]\n",
				path, line_number);
			rc = -1;
		}
	}
	g_free(data);
	return rc;
}

/* Adds all adapters whose name starts with prefix; returns an exit code. */
static int add_publish_prefix(cli_t *cli, json_t *ops, const char *prefix)
{
	json_t *rows = NULL;
	const json_t *row;
	size_t i;
	int rc = cli_get_all_rows(cli, "adapters", prefix, SIZE_MAX, &rows);

	json_array_foreach(rows, i, row)
		add_publish(ops, str_c(cli_json_text(row, "name")));
	json_decref(rows);
	return rc;
}

int cli_cmd_publish(cli_t *cli, int argc, char **argv)
{
	json_t *ops = json_array();
	int rc = CLI_OK;

	for (int i = 0; i < argc && !rc; i++)
		if (add_publish(ops, str_c(argv[i])))
			rc = cli_usage_error(cli, "expected NAME[@VERSION]");
	if (!rc && cli_opts.from_file &&
	    add_publish_file(ops, cli_opts.from_file))
		rc = CLI_USAGE;
	if (!rc && cli_opts.prefix)
		rc = add_publish_prefix(cli, ops, cli_opts.prefix);
	if (!rc && !json_array_size(ops))
		rc = cli_usage_error(cli, "an adapter is needed");
	if (!rc)
		return submit_change(cli, ops);
	json_decref(ops);
	return rc;
}

/* Sends one operation, adapter_retire or adapter_pin, for each NAME@VERSION. */
int cli_cmd_op_per_version(cli_t *cli, int argc, char **argv)
{
	AUTO_BUF buf_t op_name = {0};
	json_t *ops = json_array();

	buf_printf(&op_name, "adapter_%s", cli->cmd->verb);
	for (int i = 0; i < argc; i++) {
		str_t name, version_text;
		uint64_t version;

		if (!str_split(str_c(argv[i]), '@', &name, &version_text) ||
		    str_to_u64(version_text, &version) ||
		    version > UINT32_MAX) {
			json_decref(ops);
			return cli_usage_error(cli, "expected NAME@VERSION");
		}
		add_op(ops, op_name.p,
		       json_pack("{s:o, s:I}", "name", json_string_lossy(name),
				 "version", (json_int_t)version));
	}
	if (argc)
		return submit_change(cli, ops);
	json_decref(ops);
	return cli_usage_error(cli, "an adapter is needed");
}

int cli_cmd_target_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops, *target;

	if (argc != 1)
		return cli_usage_error(cli, "one name is needed");
	target = json_pack("{s:s}", "name", argv[0]);
	set_text(target, "url", cli_opts.url);
	set_text(target, "zone", cli_opts.zone);
	set_text(target, "base", cli_opts.base_model);
	set_int(target, "slots", cli_opts.slots);
	set_int(target, "max_batch", cli_opts.max_batch);
	set_flag(target, "service", cli_opts.is_service);
	set_flag(target, "checks_fence", cli_opts.checks_fence);
	set_flag(target, "repeatable", cli_opts.repeatable);
	ops = json_array();
	add_op(ops, "target_put", target);
	return submit_change(cli, ops);
}

int cli_cmd_host_put(cli_t *cli, int argc, char **argv)
{
	json_t *ops, *host;

	if (argc != 1)
		return cli_usage_error(cli, "one name is needed");
	if (cli_opts.voter && cli_opts.learner)
		return cli_usage_error(
			cli, "--voter and --learner exclude each other");
	host = json_pack("{s:s}", "name", argv[0]);
	set_int(host, "id", cli_opts.host_id);
	set_text(host, "zone", cli_opts.zone);
	set_text(host, "region", cli_opts.region);
	set_text(host, "caller_addr", cli_opts.caller_addr);
	set_text(host, "peer_addr", cli_opts.peer_addr);
	if (cli_opts.voter || cli_opts.learner)
		json_object_set_new(host, "voter",
				    json_boolean(cli_opts.voter));
	ops = json_array();
	add_op(ops, "host_put", host);
	return submit_change(cli, ops);
}

int cli_cmd_change_apply(cli_t *cli, int argc, char **argv)
{
	json_error_t parse_error;
	json_t *file_json, *ops;

	if (argc != 1)
		return cli_usage_error(cli, "one file is needed");
	file_json =
		json_load_file(argv[0], JSON_REJECT_DUPLICATES, &parse_error);
	ops = json_is_array(file_json) ? file_json
				       : json_object_get(file_json, "ops");
	if (!json_is_array(ops)) {
		fprintf(stderr, "%s:%d: %s\n", argv[0],
			file_json ? 1 : parse_error.line,
			file_json ? "expected an array of operations"
				  : parse_error.text);
		json_decref(file_json);
		return CLI_USAGE;
	}
	json_incref(ops);
	json_decref(file_json);
	return submit_change(cli, ops);
}

/*
 * Drains a host by a change. Without a host, asks the one given daemon to drain
 * and end.
 */
int cli_cmd_drain(cli_t *cli, int argc, char **argv)
{
	json_t *reply, *ops;
	int rc;

	if (argc > 1)
		return cli_usage_error(cli, "too many arguments");
	if (argc == 1) {
		ops = json_array();
		add_op(ops, "host_drain", json_string_lossy(str_c(argv[0])));
		return submit_change(cli, ops);
	}
	if (cli->client.n_servers != 1)
		return cli_usage_error(cli, "exactly one --server is needed");
	if (client_post(&cli->client, CLI_ROOT "drain", "{}",
			CLI_RESEND_TIMEOUT_MS, &reply) != CLIENT_OK)
		return cli_report_unreachable(cli);
	rc = cli->client.http_status == 202 ? CLI_OK
					    : cli_report_error(cli, reply);
	if (rc == CLI_OK)
		printf("draining\n");
	json_decref(reply);
	return rc;
}
