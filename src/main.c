/*
 * main.c - entry point: runs the daemon ("serve"), the program of one site
 * ("site"), or a subcommand of the operators' client.
 */
#include <string.h>

#include "cli.h"
#include "daemon.h"
#include "site.h"

int main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], "serve") == 0)
		return serve_main(argc - 1, argv + 1);
	if (argc > 1 && strcmp(argv[1], "site") == 0)
		return site_main(argc - 1, argv + 1);
	return cli_main(argc, argv);
}
